/**
 * A second attempt of a request, beside one whose endpoint is silent. Whichever sends something first serves the caller.
 *
 * If the silent attempt were cancelled first, an answer that was on its way would be lost wherever no other endpoint can take
 * the request over.
 */
import { type AttemptOutcome, type StreamEvent, StreamStalledError } from "../../ports/forwardingPorts.js";
import { describeError } from "../../utils/errors.js";
import { abortQuietly } from "../../utils/signal.js";
import type { Attempt } from "./attempt.js";
import type { DispatchOutcome } from "./sender.js";

/** An outcome with which an endpoint serves a request. */
export type ServingOutcome = Extract<AttemptOutcome, { type: "Answered" | "Streaming"; }>;
/** An outcome that leaves the request to another attempt. */
export type FailedOutcome = Exclude<DispatchOutcome, { type: "Streaming"; }>;

/** What a hedge needs of its request. */
export interface HedgeActions {
    /** Sends the attempt until `signal` aborts. */
    send: (signal: AbortSignal) => Promise<DispatchOutcome>;
    /** Whether `outcome` serves the request. */
    serves: (outcome: DispatchOutcome) => outcome is ServingOutcome;
    /** Throws if `event` can't follow the events that the caller has. */
    checkOrder: (event: StreamEvent) => void;
    recordFailure: (outcome: FailedOutcome) => void;
}

/** A second attempt of one request. */
export class Hedge {
    /** Resolves once the answer or its first event has arrived; with undefined if the attempt fails or is cancelled. */
    readonly outcome: Promise<ServingOutcome | undefined>;
    private readonly controller = new AbortController();
    private closeStream: () => void = () => {};

    /** Starts the attempt. It is cancelled when `ended` aborts. */
    constructor(readonly attempt: Attempt, ended: AbortSignal, private readonly actions: HedgeActions) {
        ended.addEventListener("abort", () => this.cancel(), { once: true });
        this.outcome = this.run();
    }

    cancel(): void {
        abortQuietly(this.controller);
        this.closeStream();
    }

    private async run(): Promise<ServingOutcome | undefined> {
        const outcome = await this.receive();
        if (this.controller.signal.aborted) {
            this.closeStream();
            return undefined;
        }
        if (this.actions.serves(outcome)) {
            return outcome;
        }
        this.actions.recordFailure(outcome as FailedOutcome);
        return undefined;
    }

    /** Resolves with a stream only once its first event has arrived, or its end. */
    private async receive(): Promise<DispatchOutcome> {
        try {
            const outcome = await this.actions.send(this.controller.signal);
            if (outcome.type !== "Streaming") {
                return outcome;
            }
            const iterator = outcome.events[Symbol.asyncIterator]();
            const first = await iterator.next();
            this.closeStream = () => void iterator.return?.();
            this.checkFirst(first);
            return { ...outcome, events: resume(first, iterator) };
        }
        catch (error) {
            this.closeStream();
            return { type: error instanceof StreamStalledError ? "Silent" : "Broken", reason: describeError(error) };
        }
    }

    /** An attempt that can't go on from the caller's last event must not end the one beside it. */
    private checkFirst(first: IteratorResult<StreamEvent>): void {
        if (!first.done && !this.controller.signal.aborted) {
            this.actions.checkOrder(first.value);
        }
    }
}

/** Yields the events of a stream of which `first` has been read. */
async function* resume(
    first: IteratorResult<StreamEvent>,
    iterator: AsyncIterator<StreamEvent>,
): AsyncIterable<StreamEvent> {
    try {
        for (let next = first; !next.done; next = await iterator.next()) {
            yield next.value;
        }
    }
    finally {
        void iterator.return?.();
    }
}
