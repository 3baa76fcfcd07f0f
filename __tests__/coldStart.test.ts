/** An endpoint in cold start receives no more load than it can bear. */
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
    const plan = { shape: { startWarm: false } };
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
            scene.world.engines[Math.floor(round / 5)]!.model.goCold();
        }
        await scene.pass(300);
    }
    await scene.pass(20_000);
};

test("warm to cold unannounced", async () => {
    const plan = { shape: { warmAfter: 30 } };
    expect(await play(plan, unannounced)).toEqual([]);
    expect((await play(plan, unannounced, "coldUnknown")).join()).toContain("was overloaded while cold");
});

/**
 * The home of cold engines is paused; another entry takes over; the old home wakes and sends what it had in hand.
 * Together they are too much.
 */
const homePaused = async (scene: Scene): Promise<void> => {
    const { world, pass, entry } = scene;
    for (const engine of world.engines) {
        engine.model.goCold();
    }
    for (let round = 0; round < 3; round++) {
        const home = entry(round);
        world.freeze(home);
        for (let index = 0; index < 12; index++) {
            // Its callers are still connected, and their requests wait in the paused process.
            scene.callers.generate(home, { tokens: 400, answerTokens: 150, timeout: 60_000 });
        }
        burst(scene, 12);
        await pass(9_000);
        world.engines[round]!.model.goCold();
        world.thaw(home);
        await pass(3_000);
    }
    await pass(40_000);
};

test("paused home wakes", async () => {
    expect(await play({ engines: 4 }, homePaused)).toEqual([]);
    expect((await play({ engines: 4 }, homePaused, "homeLease")).join()).toContain("was overloaded while cold");
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
    expect(await play({}, outage)).toEqual([]);
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
    expect(await play({ shape: { startWarm: false } }, replaced)).toEqual([]);
});
