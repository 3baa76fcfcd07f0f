/** The time line of one process: a bounded ring of events that a collector reads and merges. */
import { Clock, Milliseconds } from "./clock.js";

/** One thing that happened. */
export interface TimelineEvent {
    sequence: number;
    /** Wall time of this process in milliseconds since 1970; the collector corrects its offset. */
    wallTime: Milliseconds;
    process: string;
    part: string;
    event: string;
    requestId?: string;
    detail?: string;
}

/** One answer to a collector. */
export interface TimelinePage {
    process: string;
    /** Wall time at which the answer was made, for the collector's offset. */
    wallTime: Milliseconds;
    events: TimelineEvent[];
    /** Events that fell out of the ring before they were read. */
    lost: number;
}

const ringCapacity = 8_192;

/** Records the events of one process. */
export class Timeline {
    private readonly ring: TimelineEvent[] = [];
    private nextSequence = 0;

    constructor(readonly process: string, private readonly clock: Clock) {}

    /** Notes that something happened now. */
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

    /** The events from `sequence` on that the ring still holds, oldest first. */
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
