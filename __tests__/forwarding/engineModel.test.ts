/** The stand-in engine keeps to the published model of passes, shared reads and reservations. */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { type EngineWork, HelperLostError, PassEngine } from "../../src/standins/passEngineModel.js";
import { systemClock } from "../../src/utils/clock.js";
import { call, quickEngine, Site } from "./support/site.js";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

const engineOf = (changes: Partial<typeof quickEngine> = {}) =>
    new PassEngine({ ...quickEngine, ...changes }, systemClock);

const work = (id: string, promptTokens: number, changes: Partial<EngineWork> = {}): EngineWork => ({
    id,
    promptTokens,
    events: 2,
    from: 0,
    priority: 5,
    helpers: [],
    ...changes,
});

/** Times of a request's events. */
const run = (engine: PassEngine, asked: EngineWork) => {
    const begun = Date.now();
    const times: number[] = [];
    const outcome = { times, failed: false, ended: false };
    engine.run(asked, () => times.push(Date.now() - begun), new AbortController().signal).then(
        () => outcome.ended = true,
        () => outcome.failed = true,
    );
    return outcome;
};

test("first event comes with the end of the read", async () => {
    const clock = new SimulatedClock();
    const engine = new PassEngine(quickEngine, clock);
    const times: number[] = [];
    void engine.run(work("a", 20_000), () => times.push(clock.now()), new AbortController().signal);
    await clock.run(200);
    // 20 ms for the tokens, 2 ms for the pairs, 10 steps of a chunk each.
    expect(times[0]).toBeCloseTo(32);
    expect(times).toHaveLength(2);
});

test("first event beside a writer comes with the end of the pass that reads", async () => {
    const clock = new SimulatedClock();
    const engine = new PassEngine(quickEngine, clock);
    const times: number[] = [];
    const { signal } = new AbortController();
    void engine.run(work("writer", 1, { events: 100 }), () => {}, signal);
    await clock.run(20);
    void engine.run(work("a", 2_000), () => times.push(clock.now()), signal);
    await clock.run(200);
    // What is left of a pass of 4.2 ms, then one pass that reads for 2 ms.
    expect(times[0]! - 20).toBeGreaterThan(6.2);
    expect(times[0]! - 20).toBeLessThanOrEqual(10.6);
});

test("engine that helps and dies ends what depends on it after the stall", async () => {
    // One of two engines that read a prompt together dies. The other one notices only after a while, and refuses then.
    const clock = new SimulatedClock();
    const [first, second] = [new PassEngine(quickEngine, clock, 1_500), new PassEngine(quickEngine, clock, 1_500)];
    let failed: unknown;
    const asked = work("a", 90_000, { helpers: [{ engine: second, ticket: undefined }] });
    first.run(asked, () => {}, new AbortController().signal).catch(error => failed = error);
    await clock.run(20);
    second.crash();
    await clock.run(1_500);
    expect(failed).toBeUndefined();
    await clock.run(1_600);
    expect(failed).toBeInstanceOf(HelperLostError);
});

test("read beside a writer stretches its pauses", async () => {
    const alone = engineOf();
    const quiet = run(alone, work("a", 100, { events: 20 }));
    const shared = engineOf();
    const held = run(shared, work("a", 100, { events: 20 }));
    await vi.advanceTimersByTimeAsync(20);
    run(shared, work("b", 80_000));
    await vi.advanceTimersByTimeAsync(1_000);
    const longest = (times: number[]) => Math.max(...times.slice(1).map((time, index) => time - times[index]!));
    expect(longest(held.times)).toBeGreaterThan(2 * longest(quiet.times));
});

test("helpers share a read", async () => {
    const [engine, helper] = [engineOf(), engineOf()];
    const alone = run(engineOf(), work("a", 90_000));
    const shared = run(engine, work("a", 90_000, { helpers: [{ engine: helper, ticket: undefined }] }));
    await vi.advanceTimersByTimeAsync(1_000);
    expect(shared.times[0]).toBeLessThan(0.6 * alone.times[0]!);
});

test("reservation is held, renewed, refused and freed", () => {
    const engine = engineOf();
    expect(engine.reserve("t-1", 60_000, 1_000, false)?.state).toBe("held");
    expect(engine.reserve("t-2", 60_000, 1_000, false)).toBeUndefined();
    vi.advanceTimersByTime(800);
    expect(engine.reserve("t-1", 60_000, 1_000, false)?.state).toBe("held");
    vi.advanceTimersByTime(800);
    expect(engine.memoryUsed).toBe(60_000);
    vi.advanceTimersByTime(300);
    expect(engine.memoryUsed).toBe(0);
});

test("reservation that waits gets its memory in turn, and nothing new is admitted before it", async () => {
    const engine = engineOf();
    engine.reserve("first", 80_000, 5_000, false);
    expect(engine.reserve("second", 50_000, 5_000, true)?.state).toBe("waiting");
    const late = run(engine, work("a", 1_000));
    await vi.advanceTimersByTimeAsync(500);
    expect(late.times).toEqual([]);
    engine.release("first");
    expect(engine.reservations.get("second")?.state).toBe("held");
    await vi.advanceTimersByTimeAsync(500);
    expect(late.ended).toBe(true);
});

test("request whose reservation expires is cut", async () => {
    const [engine, helper] = [engineOf(), engineOf()];
    helper.reserve("t", 60_000, 300, false);
    const outcome = run(engine, work("a", 120_000, { events: 500, helpers: [{ engine: helper, ticket: "t" }] }));
    await vi.advanceTimersByTimeAsync(3_000);
    expect(outcome.failed).toBe(true);
    expect(outcome.times.length).toBeLessThan(500);
});

test("prompt over the memory needs reservations", () => {
    const engine = engineOf();
    const run = () => engine.run(work("a", 120_000), () => {}, new AbortController().signal);
    expect(run).toThrow("the engine is full");
});

test("orders and reports on the wire", async () => {
    vi.useRealTimers();
    const site = new Site();
    const replica = await site.replica("m-1", "models");
    const order = async (body: object) => {
        const answer = await call(replica.address, "/dandelionramp/order", { body: JSON.stringify(body) });
        return { status: answer.status, value: JSON.parse(answer.body) as Record<string, unknown> };
    };
    const reserve = { operation: "reserve", id: "t-1", tokens: 70_000, hold_ms: 5_000 };
    expect(await order(reserve)).toEqual({ status: 200, value: { free: 30_000 } });
    expect((await order({ ...reserve, id: "t-2" })).status).toBe(409);
    expect(await order({ ...reserve, id: "t-3", wait: true })).toEqual({ status: 202, value: { free: 30_000 } });
    const report = JSON.parse((await call(replica.address, "/dandelionramp/report", { method: "GET" })).body) as object;
    expect(report).toMatchObject({
        kv_used: 70_000,
        kv_total: 100_000,
        tickets: [{ id: "t-1", state: "held" }, { id: "t-3", state: "waiting" }],
    });
    expect((await order({ operation: "release", id: "t-1" })).status).toBe(200);
    await site.close();
});
