/** Which requests are rejected at once under overload and during a planned stop. */
import { expect, test } from "vitest";
import { callerPatience, rejectLateFirstEvent, rejectUnfinishedAtStop } from "../../src/core/forwarding/overload.js";
import { RequestKind, type Route } from "../../src/types/routing.js";

const stop = { startedAt: 10_000, endsAt: 17_400 };

const route: Route = {
    name: "replies",
    host: "desk.example",
    pathPrefix: "/",
    kind: RequestKind.Streaming,
    timeout: 10_000,
    targetLatency: 300,
    targetGap: 200,
    attempts: 2,
    priority: 1,
    shares: [],
    open: false,
    resumable: true,
};

test("long answer early in a stop is served", () => {
    // Entries stop in turn, two seconds apart, and four of six are stopping at any time. A caller that one of them rejects
    // because its longest response could take five seconds reaches the next stopping entry, and is rejected again.
    expect(rejectUnfinishedAtStop({ type: "Predicted", duration: 5_200 }, 10_100, stop)).toBeUndefined();
    expect(rejectUnfinishedAtStop({ type: "Predicted", duration: 5_200 }, 12_100, stop)).toBeUndefined();
});

test("response that can't complete before the stop ends is rejected with a retry delay", () => {
    expect(rejectUnfinishedAtStop({ type: "Predicted", duration: 8_000 }, 10_100, stop)).toMatchObject({
        kind: "stopping",
        retryAfterSeconds: 0.1,
    });
});

test("late in a stop a response may take half of the time left", () => {
    // Responses take longer than predicted while long prompts are prefilled beside them. A response that runs past the end of
    // the stop is cut.
    expect(rejectUnfinishedAtStop({ type: "Predicted", duration: 2_000 }, 13_100, stop)).toBeUndefined();
    expect(rejectUnfinishedAtStop({ type: "Predicted", duration: 2_500 }, 13_100, stop)).toBeDefined();
});

test("request that may take as long as the longest of its route is rejected when that doesn't fit", () => {
    // Guards against requests of services without an engine that are cut at the end of a stop.
    const booking = { type: "Observed" as const, target: 300, longest: 2_400, timeLeft: 10_000 };
    expect(rejectUnfinishedAtStop(booking, 14_300, stop)).toBeUndefined();
    expect(rejectUnfinishedAtStop(booking, 14_500, stop)).toBeDefined();
    expect(rejectUnfinishedAtStop({ ...booking, timeLeft: 900 }, 16_400, stop)).toBeUndefined();
    expect(rejectUnfinishedAtStop({ ...booking, timeLeft: 900 }, 16_600, stop)).toBeDefined();
});

test("request of a route without any recent answer is rejected late in a stop unless its deadline fits", () => {
    const booking = { type: "Observed" as const, target: 300, longest: undefined, timeLeft: 10_000 };
    expect(rejectUnfinishedAtStop(booking, 12_900, stop)).toBeUndefined();
    expect(rejectUnfinishedAtStop(booking, 13_000, stop)).toBeDefined();
    expect(rejectUnfinishedAtStop({ ...booking, timeLeft: 4_000 }, 13_000, stop)).toBeUndefined();
});

test("stream whose first event would come too late is rejected with a retry delay", () => {
    expect(rejectLateFirstEvent(route, 1_500, 2_000)).toBeUndefined();
    expect(rejectLateFirstEvent(route, 2_500, 2_000)).toMatchObject({ kind: "overloaded", retryAfterSeconds: 2.2 });
    expect(rejectLateFirstEvent(route, 1_500, 1_300)).toBeDefined();
    expect(rejectLateFirstEvent(route, 500, 400)).toBeDefined();
});

test("callers of plain responses wait until the route's timeout", () => {
    expect(callerPatience({ ...route, kind: RequestKind.Idempotent })).toBe(10_000);
    expect(callerPatience(route)).toBe(2_000);
    expect(callerPatience({ ...route, targetLatency: 3_000, targetGap: 800 })).toBe(12_000);
});
