/**
 * An endpoint in cold start receives no more load than its profile's `coldConcurrency`, which is one request here. All
 * entries together must respect the limit, during pauses of its home and platform outages too.
 */
import { expect, test } from "vitest";
import { play, Scene } from "./support/scenario.js";

const burst = ({ callers, world }: Scene, count: number): void => {
    for (let index = 0; index < count; index++) {
        callers.generate(world.entries[index % world.entries.length]!, { tokens: 100, timeout: 25_000 });
    }
};

/**
 * All engines are cold, as after a power cut, and every entry has callers. Entries that each keep the limit on their own,
 * without permits from a home, would overload an engine together.
 */
const startAllCold = async (scene: Scene): Promise<void> => {
    burst(scene, 30);
    await scene.pass(25_000);
    expect(scene.callers.requests.filter(request => request.end?.type === "Whole")).toHaveLength(30);
};

test("several entries at cold engines", async () => {
    const plan = { shape: { coldConcurrency: 1, startWarm: false } };
    expect(await play(plan, startAllCold)).toEqual([]);
    const scene = async (scene: Scene): Promise<void> => {
        burst(scene, 30);
        await scene.pass(25_000);
    };
    expect((await play(plan, scene, "homes")).join()).toContain("was overloaded while cold");
});

/** Warm engines go back to cold start one after another, unannounced, while callers keep sending requests. */
const fallColdUnannounced = async (scene: Scene): Promise<void> => {
    for (let round = 0; round < 20; round++) {
        for (let index = 0; index < 9; index++) {
            scene.callers.generate(scene.entry(index % 3), { tokens: 100, answerTokens: 60 });
        }
        if (round % 5 === 2) {
            scene.world.engines[Math.floor(round / 5)]!.model.fallIntoColdStart();
        }
        await scene.pass(300);
    }
    await scene.pass(20_000);
};

test("warm to cold unannounced", async () => {
    const plan = { shape: { coldConcurrency: 1, warmAfter: 12 } };
    expect(await play(plan, fallColdUnannounced)).toEqual([]);
    expect((await play(plan, fallColdUnannounced, "coldUnknown")).join()).toContain("was overloaded while cold");
});

/**
 * The home of a cold engine is paused, and another entry takes over and keeps the engine busy. When the old home resumes
 * with queued requests, it must not send them on its expired lease: both homes' requests would overload the engine.
 */
const pauseHome = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    const home = world.entries.find(candidate => candidate.id === entry(0).node.homes.homeOf("engine-1"))!;
    const others = world.entries.filter(candidate => candidate !== home);
    world.freeze(home);
    for (let index = 0; index < 6; index++) {
        callers.generate(home, { tokens: 100, answerTokens: 100, timeout: 60_000 });
    }
    for (let round = 0; round < 10; round++) {
        others.forEach(candidate => callers.generate(candidate, { tokens: 100, answerTokens: 100, timeout: 60_000 }));
        await pass(1_200);
    }
    expect(world.engines[0]!.starts.length).toBeGreaterThan(0);
    world.thaw(home);
    await pass(30_000);
};

test("paused home resumes", async () => {
    const plan = {
        engines: 1,
        shape: { coldConcurrency: 1, startWarm: false, warmAfter: 1_000, tokensPerStep: 2_000 },
    };
    expect(await play(plan, pauseHome)).toEqual([]);
    expect((await play(plan, pauseHome, "homeLease")).join()).toContain("was overloaded while cold");
});

/** The platform is down while two engines restart. Warm engines keep serving, and the restarted engines warm up again. */
const platformOutage = async (scene: Scene): Promise<void> => {
    const { world, pass } = scene;
    world.platform.faults.down = true;
    await pass(8_000);
    void world.engines[0]!.model.crash();
    void world.engines[1]!.model.crash();
    for (let round = 0; round < 40; round++) {
        burst(scene, 3);
        await pass(500);
    }
    await pass(10_000);
    expect(world.engines.every(engine => !engine.model.isCold)).toBe(true);
    expect(scene.callers.requests.every(request => request.end?.type === "Whole")).toBe(true);
};

test("warming in a platform outage", async () => {
    expect(await play({ shape: { coldConcurrency: 1 } }, platformOutage)).toEqual([]);
});

test("all entries replaced", async () => {
    // All entries are replaced while the engines are cold: a new home must allow for the old homes' requests in flight.
    const replaceAllEntries = async (scene: Scene): Promise<void> => {
        const { world, pass } = scene;
        burst(scene, 20);
        await pass(300);
        for (const entry of [...world.entries]) {
            world.kill(entry);
            world.addEntry(entry.id);
        }
        await pass(5_000);
        burst(scene, 20);
        await pass(30_000);
        expect(scene.callers.requests.slice(20).every(request => request.end?.type === "Whole")).toBe(true);
    };
    expect(await play({ shape: { coldConcurrency: 1, startWarm: false } }, replaceAllEntries)).toEqual([]);
});

/**
 * An engine crashes and restarts cold while its home is paused, and two other entries request permits from the home
 * meanwhile. The home resumes with both requests buffered and a stale report of a warm engine; granting both requests
 * would overload the engine.
 */
const resumeHomeWithStaleReport = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    const home = world.entries.find(candidate => candidate.id === entry(0).node.homes.homeOf("engine-1"))!;
    const others = world.entries.filter(candidate => candidate !== home);
    await pass(100);
    world.freeze(home);
    void world.engines[0]!.model.crash();
    await pass(1_700);
    for (let index = 0; index < 4; index++) {
        others.forEach(candidate => callers.generate(candidate, { tokens: 100, answerTokens: 60 }));
        await pass(100);
    }
    world.thaw(home);
    await pass(20_000);
    expect(callers.requests.every(request => request.end?.type === "Whole")).toBe(true);
};

test("home resumes with a stale report", async () => {
    const plan = { engines: 1, shape: { coldConcurrency: 1, restartMilliseconds: 200 } };
    expect(await play(plan, resumeHomeWithStaleReport)).toEqual([]);
});

/**
 * The platform is restored from a backup that is older than the home table. If the entries kept waiting for the version
 * of the table that they knew, no endpoint would ever warm up again.
 */
const loseHomeTable = async (scene: Scene): Promise<void> => {
    const { world, pass } = scene;
    world.platform.revertTo(5);
    await pass(1_000);
    world.engines.forEach(engine => void engine.model.crash());
    await pass(12_000);
    for (let round = 0; round < 20; round++) {
        burst(scene, 3);
        await pass(500);
    }
    expect(world.engines.every(engine => !engine.model.isCold)).toBe(true);
};

test("home table lost by the platform", async () => {
    expect(await play({ shape: { coldConcurrency: 1 } }, loseHomeTable)).toEqual([]);
});
