/** Finds the reason why a request was late or had no response, as far as the entries' logs show it. */
import { match } from "ts-pattern";
import { FailureKind } from "../core/failures.js";
import type { Milliseconds } from "../utils/clock.js";
import { type AttemptTrace, type RequestTrace, TraceEnd } from "./requestTraces.js";

/** Reasons for losses. The texts are printed and written to JSON reports. */
export enum LossReason {
    SlotWait = "waited for a slot",
    PrefillWait = "waited behind reads",
    OwnPrefill = "took long to read",
    UnpredictedPrefillWait = "waited behind reads that weren't foreseen",
    Unpredicted = "later than predicted, for no reason in the lines",
    MemoryWait = "waited for memory",
    Postponed = "postponed for what was worth more",
    EndpointLost = "its endpoint was lost, refused it or fell silent",
    LongGap = "a pause too long",
    LongGapAfterLoss = "a pause when its endpoint was lost",
    Overloaded = "refused: too much to do",
    NoEndpoint = "refused: no endpoint",
    MemoryFull = "refused: its entry buffers too much for slow readers",
    Unread = "ended, as its data stayed unread",
    EntryStopping = "refused: its entry was stopping",
    EntryNotReady = "refused: its entry had just started",
    DeadlineExceeded = "its time was over",
    CallerLeft = "its caller left",
    NotRetryable = "an endpoint broke off, and it may run once only",
    EntryEnded = "its entry ended",
}

/** A request that was late or had no response. */
export interface Loss {
    trace: RequestTrace;
    reason: LossReason;
    /** Whether the request had a response, though a late one. */
    isLate: boolean;
}

/** Transit time between a caller and its entry. Times that an entry measures are shorter by this duration. */
const callerTransitDelay: Milliseconds = 6;
/** A prompt that is this many times as long as another one counts as a long prefill in comparison. */
const longPrefillFactor = 3;

/** Finds the losses of all requests. Requests in time have none. */
export const findLosses = (traces: readonly RequestTrace[]): Loss[] => {
    const prefills = findPrefills(traces);
    const losses: Loss[] = [];
    for (const trace of traces) {
        const reason = findReason(trace, prefills);
        if (reason !== undefined) {
            const isLate = trace.end === TraceEnd.Streamed || trace.end === TraceEnd.Answered;
            losses.push({ trace, reason, isLate });
        }
    }
    return losses;
};

const findReason = (trace: RequestTrace, prefills: PrefillsByEndpoint): LossReason | undefined => {
    if (trace.wasEndedUnread) {
        return LossReason.Unread;
    }
    switch (trace.end) {
        case TraceEnd.Streamed:
        case TraceEnd.Answered:
            return findLatenessReason(trace, prefills);
        case TraceEnd.Failed:
            return findFailureReason(trace);
        case TraceEnd.CallerLeft:
            return LossReason.CallerLeft;
        case TraceEnd.Cut:
            return trace.reason === "the caller has left" ? LossReason.CallerLeft : LossReason.EndpointLost;
        case TraceEnd.Open:
            return LossReason.EntryEnded;
    }
};

const findLatenessReason = (trace: RequestTrace, prefills: PrefillsByEndpoint): LossReason | undefined => {
    const { target = Infinity, targetGap = Infinity, firstEvent = 0, longestPause, attempts } = trace;
    if (firstEvent > target - callerTransitDelay) {
        return findFirstEventReason(trace, target, prefills);
    }
    if (longestPause > targetGap) {
        return attempts.length > 1 ? LossReason.LongGapAfterLoss : LossReason.LongGap;
    }
    return undefined;
};

const findFirstEventReason = (trace: RequestTrace, target: Milliseconds, prefills: PrefillsByEndpoint): LossReason => {
    const { attempts, waitedForMemory, wasPostponed } = trace;
    const [attempt] = attempts;
    if (waitedForMemory) {
        return LossReason.MemoryWait;
    }
    if (attempts.length > 1 || !attempt) {
        return LossReason.EndpointLost;
    }
    if (wasPostponed) {
        return LossReason.Postponed;
    }
    if (attempt.time - trace.arrivedAt + attempt.predicted <= target) {
        return waitedBehindLongPrefill(trace, attempt, prefills)
            ? LossReason.UnpredictedPrefillWait
            : LossReason.Unpredicted;
    }
    const { slotWait, readWait, predicted } = attempt;
    const ownTime = predicted - slotWait - readWait;
    if (slotWait >= readWait && slotWait >= ownTime) {
        return LossReason.SlotWait;
    }
    return readWait >= ownTime ? LossReason.PrefillWait : LossReason.OwnPrefill;
};

const findFailureReason = ({ failure, reason, attempts }: RequestTrace): LossReason =>
    match(failure)
        .with(FailureKind.NoEndpoint, () => LossReason.NoEndpoint)
        .with(FailureKind.MemoryFull, () => LossReason.MemoryFull)
        .with(FailureKind.Stopping, () => LossReason.EntryStopping)
        .with(FailureKind.NotConfigured, () => LossReason.EntryNotReady)
        .with(FailureKind.DeadlineExceeded, () =>
            reason === "the caller has left" ? LossReason.CallerLeft : LossReason.DeadlineExceeded)
        .with(FailureKind.Overloaded, () =>
            attempts.length > 0 ? LossReason.EndpointLost : LossReason.Overloaded)
        .otherwise(() => LossReason.NotRetryable);

/** Attempts by the endpoints that prefill for them, helpers included. */
type PrefillsByEndpoint = ReadonlyMap<
    string,
    readonly { trace: RequestTrace; attempt: AttemptTrace; until: Milliseconds; }[]
>;

const findPrefills = (traces: readonly RequestTrace[]): PrefillsByEndpoint => {
    const prefills = new Map<string, { trace: RequestTrace; attempt: AttemptTrace; until: Milliseconds; }[]>();
    for (const trace of traces) {
        for (const [index, attempt] of trace.attempts.entries()) {
            const endedAt = trace.attempts[index + 1]?.time ?? trace.endedAt;
            const prefill = { trace, attempt, until: trace.firstEvent ? trace.arrivedAt + trace.firstEvent : endedAt };
            for (const endpoint of [attempt.endpoint, ...attempt.helpers]) {
                prefills.set(endpoint, [...prefills.get(endpoint) ?? [], prefill]);
            }
        }
    }
    return prefills;
};

/** Whether the same endpoint prefilled a much longer prompt while the request waited for its first event. */
const waitedBehindLongPrefill = (trace: RequestTrace, attempt: AttemptTrace, prefills: PrefillsByEndpoint): boolean => {
    const { firstEvent = 0, arrivedAt, promptTokens = 0 } = trace;
    return (prefills.get(attempt.endpoint) ?? []).some(prefill =>
        prefill.trace !== trace
        && (prefill.trace.promptTokens ?? 0) > longPrefillFactor * promptTokens
        && prefill.attempt.time < arrivedAt + firstEvent
        && prefill.until > attempt.time
    );
};
