/** Merging the timelines of processes whose clocks differ. */
import { expect, test } from "vitest";
import { collectPage, formatTimelineHtml, formatTimelineText, mergePages } from "../src/commands/timelineMerge.js";
import { Clock, listen, sendJson, Timeline } from "../src/internal.js";

const clockAt = (wall: { time: number; }): Clock => ({
    now: () => wall.time,
    wallTime: () => wall.time,
    sleep: () => Promise.resolve(),
    after: () => () => {},
});

const serveTimeline = (timeline: Timeline) =>
    listen("127.0.0.1:0", (...[, response]) => Promise.resolve(sendJson(response, 200, timeline.page(0))));

test("clock offsets are corrected", async () => {
    // One instance's clock is an hour ahead. Without correction, all its events would sort after those of the other one.
    const near = { time: 1_000_000 };
    const far = { time: 1_000_000 + 3_600_000 };
    const first = new Timeline("entry-1", clockAt(near));
    const second = new Timeline("engine-1", clockAt(far));
    first.record("callers", "admitted", "abc");
    near.time += 10;
    far.time += 10;
    second.record("engine", "stream", "abc");
    near.time += 10;
    far.time += 10;
    first.record("callers", "ended", "abc");
    const listeners = await Promise.all([serveTimeline(first), serveTimeline(second)]);
    const pages = await Promise.all(listeners.map(listener => collectPage(clockAt(near), listener.address)));
    await Promise.all(listeners.map(listener => listener.close()));
    const events = mergePages(pages);
    expect(events.map(event => event.event)).toEqual(["admitted", "stream", "ended"]);
    expect(formatTimelineText(events).split("\n")).toHaveLength(3);
    expect(formatTimelineHtml(events)).toContain("<circle");
});

test("full ring buffer counts the events it dropped", () => {
    const timeline = new Timeline("entry-1", clockAt({ time: 0 }));
    for (let index = 0; index < 10_000; index++) {
        timeline.record("callers", "admitted", String(index));
    }
    const page = timeline.page(0);
    expect(page.lost).toBe(10_000 - page.events.length);
    expect(page.events.at(-1)!.requestId).toBe("9999");
});
