/** No engine loses memory for good, also with prompts larger than one engine. */
import { expect, test } from "vitest";
import { play, Scene } from "./support/scenario.js";

/** An entry dies with streams and reservations on engines. Nobody is left to end them. */
const entryDies = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    const dying = entry(0);
    for (let index = 0; index < 8; index++) {
        callers.generate(dying, { tokens: 300, answerTokens: 180 });
    }
    callers.generate(dying, { tokens: 6_000, answerTokens: 180 });
    await pass(400);
    expect(world.engines.some(engine => engine.model.memoryUsedTokens > 0)).toBe(true);
    world.kill(dying);
    await pass(1_000);
    world.platform.removeInstance(dying.id);
    await pass(20_000);
};

test("entry dies with streams", async () => {
    expect(await play({}, entryDies)).toEqual([]);
    expect((await play({}, entryDies, "reclaim")).join()).toContain("still holds");
});

/** The entry is replaced under the same name at once: the new process must not be taken for the old. */
const replaced = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    const dying = entry(1);
    callers.generate(dying, { tokens: 6_000, answerTokens: 180 });
    callers.generate(dying, { tokens: 300, answerTokens: 180 });
    await pass(400);
    world.kill(dying);
    world.addEntry(dying.id);
    await pass(20_000);
};

test("entry replaced under its name", async () => {
    expect(await play({}, replaced)).toEqual([]);
    expect((await play({}, replaced, "reclaim")).join()).toContain("still holds");
});

/** Cancels are lost while engines freeze and their requests move elsewhere. The frozen engines wake with old streams. */
const lostCancels = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    for (let index = 0; index < 6; index++) {
        callers.generate(entry(index % 3), { tokens: 300, answerTokens: 180 });
    }
    await pass(300);
    world.engines.slice(0, 2).forEach(engine => engine.gate.freeze());
    world.engines.forEach(engine => engine.lostReleases = 20);
    await pass(12_000);
    world.engines.forEach(engine => engine.gate.thaw());
    await pass(10_000);
    expect(callers.requests.every(request => request.end?.type === "Whole")).toBe(true);
};

test("lost cancels", async () => {
    expect(await play({}, lostCancels)).toEqual([]);
    expect((await play({}, lostCancels, "reclaim")).join()).toContain("still holds");
});

test("slow owner keeps its stream", async () => {
    // An entry that is cut off from its peers still reads its streams: they must not be reclaimed under it.
    const cutOff = async (scene: Scene): Promise<void> => {
        const { world, callers, pass, entry } = scene;
        const requests = [0, 1, 2].map(index =>
            callers.generate(entry(index), { tokens: 3_500, answerTokens: 200, timeout: 60_000 })
        );
        world.part("entry-1", "entry-2", true);
        world.part("entry-1", "entry-3", true);
        world.part("entry-2", "entry-3", true);
        await pass(30_000);
        expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
        expect(world.engines.flatMap(engine => engine.starts).length).toBe(3);
    };
    expect(await play({ shape: { tokensPerStep: 5 } }, cutOff)).toEqual([]);
});

/** Prompts of one and a half engines from all entries at once: two must never hold half of a gang each. */
const gangs = async (scene: Scene): Promise<void> => {
    const { callers, pass, entry } = scene;
    const requests = Array.from(
        { length: 9 },
        (...[, index]) => callers.generate(entry(index % 3), { tokens: 6_000, answerTokens: 50, timeout: 60_000 }),
    );
    await pass(50_000);
    expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
};

test("prompts larger than one engine", async () => {
    expect(await play({}, gangs)).toEqual([]);
});

test("gang member dies", async () => {
    const memberDies = async (scene: Scene): Promise<void> => {
        const { world, callers, pass, entry } = scene;
        const requests = [0, 1].map(index =>
            callers.generate(entry(index), { tokens: 6_000, answerTokens: 190, timeout: 60_000 })
        );
        await pass(700);
        void world.engines[0]!.model.crash();
        await pass(45_000);
        expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
    };
    expect(await play({}, memberDies)).toEqual([]);
});
