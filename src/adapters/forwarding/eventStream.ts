/** Async iterator over the events of a streamed response, for a single consumer. */
import type { IncomingMessage } from "node:http";
import { StreamBrokenError, type StreamEvent } from "../../ports/forwardingPorts.js";
import { describeError } from "../../utils/errors.js";
import { EventReader } from "./eventReader.js";
import { TurnBudget } from "./turnBudget.js";

/** Limit on the bytes that wait for the consumer; above it the response is paused as backpressure on the endpoint. */
const maximumUnreadBytes = 16 * 1024;
/**
 * Limit on the framing that the connection carries between two events, and what each byte of content adds to it. Only chunks with
 * a few bytes each exceed it, and each of them costs as much processor time as a large one.
 */
export const maximumFramingBytes = 256 * 1024;
const framingBytesPerContentByte = 0.25;

/** The connection carries too many bytes for too little content. */
export class FramingTooLargeError extends StreamBrokenError {
    constructor() {
        super(`more than ${maximumFramingBytes} bytes of framing arrived between two events`);
    }
}

/** A call of `next` that waits for an event. */
interface PendingRead {
    resolve: (result: IteratorResult<StreamEvent>) => void;
    reject: (error: unknown) => void;
}

/** How the response ended. Its last bytes may still have to be read. */
type StreamEnd = { type: "Whole"; } | { type: "Broken"; error: StreamBrokenError; };

/**
 * Reads events from a response. Node's own iteration over a response, and generators over it, cost several promises per event,
 * and an entry relays thousands of events per second.
 *
 * Events are parsed when the consumer asks for them, and a limited number in one turn of the event loop.
 */
export class EventStream implements AsyncIterableIterator<StreamEvent> {
    private readonly reader = new EventReader();
    private readonly turnBudget = new TurnBudget(() => this.settlePendingRead());
    private pendingRead: PendingRead | undefined;
    private end: StreamEnd | undefined;
    private hasPieceWithoutEvent = false;
    /** Bytes that the connection had carried when the wait for the current event began. */
    private transferredBefore: number | undefined;
    /** Bytes of content since then. */
    private contentBytes = 0;

    /** `throwIfIncomplete` throws when the response was cut. `onClosed` is called once, when the response has ended. */
    constructor(
        private readonly response: IncomingMessage,
        private readonly throwIfIncomplete: () => void,
        private readonly onClosed: () => void,
    ) {
        this.transferredBefore = response.socket.bytesRead;
        response.on("data", (bytes: Buffer) => this.receive(bytes));
        // Node emits an error that arrives together with the end one turn later; until then a cut response looks complete.
        response.once("end", () => setImmediate(() => this.finish()));
        response.once("error", error => this.close(brokenBy(error)));
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
        this.reader.clear();
        this.close({ type: "Whole" });
        return Promise.resolve({ done: true, value: undefined });
    }

    private receive(bytes: Buffer): void {
        if (this.end) {
            return;
        }
        this.reader.push(bytes);
        this.contentBytes += bytes.length;
        this.hasPieceWithoutEvent = true;
        this.settlePendingRead();
        if (this.reader.unreadBytes >= maximumUnreadBytes) {
            this.response.pause();
        }
    }

    /** Closes the stream after the last byte, as complete or as broken. */
    private finish(): void {
        if (this.end) {
            return;
        }
        try {
            this.throwIfIncomplete();
            this.close({ type: "Whole" });
        }
        catch (error) {
            this.close(brokenBy(error));
        }
    }

    private close(end: StreamEnd): void {
        if (this.end) {
            return;
        }
        this.end = end;
        this.onClosed();
        // A connection with bytes that nobody reads would never be free for the next request.
        if (!this.response.complete || !this.response.readableEnded) {
            this.response.destroy();
        }
        this.settlePendingRead();
    }

    /** Settles the pending read with the next event, or with the end of the stream after the last event. */
    private settlePendingRead(): void {
        if (!this.pendingRead || this.turnBudget.isSpent) {
            return;
        }
        const event = this.readEvent();
        if (event) {
            this.takePendingRead()?.resolve({ done: false, value: event });
            return;
        }
        if (this.end) {
            this.settleWithEnd(this.end);
            return;
        }
        if (this.response.isPaused()) {
            this.response.resume();
        }
    }

    /** Returns the next event; undefined when none is complete. Ends the stream when it exceeds a limit. */
    private readEvent(): StreamEvent | undefined {
        const unreadBefore = this.reader.unreadBytes;
        try {
            const event = this.reader.next();
            this.turnBudget.spend(event ? 1 : 0, unreadBefore - this.reader.unreadBytes);
            if (event) {
                this.hasPieceWithoutEvent = false;
                this.transferredBefore = undefined;
                return event;
            }
            this.checkFraming();
        }
        catch (error) {
            this.breakOff(error);
        }
        return undefined;
    }

    private checkFraming(): void {
        if (!this.hasPieceWithoutEvent || this.end) {
            return;
        }
        const { bytesRead } = this.response.socket;
        if (this.transferredBefore === undefined) {
            this.transferredBefore = bytesRead;
            this.contentBytes = 0;
            return;
        }
        const framingBytes = bytesRead - this.transferredBefore - this.contentBytes;
        if (framingBytes > maximumFramingBytes + framingBytesPerContentByte * this.contentBytes) {
            throw new FramingTooLargeError();
        }
    }

    /** Ends the stream because of its content, also when the response has ended. */
    private breakOff(error: unknown): void {
        const broken = brokenBy(error);
        this.reader.clear();
        this.close(broken);
        this.end = broken;
    }

    /** Settles the pending read when no event is left. */
    private settleWithEnd(end: StreamEnd): void {
        const pendingRead = this.takePendingRead();
        if (end.type === "Broken") {
            this.reader.clear();
            pendingRead?.reject(end.error);
            return;
        }
        if (!this.reader.isAtBlockBoundary) {
            this.breakOff(new StreamBrokenError("the stream ended in the middle of an event"));
            pendingRead?.reject((this.end as { error: StreamBrokenError; }).error);
            return;
        }
        const bytes = this.reader.takeHeld();
        pendingRead?.resolve(
            bytes.length > 0 ? { done: false, value: { id: undefined, bytes } } : { done: true, value: undefined },
        );
    }

    private takePendingRead(): PendingRead | undefined {
        const { pendingRead } = this;
        this.pendingRead = undefined;
        return pendingRead;
    }
}

const brokenBy = (error: unknown): StreamEnd => ({
    type: "Broken",
    error: error instanceof StreamBrokenError ? error : new StreamBrokenError(describeError(error)),
});
