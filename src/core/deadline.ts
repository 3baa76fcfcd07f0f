/** One deadline for each request, set at admission and carried to every wait. */
import { Clock, Milliseconds } from "../internal.js";

/** The moment by which a request must have ended, on this process's monotonic clock. */
export class Deadline {
    readonly at: Milliseconds;

    constructor(private readonly clock: Clock, readonly timeout: Milliseconds) {
        this.at = clock.now() + timeout;
    }

    /** Milliseconds left; 0 once it has passed. */
    remaining(): Milliseconds {
        return Math.max(0, this.at - this.clock.now());
    }

    get expired(): boolean {
        return this.clock.now() >= this.at;
    }

    /** The shorter of the time left and `limit`. */
    bounded(limit: Milliseconds): Milliseconds {
        return Math.min(limit, this.remaining());
    }
}
