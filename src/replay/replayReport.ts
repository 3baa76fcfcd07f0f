/** Summarizes the results of replays: outcomes and times by kind of request, and the lost value by reason. */
import { build, type Histogram } from "hdr-histogram-js";
import { buildTraces, type LogLine } from "../losses/requestTraces.js";
import { createLossTable } from "../losses/table.js";
import type { Milliseconds } from "../utils/clock.js";
import type { ReplayResult } from "./replay.js";
import { CallerOutcome, type CallerRecord } from "./simulatedCaller.js";

/** Percentiles of times in milliseconds. */
export interface Percentiles {
    p50: Milliseconds;
    p95: Milliseconds;
    p99: Milliseconds;
}

/** Results of one kind of request over all seeds. */
export interface KindRow {
    kind: string;
    requests: number;
    outcomes: Record<CallerOutcome, number>;
    firstEvent: Percentiles;
    longestPause: Percentiles;
}

/** Losses for one reason; `share` is relative to the value of all requests. */
export interface ReplayLoss {
    reason: string;
    requests: number;
    share: number;
}

/** Report over all seeds of a replay. */
export interface ReplayReport {
    /** Value of the received responses, relative to the value of all requests. */
    share: number;
    kinds: KindRow[];
    losses: ReplayLoss[];
    /** Mean number of datagrams between entries per request. */
    datagramsPerRequest: number;
}

const highestTrackableMilliseconds = 3_600_000;
const lossTableSpan: Milliseconds = 1_000;
const percentPerUnit = 100;

/** Value of the response that a caller received. */
export const earnedValue = ({ outcome, arrival }: CallerRecord): number => {
    switch (outcome) {
        case CallerOutcome.InTime:
            return arrival.value;
        case CallerOutcome.Late:
            return arrival.lateValue;
        case CallerOutcome.Refused:
        case CallerOutcome.Failed:
            return 0;
    }
};

/** Creates the report over the results of several seeds. */
export const createReplayReport = (results: readonly ReplayResult[]): ReplayReport => {
    const records = results.flatMap(result => result.records).filter(({ arrival }) => !arrival.crashes);
    const offeredTotal = records.reduce((sum, { arrival }) => sum + arrival.value, 0);
    const earnedTotal = records.reduce((sum, record) => sum + earnedValue(record), 0);
    const datagrams = results.reduce((sum, result) => sum + result.datagrams, 0);
    const kinds = [...new Set(records.map(({ arrival }) => arrival.kind))].sort();
    return {
        share: earnedTotal / offeredTotal,
        kinds: kinds.map(kind => createKindRow(kind, records.filter(({ arrival }) => arrival.kind === kind))),
        losses: averageLosses(results),
        datagramsPerRequest: datagrams / records.length,
    };
};

const averageLosses = (results: readonly ReplayResult[]): ReplayLoss[] => {
    const losses = new Map<string, ReplayLoss>();
    for (const { lines } of results) {
        const traces = buildTraces(lines satisfies readonly LogLine[]);
        for (const { reason, requests, share } of createLossTable(traces, lossTableSpan).reasons) {
            const previous = losses.get(reason) ?? { reason, requests: 0, share: 0 };
            losses.set(reason, {
                reason,
                requests: previous.requests + requests,
                share: previous.share + share / results.length,
            });
        }
    }
    return [...losses.values()].sort((left, right) => right.share - left.share);
};

const createKindRow = (kind: string, records: readonly CallerRecord[]): KindRow => {
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
        firstEvent: computePercentiles(records.flatMap(({ firstEvent }) => firstEvent ?? [])),
        longestPause: computePercentiles(records.map(({ longestPause }) => longestPause)),
    };
};

const computePercentiles = (times: readonly Milliseconds[]): Percentiles => {
    const histogram: Histogram = build({
        highestTrackableValue: highestTrackableMilliseconds,
        numberOfSignificantValueDigits: 3,
    });
    for (const time of times) {
        histogram.recordValue(Math.max(1, Math.round(time)));
    }
    const valueAt = (percentile: number) => times.length === 0 ? 0 : histogram.getValueAtPercentile(percentile);
    return { p50: valueAt(50), p95: valueAt(95), p99: valueAt(99) };
};

/** Formats the report as text. */
export const formatReplayReport = ({ share, kinds, losses, datagramsPerRequest }: ReplayReport): string => {
    const formatPercent = (ratio: number) => `${(ratio * percentPerUnit).toFixed(1)}%`;
    const formatPercentiles = ({ p50, p95, p99 }: Percentiles) => `p50 ${p50}, p95 ${p95}, p99 ${p99} ms`;
    const lines = [`${formatPercent(share)} of the value, ${datagramsPerRequest.toFixed(1)} datagrams per request`];
    for (const { kind, requests, outcomes, firstEvent, longestPause } of kinds) {
        const outcomeCounts = Object.entries(outcomes).map(([outcome, count]) => `${count} ${outcome}`).join(", ");
        lines.push(
            `${kind}: ${requests} requests, ${outcomeCounts}`,
            `  first event ${formatPercentiles(firstEvent)}; longest pause ${formatPercentiles(longestPause)}`,
        );
    }
    lines.push("lost, by reason:");
    for (const { reason, requests, share: lostShare } of losses) {
        lines.push(`  ${formatPercent(lostShare).padStart(6)} ${String(requests).padStart(6)} ${reason}`);
    }
    return lines.join("\n");
};
