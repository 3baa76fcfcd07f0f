/** A caller receives the complete response to its own request, whatever fails in between. */
import { expect, test } from "vitest";
import { play, Scene } from "./support/scenario.js";

const startStreams = ({ callers, entry }: Scene, count: number) =>
    Array.from(
        { length: count },
        (...[, index]) =>
            callers.generate(entry(index % 3), { tokens: 100 + index, answerTokens: 120, timeout: 30_000 }),
    );

/** All open connections to the engines stall while new ones work, as when a middlebox drops its connection state. */
const stallConnections = async (scene: Scene): Promise<void> => {
    const requests = startStreams(scene, 12);
    await scene.pass(400);
    scene.world.engines.forEach(engine => engine.stallCount++);
    await scene.pass(20_000);
    expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
    // The streams are resumed, not run again: only the connections were lost.
    const runs = scene.world.engines.flatMap(engine => engine.starts).length;
    expect(runs).toBe(12);
};

test("silent connections", async () => {
    expect(await play({}, stallConnections)).toEqual([]);
});

/** Frames arrive a second time, out of order, as from a connection that was considered dead. */
const repeatFrames = async (scene: Scene): Promise<void> => {
    scene.world.engines.forEach(engine => engine.repeatsFrames = true);
    startStreams(scene, 6);
    await scene.pass(20_000);
};

test("late and repeated pieces", async () => {
    expect(await play({}, repeatFrames)).toEqual([]);
    expect((await play({}, repeatFrames, "frameOffsets")).join()).toContain("got another answer");
});

/** An engine crashes in the middle of its streams. The callers receive the rest from other engines. */
const crashEngine = async (scene: Scene): Promise<void> => {
    const requests = startStreams(scene, 12);
    await scene.pass(400);
    void scene.world.engines[0]!.model.crash();
    await scene.pass(25_000);
    expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
};

test("engine dies in a stream", async () => {
    expect(await play({}, crashEngine)).toEqual([]);
});

test("lost acceptance", async () => {
    // The engine starts a stream and its acceptance is lost: the entry resumes the stream instead of starting another.
    const loseAcceptances = async (scene: Scene): Promise<void> => {
        scene.world.engines.forEach(engine => engine.lostAcceptances = 1);
        const requests = startStreams(scene, 6);
        await scene.pass(20_000);
        expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
        expect(scene.world.engines.flatMap(engine => engine.starts).length).toBe(6);
    };
    expect(await play({}, loseAcceptances)).toEqual([]);
});
