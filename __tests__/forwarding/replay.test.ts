/** Load patterns in simulated time: the same result for the same seed, and what callers get at the worst load. */
import path from "node:path";
import { expect, test } from "vitest";
import { type Pattern, readPattern } from "../../src/replay/pattern.js";
import { replay, type ReplayOptions, type ReplayResult } from "../../src/replay/replay.js";
import { generateReplayArrivals } from "../../src/replay/replayArrivals.js";
import { createReplayReport } from "../../src/replay/replayReport.js";
import type { ReplayLogLine } from "../../src/replay/simulatedEntries.js";
import { PlacementPolicy } from "../../src/types/routing.js";

const patternOf = (name: string): Pattern =>
    readPattern(path.resolve(import.meta.dirname, `../../examples/patterns/${name}.ini`));

const seeds = [1, 2, 3];

const playAll = async (name: string, changes: Partial<ReplayOptions> = {}): Promise<ReplayResult[]> => {
    const results: ReplayResult[] = [];
    for (const seed of seeds) {
        results.push(await replay(patternOf(name), { seed, ...changes }));
    }
    return results;
};

const inTime = (results: readonly ReplayResult[], kind: string): number => {
    const row = createReplayReport(results).kinds.find(found => found.kind === kind)!;
    return row.outcomes["in time"] / row.requests;
};

test("same seed, same result", async () => {
    const pattern = patternOf("callers-press");
    const [first, second] = [await replay(pattern, { seed: 7 }), await replay(pattern, { seed: 7 })];
    expect(first.lines).toEqual(second.lines);
    expect(first.records.length).toBeGreaterThan(500);
    const other = await replay(pattern, { seed: 8 });
    expect(other.records.length).not.toBe(first.records.length);
});

test("first events come when they were predicted", async () => {
    // One entry places all, so that nothing is unheard. Its predictions may be off by a pass; a count of reads in turn is off
    // by the reads that share a pass, and by the pass that runs.
    const { lines } = await replay(patternOf("turning-mix"), { seed: 1, entries: 1 });
    const due = new Map<unknown, number>();
    const errors: number[] = [];
    for (const { message, fields } of lines) {
        const { requestId, predicted, send, firstEventAfter } = fields as Record<string, number | undefined>;
        if (message === "request: Sent." && send === 1) {
            due.set(requestId, predicted!);
        }
        if (message === "request: Streamed." && send === 1) {
            errors.push(Math.abs(firstEventAfter! - due.get(requestId)!));
        }
    }
    const aPass = 60;
    expect(errors.length).toBeGreaterThan(1_500);
    expect(errors.filter(error => error < aPass).length / errors.length).toBeGreaterThan(0.9);
});

test("mix that turns over every ten seconds", async () => {
    // Long prompts make way for short ones and come back. Placed by counts, a short prompt meets a read of a second now and
    // then, and long ones wait for one another.
    const results = await playAll("turning-mix");
    expect(inTime(results, "short")).toBeGreaterThan(0.95);
    expect(createReplayReport(results).share).toBeGreaterThan(0.9);
});

test("mix that turns over, placed by counts", async () => {
    // Guards against a pattern that any placing would serve.
    const counted = await playAll("turning-mix", { policy: PlacementPolicy.LeastOutstanding });
    expect(createReplayReport(counted).share).toBeLessThan(0.85);
});

test("data centre lost when the mix turns over", async () => {
    // A third of the endpoints is gone just when short prompts come, and the longest, which can't be in time any more, are
    // begun anew.
    const results = await playAll("centre-lost-at-turn");
    expect(inTime(results, "short")).toBeGreaterThan(0.7);
    expect(results.some(({ lines }) => lines.some(({ message }) => message === "request: Postponed."))).toBe(true);
});

test("silent endpoint is left only for one that answers before the caller gives up", async () => {
    // Much is asked for, and an endpoint is silent for half of what a caller waits. Sent on to another one that is as busy, the
    // request loses its place, and its caller gives up just the same.
    const patience = 2_000;
    const results = await playAll("centre-lost-at-turn");
    let left = 0;
    let leftInVain = 0;
    for (const { lines } of results) {
        const silent = new Set<unknown>();
        for (const { message, fields } of lines) {
            if (message === "request: An endpoint broke off." && String(fields.reason).startsWith("nothing received for")) {
                silent.add(fields.requestId);
            }
            if (message === "request: Sent." && silent.delete(fields.requestId) && fields.target === 300) {
                left++;
                expect(Number(fields.elapsed) + Number(fields.predicted)).toBeLessThanOrEqual(patience);
            }
            // Others that left in the same millisecond may have taken the place that it was left for.
            leftInVain += message === "request: A request failed." && silent.has(fields.requestId) ? 1 : 0;
        }
    }
    expect(left).toBeGreaterThan(10);
    expect(leftInVain).toBeLessThan(left / 10);
});

test("endpoints that turn slow", async () => {
    // One endpoint in seven takes seven times as long, though it seems well. It must not get its full part of the requests.
    const results = await playAll("silent-endpoints");
    expect(inTime(results, "short")).toBeGreaterThan(0.85);
});

test("forty entries choose different endpoints", async () => {
    // Dozens of entries hear of one another's placements some twenty milliseconds later. With the same belief and all
    // endpoints in view, they take the same one in that time.
    const pattern = patternOf("turning-mix");
    const result = await replay({ ...pattern, pattern: { ...pattern.pattern, seconds: 12 } }, { seed: 1, entries: 40 });
    expect(inTime([result], "short")).toBeGreaterThan(0.9);
});

test("one customer's rush changes nothing that the others send", () => {
    // Guards against a comparison of two days that differ by more than the rush.
    const pattern = patternOf("one-customer-rushes");
    const others = (played: Pattern) =>
        generateReplayArrivals(played, 1).filter(({ customer }) => customer !== "customer-2").map(({ at, kind }) => ({
            at,
            kind,
        }));
    expect(others(pattern)).toEqual(others({ ...pattern, rush: {} }));
    expect(generateReplayArrivals(pattern, 1).length).toBeGreaterThan(
        generateReplayArrivals({ ...pattern, rush: {} }, 1).length + 100,
    );
});

/** Streams that were cut for `reason`. */
const cutsFor = (results: readonly ReplayResult[], reason: RegExp): ReplayLogLine[] =>
    results.flatMap(({ lines }) =>
        lines.filter(({ message, fields }) =>
            message === "request: A stream was cut." && reason.test(String(fields.reason))
        )
    );

test("begun stream is not given up while its caller waits", async () => {
    // It breaks off, and the next endpoint would begin late. A request without an answer is refused then and asked again; the
    // caller of a stream would be left with half an answer.
    const results = await playAll("callers-press");
    const cuts = results.flatMap(({ lines }) =>
        lines.filter(({ message }) => message === "request: A stream was cut.")
    );
    expect(cuts.length).toBeGreaterThan(0);
    expect(cuts.filter(({ fields }) => /^the first event is predicted to take/.test(String(fields.reason)))).toEqual([]);
});

test("long stream whose next endpoint is dead goes to another one", async () => {
    // Callers wait two seconds for an event. Counted from the request's arrival, all streams of more than that are given up at
    // the first endpoint that can't be reached.
    const results = await playAll("endpoints-lost");
    expect(cutsFor(results, /^no endpoint could be reached/)).toEqual([]);
});
