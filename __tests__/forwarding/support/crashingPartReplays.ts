/** Replays of prompt parts that crash endpoints, and what must hold in them. */
import path from "node:path";
import { expect } from "vitest";
import { type Pattern, readPattern } from "../../../src/replay/pattern.js";
import type { ReplayResult } from "../../../src/replay/replay.js";
import type { CallerRecord } from "../../../src/replay/simulatedCaller.js";
import type { Milliseconds } from "../../../src/utils/clock.js";

/** Numbers of entries, and seeds, of the replays. */
export const entryCounts = [7, 30];
export const seeds = [1, 2, 3];

/** Crashes after which the entries must know the part, and the time in which they may not know of the last one yet. */
export const crashesUntilKnown = 5;
export const learningDuration: Milliseconds = 3_000;
/** Requests with the part that may reach endpoints later, over all entries together. */
export const toleratedRequests = 3;
/** When requests with the other parts must be served again, and how often at least, compared with the time before. */
const recoveryDuration: Milliseconds = 6_000;
const minimumServedRatio = 0.5;

/** The pattern with one crashing part, changed. */
export const readPartPattern = (changes: Partial<Pattern["crashingPart"][string]> = {}): Pattern => {
    const pattern = readPattern(path.resolve(import.meta.dirname, "../../../examples/patterns/crashing-part.ini"));
    const { crashing } = pattern.crashingPart;
    return { ...pattern, crashingPart: { crashing: { ...crashing!, ...changes } } };
};

/** Requests of the crashing part `name` that reached endpoints although five had crashed under it long before. */
export const lateRequests = ({ crashes, arrivals }: ReplayResult, name = "crashing"): string[] => {
    const isOwn = ({ requestId }: { requestId: string; }) => requestId.startsWith(`${name}-`);
    const knownAt = (crashes.filter(isOwn)[crashesUntilKnown - 1]?.at ?? Infinity) + learningDuration;
    const late = arrivals.filter(arrival => isOwn(arrival) && arrival.at > knownAt);
    return [...new Set(late.map(({ requestId }) => requestId))];
};

const servedShare = (records: readonly CallerRecord[]): number =>
    records.filter(({ firstTry }) => firstTry?.isServed).length / records.length;

/** The share of the sound requests that are served at their first try, compared with the time before the crashes. */
const servedRatio = (
    { records, crashes }: ReplayResult,
    { at, seconds }: { at: number; seconds: number; },
    isIncluded: (record: CallerRecord) => boolean,
): number => {
    const sound = records.filter(record => !record.arrival.crashes && isIncluded(record));
    const recoveredAt = crashes[Math.min(crashes.length, crashesUntilKnown) - 1]!.at + recoveryDuration;
    const before = sound.filter(({ arrival }) => arrival.at < at * 1_000);
    const after = sound.filter(({ arrival }) => arrival.at > recoveredAt && arrival.at < (at + seconds) * 1_000);
    return servedShare(after) / servedShare(before);
};

const sharesParts = ({ arrival }: CallerRecord): boolean => arrival.parts.includes("desk");

/** Checks that the part is kept from endpoints, and that sound requests are served. */
export const expectKept = (result: ReplayResult, pattern: Pattern): void => {
    expect(result.crashes.length).toBeGreaterThanOrEqual(crashesUntilKnown);
    for (const [name, part] of Object.entries(pattern.crashingPart)) {
        expect(lateRequests(result, name).length).toBeLessThanOrEqual(toleratedRequests);
        expect(servedRatio(result, part, sharesParts)).toBeGreaterThanOrEqual(minimumServedRatio);
        expect(servedRatio(result, part, record => !sharesParts(record))).toBeGreaterThanOrEqual(minimumServedRatio);
    }
};
