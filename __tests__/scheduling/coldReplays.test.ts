/** Replays of endpoints that become cold again while placers grant requests to them. */
import path from "node:path";
import { expect, test } from "vitest";
import { PartSwitch } from "../../src/core/scheduling/schedulingPolicy.js";
import { FaultType, type Pattern, readPattern } from "../../src/replay/pattern.js";
import { replay, type ReplayResult } from "../../src/replay/replay.js";
import { createReplayReport } from "../../src/replay/replayReport.js";
import type { Milliseconds } from "../../src/utils/clock.js";

const patternOf = (name: string): Pattern =>
    readPattern(path.resolve(import.meta.dirname, `../../examples/patterns/${name}.ini`));

const withoutSkew = (pattern: Pattern): Pattern => ({ ...pattern, fault: { cold: pattern.fault.cold! } });

/** After this delay all entries know that the endpoints are cold. */
const propagationDuration: Milliseconds = 1_200;
/** By this time after the report, placers grant requests and have borrowed what they need. */
const learningDuration: Milliseconds = 5_000;
const limitOf = ({ pattern }: Pattern): number => 1.5 * pattern.coldPerSecond + 5;

/** The most requests that one cold endpoint got in a second once all entries knew that it is cold. */
const highestCount = ({ arrivals }: ReplayResult, { fault }: Pattern): number => {
    const known = arrivals.filter(({ isCold, at }) => isCold && at >= fault.cold!.at * 1_000 + propagationDuration);
    let highest = 0;
    for (const endpoint of new Set(known.map(arrival => arrival.endpoint))) {
        const times = known.filter(arrival => arrival.endpoint === endpoint).map(({ at }) => at);
        for (const first of times) {
            highest = Math.max(highest, times.filter(at => at >= first && at < first + 1_000).length);
        }
    }
    return highest;
};

/** Share of the limit of the cold endpoints that is used until the end of the traffic. */
const usedShare = ({ arrivals }: ReplayResult, pattern: Pattern): number => {
    const [begin, end] = [pattern.fault.cold!.at * 1_000 + learningDuration, pattern.pattern.seconds * 1_000];
    const count = arrivals.filter(({ at }) => at >= begin && at < end).length;
    return count / ((end - begin) / 1_000 * pattern.engines.count * limitOf(pattern));
};

test("few entries behave the same with and without the part", async () => {
    // Guards against a change for sites without placers.
    const pattern = patternOf("cold-again");
    const [on, off] = [PartSwitch.On, PartSwitch.Off].map(coldGrants =>
        replay(pattern, { seed: 1, entries: 7, scheduling: { coldGrants } })
    );
    expect((await on!).lines).toEqual((await off!).lines);
    expect((await on!).arrivals).toEqual((await off!).arrivals);
});

for (const entries of [30, 145]) {
    test(`cold endpoints are used while callers ask for more, ${entries} entries`, async () => {
        // Guards against parts that stay with entries that don't need them.
        const pattern = withoutSkew(patternOf("cold-at-placers"));
        pattern.pattern.seconds = 11;
        pattern.kind.short!.rate = 300;
        const result = await replay(pattern, { seed: 1, entries });
        expect(usedShare(result, pattern)).toBeGreaterThan(0.75);
        expect(highestCount(result, pattern)).toBeLessThanOrEqual(limitOf(pattern));
    });
}

for (const entries of [30, 145]) {
    test(`most connections at one entry and all endpoints cold, ${entries} entries`, async () => {
        // Guards against callers who are rejected because the parts of the entries without callers lie idle.
        const pattern = patternOf("cold-at-placers");
        const served = async (played: Pattern): Promise<number> =>
            createReplayReport([await replay(played, { seed: 1, entries })]).share;
        expect(await served(pattern)).toBeGreaterThan(0.95 * await served(withoutSkew(pattern)));
    });
}

for (const type of [FaultType.EntriesPartitioned, FaultType.DataCentresCut]) {
    test(`cold endpoints get no more than they tolerate while messages are lost, ${type}, 30 entries`, async () => {
        // Guards against entries that disagree about who is a placer and use the same part twice.
        for (const seed of [1, 2]) {
            const pattern = patternOf("cold-at-placers");
            pattern.pattern.loss = 0.3;
            pattern.fault = {
                ...pattern.fault,
                cut: { ...pattern.fault.skewed!, type, at: 7, seconds: 4, share: 0.4 },
            };
            const result = await replay(pattern, { seed, entries: 30 });
            expect(highestCount(result, pattern)).toBeLessThanOrEqual(limitOf(pattern));
        }
    });
}
