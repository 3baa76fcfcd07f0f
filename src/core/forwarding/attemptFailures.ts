/** Records the failed attempts of one request, and tells on which terms the request may be sent once more. */
import {
    type AttemptOutcome,
    ConnectFailure,
    type Refusal,
    RefusalReason,
    type ResponseHead,
} from "../../ports/forwardingPorts.js";
import type { Milliseconds } from "../../utils/clock.js";
import { FailureKind } from "../failures.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import type { Attempt } from "./attempt.js";
import type { FailedOutcome } from "./hedge.js";
import type { QuarantineGate } from "./quarantineGate.js";
import type { RequestProgress } from "./requestProgress.js";

export const firstFailureStatus = 500;
/** A timer may run by this much before its time. */
const timerTolerance: Milliseconds = 1;
const addressesTaken = "the listed addresses belong to other endpoints";

/** A complete response of an endpoint. */
export interface BufferedResponse {
    head: ResponseHead;
    body: Buffer;
}

/** On which terms a request is sent again. */
export type RetryTerms =
    | { type: "AtOnce"; }
    /** Memory is requested again after a delay. */
    | { type: "AfterDelay"; }
    /** No endpoint of the route was reached. */
    | { type: "Unreached"; detail: string; }
    /** The same, and the send counts against the retry budget. */
    | { type: "Misdirected"; detail: string; }
    /** The attempt counts, and a further one needs a retry of the budget. */
    | { type: "Counted"; kind: FailureKind; detail: string; };

/** Whether an attempt that failed on these terms has reached an endpoint, and so has used its retry. */
export const hasUsedRetry = ({ type }: RetryTerms): boolean => type === "Misdirected" || type === "Counted";

/** The failed attempts of one request. */
export class AttemptFailures {
    /** The last failure response of an endpoint, sent to the caller when no other attempt succeeds. */
    response: BufferedResponse | undefined;

    constructor(private readonly progress: RequestProgress, private readonly quarantineGate: QuarantineGate) {}

    /** Records a failed attempt, and returns the terms for the next one. */
    record(attempt: Attempt, outcome: FailedOutcome): RetryTerms {
        const { attempts, dependencies, fingerprint } = this.progress;
        const { endpoint } = attempt;
        switch (outcome.type) {
            case "NoMemory":
                dependencies.metrics.count("memory_lacking_total");
                attempts.recordMemoryShortage(outcome.endpointsWithoutMemory);
                return { type: "AfterDelay" };
            case "Withdrawn":
                attempts.excludeLastFromCount();
                this.progress.log("An endpoint accepts no more requests.", endpoint, {});
                return { type: "AtOnce" };
            case "Unreached":
                this.recordUnreached(endpoint, outcome.failure);
                attempts.excludeLastFromCount();
                attempts.recordRefused(endpoint.record.id);
                this.progress.log("An endpoint can't be reached.", endpoint, { reason: outcome.reason });
                return { type: "Unreached", detail: "no endpoint could be reached" };
            case "Refused":
                return this.recordRefusal(endpoint, outcome);
            case "Broken":
            case "Silent":
                this.recordLost(attempt, outcome.type === "Silent");
                this.progress.log("An endpoint broke off.", endpoint, {
                    reason: outcome.reason,
                    content: fingerprint.value,
                });
                return {
                    type: "Counted",
                    kind: FailureKind.OutcomeUnknown,
                    detail: `the endpoint failed before its response was complete: ${outcome.reason}`,
                };
            case "Answered":
                return this.recordFailureResponse(endpoint, outcome);
        }
    }

    /** Records that an endpoint broke off its response, or was given up because it sent nothing more. */
    recordLost(attempt: Attempt, isStalled: boolean): void {
        const { lossReports, metrics } = this.progress.dependencies;
        if (isStalled) {
            this.recordSilent(attempt);
            this.quarantineGate.recordAbandoned(attempt);
        }
        else {
            void lossReports.recordBroken(attempt.endpoint, attempt.path);
            this.quarantineGate.recordBroken(attempt);
        }
        this.progress.attempts.recordBroken(attempt.endpoint.record.id);
        metrics.count("endpoint_breaks_total");
    }

    /** Records an endpoint that sends nothing, so that other requests avoid it meanwhile. */
    recordSilent(attempt: Attempt): void {
        if (!attempt.isReportedSilent) {
            attempt.isReportedSilent = true;
            void this.progress.dependencies.lossReports.recordSilent(attempt.endpoint, attempt.path);
        }
    }

    /** Records that an endpoint sends again. */
    recordResumed(attempt: Attempt): void {
        if (attempt.isReportedSilent) {
            attempt.isReportedSilent = false;
            this.progress.dependencies.failureTracker.recordSucceeded(attempt.endpoint);
        }
    }

    /** Records an endpoint from which nothing more came until the deadline: its process may have ended. */
    recordIfTimedOut(attempt: Attempt, isPending: boolean): void {
        if (isPending && this.progress.timeLeft <= timerTolerance) {
            this.quarantineGate.recordAbandoned(attempt);
        }
    }

    /** Records a response that doesn't serve the request. */
    recordFailureResponse(
        endpoint: KnownEndpoint,
        { head, body }: Extract<AttemptOutcome, { type: "Answered"; }>,
    ): RetryTerms {
        const { dependencies, attempts } = this.progress;
        attempts.recordBroken(endpoint.record.id);
        if (head.status >= firstFailureStatus) {
            dependencies.failureTracker.recordFailed(endpoint.record.id);
            this.response = { head, body };
        }
        this.progress.log("An endpoint failed.", endpoint, { status: head.status });
        const detail = `the endpoint responded with status ${head.status}`;
        return { type: "Counted", kind: FailureKind.OutcomeUnknown, detail };
    }

    private recordUnreached(endpoint: KnownEndpoint, failure: ConnectFailure): void {
        const { failureTracker } = this.progress.dependencies;
        switch (failure) {
            case ConnectFailure.Refused:
                failureTracker.recordUnreachable(endpoint);
                return;
            case ConnectFailure.NoResponse:
                failureTracker.recordLost(endpoint);
                return;
            case ConnectFailure.RelayUnavailable:
                return;
        }
    }

    /**
     * Records a refusal by the endpoint at fault. An endpoint that lost its helper refuses in the helper's place and names the
     * helper. If that name were ignored, the dead helper would be chosen again, and the attempts would be used up although no
     * endpoint of the route was busy.
     */
    private recordRefusal(endpoint: KnownEndpoint, { reason, atFault: nameAtFault }: Refusal): RetryTerms {
        const { directory, failureTracker, metrics } = this.progress.dependencies;
        const { attempts } = this.progress;
        const { id } = endpoint.record;
        const atFault = nameAtFault === undefined ? undefined : directory.find(nameAtFault);
        metrics.count("endpoint_refusals_total", `reason="${reason}"`);
        this.progress.log("An endpoint refused.", endpoint, { reason, atFault: nameAtFault });
        if (atFault && atFault.record.id !== id) {
            failureTracker.recordLost(atFault);
            attempts.excludeLastFromCount();
            attempts.recordRefused(atFault.record.id);
            const detail = "a helper endpoint of the chosen endpoint is gone";
            return { type: "Counted", kind: FailureKind.Overloaded, detail };
        }
        attempts.recordRefused(id);
        if (reason === RefusalReason.WrongEndpoint) {
            // The address belongs to another endpoint now, so the chosen endpoint was never reached.
            directory.recordAddressTaken(endpoint.record);
            failureTracker.recordLost(endpoint);
            attempts.excludeLastFromCount();
            return { type: "Misdirected", detail: addressesTaken };
        }
        failureTracker.recordFailed(id);
        return {
            type: "Counted",
            kind: FailureKind.Overloaded,
            detail: `the endpoint refused the request: ${reason}`,
        };
    }
}
