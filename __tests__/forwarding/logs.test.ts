/** Logs are bounded and never delay requests. */
import { expect, test } from "vitest";
import { BoundedLogStream } from "../../src/utils/logStream.js";
import { call, generation, Site } from "./support/site.js";

const fixture = () => {
    const state = { now: 0, lines: [] as string[], pendingBytes: 0 };
    const clock = {
        now: () => state.now,
        wallTime: () => state.now,
        sleep: () => Promise.resolve(),
        after: () => () => {},
    };
    const sink = {
        isFull: false,
        write: (text: string, onLost: () => void) => sink.isFull ? onLost() : void state.lines.push(text),
        get pendingBytes() {
            return state.pendingBytes;
        },
    };
    return { state, sink, stream: new BoundedLogStream(sink, clock, "entry-1") };
};

test("warnings have priority over info lines", () => {
    const { state, stream } = fixture();
    for (let line = 0; line < 1_000; line++) {
        stream.write({ level: 30, msg: "request: Sent." });
    }
    for (let line = 0; line < 100; line++) {
        stream.write({ level: 40, msg: "request: A request failed." });
    }
    expect(state.lines.filter(text => text.includes("failed"))).toHaveLength(100);
    expect(state.lines.length).toBeLessThan(400);
});

test("log consumer stalls", () => {
    // The consumer of the log stops reading. No request may wait for it, and the memory for buffered lines is bounded.
    const { state, stream } = fixture();
    state.pendingBytes = 2 * 1024 * 1024;
    for (state.now = 0; state.now < 10_000; state.now += 10) {
        stream.write({ level: 40, msg: "request: A request failed." });
    }
    expect(state.lines).toEqual([]);
    state.pendingBytes = 0;
    stream.write({ level: 30, msg: "request: Sent." });
    expect(JSON.parse(state.lines[0]!)).toMatchObject({ msg: "log: Lines were dropped.", lines: 1_000 });
    expect(state.lines).toHaveLength(2);
});

test("lines that can't be written are counted, and reported once they can", () => {
    // Guards against a log that hides that lines are missing after the disk was full.
    const { state, sink, stream } = fixture();
    sink.isFull = true;
    stream.write({ level: 30, msg: "request: Sent." });
    stream.write({ level: 30, msg: "request: Sent." });
    expect(stream.droppedTotal).toBe(2);
    sink.isFull = false;
    stream.write({ level: 30, msg: "request: Answered." });
    expect(JSON.parse(state.lines[0]!)).toMatchObject({ msg: "log: Lines were dropped.", lines: 2 });
    expect(JSON.parse(state.lines[1]!)).toMatchObject({ msg: "request: Answered." });
});

test("metrics are served", async () => {
    const site = new Site();
    await site.replica("m-1", "models");
    await site.replica("i-1", "bookings");
    site.configure(1);
    const entry = await site.start("entry-1");
    await call(entry.callers, "/replies/a", { headers: generation(1_000, 20) });
    await call(entry.callers, "/lookups/a");
    await call(entry.callers, "/nowhere/");
    const text = (await call(entry.metrics, "/metrics", { method: "GET" })).body;
    await site.close();
    expect(text).toContain("dandelionramp_requests_total{kind=\"streaming\"} 1");
    expect(text).toContain("dandelionramp_requests_total{kind=\"idempotent\"} 1");
    expect(text).toContain("dandelionramp_failures_total{kind=\"unknown-route\"} 1");
    expect(text).toContain("dandelionramp_first_event_milliseconds_count 1");
    expect(text).toMatch(/dandelionramp_answer_milliseconds\{quantile="0.99"\} \d+/);
    expect(text).toContain("dandelionramp_ready 1");
    expect(text).not.toContain("NaN");
});
