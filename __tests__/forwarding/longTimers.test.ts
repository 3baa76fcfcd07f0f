/** Durations that exceed the longest delay of a timer. Configurations, callers and endpoints name durations of any length. */
import { afterEach, beforeEach, expect, test } from "vitest";
import { systemClock } from "../../src/utils/clock.js";
import { call, Site } from "./support/site.js";

let site: Site;

beforeEach(() => {
    site = new Site();
});

afterEach(() => site.close());

const overlongDurations = [2 ** 31, 1e12, Infinity];

for (const duration of overlongDurations) {
    test(`timer of ${duration} ms doesn't run at once`, async () => {
        // Guards against timeouts that are over at once because they are long.
        let hasRun = false;
        const stopTimer = systemClock.after(duration, () => {
            hasRun = true;
        });
        const ending = new AbortController();
        let isAwake = false;
        const sleeping = systemClock.sleep(duration, ending.signal).then(() => {
            isAwake = true;
        });
        await systemClock.sleep(20);
        expect([hasRun, isAwake]).toEqual([false, false]);
        stopTimer();
        ending.abort();
        await sleeping;
    });
}

test("route with a timeout of a year serves", async () => {
    // Guards against 504 for each request of a route whose timeout is longer than a timer can be.
    const year = 365 * 24 * 3_600_000;
    const replica = await site.replica("i-1", "bookings");
    replica.fault = ({ id }, response) => {
        setTimeout(() => response.writeHead(200, replica.responseHeaders(id)).end("late"), 100);
        return true;
    };
    site.configure(1, { lookups: { timeout_ms: year, target_latency_ms: year } });
    const { callers } = await site.start("entry-1");
    const headers = { "dandelionramp-deadline-ms": String(year) };
    const { status, body } = await call(callers, "/lookups/a", { method: "GET", headers });
    expect([status, body]).toEqual([200, "late"]);
});
