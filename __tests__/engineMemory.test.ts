/** No engine leaks memory, with prompts larger than one engine as well. */
import { expect, test } from "vitest";
import { play, Scene } from "./support/scenario.js";

/** An entry dies with streams and reservations on engines, which it can't release any more. */
const killEntry = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    const killedEntry = entry(0);
    for (let index = 0; index < 8; index++) {
        callers.generate(killedEntry, { tokens: 300, answerTokens: 180 });
    }
    callers.generate(killedEntry, { tokens: 6_000, answerTokens: 180 });
    await pass(400);
    expect(world.engines.some(engine => engine.model.memoryUsedTokens > 0)).toBe(true);
    world.kill(killedEntry);
    await pass(1_000);
    world.platform.removeInstance(killedEntry.id);
    await pass(20_000);
};

test("entry dies with streams", async () => {
    expect(await play({}, killEntry)).toEqual([]);
    expect((await play({}, killEntry, "reclaim")).join()).toContain("still holds");
});

/** The entry is replaced at once under the same ID: the new process must not count as the owner of the old holdings. */
const replaceEntry = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    const killedEntry = entry(1);
    callers.generate(killedEntry, { tokens: 6_000, answerTokens: 180 });
    callers.generate(killedEntry, { tokens: 300, answerTokens: 180 });
    await pass(400);
    world.kill(killedEntry);
    world.addEntry(killedEntry.id);
    await pass(20_000);
};

test("entry replaced under its name", async () => {
    expect(await play({}, replaceEntry)).toEqual([]);
    expect((await play({}, replaceEntry, "reclaim")).join()).toContain("still holds");
});

/** Release messages are lost while two engines are frozen and their requests move elsewhere; both resume with old streams. */
const loseReleases = async (scene: Scene): Promise<void> => {
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
    expect(await play({}, loseReleases)).toEqual([]);
    expect((await play({}, loseReleases, "reclaim")).join()).toContain("still holds");
});

test("slow owner keeps its stream", async () => {
    // Entries that are partitioned from one another still read their streams, so no peer may reclaim these.
    const partitionEntries = async (scene: Scene): Promise<void> => {
        const { world, callers, pass, entry } = scene;
        const requests = [0, 1, 2].map(index =>
            callers.generate(entry(index), { tokens: 3_500, answerTokens: 200, timeout: 60_000 })
        );
        world.setPartitioned("entry-1", "entry-2", true);
        world.setPartitioned("entry-1", "entry-3", true);
        world.setPartitioned("entry-2", "entry-3", true);
        await pass(30_000);
        expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
        expect(world.engines.flatMap(engine => engine.starts).length).toBe(3);
    };
    expect(await play({ shape: { tokensPerStep: 5 } }, partitionEntries)).toEqual([]);
});

/** All entries send prompts that need one and a half engines: two requests must never reserve half of a gang each. */
const competeForGangs = async (scene: Scene): Promise<void> => {
    const { callers, pass, entry } = scene;
    const requests = Array.from(
        { length: 9 },
        (...[, index]) => callers.generate(entry(index % 3), { tokens: 6_000, answerTokens: 50, timeout: 60_000 }),
    );
    await pass(50_000);
    expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
};

test("prompts larger than one engine", async () => {
    expect(await play({}, competeForGangs)).toEqual([]);
});

test("gang member dies", async () => {
    const crashGangMember = async (scene: Scene): Promise<void> => {
        const { world, callers, pass, entry } = scene;
        const requests = [0, 1].map(index =>
            callers.generate(entry(index), { tokens: 6_000, answerTokens: 190, timeout: 60_000 })
        );
        await pass(700);
        void world.engines[0]!.model.crash();
        await pass(45_000);
        expect(requests.every(request => request.end?.type === "Whole")).toBe(true);
    };
    expect(await play({}, crashGangMember)).toEqual([]);
});
