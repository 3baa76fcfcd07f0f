/** Sliding windows by key: events of the last while, counted for each endpoint or service by itself. */
import type { Clock, Milliseconds } from "./clock.js";
import { SlidingWindow } from "./slidingWindow.js";

/** Windows that are made as their keys come up. */
export class KeyedWindows {
    private readonly windows = new Map<string, SlidingWindow>();

    constructor(private readonly clock: Clock, private readonly span: () => Milliseconds) {}

    add(key: string): void {
        let window = this.windows.get(key);
        if (!window) {
            window = new SlidingWindow(this.clock, this.span());
            this.windows.set(key, window);
        }
        window.add();
    }

    /** Events of `key` in its window. */
    count(key: string): number {
        return this.windows.get(key)?.count() ?? 0;
    }

    /** Time until the oldest event of `key` leaves its window; zero where there is none. */
    timeUntilExpiry(key: string): Milliseconds {
        return this.windows.get(key)?.timeUntilExpiry() ?? 0;
    }
}
