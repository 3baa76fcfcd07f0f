/** Tests that callers are served while a load balancer hands most new connections to one entry. */
import path from "node:path";
import { expect, test } from "vitest";
import { FaultType, type Pattern, readPattern } from "../../src/replay/pattern.js";
import { replay, type ReplayResult } from "../../src/replay/replay.js";
import type { Milliseconds } from "../../src/utils/clock.js";

const entryCounts = [7, 30];
const seeds = [1, 2, 3];

/** Time after the start of the skew from which callers must be served. */
const learningDuration: Milliseconds = 3_000;
/** First tries must be served at least this share as often as before. */
const minimumServedRatio = 0.75;

const readSkewPattern = (): Pattern =>
    readPattern(path.resolve(import.meta.dirname, "../../examples/patterns/connections-skewed.ini"));

const servedShare = ({ records }: ReplayResult, from: Milliseconds, until: Milliseconds): number => {
    const tries = records.filter(({ arrival: { at } }) => at >= from && at < until).map(({ firstTry }) => firstTry!);
    return tries.filter(({ isServed }) => isServed).length / tries.length;
};

/** Most requests that one endpoint may get in a counting window, by the limit that it advertises. */
const countingWindow: Milliseconds = 4_000;
const toleratedRequests = (perSecond: number): number => 1.5 * perSecond * countingWindow / 1_000 + 5;

/** The highest number of requests that one endpoint got in a counting window, once the limits were known. */
const highestWindowCount = ({ arrivals }: ReplayResult, { fault }: Pattern): number => {
    const { at, seconds } = fault.limited!;
    const known = arrivals.filter(arrival => arrival.at > at * 1_000 + 1_000 && arrival.at < (at + seconds) * 1_000);
    let highest = 0;
    for (const endpoint of new Set(known.map(arrival => arrival.endpoint))) {
        const times = known.filter(arrival => arrival.endpoint === endpoint).map(arrival => arrival.at);
        for (const [index, last] of times.entries()) {
            const first = times.findIndex(time => time > last - countingWindow);
            highest = Math.max(highest, index - first + 1);
        }
    }
    return highest;
};

const servedRatio = (result: ReplayResult, { fault }: Pattern): number => {
    const { at, seconds } = fault.skewed!;
    const [begin, end] = [at * 1_000, (at + seconds) * 1_000];
    const settledAt = fault.limited === undefined ? 0 : (fault.limited.at * 1_000) + learningDuration;
    return servedShare(result, begin + learningDuration, end) / servedShare(result, settledAt, begin);
};

for (const entries of entryCounts) {
    test(`most connections at one entry, endpoints without limits, ${entries} entries`, async () => {
        const pattern = readSkewPattern();
        const { skewed } = pattern.fault;
        pattern.fault = { skewed: skewed! };
        for (const seed of seeds) {
            expect(servedRatio(await replay(pattern, { seed, entries }), pattern)).toBeGreaterThan(minimumServedRatio);
        }
    });

    test(`most connections at one entry, endpoints with limits, ${entries} entries`, async () => {
        // Guards against callers who are rejected because the entries without callers keep their shares of the limits.
        const pattern = readSkewPattern();
        for (const seed of seeds) {
            const result = await replay(pattern, { seed, entries });
            expect(servedRatio(result, pattern)).toBeGreaterThan(minimumServedRatio);
            expect(highestWindowCount(result, pattern)).toBeLessThanOrEqual(toleratedRequests(6.1));
        }
    });

    test(`limits hold while shares are lent and messages are lost, ${entries} entries`, async () => {
        // Guards against an endpoint that gets the requests of a share twice, from its lender and its borrower.
        const pattern = readSkewPattern();
        pattern.pattern.loss = 0.3;
        pattern.kind.short!.rate = 140;
        const cut = { ...pattern.fault.skewed!, type: FaultType.EntriesPartitioned, at: 13, seconds: 6, share: 0.3 };
        pattern.fault = { ...pattern.fault, cut };
        for (const seed of seeds) {
            const result = await replay(pattern, { seed, entries });
            expect(highestWindowCount(result, pattern)).toBeLessThanOrEqual(toleratedRequests(6.1));
        }
    });
}
