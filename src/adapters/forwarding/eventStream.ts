/** Async iterator over the events of a streamed response, for a single consumer. */
import type { IncomingMessage } from "node:http";
import { StreamBrokenError, type StreamEvent } from "../../ports/forwardingPorts.js";
import { describeError } from "../../utils/errors.js";
import { EventReader } from "./eventReader.js";

/** Limit on queued events; above it the response is paused as backpressure on the endpoint. */
const maximumQueuedEvents = 64;

/** A call of `next` that waits for an event. */
interface PendingRead {
    resolve: (result: IteratorResult<StreamEvent>) => void;
    reject: (error: unknown) => void;
}

/** How the stream ended. */
type StreamEnd = { type: "Whole"; } | { type: "Broken"; error: unknown; };

/**
 * Reads events from a response. Node's own iteration over a response, and generators over it, cost several promises per event,
 * and an entry relays thousands of events per second.
 */
export class EventStream implements AsyncIterableIterator<StreamEvent> {
    private readonly reader = new EventReader();
    private readonly queuedEvents: StreamEvent[] = [];
    private pendingRead: PendingRead | undefined;
    private end: StreamEnd | undefined;

    /** `throwIfIncomplete` throws when the response was cut. `onClosed` is called once, when the stream has ended. */
    constructor(
        private readonly response: IncomingMessage,
        private readonly throwIfIncomplete: () => void,
        private readonly onClosed: () => void,
    ) {
        response.on("data", (bytes: Buffer) => this.receive(bytes));
        // Node emits an error that arrives together with the end one turn later; until then a cut response looks complete.
        response.once("end", () => setImmediate(() => this.finish()));
        response.once("error", error => this.close({ type: "Broken", error }));
        response.once("close", () => setImmediate(() => this.finish()));
    }

    [Symbol.asyncIterator](): this {
        return this;
    }

    next(): Promise<IteratorResult<StreamEvent>> {
        return new Promise((resolve, reject) => {
            this.pendingRead = { resolve, reject };
            this.settlePendingRead();
        });
    }

    /** Ends the stream early because the consumer needs no more events. */
    return(): Promise<IteratorResult<StreamEvent>> {
        this.close({ type: "Whole" });
        return Promise.resolve({ done: true, value: undefined });
    }

    private receive(bytes: Buffer): void {
        if (this.end) {
            return;
        }
        try {
            this.queuedEvents.push(...this.reader.push(bytes));
        }
        catch (error) {
            this.close({ type: "Broken", error });
            return;
        }
        if (this.queuedEvents.length >= maximumQueuedEvents) {
            this.response.pause();
        }
        this.settlePendingRead();
    }

    /** Closes the stream after the last byte, as complete or as broken. */
    private finish(): void {
        if (this.end) {
            return;
        }
        try {
            this.throwIfIncomplete();
            if (!this.reader.isAtEventBoundary) {
                throw new StreamBrokenError("the stream ended in the middle of an event");
            }
            this.close({ type: "Whole" });
        }
        catch (error) {
            this.close({ type: "Broken", error });
        }
    }

    private close(end: StreamEnd): void {
        if (this.end) {
            return;
        }
        this.end = end.type === "Broken" && !(end.error instanceof StreamBrokenError)
            ? { type: "Broken", error: new StreamBrokenError(describeError(end.error)) }
            : end;
        this.onClosed();
        if (!this.response.complete) {
            this.response.destroy();
        }
        this.settlePendingRead();
    }

    /** Settles the pending read with the next event, or with the end of the stream when the queue is empty. */
    private settlePendingRead(): void {
        const { pendingRead } = this;
        const event = pendingRead && this.queuedEvents.shift();
        if (!pendingRead || (!event && !this.end)) {
            return;
        }
        this.pendingRead = undefined;
        if (event) {
            pendingRead.resolve({ done: false, value: event });
        }
        else if (this.end?.type === "Broken") {
            pendingRead.reject(this.end.error);
        }
        else {
            pendingRead.resolve({ done: true, value: undefined });
        }
        if (this.response.isPaused()) {
            this.response.resume();
        }
    }
}
