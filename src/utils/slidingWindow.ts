/** Counts the events of a sliding time window. */
import type { Clock, Milliseconds } from "./clock.js";

/** Events of the last `duration` milliseconds. */
export class SlidingWindow {
    private timestamps: Milliseconds[] = [];
    private firstIndex = 0;

    constructor(private readonly clock: Clock, private readonly duration: Milliseconds) {}

    add(): void {
        this.removeExpired();
        this.timestamps.push(this.clock.now());
    }

    count(): number {
        this.removeExpired();
        return this.timestamps.length - this.firstIndex;
    }

    /** Time until the oldest event leaves the window; zero if there is no event. */
    timeUntilExpiry(): Milliseconds {
        this.removeExpired();
        const oldest = this.timestamps[this.firstIndex];
        return oldest === undefined ? 0 : oldest + this.duration - this.clock.now();
    }

    private removeExpired(): void {
        const windowStart = this.clock.now() - this.duration;
        while (this.firstIndex < this.timestamps.length && this.timestamps[this.firstIndex]! <= windowStart) {
            this.firstIndex++;
        }
        // Copying the array only occasionally keeps the amortized cost per event constant.
        if (this.firstIndex > 64 && this.firstIndex * 2 > this.timestamps.length) {
            this.timestamps = this.timestamps.slice(this.firstIndex);
            this.firstIndex = 0;
        }
    }
}
