/** Tasks of an entry that fail: it goes on to take part, and answers its callers. */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { systemClock } from "../../src/utils/clock.js";
import { call, Site, until } from "./support/site.js";

/** Longer than other entries wait for a heartbeat. */
const lostAfter = 4_000;

let site: Site;

beforeEach(() => {
    site = new Site();
    site.configure(1);
});

afterEach(() => site.close());

test("heartbeat goes on after it has failed", async () => {
    // Guards against an entry that all others take for dead until it is restarted, because one heartbeat has failed.
    const first = await site.start("entry-1", false);
    const second = await site.start("entry-2", false, { seeds: [first.peers] });
    await until(() => first.entry.livingCount === 2 && second.entry.livingCount === 2);
    const heartbeats = first.entry["core"].peers["heartbeats"];
    const send = vi.spyOn(heartbeats, "send").mockImplementationOnce(() => {
        throw new Error("the heartbeat failed");
    });
    await until(() => send.mock.results.some(({ type }) => type === "throw"));
    await systemClock.sleep(lostAfter);
    await until(() => first.entry.livingCount === 2 && second.entry.livingCount === 2);
});

test("request in progress is answered although the stop can't be announced", async () => {
    // Guards against accepted requests that are cut because the first step of a planned stop has failed.
    const replica = await site.replica("i-1", "bookings");
    replica.fault = ({ id }, response) => {
        setTimeout(() => response.writeHead(200, replica.responseHeaders(id)).end("booked"), 500);
        return true;
    };
    const { entry, callers } = await site.start("entry-1");
    const booking = call(callers, "/places/a");
    await until(() => replica.arrivals.length === 1);
    vi.spyOn(entry["core"].peers, "publishStopping").mockImplementation(() => {
        throw new Error("the announcement failed");
    });
    await entry.stop();
    expect(await booking).toMatchObject({ status: 200, body: "booked", whole: true });
    expect(entry["core"].forwarder.activeCount).toBe(0);
});
