/** Splits the bytes of an event stream into complete events without changing them. */
import type { StreamEvent } from "../../ports/forwardingPorts.js";
import { DandelionrampError } from "../../utils/errors.js";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** Models send far smaller events; buffering more could exhaust memory. */
const maximumEventBytes = 1024 * 1024;

/** An event of a stream exceeds the size limit. */
export class EventTooLargeError extends DandelionrampError {}

/** Buffers bytes until events are complete. */
export class EventReader {
    private pendingBytes: Buffer = Buffer.alloc(0);
    private searchedLength = 0;

    /** Adds bytes and returns the events that they complete. */
    push(bytes: Buffer): StreamEvent[] {
        this.pendingBytes = this.pendingBytes.length === 0 ? bytes : Buffer.concat([this.pendingBytes, bytes]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = this.findEventEnd(start); end >= 0; end = this.findEventEnd(start)) {
            const event = this.pendingBytes.subarray(start, end);
            events.push({ id: parseEventId(event), bytes: event });
            start = end;
            this.searchedLength = end;
        }
        this.pendingBytes = this.pendingBytes.subarray(start);
        this.searchedLength = Math.max(0, this.pendingBytes.length - 3);
        if (this.pendingBytes.length > maximumEventBytes) {
            throw new EventTooLargeError(`an event exceeds ${maximumEventBytes} bytes`);
        }
        return events;
    }

    /** Whether all bytes so far form complete events. */
    get isAtEventBoundary(): boolean {
        return this.pendingBytes.length === 0;
    }

    /** Returns the index after the empty line that ends the event starting at `start`, or -1 when the event is incomplete. */
    private findEventEnd(start: number): number {
        let lineFeedIndex = this.pendingBytes.indexOf(lineFeed, Math.max(start, this.searchedLength));
        while (lineFeedIndex >= 0) {
            const next = this.pendingBytes[lineFeedIndex + 1] === carriageReturn
                ? lineFeedIndex + 2
                : lineFeedIndex + 1;
            if (this.pendingBytes[next] === lineFeed) {
                return next + 1;
            }
            lineFeedIndex = this.pendingBytes.indexOf(lineFeed, lineFeedIndex + 1);
        }
        return -1;
    }
}

const idLine = /(?:^|\n)id:[ ]?([^\r\n]*)/;

const parseEventId = (event: Buffer): string | undefined => idLine.exec(event.toString("latin1"))?.[1];
