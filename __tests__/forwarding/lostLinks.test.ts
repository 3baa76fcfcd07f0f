/** Tests that callers of entries that lost their links to the endpoints are served like those of the others. */
import path from "node:path";
import { expect, test } from "vitest";
import { FaultType, type Pattern, readPattern } from "../../src/replay/pattern.js";
import { replay, type ReplayResult } from "../../src/replay/replay.js";
import type { Milliseconds } from "../../src/utils/clock.js";

type Fault = Pattern["fault"][string];

const entryCounts = [7, 30];
const cutKinds = [FaultType.LinksSilent, FaultType.LinksReset, FaultType.LinksRefusing, FaultType.LinksOneWay];

/** Time after the start of a cut from which its entries must serve. */
const learningDuration: Milliseconds = 3_000;
/** Entries without links must serve first tries at least this share as often as the others. */
const minimumServedRatio = 2 / 3;
/** Share of the first tries at the other entries that may fail. */
const toleratedFailures = 1 / 50;

const readCutPattern = (): Pattern =>
    readPattern(path.resolve(import.meta.dirname, "../../examples/patterns/entries-without-links.ini"));

const replayCuts = (faults: Record<string, Partial<Fault>>, entries: number, seed = 1): Promise<ReplayResult> => {
    const pattern = readCutPattern();
    const { cut } = pattern.fault;
    const fault = Object.fromEntries(Object.entries(faults).map(([name, changes]) => [name, { ...cut!, ...changes }]));
    return replay({ ...pattern, fault }, { seed, entries });
};

/** Shares of the first tries that were served, at the entries that the cut affects and at the others. */
const servedShares = (
    { records }: ReplayResult,
    isCut: (entry: string) => boolean,
    from: Milliseconds,
    until: Milliseconds,
): { cut: number; others: number; } => {
    const tries = records.filter(({ arrival: { at } }) => at >= from && at < until).map(({ firstTry }) => firstTry!);
    const shareOf = (some: typeof tries) => some.filter(({ isServed }) => isServed).length / some.length;
    return {
        cut: shareOf(tries.filter(({ entry }) => isCut(entry))),
        others: shareOf(tries.filter(({ entry }) => !isCut(entry))),
    };
};

const indexOf = (entry: string): number => Number(entry.split("-")[1]);

const quarantinedCount = ({ lines }: ReplayResult): number =>
    lines.filter(({ message }) => message.includes("A request is quarantined")).length;

/** The cut of the pattern, and the entries that it affects. */
const cutFrom = 6_000 + learningDuration;
const cutUntil = 15_000;

for (const entries of entryCounts) {
    for (const type of cutKinds) {
        test(`entries without links serve their callers, ${type}, ${entries} entries`, async () => {
            // Guards against callers who get 503 from an entry that lost its links, while the other entries serve everybody.
            const share = 0.28;
            const cutCount = Math.ceil(share * entries);
            const result = await replayCuts({ cut: { type, share } }, entries);
            const shares = servedShares(result, entry => indexOf(entry) < cutCount, cutFrom, cutUntil);
            expect(shares.cut).toBeGreaterThanOrEqual(minimumServedRatio * shares.others);
            expect(shares.others).toBeGreaterThanOrEqual(1 - toleratedFailures);
            expect(quarantinedCount(result)).toBe(0);
        });
    }

    test(`lost links are no crashes, ${entries} entries`, async () => {
        // Guards against innocent requests that all entries refuse because an entry took its own lost links for crashes.
        for (const type of [FaultType.LinksReset, FaultType.LinksRefusing]) {
            const result = await replayCuts({ cut: { type, share: 0.28 } }, entries, 2);
            const crashes = result.lines.filter(({ message }) => message.includes("An endpoint crashed"));
            expect(crashes).toEqual([]);
            expect(result.repeatedTries.filter(({ at, outcome }) => at > cutFrom && outcome === "refused")).toEqual([]);
        }
    });
}
