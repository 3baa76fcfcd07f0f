/** Verifies that the stand-in engine follows the published model of passes, shared prefill and reservations. */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { HelperLostError, PassEngine, type PassEngineRequest } from "../../src/standins/passEngine.js";
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

const requestOf = (id: string, promptTokens: number, changes: Partial<PassEngineRequest> = {}): PassEngineRequest => ({
    id,
    promptTokens,
    eventCount: 2,
    deliveredEventCount: 0,
    priority: 5,
    helpers: [],
    ...changes,
});

/** Runs a request and records when its events are emitted. */
const run = (engine: PassEngine, request: PassEngineRequest) => {
    const begun = Date.now();
    const times: number[] = [];
    const outcome = { times, failed: false, ended: false };
    engine.run(request, () => times.push(Date.now() - begun), new AbortController().signal).then(
        () => outcome.ended = true,
        () => outcome.failed = true,
    );
    return outcome;
};

test("first event is emitted at the end of the prefill", async () => {
    const clock = new SimulatedClock();
    const engine = new PassEngine(quickEngine, clock);
    const times: number[] = [];
    void engine.run(requestOf("a", 20_000), () => times.push(clock.now()), new AbortController().signal);
    await clock.run(200);
    // 20 ms for the tokens, 2 ms for the pairs and 10 steps of one chunk each.
    expect(times[0]).toBeCloseTo(32);
    expect(times).toHaveLength(2);
});

test("first event beside a decoding request is emitted at the end of the pass that prefills", async () => {
    const clock = new SimulatedClock();
    const engine = new PassEngine(quickEngine, clock);
    const times: number[] = [];
    const { signal } = new AbortController();
    void engine.run(requestOf("writer", 1, { eventCount: 100 }), () => {}, signal);
    await clock.run(20);
    void engine.run(requestOf("a", 2_000), () => times.push(clock.now()), signal);
    await clock.run(200);
    // The rest of a pass of 4.2 ms, then one pass that includes 2 ms of prefill.
    expect(times[0]! - 20).toBeGreaterThan(6.2);
    expect(times[0]! - 20).toBeLessThanOrEqual(10.6);
});

test("request fails with the lost helper once the stall time has passed", async () => {
    // One of two engines that share a prefill crashes. The other engine fails the request only after the stall time.
    const clock = new SimulatedClock();
    const [first, second] = [new PassEngine(quickEngine, clock, 1_500), new PassEngine(quickEngine, clock, 1_500)];
    let failed: unknown;
    const request = requestOf("a", 90_000, { helpers: [{ engine: second, ticket: undefined }] });
    first.run(request, () => {}, new AbortController().signal).catch(error => failed = error);
    await clock.run(20);
    second.crash();
    await clock.run(1_500);
    expect(failed).toBeUndefined();
    await clock.run(1_600);
    expect(failed).toBeInstanceOf(HelperLostError);
});

test("prefill lengthens the inter-event gaps of a decoding request", async () => {
    const alone = engineOf();
    const undisturbed = run(alone, requestOf("a", 100, { eventCount: 20 }));
    const shared = engineOf();
    const disturbed = run(shared, requestOf("a", 100, { eventCount: 20 }));
    await vi.advanceTimersByTimeAsync(20);
    run(shared, requestOf("b", 80_000));
    await vi.advanceTimersByTimeAsync(1_000);
    const longestGap = (times: number[]) => Math.max(...times.slice(1).map((time, index) => time - times[index]!));
    expect(longestGap(disturbed.times)).toBeGreaterThan(2 * longestGap(undisturbed.times));
});

test("helpers share the prefill", async () => {
    const [engine, helper] = [engineOf(), engineOf()];
    const alone = run(engineOf(), requestOf("a", 90_000));
    const shared = run(engine, requestOf("a", 90_000, { helpers: [{ engine: helper, ticket: undefined }] }));
    await vi.advanceTimersByTimeAsync(1_000);
    expect(shared.times[0]).toBeLessThan(0.6 * alone.times[0]!);
});

test("reservation is held, renewed, rejected and expired", () => {
    const engine = engineOf();
    expect(engine.reserve("t-1", 60_000, 1_000, false)?.state).toBe("held");
    expect(engine.reserve("t-2", 60_000, 1_000, false)).toBeUndefined();
    vi.advanceTimersByTime(800);
    expect(engine.reserve("t-1", 60_000, 1_000, false)?.state).toBe("held");
    vi.advanceTimersByTime(800);
    expect(engine.memoryUsedTokens).toBe(60_000);
    vi.advanceTimersByTime(300);
    expect(engine.memoryUsedTokens).toBe(0);
});

test("waiting reservation gets memory in order, and no new request is admitted before it", async () => {
    const engine = engineOf();
    engine.reserve("first", 80_000, 5_000, false);
    expect(engine.reserve("second", 50_000, 5_000, true)?.state).toBe("waiting");
    const late = run(engine, requestOf("a", 1_000));
    await vi.advanceTimersByTimeAsync(500);
    expect(late.times).toEqual([]);
    engine.release("first");
    expect(engine.reservations.get("second")?.state).toBe("held");
    await vi.advanceTimersByTimeAsync(500);
    expect(late.ended).toBe(true);
});

test("request is aborted when its reservation expires", async () => {
    const [engine, helper] = [engineOf(), engineOf()];
    helper.reserve("t", 60_000, 300, false);
    const outcome = run(
        engine,
        requestOf("a", 120_000, { eventCount: 500, helpers: [{ engine: helper, ticket: "t" }] }),
    );
    await vi.advanceTimersByTimeAsync(3_000);
    expect(outcome.failed).toBe(true);
    expect(outcome.times.length).toBeLessThan(500);
});

test("prompt larger than the memory is rejected without reservations", () => {
    const engine = engineOf();
    const run = () => engine.run(requestOf("a", 120_000), () => {}, new AbortController().signal);
    expect(run).toThrow("the engine is full");
});

test("orders and reports on the wire", async () => {
    vi.useRealTimers();
    const site = new Site();
    const replica = await site.replica("m-1", "models");
    const order = async (body: object) => {
        const response = await call(replica.address, "/dandelionramp/order", { body: JSON.stringify(body) });
        return { status: response.status, value: JSON.parse(response.body) as Record<string, unknown> };
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
