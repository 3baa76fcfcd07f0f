/** Summarizes an experiment: outcomes, and time to first token by prompt length. */
import { build, Histogram } from "hdr-histogram-js";
import { CallOutcome, CallRecord } from "./caller.js";

const highestTrackableMilliseconds = 3_600_000;
const lengthClassLimits = [2_000, 10_000, 100_000, 500_000, Infinity];

/** Time to first token of one class of prompt lengths, in milliseconds. */
export interface LengthRow {
    upToTokens: number | undefined;
    requests: number;
    p50: number;
    p95: number;
    p99: number;
    highest: number;
}

/** Report of one experiment. */
export interface LoadReport {
    requests: number;
    outcomes: Record<CallOutcome, number>;
    /** Requests that ended after their deadline. */
    late: number;
    seconds: number;
    firstToken: LengthRow[];
    byTarget: Record<string, number>;
    /** The first few requests whose response wasn't complete and correct. */
    examples: CallRecord[];
}

const maximumExamples = 10;
const lateToleranceMilliseconds = 500;

const createHistogram = (): Histogram =>
    build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: highestTrackableMilliseconds,
        numberOfSignificantValueDigits: 3,
    });

const createFirstTokenRows = (records: readonly CallRecord[]): LengthRow[] => {
    const rows: LengthRow[] = [];
    let lowerLimit = 0;
    for (const upperLimit of lengthClassLimits) {
        const histogram = createHistogram();
        for (const record of records) {
            const inClass = record.promptTokens > lowerLimit && record.promptTokens <= upperLimit;
            if (inClass && record.firstTokenMilliseconds !== undefined) {
                histogram.recordValue(Math.max(1, Math.round(record.firstTokenMilliseconds)));
            }
        }
        lowerLimit = upperLimit;
        if (histogram.totalCount > 0) {
            rows.push({
                upToTokens: Number.isFinite(upperLimit) ? upperLimit : undefined,
                requests: histogram.totalCount,
                p50: histogram.getValueAtPercentile(50),
                p95: histogram.getValueAtPercentile(95),
                p99: histogram.getValueAtPercentile(99),
                highest: histogram.maxValue,
            });
        }
    }
    return rows;
};

/** Creates the report of an experiment that took `seconds`. */
export const summarize = (records: readonly CallRecord[], seconds: number, timeoutMilliseconds: number): LoadReport => {
    const outcomes = Object.fromEntries(Object.values(CallOutcome).map(outcome => [outcome, 0])) as Record<
        CallOutcome,
        number
    >;
    const byTarget: Record<string, number> = {};
    let late = 0;
    for (const record of records) {
        outcomes[record.outcome]++;
        byTarget[record.target] = (byTarget[record.target] ?? 0) + 1;
        late += record.totalMilliseconds > timeoutMilliseconds + lateToleranceMilliseconds ? 1 : 0;
    }
    return {
        requests: records.length,
        outcomes,
        late,
        seconds,
        firstToken: createFirstTokenRows(records),
        byTarget,
        examples: records.filter(record => record.outcome !== CallOutcome.Whole).slice(0, maximumExamples),
    };
};

/** Formats the report as text. */
export const formatLoadReport = (report: LoadReport): string => {
    const lines = [
        `${report.requests} requests in ${report.seconds.toFixed(1)} s, ${report.late} late`,
        `outcomes: ${Object.entries(report.outcomes).map(([outcome, count]) => `${outcome} ${count}`).join(", ")}`,
        "time to first token in ms:",
    ];
    for (const row of report.firstToken) {
        const name = row.upToTokens === undefined ? "longer" : `up to ${row.upToTokens}`;
        lines.push(`  ${name} tokens: ${row.requests} requests, p50 ${row.p50}, p95 ${row.p95}, p99 ${row.p99}`);
    }
    for (const example of report.examples) {
        lines.push(`  not whole: #${example.index} ${example.outcome} ${example.status} ${example.detail ?? ""}`);
    }
    return lines.join("\n");
};
