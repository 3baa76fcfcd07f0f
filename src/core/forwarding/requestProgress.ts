/** Holds the state that the steps of one request share: its attempts, its stream, its remaining time and its failures. */
import type { CallerExchange, ForwardedRequest } from "../../ports/forwardingPorts.js";
import type { Milliseconds } from "../../utils/clock.js";
import { abortQuietly } from "../../utils/signal.js";
import { Execution, FailureKind, RequestFailure } from "../failures.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import { createMemoryFailure, memoryBoundDetail } from "../memoryBounds/requestMemory.js";
import { RequestFingerprint } from "../quarantine/requestFingerprint.js";
import type { Admission } from "./admission.js";
import { Attempts } from "./attempts.js";
import type { ForwardingDependencies } from "./forwardingDependencies.js";
import { callerPatience, createStopFailure } from "./overload.js";
import { StreamRelay } from "./streamRelay.js";

/** With less time than this left, an attempt is not worth sending. */
const minimumTimeToSend: Milliseconds = 20;
/**
 * Delay before memory is requested again: about the time that an engine takes to prefill a prompt of usual length. The jitter
 * keeps two entries that took memory from each other from colliding again.
 */
const minimumMemoryRetryDelay: Milliseconds = 50;
const memoryRetryJitter: Milliseconds = 150;
/** The longest such delay. */
export const maximumMemoryRetryDelay: Milliseconds = minimumMemoryRetryDelay + memoryRetryJitter;

/** State of one request. */
export class RequestProgress {
    readonly attempts = new Attempts();
    readonly relay: StreamRelay;
    /** Identifies the request by its content, also when its caller sends it again. */
    readonly fingerprint: RequestFingerprint;
    private readonly endController = new AbortController();
    private hasEntryStopped = false;

    constructor(
        readonly dependencies: ForwardingDependencies,
        readonly exchange: CallerExchange,
        readonly request: ForwardedRequest,
        readonly admission: Admission,
    ) {
        this.relay = new StreamRelay(dependencies.clock, dependencies.metrics, exchange);
        this.fingerprint = new RequestFingerprint(request, admission.customer?.name);
    }

    /** Aborts when the request ends, whether it succeeded or not. */
    get ended(): AbortSignal {
        return this.endController.signal;
    }

    end(): void {
        abortQuietly(this.endController);
    }

    /** Ends the request because this entry has stopped. */
    endAtStop(): void {
        this.hasEntryStopped = true;
        this.end();
    }

    get timeLeft(): Milliseconds {
        return this.admission.deadline - this.dependencies.clock.now();
    }

    get timeSinceArrival(): Milliseconds {
        return this.dependencies.clock.now() - this.request.arrivedAt;
    }

    /** How much longer the caller waits for the next event. */
    get patienceLeft(): Milliseconds {
        return Math.min(callerPatience(this.admission.route) - this.relay.timeSinceLastEvent, this.timeLeft);
    }

    /** Whether it is safe to send the request once more: it certainly has not run, or it may run twice. */
    get mayRunAgain(): boolean {
        return this.admission.isRetryable || !this.attempts.mayHaveRun;
    }

    /** Whether the request may be sent once more. */
    mayRetry(mayRunAgain = this.mayRunAgain): boolean {
        return this.attempts.areLeft(this.admission.route.attempts)
            && mayRunAgain
            && this.timeLeft > minimumTimeToSend;
    }

    /** Waits a random delay before memory is requested again. */
    waitBeforeMemoryRetry(): Promise<void> {
        const { clock, random } = this.dependencies;
        return clock.sleep(minimumMemoryRetryDelay + random.next() * memoryRetryJitter, this.ended);
    }

    /** Creates a failure that reports "not run" only when the request certainly has not run. */
    createFailure(kind: FailureKind, detail: string, retryAfterSeconds: number): RequestFailure {
        return this.attempts.mayHaveRun
            ? new RequestFailure(FailureKind.OutcomeUnknown, Execution.Unknown, detail)
            : new RequestFailure(kind, Execution.NotRun, detail, retryAfterSeconds);
    }

    /**
     * Throws when the caller has disconnected, the deadline has passed, this entry has stopped or the buffered data of the request
     * stays unread.
     */
    throwIfEnded(): void {
        if (this.exchange.memory?.ended.aborted) {
            throw this.attempts.countedAttempts === 0
                ? createMemoryFailure()
                : new RequestFailure(FailureKind.OutcomeUnknown, Execution.Unknown, memoryBoundDetail);
        }
        if (this.hasEntryStopped) {
            throw createStopFailure(this.attempts.countedAttempts > 0);
        }
        if (this.ended.aborted || this.timeLeft <= 0) {
            const execution = this.attempts.countedAttempts === 0 ? Execution.NotRun : Execution.Unknown;
            const detail = this.exchange.disconnected.aborted
                ? "the caller has left"
                : "the time for this request is over";
            throw new RequestFailure(FailureKind.DeadlineExceeded, execution, detail);
        }
    }

    /** Logs one message about this request. */
    log(message: string, endpoint: KnownEndpoint | undefined, fields: Record<string, unknown>): void {
        this.dependencies.log.info(message, {
            requestId: this.request.id,
            endpoint: endpoint?.record.id,
            send: this.attempts.countedAttempts,
            elapsed: Math.round(this.dependencies.clock.now() - this.request.arrivedAt),
            ...fields,
        });
    }
}
