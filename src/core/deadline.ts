/** The deadline of a request. It is set at admission and bounds every later wait of the request. */
import { Clock, Milliseconds } from "../internal.js";

/** The time by which a request must have ended, on this process's monotonic clock. */
export class Deadline {
    readonly at: Milliseconds;

    constructor(private readonly clock: Clock, readonly timeout: Milliseconds) {
        this.at = clock.now() + timeout;
    }

    /** Time until the deadline; 0 once it has expired. */
    remaining(): Milliseconds {
        return Math.max(0, this.at - this.clock.now());
    }

    get expired(): boolean {
        return this.clock.now() >= this.at;
    }

    /** `limit`, or the remaining time if that is shorter. */
    bounded(limit: Milliseconds): Milliseconds {
        return Math.min(limit, this.remaining());
    }
}
