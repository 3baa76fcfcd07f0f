/** Tests that callers are served while a load balancer hands most new connections to one entry. */
import path from "node:path";
import { expect, test } from "vitest";
import { type Pattern, readPattern } from "../../src/replay/pattern.js";
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
            expect(servedRatio(await replay(pattern, { seed, entries }), pattern)).toBeGreaterThan(minimumServedRatio);
        }
    });
}
