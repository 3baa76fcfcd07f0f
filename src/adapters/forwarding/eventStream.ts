/** The events of an endpoint's answer, as they come, for one reader. */
import type { IncomingMessage } from "node:http";
import { StreamBrokenError, type StreamEvent } from "../../ports/forwardingPorts.js";
import { describeError } from "../../utils/errors.js";
import { EventReader } from "./eventReader.js";

/** Events that may wait for the reader before the endpoint is held up. */
const waitingAtMost = 64;

/** A read that waits for the next event. */
interface PendingRead {
    resolve: (result: IteratorResult<StreamEvent>) => void;
    reject: (error: unknown) => void;
}

/** Where the stream stands once no more bytes come. */
type StreamEnd = { type: "Whole"; } | { type: "Broken"; error: unknown; };

/**
 * Reads events from an answer. Node's own iteration over a response, and generators over it, cost several promises an event;
 * an entry passes on thousands of events a second.
 */
export class EventStream implements AsyncIterableIterator<StreamEvent> {
    private readonly reader = new EventReader();
    private readonly waiting: StreamEvent[] = [];
    private pending: PendingRead | undefined;
    private end: StreamEnd | undefined;

    /** `checkWhole` throws when the answer was cut; `release` is called once, when the stream has ended. */
    constructor(
        private readonly response: IncomingMessage,
        private readonly checkWhole: () => void,
        private readonly release: () => void,
    ) {
        response.on("data", (bytes: Buffer) => this.take(bytes));
        // An error that arrives together with the end is told a turn later; until then a cut answer looks whole.
        response.once("end", () => setImmediate(() => this.finish()));
        response.once("error", error => this.close({ type: "Broken", error }));
        response.once("close", () => setImmediate(() => this.finish()));
    }

    [Symbol.asyncIterator](): this {
        return this;
    }

    next(): Promise<IteratorResult<StreamEvent>> {
        return new Promise((resolve, reject) => {
            this.pending = { resolve, reject };
            this.serve();
        });
    }

    /** The reader wants no more. */
    return(): Promise<IteratorResult<StreamEvent>> {
        this.close({ type: "Whole" });
        return Promise.resolve({ done: true, value: undefined });
    }

    private take(bytes: Buffer): void {
        if (this.end) {
            return;
        }
        try {
            this.waiting.push(...this.reader.push(bytes));
        }
        catch (error) {
            this.close({ type: "Broken", error });
            return;
        }
        if (this.waiting.length >= waitingAtMost) {
            this.response.pause();
        }
        this.serve();
    }

    /** Judges an answer whose bytes have all come. */
    private finish(): void {
        if (this.end) {
            return;
        }
        try {
            this.checkWhole();
            if (!this.reader.whole) {
                throw new StreamBrokenError("the stream ended within an event");
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
        this.release();
        if (!this.response.complete) {
            this.response.destroy();
        }
        this.serve();
    }

    /** Serves the read that waits: the next event, or the end when none is left. */
    private serve(): void {
        const { pending } = this;
        const event = pending && this.waiting.shift();
        if (!pending || (!event && !this.end)) {
            return;
        }
        this.pending = undefined;
        if (event) {
            pending.resolve({ done: false, value: event });
        }
        else if (this.end?.type === "Broken") {
            pending.reject(this.end.error);
        }
        else {
            pending.resolve({ done: true, value: undefined });
        }
        if (this.response.isPaused()) {
            this.response.resume();
        }
    }
}
