/** A caller receives the whole answer to its own request. */
import { expect, test } from "vitest";
import { play, Scene } from "./support/scenario.js";

const stream = ({ callers, entry }: Scene, count: number) =>
    Array.from(
        { length: count },
        (...[, index]) =>
            callers.generate(entry(index % 3), { tokens: 100 + index, answerTokens: 120, timeout: 30_000 }),
    );

/** All open connections to the engines go silent while new ones work: a middle box has forgotten them. */
const silent = async (scene: Scene): Promise<void> => {
    const requests = stream(scene, 12);
    await scene.pass(400);
    scene.world.engines.forEach(engine => engine.silence++);
    await scene.pass(20_000);
    expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
    // Resumed, not run again: nothing was lost but the connections.
    const runs = scene.world.engines.flatMap(engine => engine.starts).length;
    expect(runs).toBe(12);
};

test("silent connections", async () => {
    expect(await play({}, silent)).toEqual([]);
});

/** Pieces of an answer arrive again behind their successors, from a connection thought dead. */
const repeated = async (scene: Scene): Promise<void> => {
    scene.world.engines.forEach(engine => engine.repeatsFrames = true);
    stream(scene, 6);
    await scene.pass(20_000);
};

test("late and repeated pieces", async () => {
    expect(await play({}, repeated)).toEqual([]);
    expect((await play({}, repeated, "frameOffsets")).join()).toContain("got another answer");
});

/** An engine dies in the middle of its streams. Their callers get the rest from other engines. */
const died = async (scene: Scene): Promise<void> => {
    const requests = stream(scene, 12);
    await scene.pass(400);
    void scene.world.engines[0]!.model.crash();
    await scene.pass(25_000);
    expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
};

test("engine dies in a stream", async () => {
    expect(await play({}, died)).toEqual([]);
});

test("lost acceptance", async () => {
    // The engine starts a stream and its acceptance is lost: the entry joins the stream instead of starting another.
    const lost = async (scene: Scene): Promise<void> => {
        scene.world.engines.forEach(engine => engine.lostAcceptances = 1);
        const requests = stream(scene, 6);
        await scene.pass(20_000);
        expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
        expect(scene.world.engines.flatMap(engine => engine.starts).length).toBe(6);
    };
    expect(await play({}, lost)).toEqual([]);
});
