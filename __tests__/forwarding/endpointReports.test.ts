/** Tests how entries keep to what endpoints report about themselves: pauses, shutdowns and cold starts. */
import path from "node:path";
import { expect, test } from "vitest";
import { readPattern } from "../../src/replay/pattern.js";
import { replay, type ReplayResult } from "../../src/replay/replay.js";
import type { EndpointArrival } from "../../src/replay/simulatedFleet.js";
import type { Milliseconds } from "../../src/utils/clock.js";

const entryCounts = [7, 30];
const seeds = [1, 2, 3];

const replayPattern = async (name: string, entries: number, seed: number) => {
    const pattern = readPattern(path.resolve(import.meta.dirname, `../../examples/patterns/${name}.ini`));
    return { pattern, result: await replay(pattern, { seed, entries }) };
};

/** An entry has received a refusal after this time. */
const refusalSlack: Milliseconds = 500;
/** Requests that may still reach an endpoint from one entry during the pause. */
const toleratedRequests = 2;

/** The highest number of requests that an endpoint got from an entry during one of its pauses. */
const highestCountInPause = (arrivals: readonly EndpointArrival[], pause: Milliseconds): number => {
    let highest = 0;
    for (const { endpoint, entry, at } of arrivals.filter(({ asksForPause }) => asksForPause)) {
        const during = arrivals.filter(arrival =>
            arrival.endpoint === endpoint && arrival.entry === entry
            && arrival.at > at + refusalSlack && arrival.at <= at + pause
        );
        highest = Math.max(highest, during.length);
    }
    return highest;
};

for (const name of ["endpoints-refusing", "all-refusing"]) {
    for (const entries of entryCounts) {
        test(`endpoint gets no requests in the pause that it asked for, ${name}, ${entries} entries`, async () => {
            // Guards against an overloaded endpoint that is chosen again at once because it looks idle.
            for (const seed of seeds) {
                const { pattern, result } = await replayPattern(name, entries, seed);
                const { strength } = pattern.fault.refusing!;
                expect(result.arrivals.some(({ asksForPause }) => asksForPause)).toBe(true);
                expect(highestCountInPause(result.arrivals, strength * 1_000)).toBeLessThanOrEqual(toleratedRequests);
            }
        });
    }
}

/** How long after a report an endpoint that shuts down may still receive new requests. */
const drainDuration: Milliseconds = 2_000;

/** Requests that an entry sent to an endpoint although it had received long before that the endpoint shuts down. */
const requestsAfterLeaving = ({ arrivals, leavingReports, records }: ReplayResult): EndpointArrival[] => {
    const sentAtByRequest = new Map(
        records.flatMap(({ arrival, requestIds }) => requestIds.slice(0, 1).map(id => [id, arrival.at])),
    );
    const reportedAt = new Map<string, Milliseconds>();
    for (const { endpoint, entry, at } of leavingReports) {
        const key = `${entry} ${endpoint}`;
        reportedAt.set(key, Math.min(reportedAt.get(key) ?? Infinity, at));
    }
    return arrivals.filter(({ endpoint, entry, requestId }) =>
        (sentAtByRequest.get(requestId) ?? -Infinity) > (reportedAt.get(`${entry} ${endpoint}`) ?? Infinity)
                + drainDuration
    );
};

for (const entries of entryCounts) {
    test(`endpoint that reports its shutdown gets no new requests, ${entries} entries`, async () => {
        // Guards against requests to an endpoint that exits before it could answer them, while the list doesn't show it.
        for (const seed of seeds) {
            const { result } = await replayPattern("endpoints-leaving", entries, seed);
            expect(result.leavingReports.length).toBeGreaterThan(0);
            expect(requestsAfterLeaving(result)).toEqual([]);
        }
    });
}

const coldWindow: Milliseconds = 1_000;
/** After this delay all entries have received the report, from the endpoint or from another entry. */
const propagationDuration: Milliseconds = 1_200;
const toleratedColdRequests = (perSecond: number): number => 1.5 * perSecond + 5;

for (const entries of entryCounts) {
    test(`endpoint that reports that it is cold again gets few requests, ${entries} entries`, async () => {
        // Guards against a cold endpoint that crashes under the full load of entries that only read the list of endpoints.
        for (const seed of seeds) {
            const { pattern, result } = await replayPattern("cold-again", entries, seed);
            const { at: faultAt, seconds } = pattern.fault.cold!;
            const [begin, end] = [faultAt * 1_000 + propagationDuration, (faultAt + seconds) * 1_000];
            const cold = result.arrivals.filter(({ isCold, at }) => isCold && at >= begin && at <= end);
            expect(cold.length).toBeGreaterThan(0);
            for (const first of cold) {
                const inWindow = cold.filter(({ endpoint, at }) =>
                    endpoint === first.endpoint && at >= first.at && at < first.at + coldWindow
                );
                expect(inWindow.length).toBeLessThanOrEqual(toleratedColdRequests(pattern.pattern.coldPerSecond));
            }
        }
    });
}
