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

interface CutCase {
    name: string;
    faults: Record<string, Partial<Fault>>;
    /** Whether the entry with this index, and in this data centre, is affected. */
    isCut: (index: number, entries: number) => boolean;
}

const cutCases: CutCase[] = [
    {
        name: "a whole data centre",
        faults: { cut: { share: 1, dataCentre: "1" } },
        isCut: index => index % 3 === 1,
    },
    {
        name: "nearly all entries",
        faults: { cut: { type: FaultType.LinksReset, share: 0.85 } },
        isCut: (index, entries) => index < Math.ceil(0.85 * entries),
    },
    {
        name: "half of the endpoints",
        faults: { cut: { type: FaultType.LinksReset, share: 0.28, endpointShare: 0.5 } },
        isCut: (index, entries) => index < Math.ceil(0.28 * entries),
    },
    {
        name: "cuts that come again and overlap",
        faults: {
            first: { at: 5, seconds: 4, share: 0.28 },
            second: { type: FaultType.LinksReset, at: 8, seconds: 5, share: 1, dataCentre: "1" },
            third: { type: FaultType.LinksRefusing, at: 11, seconds: 4, share: 0.28 },
        },
        isCut: (index, entries) => index < Math.ceil(0.28 * entries) || index % 3 === 1,
    },
];

for (const { name, faults, isCut } of cutCases) {
    for (const entries of [7, 32]) {
        test(`entries without links serve their callers, ${name}, ${entries} entries`, async () => {
            // Guards against carriers that are chosen among entries which are cut off themselves.
            const result = await replayCuts(faults, entries);
            const shares = servedShares(result, entry => isCut(indexOf(entry), entries), cutFrom, cutUntil);
            expect(shares.cut).toBeGreaterThanOrEqual(minimumServedRatio * shares.others);
            expect(shares.others).toBeGreaterThanOrEqual(1 - toleratedFailures);
            expect(quarantinedCount(result)).toBe(0);
        });
    }
}

test("requests are rejected at once while no entry reaches endpoints, and served once the links are back", async () => {
    // Guards against callers who wait for endpoints that nobody reaches, and against entries that stay cut off afterwards.
    for (const type of [FaultType.LinksSilent, FaultType.LinksReset]) {
        const result = await replayCuts({ cut: { type, share: 1 } }, 7);
        const failures = result.lines.filter(({ message, time, fields }) =>
            message.includes("A request failed") && time > cutFrom && time < cutUntil && fields.kind === "no-endpoint"
        );
        expect(failures.length).toBeGreaterThan(0);
        expect(Math.max(...failures.map(({ fields }) => Number(fields.elapsed)))).toBeLessThan(1_000);
        expect(quarantinedCount(result)).toBe(0);
        const later = result.records.filter(({ arrival: { at } }) => at > cutUntil + 1_000);
        const served = later.filter(({ firstTry }) => firstTry!.isServed);
        expect(served.length).toBeGreaterThanOrEqual((1 - toleratedFailures) * later.length);
    }
});

for (const entries of entryCounts) {
    test(`request that crashes endpoints is found beside lost links, ${entries} entries`, async () => {
        // Guards against entries that explain real crashes by their lost links and send the request on and on.
        const pattern = readCutPattern();
        const { popular } = pattern.repeated;
        const crashing = { ...popular!, at: 7, seconds: 10, gap: 0.25, callers: 1, crashes: true };
        const { cut } = pattern.fault;
        for (const type of [FaultType.LinksSilent, FaultType.LinksReset]) {
            const faulty = { ...pattern, repeated: { popular: popular!, crashing }, fault: { cut: { ...cut!, type } } };
            const result = await replay(faulty, { seed: 1, entries });
            const third = result.crashes[2]?.at ?? 0;
            const isCrashing = (id: string) => id.startsWith("crashing-");
            const late = result.arrivals.filter(({ requestId, at }) =>
                isCrashing(requestId) && at > third + learningDuration
            );
            expect(third).toBeGreaterThan(0);
            expect(new Set(late.map(({ requestId }) => requestId)).size).toBeLessThanOrEqual(3);
            const popularTries = result.repeatedTries.filter(({ name, at }) => name === "popular" && at > cutFrom);
            const refused = popularTries.filter(({ outcome }) => outcome === "refused");
            expect(refused.length).toBeLessThanOrEqual(toleratedFailures * popularTries.length);
        }
    });
}
