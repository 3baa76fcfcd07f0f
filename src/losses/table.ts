/** Sums up losses by reason and by time, and formats them as a table. */
import { requestValue } from "../core/placement/requestValue.js";
import type { Milliseconds } from "../utils/clock.js";
import { findLosses, type Loss, LossReason } from "./reasons.js";
import type { RequestTrace } from "./requestTraces.js";

/** Share of a request's value that is lost by a late response; customers value a late response at a quarter. */
const lateLossRatio = 0.75;
/**
 * A route whose timeout is below this multiple of its target ends requests that are hardly late. Operators use such a route to
 * test which configuration is in force, and its requests would hide the losses of all others.
 */
const shortTimeoutFactor = 2;
/** Maximum number of reasons listed for each time span. */
const reasonsPerSpan = 3;
const percentPerUnit = 100;

/** Losses for one reason. */
export interface ReasonRow {
    reason: LossReason;
    requests: number;
    /** Lost value, relative to the value of all requests. */
    share: number;
}

/** Losses of the requests that arrived in one time span. */
export interface SpanRow {
    from: Milliseconds;
    /** Lost value, relative to the value of the span's requests, and the reasons with the highest losses. */
    share: number;
    reasons: ReasonRow[];
}

/** Losses by reason and by time span. */
export interface LossTable {
    requests: number;
    /** Requests on routes whose timeout is close to their target. They are not part of the other figures. */
    shortTimeoutRequests: number;
    reasons: ReasonRow[];
    spans: SpanRow[];
}

const valueOf = ({ promptTokens = 0 }: RequestTrace): number => requestValue(promptTokens);
const lostValue = ({ trace, isLate }: Loss): number => valueOf(trace) * (isLate ? lateLossRatio : 1);
const sumBy = <Item>(items: readonly Item[], value: (item: Item) => number): number =>
    items.reduce((total, item) => total + value(item), 0);

const hasShortTimeout = ({ timeout = Infinity, target = 0 }: RequestTrace): boolean =>
    timeout < shortTimeoutFactor * target;

/** Creates the table of the losses of all traces, with time spans of `span` milliseconds. */
export const createLossTable = (allTraces: readonly RequestTrace[], span: Milliseconds): LossTable => {
    const traces = allTraces.filter(trace => !hasShortTimeout(trace));
    const losses = findLosses(traces);
    const spanStart = ({ arrivedAt }: RequestTrace) => Math.floor(arrivedAt / span) * span;
    const spans = [...new Set(traces.map(spanStart))].sort((left, right) => left - right).map(from => {
        const value = sumBy(traces.filter(trace => spanStart(trace) === from), valueOf);
        const lost = losses.filter(({ trace }) => spanStart(trace) === from);
        const reasons = createReasonRows(lost, value);
        return { from, share: sumBy(reasons, ({ share }) => share), reasons: reasons.slice(0, reasonsPerSpan) };
    });
    return {
        requests: traces.length,
        shortTimeoutRequests: allTraces.length - traces.length,
        reasons: createReasonRows(losses, sumBy(traces, valueOf)),
        spans,
    };
};

const createReasonRows = (losses: readonly Loss[], value: number): ReasonRow[] =>
    Object.values(LossReason).map(reason => {
        const matching = losses.filter(loss => loss.reason === reason);
        return {
            reason,
            requests: matching.length,
            share: sumBy(matching, lostValue) / Math.max(value, Number.MIN_VALUE),
        };
    }).filter(({ requests }) => requests > 0).sort((left, right) => right.share - left.share);

/** Formats the table as text, with shares in percent and times in seconds. */
export const formatLossTable = ({ requests, shortTimeoutRequests, reasons, spans }: LossTable): string => {
    const formatShare = (share: number) => (share * percentPerUnit).toFixed(1).padStart(5);
    const lines = [
        `${requests} requests, ${formatShare(sumBy(reasons, ({ share }) => share)).trim()}% of their value lost`,
        `${shortTimeoutRequests} further requests on routes whose timeout is close to their target, not counted`,
        ...reasons.map(({ reason, requests: count, share }) =>
            `${formatShare(share)}% ${String(count).padStart(5)} ${reason}`
        ),
        "from second: share lost, and the main reasons",
        ...spans.map(({ from, share, reasons: topReasons }) => {
            const reasonList = topReasons.map(row => `${row.reason} ${formatShare(row.share).trim()}%`).join(", ");
            return `${(from / 1_000).toFixed(0).padStart(6)}: ${formatShare(share)}% ${reasonList}`;
        }),
    ];
    return lines.join("\n");
};
