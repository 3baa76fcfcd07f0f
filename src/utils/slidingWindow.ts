/** Counts events in a window of time that slides. */
import type { Clock, Milliseconds } from "./clock.js";

/** Events of the last `span` milliseconds. */
export class SlidingWindow {
    private times: Milliseconds[] = [];
    private first = 0;

    constructor(private readonly clock: Clock, private readonly span: Milliseconds) {}

    add(): void {
        this.forget();
        this.times.push(this.clock.now());
    }

    count(): number {
        this.forget();
        return this.times.length - this.first;
    }

    /** Time until the oldest event leaves the window; zero where there is none. */
    timeUntilExpiry(): Milliseconds {
        this.forget();
        const oldest = this.times[this.first];
        return oldest === undefined ? 0 : oldest + this.span - this.clock.now();
    }

    private forget(): void {
        const oldest = this.clock.now() - this.span;
        while (this.first < this.times.length && this.times[this.first]! <= oldest) {
            this.first++;
        }
        // The array is only cut now and then, so that forgetting costs a constant time an event.
        if (this.first > 64 && this.first * 2 > this.times.length) {
            this.times = this.times.slice(this.first);
            this.first = 0;
        }
    }
}
