/** Planned stops abort no request. Endpoints that are out of service or leaving get no new work. */
import { expect, test } from "vitest";
import { InstanceState } from "../src/internal.js";
import { play, Scene } from "./support/scenario.js";

const sendSteadily = async ({ callers, pass, world }: Scene, rounds: number): Promise<void> => {
    for (let round = 0; round < rounds; round++) {
        for (const entry of world.entries) {
            if (entry.alive && !entry.stopped && !entry.gate.frozen) {
                callers.generate(entry, { tokens: 100, answerTokens: 40 });
                callers.book(entry, undefined);
            }
        }
        await pass(200);
    }
};

/** An entry drains under load, while the load balancer continues to send requests to it for a second. */
const plannedStop = async (scene: Scene): Promise<void> => {
    const { callers, pass, entry } = scene;
    const stopping = entry(0);
    for (let index = 0; index < 10; index++) {
        callers.generate(stopping, { tokens: 100, answerTokens: 150 });
        callers.book(stopping, `stop-${index}`);
    }
    await pass(100);
    let drained = false;
    void stopping.node.drain().then(() => {
        drained = true;
        stopping.stopped = true;
    });
    for (let index = 0; index < 5; index++) {
        callers.generate(stopping, { tokens: 100, answerTokens: 60 });
        await pass(200);
    }
    await sendSteadily(scene, 20);
    await pass(10_000);
    expect(drained).toBe(true);
    expect(callers.requests.every(request => request.end?.type === "Whole")).toBe(true);
};

test("planned stop under load", async () => {
    expect(await play({}, plannedStop)).toEqual([]);
});

test("planned stop in a platform outage", async () => {
    // The stop can't be announced to the platform. The entry must still drain, and abort no request.
    const inOutage = async (scene: Scene): Promise<void> => {
        const { world, callers, pass, entry } = scene;
        world.platform.faults.down = true;
        await pass(2_000);
        callers.generate(entry(1), { tokens: 100, answerTokens: 150 });
        let drained = false;
        void entry(1).node.drain().then(() => drained = true);
        await pass(8_000);
        entry(1).stopped = true;
        expect(drained).toBe(true);
        expect(callers.requests.every(request => request.end?.type === "Whole")).toBe(true);
    };
    expect(await play({}, inOutage)).toEqual([]);
});

/** An operator takes a data centre out under load. Three seconds later no new work may start there. */
const dataCentreOut = async (scene: Scene): Promise<void> => {
    await sendSteadily(scene, 5);
    void scene.callers.restrict(scene.entry(0), "out", "dataCentre", "north");
    await sendSteadily(scene, 40);
    expect(scene.callers.requests.every(request => request.end?.type === "Whole" || request.endedAt === undefined))
        .toBe(true);
};

test("data centre out", async () => {
    expect(await play({}, dataCentreOut)).toEqual([]);
    expect((await play({}, dataCentreOut, "restrictions")).join()).toContain("after north went out");
});

/** An operator takes a data centre out at one entry during a platform outage. The out must take effect on all entries. */
const outInOutage = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    world.platform.faults.down = true;
    await pass(3_000);
    const outcome = callers.restrict(entry(1), "out", "dataCentre", "north");
    await sendSteadily(scene, 30);
    expect(await outcome).toBe("Provisional");
    world.platform.faults.down = false;
    await sendSteadily(scene, 20);
    const stored = world.platform.read("dataCentre" as never, "north");
    expect(stored?.value).toMatchObject({ state: "out" });
};

test("data centre out in an outage", async () => {
    expect(await play({}, outInOutage)).toEqual([]);
    const orderOut = async (scene: Scene): Promise<void> => {
        scene.world.platform.faults.down = true;
        await scene.pass(3_000);
        void scene.callers.restrict(scene.entry(1), "out", "dataCentre", "north");
        await sendSteadily(scene, 60);
    };
    expect((await play({}, orderOut, "provisionalOuts")).join()).toContain("after north went out");
});

/**
 * An entry is paused while a data centre is taken out, and resumes with queued requests. Its endpoints respond at once,
 * but the platform and its peers only seconds later, so it knows which endpoints are warm before it knows which are out.
 */
const pausedWhileOut = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    const paused = entry(2);
    world.freeze(paused);
    paused.platformCut = true;
    world.setPartitioned("entry-1", "entry-3", true);
    world.setPartitioned("entry-2", "entry-3", true);
    for (let index = 0; index < 30; index++) {
        callers.generate(paused, { tokens: 100, timeout: 60_000 });
        callers.book(paused, undefined, 60_000);
    }
    await Promise.all([callers.restrict(entry(0), "out", "dataCentre", "north"), pass(6_000)]);
    world.thaw(paused);
    await pass(4_000);
    paused.platformCut = false;
    await pass(10_000);
    expect(callers.requests.every(request => request.end?.type === "Whole")).toBe(true);
};

test("paused while a data centre goes out", async () => {
    expect(await play({}, pausedWhileOut)).toEqual([]);
    const resume = (scene: Scene): Promise<void> => pausedWhileOut(scene).catch(() => undefined);
    expect((await play({}, resume, "pauseGuard")).join()).toContain("went out");
});

test("data centre out and in again", async () => {
    // A data centre that is brought back in gets work again, although its out was sent to the peers as provisional.
    const outAndIn = async (scene: Scene): Promise<void> => {
        const { callers, pass, entry, world } = scene;
        await Promise.all([callers.restrict(entry(0), "out", "dataCentre", "north"), pass(2_000)]);
        expect(entry(2).node.restrictions.isOut("dataCentre", "north")).toBe(true);
        const [outcome] = await Promise.all([callers.restrict(entry(1), "in", "dataCentre", "north"), pass(2_000)]);
        expect(outcome).toBe("Accepted");
        expect(world.entries.every(each => !each.node.restrictions.isOut("dataCentre", "north"))).toBe(true);
    };
    expect(await play({}, outAndIn)).toEqual([]);
});

/**
 * The platform is slow, so an order to bring a data centre in takes effect after it has timed out, and after a later
 * order has taken the data centre out. The later order must stay in force.
 */
const lateIn = async (scene: Scene): Promise<void> => {
    const { world, callers, pass, entry } = scene;
    await Promise.all([callers.restrict(entry(0), "out", "dataCentre", "north"), pass(1_000)]);
    void callers.restrict(entry(0), "in", "dataCentre", "north");
    // The order has read the object already. Only its write is slow.
    world.platform.faults.slowMilliseconds = 3_000;
    await pass(1_500);
    void callers.restrict(entry(1), "out", "dataCentre", "north");
    await sendSteadily(scene, 20);
    world.platform.faults.slowMilliseconds = 0;
    await sendSteadily(scene, 40);
    expect(world.entries.every(each => each.node.restrictions.isOut("dataCentre", "north"))).toBe(true);
};

test("delayed order in doesn't revert a later order out", async () => {
    expect(await play({}, lateIn)).toEqual([]);
});

test("endpoint leaving", async () => {
    // An engine that the instance list shows as leaving must get no new work, although its process still accepts it.
    const leaving = async (scene: Scene): Promise<void> => {
        const { world } = scene;
        const engine = world.engines[0]!;
        engine.record.state = InstanceState.Leaving;
        world.platform.announce({ ...engine.record });
        await sendSteadily(scene, 15);
        const before = engine.starts.length;
        await sendSteadily(scene, 20);
        expect(engine.starts.length).toBe(before);
    };
    expect(await play({}, leaving)).toEqual([]);
});
