/** Kinds of requests with ranks: a more urgent kind doesn't pay for the longest prompts. */
import path from "node:path";
import { expect, test } from "vitest";
import { requestValue } from "../../src/core/placement/requestValue.js";
import { PartSwitch } from "../../src/core/scheduling/schedulingPolicy.js";
import { readPattern } from "../../src/replay/pattern.js";
import { replay } from "../../src/replay/replay.js";
import { earnedValue } from "../../src/replay/replayReport.js";
import { CallerOutcome, type CallerRecord } from "../../src/replay/simulatedCaller.js";

const pattern = readPattern(path.resolve(import.meta.dirname, "../../examples/patterns/ranked-bursts.ini"));

/** Kinds from the most urgent to the least urgent one. */
const kinds = ["short", "middle", "longest"];

const servedShare = (records: readonly CallerRecord[]): number =>
    records.filter(({ outcome }) => outcome === CallerOutcome.InTime || outcome === CallerOutcome.Late).length
    / records.length;

const earnedShare = (records: readonly CallerRecord[]): number =>
    records.reduce((sum, record) => sum + earnedValue(record), 0)
    / records.reduce((sum, { arrival }) => sum + arrival.value, 0);

const recordsOf = (records: readonly CallerRecord[], kind: string): CallerRecord[] =>
    records.filter(({ arrival }) => arrival.kind === kind);

test("short prompts beside bursts of the longest ones", async () => {
    // Without ranks a longest prompt counts for so much that parts of it are placed beside short streams, whose callers see
    // pauses of seconds and leave.
    const ranked = await replay(pattern, { seed: 1, entries: 30 });
    const unranked = await replay(pattern, { seed: 1, entries: 30, scheduling: { ranks: PartSwitch.Off } });
    expect(earnedShare(recordsOf(ranked.records, "short"))).toBeGreaterThan(
        earnedShare(recordsOf(unranked.records, "short")),
    );
    expect(earnedShare(ranked.records)).toBeGreaterThan(earnedShare(unranked.records));
    const served = kinds.map(kind => servedShare(recordsOf(ranked.records, kind)));
    const earned = kinds.map(kind => earnedShare(recordsOf(ranked.records, kind)));
    for (const index of [0, 1]) {
        expect(served[index]).toBeGreaterThan(served[index + 1]! - 0.02);
        expect(earned[index]).toBeGreaterThan(earned[index + 1]! - 0.1);
    }
});

test("value falls with the rank, and not without one", () => {
    expect(requestValue(5_000, 0)).toBe(requestValue(5_000));
    expect(requestValue(260_000, 2)).toBeLessThan(requestValue(260_000, 1));
    expect(requestValue(260_000, 2)).toBeGreaterThan(requestValue(5_000, 0));
});
