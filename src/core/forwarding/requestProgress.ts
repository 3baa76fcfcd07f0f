/** How far one request has come: its sends, its stream, the time that is left, and how it fails. */
import type { CallerExchange, ForwardedRequest } from "../../ports/forwardingPorts.js";
import type { Milliseconds } from "../../utils/clock.js";
import { abortQuietly } from "../../utils/signal.js";
import { Execution, FailureKind, RequestFailure } from "../failures.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import type { Admission } from "./admission.js";
import { Attempts } from "./attempts.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { patienceOf } from "./overload.js";
import { StreamRelay } from "./streamRelay.js";

/** An order needs at least this much time to be worth sending. */
const leastTimeToSend: Milliseconds = 20;
/**
 * Pause before memory is asked for again: random, so that two entries that took it from one another don't meet again.
 * About the time in which a prompt of usual length is read.
 */
const memoryPauseAtLeast: Milliseconds = 50;
const memoryPauseSpread: Milliseconds = 150;
/** The longest pause. */
export const memoryPauseAtMost: Milliseconds = memoryPauseAtLeast + memoryPauseSpread;

/** What the steps of one request share. */
export class RequestProgress {
    readonly attempts = new Attempts();
    readonly relay: StreamRelay;
    private readonly ending = new AbortController();

    constructor(
        readonly parts: ForwardingParts,
        readonly exchange: CallerExchange,
        readonly request: ForwardedRequest,
        readonly admission: Admission,
    ) {
        this.relay = new StreamRelay(parts.clock, parts.metrics, exchange);
    }

    /** Aborts when the request ends in whatever way. */
    get ended(): AbortSignal {
        return this.ending.signal;
    }

    end(): void {
        abortQuietly(this.ending);
    }

    get timeLeft(): Milliseconds {
        return this.admission.deadline - this.parts.clock.now();
    }

    get waited(): Milliseconds {
        return this.parts.clock.now() - this.request.arrivedAt;
    }

    /** How much longer the caller waits for the next event. */
    get patienceLeft(): Milliseconds {
        return Math.min(patienceOf(this.admission.route) - this.relay.sinceLastEvent, this.timeLeft);
    }

    /** Whether the request may go to one more endpoint. */
    maySendAgain(mayRunAgain = this.admission.repeatable || !this.attempts.mayHaveRun): boolean {
        return this.attempts.taken < this.admission.route.attempts
            && mayRunAgain
            && this.timeLeft > leastTimeToSend;
    }

    /** A random pause before memory is asked for again. */
    pauseForMemory(): Promise<void> {
        const { clock, random } = this.parts;
        return clock.sleep(memoryPauseAtLeast + random.next() * memoryPauseSpread, this.ended);
    }

    /** A failure that promises "not run" only when that is certain. */
    failure(kind: FailureKind, detail: string, retryAfterSeconds: number): RequestFailure {
        return this.attempts.mayHaveRun
            ? new RequestFailure(FailureKind.OutcomeUnknown, Execution.Unknown, detail)
            : new RequestFailure(kind, Execution.NotRun, detail, retryAfterSeconds);
    }

    /** Throws when the caller has left or its time is over. */
    checkTime(): void {
        if (this.ended.aborted || this.timeLeft <= 0) {
            const execution = this.attempts.taken === 0 ? Execution.NotRun : Execution.Unknown;
            const detail = this.exchange.disconnected.aborted
                ? "the caller has left"
                : "the time for this request is over";
            throw new RequestFailure(FailureKind.DeadlineExceeded, execution, detail);
        }
    }

    /** Logs one line of this request. */
    note(message: string, endpoint: KnownEndpoint | undefined, fields: Record<string, unknown>): void {
        this.parts.log.info(message, {
            requestId: this.request.id,
            endpoint: endpoint?.record.id,
            send: this.attempts.taken,
            elapsed: Math.round(this.parts.clock.now() - this.request.arrivedAt),
            ...fields,
        });
    }
}
