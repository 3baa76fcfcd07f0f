/** What came of replays, for people: by kind of request, and what was lost by which reason. */
import { build, type Histogram } from "hdr-histogram-js";
import { type LogLine, storiesOf } from "../losses/stories.js";
import { lossTable } from "../losses/table.js";
import type { Milliseconds } from "../utils/clock.js";
import type { ReplayResult } from "./replay.js";
import { CallerOutcome, type CallerRecord } from "./simulatedCaller.js";

/** Times of one kind, in milliseconds. */
export interface Percentiles {
    p50: Milliseconds;
    p95: Milliseconds;
    p99: Milliseconds;
}

/** One kind of request over all seeds. */
export interface KindRow {
    kind: string;
    requests: number;
    outcomes: Record<CallerOutcome, number>;
    firstEvent: Percentiles;
    longestPause: Percentiles;
}

/** One reason of losses, as a part of the value of all requests. */
export interface ReplayLoss {
    reason: string;
    requests: number;
    share: number;
}

/** The report. */
export interface ReplayReport {
    /** Part of the worth of all requests that their callers got. */
    share: number;
    kinds: KindRow[];
    losses: ReplayLoss[];
    /** Datagrams between entries for each request. */
    datagramsPerRequest: number;
}

const highestMilliseconds = 3_600_000;
const spanOfLosses: Milliseconds = 1_000;
const perCent = 100;

/** What a caller's answer was worth. */
export const worthOf = ({ outcome, arrival }: CallerRecord): number => {
    switch (outcome) {
        case CallerOutcome.InTime:
            return arrival.worth;
        case CallerOutcome.Late:
            return arrival.worthLate;
        case CallerOutcome.Refused:
        case CallerOutcome.Failed:
            return 0;
    }
};

/** Adds the results of several seeds up. */
export const replayReport = (results: readonly ReplayResult[]): ReplayReport => {
    const records = results.flatMap(result => result.records);
    const owed = records.reduce((sum, { arrival }) => sum + arrival.worth, 0);
    const got = records.reduce((sum, record) => sum + worthOf(record), 0);
    const datagrams = results.reduce((sum, result) => sum + result.datagrams, 0);
    const kinds = [...new Set(records.map(({ arrival }) => arrival.kind))].sort();
    return {
        share: got / owed,
        kinds: kinds.map(kind => kindRow(kind, records.filter(({ arrival }) => arrival.kind === kind))),
        losses: lossesOf(results),
        datagramsPerRequest: datagrams / records.length,
    };
};

const lossesOf = (results: readonly ReplayResult[]): ReplayLoss[] => {
    const losses = new Map<string, ReplayLoss>();
    for (const { lines } of results) {
        const stories = storiesOf(lines satisfies readonly LogLine[]);
        for (const { reason, requests, share } of lossTable(stories, spanOfLosses).reasons) {
            const known = losses.get(reason) ?? { reason, requests: 0, share: 0 };
            losses.set(reason, {
                reason,
                requests: known.requests + requests,
                share: known.share + share / results.length,
            });
        }
    }
    return [...losses.values()].sort((left, right) => right.share - left.share);
};

const kindRow = (kind: string, records: readonly CallerRecord[]): KindRow => {
    const count = (outcome: CallerOutcome) => records.filter(record => record.outcome === outcome).length;
    return {
        kind,
        requests: records.length,
        outcomes: {
            [CallerOutcome.InTime]: count(CallerOutcome.InTime),
            [CallerOutcome.Late]: count(CallerOutcome.Late),
            [CallerOutcome.Refused]: count(CallerOutcome.Refused),
            [CallerOutcome.Failed]: count(CallerOutcome.Failed),
        },
        firstEvent: percentilesOf(records.flatMap(({ firstEvent }) => firstEvent ?? [])),
        longestPause: percentilesOf(records.map(({ longestPause }) => longestPause)),
    };
};

const percentilesOf = (times: readonly Milliseconds[]): Percentiles => {
    const histogram: Histogram = build({
        highestTrackableValue: highestMilliseconds,
        numberOfSignificantValueDigits: 3,
    });
    for (const time of times) {
        histogram.recordValue(Math.max(1, Math.round(time)));
    }
    const at = (percentile: number) => times.length === 0 ? 0 : histogram.getValueAtPercentile(percentile);
    return { p50: at(50), p95: at(95), p99: at(99) };
};

/** The report as text. */
export const replayText = ({ share, kinds, losses, datagramsPerRequest }: ReplayReport): string => {
    const inHundredths = (part: number) => `${(part * perCent).toFixed(1)}%`;
    const times = ({ p50, p95, p99 }: Percentiles) => `p50 ${p50}, p95 ${p95}, p99 ${p99} ms`;
    const lines = [`${inHundredths(share)} of the worth, ${datagramsPerRequest.toFixed(1)} datagrams a request`];
    for (const { kind, requests, outcomes, firstEvent, longestPause } of kinds) {
        const ends = Object.entries(outcomes).map(([outcome, count]) => `${count} ${outcome}`).join(", ");
        lines.push(
            `${kind}: ${requests} requests, ${ends}`,
            `  first event ${times(firstEvent)}; longest pause ${times(longestPause)}`,
        );
    }
    lines.push("lost, by reason:");
    for (const { reason, requests, share: lost } of losses) {
        lines.push(`  ${inHundredths(lost).padStart(6)} ${String(requests).padStart(6)} ${reason}`);
    }
    return lines.join("\n");
};
