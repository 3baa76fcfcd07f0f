/** An accepted change of the configuration is in force on all entries within seconds and is never reverted. */
import { expect, test } from "vitest";
import { ObjectKind } from "../src/internal.js";
import { play, Scene } from "./support/scenario.js";

const heldValues = ({ world }: Scene, name: string): (number | undefined)[] =>
    world.entries.map(entry => {
        const value = entry.node.configuration.object(ObjectKind.Profile, name)?.value;
        return (value as { shortPromptTokens: number; } | undefined)?.shortPromptTokens;
    });

/** Operators change the same profile at three entries at once, while responses of the platform are lost. */
const racing = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    world.platform.faults.lostResponseShare = 0.4;
    for (let round = 0; round < 6; round++) {
        const changes = [0, 1, 2].map(index => callers.change(entry(index), "raced", 100 + round * 10 + index));
        const [outcomes] = await Promise.all([Promise.all(changes), pass(3_000)]);
        expect(outcomes.filter(outcome => outcome === "Accepted").length).toBeGreaterThan(0);
    }
    world.platform.faults.lostResponseShare = 0;
    await pass(2_000);
    expect(new Set(heldValues(scene, "raced")).size).toBe(1);
};

test("racing operators and lost responses", async () => {
    expect(await play({}, racing)).toEqual([]);
});

/** The response to a change is lost, and another operator changes the object. An unconditional retry would revert that. */
const lostResponse = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    world.platform.faults.lostResponseShare = 1;
    const first = callers.change(entry(0), "lost", 111);
    await pass(40);
    world.platform.faults.lostResponseShare = 0;
    const second = callers.change(entry(1), "lost", 222);
    const [outcomes] = await Promise.all([Promise.all([first, second]), pass(3_000)]);
    expect(outcomes).toContain("Accepted");
    expect(heldValues(scene, "lost")).toEqual([222, 222, 222]);
};

test("lost response and a later change", async () => {
    expect(await play({}, lostResponse)).toEqual([]);
});

/** Watches stall while other calls succeed, and peers are partitioned. The change must still arrive by the full list. */
const stalledWatch = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    world.platform.faults.silentWatches = true;
    world.setPartitioned("entry-1", "entry-3", true);
    world.setPartitioned("entry-2", "entry-3", true);
    await pass(500);
    void callers.change(entry(0), "watched", 333);
    await pass(12_000);
    expect(heldValues(scene, "watched")).toEqual([333, 333, 333]);
};

test("stalled watches and partitioned peers", async () => {
    expect(await play({}, stalledWatch)).toEqual([]);
});

/** One entry can't reach the platform. It must receive the change from its peers. */
const cutOff = async (scene: Scene): Promise<void> => {
    const { callers, pass, entry } = scene;
    entry(2).platformCut = true;
    await pass(2_000);
    void callers.change(entry(0), "cut", 444);
    await pass(2_000);
    expect(heldValues(scene, "cut")).toEqual([444, 444, 444]);
};

test("entry cut off from the platform", async () => {
    expect(await play({}, cutOff)).toEqual([]);
});

/** The platform is restored from a backup. Changes accepted after the backup must stay in force. */
const restored = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    const before = world.platform.currentRevision;
    await Promise.all([callers.change(entry(0), "restored", 555), pass(2_000)]);
    world.platform.revertTo(before);
    await pass(15_000);
    expect(heldValues(scene, "restored")).toEqual([555, 555, 555]);
};

test("platform restored from a backup", async () => {
    expect(await play({}, restored)).toEqual([]);
    const restoredOlderVersion = async (scene: Scene): Promise<void> => {
        const { world, callers, pass, entry } = scene;
        await Promise.all([callers.change(entry(0), "models", 555), pass(2_000)]);
        const before = world.platform.currentRevision;
        await Promise.all([callers.change(entry(0), "models", 666), pass(2_000)]);
        world.platform.revertTo(before);
        world.platform.write("profile" as never, "models", 0, { shortPromptTokens: 5 });
        await pass(15_000);
    };
    expect(await play({}, restoredOlderVersion)).toEqual([]);
});

/** An entry starts while the platform is unavailable. It becomes ready only when it has the configuration from a peer. */
const startInOutage = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    await Promise.all([callers.change(entry(0), "early", 777), pass(2_000)]);
    world.platform.faults.down = true;
    await pass(3_000);
    const fresh = world.addEntry();
    expect(fresh.node.isReady).toBe(false);
    await pass(5_000);
    expect(fresh.node.isReady).toBe(true);
    const request = callers.generate(fresh, { tokens: 100 });
    await pass(5_000);
    expect(request.end?.type).toBe("Whole");
};

test("new entry in an outage", async () => {
    expect(await play({}, startInOutage)).toEqual([]);
});
