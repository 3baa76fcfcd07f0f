/** Sliding windows by key. They count recent events separately for each endpoint or service. */
import type { Clock, Milliseconds } from "./clock.js";
import { SlidingWindow } from "./slidingWindow.js";

/** A sliding window for each key, created with the first event of the key. */
export class KeyedWindows {
    private readonly windows = new Map<string, SlidingWindow>();

    constructor(private readonly clock: Clock, private readonly windowDuration: () => Milliseconds) {}

    add(key: string): void {
        let window = this.windows.get(key);
        if (!window) {
            window = new SlidingWindow(this.clock, this.windowDuration());
            this.windows.set(key, window);
        }
        window.add();
    }

    /** Number of events of `key` within the window. */
    count(key: string): number {
        return this.windows.get(key)?.count() ?? 0;
    }

    /** Time until the oldest event of `key` leaves the window; zero if there is no event. */
    timeUntilExpiry(key: string): Milliseconds {
        return this.windows.get(key)?.timeUntilExpiry() ?? 0;
    }
}
