/** Logs are bounded and never hold up requests. */
import { expect, test } from "vitest";
import { BoundedLogStream } from "../../src/utils/logStream.js";

const fixture = () => {
    const state = { now: 0, lines: [] as string[], waiting: 0 };
    const clock = { now: () => state.now, wallTime: () => state.now, sleep: () => Promise.resolve() };
    const sink = {
        write: (text: string) => void state.lines.push(text),
        get waiting() {
            return state.waiting;
        },
    };
    return { state, stream: new BoundedLogStream(sink, clock, "entry-1") };
};

test("failures go before the usual lines", () => {
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

test("reader that stalls", () => {
    // The reader of the log stops reading. Nothing may wait for it, and the memory that its lines take is bounded.
    const { state, stream } = fixture();
    state.waiting = 2 * 1024 * 1024;
    for (state.now = 0; state.now < 10_000; state.now += 10) {
        stream.write({ level: 40, msg: "request: A request failed." });
    }
    expect(state.lines).toEqual([]);
    state.waiting = 0;
    stream.write({ level: 30, msg: "request: Sent." });
    expect(JSON.parse(state.lines[0]!)).toMatchObject({ msg: "log: Lines were dropped.", lines: 1_000 });
    expect(state.lines).toHaveLength(2);
});
