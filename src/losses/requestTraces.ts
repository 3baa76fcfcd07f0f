/** Reconstructs the course of each request from the log lines of all entries. */
import { FailureKind } from "../core/failures.js";
import type { Milliseconds } from "../utils/clock.js";

/** A parsed line of an entry's log. */
export interface LogLine {
    time: Milliseconds;
    entry: string;
    /** The message with the prefix of the log's part, such as `request: `. */
    message: string;
    fields: Record<string, unknown>;
}

/** One attempt, with the entry's prediction at that time. */
export interface AttemptTrace {
    time: Milliseconds;
    endpoint: string;
    helpers: readonly string[];
    /** Predicted time to the first event; includes the wait for a slot and the wait behind other prefills. */
    predicted: Milliseconds;
    slotWait: Milliseconds;
    readWait: Milliseconds;
}

/** How a request ended. */
export enum TraceEnd {
    Streamed = "streamed",
    Answered = "answered",
    Failed = "failed",
    CallerLeft = "callerLeft",
    Cut = "cut",
    /** The logs show no end, as the entry itself ended before the request. */
    Open = "open",
}

/** The course of one request. */
export interface RequestTrace {
    id: string;
    entry: string;
    arrivedAt: Milliseconds;
    promptTokens: number | undefined;
    target: Milliseconds | undefined;
    targetGap: Milliseconds | undefined;
    /** Timeout of the request's route. */
    timeout: Milliseconds | undefined;
    attempts: AttemptTrace[];
    wasPostponed: boolean;
    waitedForMemory: boolean;
    /** Whether it was ended because a peer didn't read its data. */
    wasEndedUnread: boolean;
    end: TraceEnd;
    endedAt: Milliseconds;
    /** Time from the arrival to the first event of a stream, or to the plain response. */
    firstEvent: Milliseconds | undefined;
    longestPause: Milliseconds;
    /** The kind of a failure, and the reason of a failure or of a cut stream. */
    failure: string | undefined;
    reason: string | undefined;
}

const asNumber = (value: unknown): number | undefined => typeof value === "number" ? value : undefined;
const asText = (value: unknown): string | undefined => typeof value === "string" ? value : undefined;

const unreadMessage = "buffers: A request is ended, because its data stays unread.";

/** Failures caused by the caller's own request; they aren't counted as losses. */
const callerErrorKinds = new Set<string>([
    FailureKind.UnknownRoute,
    FailureKind.UnknownCustomer,
    FailureKind.BadRequest,
    FailureKind.BodyTooLarge,
]);

/** Builds the traces of all requests in `lines`, ordered by arrival. */
export const buildTraces = (lines: readonly LogLine[]): RequestTrace[] => {
    const traceById = new Map<string, RequestTrace>();
    for (const line of lines) {
        const id = asText(line.fields.requestId);
        if (id === undefined || !(line.message.startsWith("request: ") || line.message === unreadMessage)) {
            continue;
        }
        let trace = traceById.get(id);
        if (!trace) {
            trace = createTrace(id, line);
            traceById.set(id, trace);
        }
        applyLine(trace, line);
    }
    return [...traceById.values()].filter(({ failure }) => failure === undefined || !callerErrorKinds.has(failure))
        .sort((left, right) => left.arrivedAt - right.arrivedAt);
};

const createTrace = (id: string, { time, entry, fields }: LogLine): RequestTrace => ({
    id,
    entry,
    arrivedAt: time - (asNumber(fields.elapsed) ?? 0),
    promptTokens: undefined,
    target: undefined,
    targetGap: undefined,
    timeout: undefined,
    attempts: [],
    wasPostponed: false,
    waitedForMemory: false,
    wasEndedUnread: false,
    end: TraceEnd.Open,
    endedAt: time,
    firstEvent: undefined,
    longestPause: 0,
    failure: undefined,
    reason: undefined,
});

const applyLine = (trace: RequestTrace, { time, message, fields }: LogLine): void => {
    trace.promptTokens ??= asNumber(fields.promptTokens);
    switch (message) {
        case "request: Sent.":
            trace.target ??= asNumber(fields.target);
            trace.targetGap ??= asNumber(fields.targetGap);
            trace.timeout ??= asNumber(fields.timeout);
            trace.attempts.push({
                time,
                endpoint: asText(fields.endpoint) ?? "",
                helpers: (fields.helpers as string[] | undefined) ?? [],
                predicted: asNumber(fields.predicted) ?? 0,
                slotWait: asNumber(fields.slotWait) ?? 0,
                readWait: asNumber(fields.readWait) ?? 0,
            });
            return;
        case "request: Postponed.":
            trace.wasPostponed = true;
            return;
        case "request: Memory can't be set aside.":
            trace.waitedForMemory = true;
            return;
        case unreadMessage:
            trace.wasEndedUnread = true;
            setEnd(trace, TraceEnd.Cut, time);
            return;
        case "request: Streamed.":
            setEnd(trace, TraceEnd.Streamed, time);
            trace.firstEvent = asNumber(fields.firstEventAfter);
            trace.longestPause = asNumber(fields.longestPause) ?? 0;
            return;
        case "request: Answered.":
        case "request: Answered with an endpoint's failure.":
            setEnd(trace, TraceEnd.Answered, time);
            trace.firstEvent = asNumber(fields.elapsed);
            return;
        case "request: The caller has left.":
            setEnd(trace, TraceEnd.CallerLeft, time);
            return;
        case "request: A stream was cut.":
            setEnd(trace, TraceEnd.Cut, time);
            trace.reason = asText(fields.reason);
            return;
        case "request: A request failed.":
            setEnd(trace, TraceEnd.Failed, time);
            trace.failure = asText(fields.kind);
            trace.reason = asText(fields.reason);
            return;
    }
};

const setEnd = (trace: RequestTrace, end: TraceEnd, time: Milliseconds): void => {
    trace.end = end;
    trace.endedAt = time;
};
