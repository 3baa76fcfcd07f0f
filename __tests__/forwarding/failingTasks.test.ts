/** Background tasks that fail: the entry goes on to take part. */
import { afterEach, beforeEach, test, vi } from "vitest";
import { systemClock } from "../../src/utils/clock.js";
import { Site, until } from "./support/site.js";

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
