/** An endpoint in cold start receives no more load than it can bear: here one request, as its profile says. */
import { expect, test } from "vitest";
import { play, Scene } from "./support/scenario.js";

const burst = ({ callers, world }: Scene, count: number): void => {
    for (let index = 0; index < count; index++) {
        callers.generate(world.entries[index % world.entries.length]!, { tokens: 100, timeout: 25_000 });
    }
};

/** All engines are cold, as after a power cut, and every entry has callers at once. Each entry sends "a little". */
const allCold = async (scene: Scene): Promise<void> => {
    burst(scene, 30);
    await scene.pass(25_000);
    expect(scene.callers.requests.filter(request => request.end?.type === "Whole")).toHaveLength(30);
};

test("several entries at cold engines", async () => {
    const plan = { shape: { coldConcurrency: 1, startWarm: false } };
    expect(await play(plan, allCold)).toEqual([]);
    const scene = async (scene: Scene): Promise<void> => {
        burst(scene, 30);
        await scene.pass(25_000);
    };
    expect((await play(plan, scene, "homes")).join()).toContain("was overloaded while cold");
});

/** Warm engines fall back into cold start one after the other without a word, while callers keep coming. */
const unannounced = async (scene: Scene): Promise<void> => {
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
    expect(await play(plan, unannounced)).toEqual([]);
    expect((await play(plan, unannounced, "coldUnknown")).join()).toContain("was overloaded while cold");
});

/**
 * The home of a cold engine is paused; another entry takes over and keeps the engine busy; the old home wakes with
 * requests in hand. Together they are too much.
 */
const homePaused = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    const home = world.entries.find(each => each.id === entry(0).node.homes.homeOf("engine-1"))!;
    const others = world.entries.filter(each => each !== home);
    world.freeze(home);
    for (let index = 0; index < 6; index++) {
        callers.generate(home, { tokens: 100, answerTokens: 100, timeout: 60_000 });
    }
    for (let round = 0; round < 10; round++) {
        others.forEach(each => callers.generate(each, { tokens: 100, answerTokens: 100, timeout: 60_000 }));
        await pass(1_200);
    }
    expect(world.engines[0]!.starts.length).toBeGreaterThan(0);
    world.thaw(home);
    await pass(30_000);
};

test("paused home wakes", async () => {
    const plan = {
        engines: 1,
        shape: { coldConcurrency: 1, startWarm: false, warmAfter: 1_000, tokensPerStep: 2_000 },
    };
    expect(await play(plan, homePaused)).toEqual([]);
    expect((await play(plan, homePaused, "homeLease")).join()).toContain("was overloaded while cold");
});

/** The platform is down for minutes. Warm service goes on, and engines that restart meanwhile are warmed again. */
const outage = async (scene: Scene): Promise<void> => {
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
    expect(await play({ shape: { coldConcurrency: 1 } }, outage)).toEqual([]);
});

test("all entries replaced", async () => {
    // Every entry dies and new ones start while the engines are cold: a new home must wait for what the old ones sent.
    const replaced = async (scene: Scene): Promise<void> => {
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
    expect(await play({ shape: { coldConcurrency: 1, startWarm: false } }, replaced)).toEqual([]);
});

/**
 * An engine dies and comes back cold while its home is paused. Two other entries ask the home for leave meanwhile; it
 * wakes with a report from before, in which the engine is warm, and finds both questions in its buffers.
 */
const homeWakesWithOldReport = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    const home = world.entries.find(each => each.id === entry(0).node.homes.homeOf("engine-1"))!;
    const others = world.entries.filter(each => each !== home);
    await pass(100);
    world.freeze(home);
    void world.engines[0]!.model.crash();
    await pass(1_700);
    for (let index = 0; index < 4; index++) {
        others.forEach(each => callers.generate(each, { tokens: 100, answerTokens: 60 }));
        await pass(100);
    }
    world.thaw(home);
    await pass(20_000);
    expect(callers.requests.every(request => request.end?.type === "Whole")).toBe(true);
};

test("home wakes with an old report", async () => {
    const plan = { engines: 1, shape: { coldConcurrency: 1, restartMilliseconds: 200 } };
    expect(await play(plan, homeWakesWithOldReport)).toEqual([]);
});

/**
 * The platform is restored from a copy that is older than the home table. If its entries went on waiting for the table
 * they knew, no endpoint would ever be warmed again.
 */
const tableLost = async (scene: Scene): Promise<void> => {
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
    expect(await play({ shape: { coldConcurrency: 1 } }, tableLost)).toEqual([]);
});
