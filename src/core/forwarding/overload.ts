/**
 * Decides which requests are rejected at once, and when their callers should retry.
 *
 * Load pattern: more requests arrive than the endpoints can serve, or this entry is about to stop. A request that its caller
 * would give up only delays others, and a caller that is rejected at once can retry in time.
 */
import { match } from "ts-pattern";
import { RequestKind, type Route } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { Random } from "../../utils/random.js";
import { Execution, FailureKind, RequestFailure } from "../failures.js";
import type { PlannedStop } from "./forwardingDependencies.js";

/** Retry-After when an endpoint was too busy: the time of a few short requests. */
export const busyRetrySeconds = 0.25;
/** Retry-After while a service has no usable endpoint: about one heartbeat interval of the endpoints. */
export const noEndpointRetrySeconds = 1;
/**
 * Callers that wait for the same endpoint return spread over a part of the time that it still needs, as they would
 * overload it again if they came together.
 */
const returnSpreadRatio = 0.25;
/** Retry-After for a retry at another entry: almost at once, but not in step with all other callers. */
const stoppingRetrySeconds = 0.1;
/**
 * Callers wait for the next event for the longest of a minimum, a multiple of the first-event target and a multiple of the
 * inter-event gap target.
 */
const minimumPatience: Milliseconds = 2_000;
const patienceTargetFactor = 4;
const patienceGapFactor = 8;
/**
 * How long a balancer still routes callers to an entry that reports that it is stopping: two health checks one second apart,
 * and the response to a third.
 */
const balancerReactionTime: Milliseconds = 3_000;
/**
 * Safety factors on the predicted duration of a response, which assumes the longest response that the request allows. The
 * factor doubles later in a stop, because inter-event gaps grow while long prompts are prefilled beside a stream. While the
 * balancer still routes callers to this entry, most of the grace period is left, and rejected callers may reach the next
 * stopping entry.
 */
const earlyStopPredictionFactor = 1;
const lateStopPredictionFactor = 2;
/** Safety factor on the longest duration that was seen. */
const longestDurationFactor = 1.25;

/** Why a request is rejected, and when its caller should retry. */
export interface Rejection {
    kind: FailureKind;
    detail: string;
    retryAfterSeconds: number;
}

/** How long callers of a route wait for the next event, or for a response that isn't streamed. */
export const callerPatience = (route: Route): Milliseconds =>
    route.kind === RequestKind.Streaming
        ? Math.max(
            minimumPatience,
            patienceTargetFactor * route.targetLatency,
            patienceGapFactor * (route.targetGap ?? 0),
        )
        : route.timeout;

/** What is known of how long a request will take. */
export type ExpectedDuration =
    | { type: "Predicted"; duration: Milliseconds; }
    | {
        /** The service has no engine whose speed would be known. */
        type: "Observed";
        target: Milliseconds;
        /** The longest recent duration on its route; undefined where no request has ended there. */
        longest: Milliseconds | undefined;
        /** Time until its deadline, when it ends in any case. */
        timeLeft: Milliseconds;
    };

/**
 * Rejects a request that would not end before this entry stops. A stopping entry still receives requests when all entries of
 * its data centre stop and the balancer knows no other. Such a request would be cut midway, while a caller that is rejected at
 * once finds another entry.
 */
export const rejectUnfinishedAtStop = (
    expected: ExpectedDuration,
    now: Milliseconds,
    stop: PlannedStop,
): Rejection | undefined => {
    const isLate = now - stop.startedAt >= balancerReactionTime;
    return now + durationAtStop(expected, isLate) > stop.endsAt
        ? {
            kind: FailureKind.Stopping,
            detail: "this entry stops before the response would be complete",
            retryAfterSeconds: stoppingRetrySeconds,
        }
        : undefined;
};

/** Creates the failure of a request that is still in progress when this entry has stopped. */
export const createStopFailure = (wasSent: boolean): RequestFailure => {
    const detail = "this entry has stopped before the response was complete";
    return wasSent
        ? new RequestFailure(FailureKind.OutcomeUnknown, Execution.Unknown, detail)
        : new RequestFailure(FailureKind.Stopping, Execution.NotRun, detail, stoppingRetrySeconds);
};

const durationAtStop = (expected: ExpectedDuration, isLate: boolean): Milliseconds => {
    const predictionFactor = isLate ? lateStopPredictionFactor : earlyStopPredictionFactor;
    return match(expected)
        .with({ type: "Predicted" }, ({ duration }) => predictionFactor * duration)
        .with({ type: "Observed" }, ({ target, longest, timeLeft }) => {
            if (longest === undefined) {
                return isLate ? timeLeft : Math.min(target, timeLeft);
            }
            return Math.min(Math.max(predictionFactor * target, longestDurationFactor * longest), timeLeft);
        })
        .exhaustive();
};

/**
 * Rejects a stream whose first event would arrive after its caller gives up. The caller should retry once the work that it
 * would have waited for is done.
 */
export const rejectLateFirstEvent = (
    route: Route,
    firstEvent: Milliseconds,
    patienceLeft: Milliseconds,
): Rejection | undefined => {
    if (route.kind !== RequestKind.Streaming || firstEvent <= patienceLeft) {
        return undefined;
    }
    const retryDelaySeconds = Math.max(busyRetrySeconds, (firstEvent - route.targetLatency) / 1_000);
    return {
        kind: FailureKind.Overloaded,
        detail: `the first event would take ${Math.round(firstEvent)} ms, longer than the caller waits`,
        retryAfterSeconds: Math.round(retryDelaySeconds * 100) / 100,
    };
};

/**
 * Creates the rejection for a request when no endpoint of `service` is usable. `timeUntilCapacity` is when an endpoint that
 * accepts nothing from this entry now accepts the next request. A caller that returned earlier would be rejected again.
 */
export const rejectWithoutEndpoint = (
    service: string,
    timeUntilCapacity: Milliseconds | undefined,
    random: Random,
): Rejection => {
    if (timeUntilCapacity === undefined) {
        const detail = `no endpoint of ${service} is usable`;
        return { kind: FailureKind.NoEndpoint, detail, retryAfterSeconds: noEndpointRetrySeconds };
    }
    const spreadDelay = timeUntilCapacity * (1 + returnSpreadRatio * random.next());
    const retryDelaySeconds = Math.max(busyRetrySeconds, spreadDelay / 1_000);
    return {
        kind: FailureKind.NoEndpoint,
        detail: `the endpoints of ${service} accept no more requests from this entry now`,
        retryAfterSeconds: Math.round(retryDelaySeconds * 100) / 100,
    };
};
