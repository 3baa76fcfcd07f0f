/** Timeline of one process: a ring buffer of events that a collector fetches and merges with those of other processes. */
import { Clock, Milliseconds } from "./clock.js";

/** One recorded event. */
export interface TimelineEvent {
    sequence: number;
    /** Wall-clock time of this process in milliseconds since 1970. The collector corrects the clock offset. */
    wallTime: Milliseconds;
    process: string;
    part: string;
    event: string;
    requestId?: string;
    detail?: string;
}

/** Response to one request of the collector. */
export interface TimelinePage {
    process: string;
    /** Wall-clock time of the response, from which the collector computes the clock offset. */
    wallTime: Milliseconds;
    events: TimelineEvent[];
    /** Number of requested events that the ring buffer has already overwritten. */
    lost: number;
}

const ringCapacity = 8_192;

/** Records the events of one process. */
export class Timeline {
    private readonly ring: TimelineEvent[] = [];
    private nextSequence = 0;

    constructor(readonly process: string, private readonly clock: Clock) {}

    /** Adds an event with the current time. */
    record(part: string, event: string, requestId?: string, detail?: string): void {
        const sequence = this.nextSequence++;
        this.ring[sequence % ringCapacity] = {
            sequence,
            wallTime: this.clock.wallTime(),
            process: this.process,
            part,
            event,
            requestId,
            detail,
        };
    }

    /** Returns the events from sequence number `from` on that the ring buffer still holds, oldest first. */
    page(from: number): TimelinePage {
        const oldest = Math.max(0, this.nextSequence - ringCapacity);
        const events: TimelineEvent[] = [];
        for (let sequence = Math.max(from, oldest); sequence < this.nextSequence; sequence++) {
            events.push(this.ring[sequence % ringCapacity]!);
        }
        return {
            process: this.process,
            wallTime: this.clock.wallTime(),
            events,
            lost: Math.max(0, oldest - from),
        };
    }
}
