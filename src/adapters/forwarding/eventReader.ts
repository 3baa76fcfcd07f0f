/** Splits the bytes of an event stream into whole events, unchanged. */
import type { StreamEvent } from "../../ports/forwardingPorts.js";
import { DandelionrampError } from "../../utils/errors.js";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** An event larger than this is none of a model's; holding more could exhaust memory. */
const eventBytesAtMost = 1024 * 1024;

/** A stream whose events grow beyond any bound. */
export class EventTooLargeError extends DandelionrampError {}

/** Collects bytes until events are whole. */
export class EventReader {
    private pending: Buffer = Buffer.alloc(0);
    private searched = 0;

    /** Takes bytes and returns the events that they complete. */
    push(bytes: Buffer): StreamEvent[] {
        this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = this.boundary(start); end >= 0; end = this.boundary(start)) {
            const event = this.pending.subarray(start, end);
            events.push({ id: eventIdentifier(event), bytes: event });
            start = end;
            this.searched = end;
        }
        this.pending = this.pending.subarray(start);
        this.searched = Math.max(0, this.pending.length - 3);
        if (this.pending.length > eventBytesAtMost) {
            throw new EventTooLargeError(`an event is over ${eventBytesAtMost} bytes`);
        }
        return events;
    }

    /** Whether the bytes end with a whole event. */
    get whole(): boolean {
        return this.pending.length === 0;
    }

    /** The end of the event that begins at `start`: behind its empty line; -1 when it isn't there yet. */
    private boundary(start: number): number {
        let feed = this.pending.indexOf(lineFeed, Math.max(start, this.searched));
        while (feed >= 0) {
            const next = this.pending[feed + 1] === carriageReturn ? feed + 2 : feed + 1;
            if (this.pending[next] === lineFeed) {
                return next + 1;
            }
            feed = this.pending.indexOf(lineFeed, feed + 1);
        }
        return -1;
    }
}

const identifierLine = /(?:^|\n)id:[ ]?([^\r\n]*)/;

const eventIdentifier = (event: Buffer): string | undefined => identifierLine.exec(event.toString("latin1"))?.[1];
