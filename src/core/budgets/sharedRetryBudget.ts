/** Bounds how often requests of a service are sent again, over all entries together. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { KeyedWindows } from "../../utils/keyedWindows.js";

/** What all entries together may send again. */
export interface RetryLimits {
    /** Share of the requests of the window. */
    share: number;
    window: Milliseconds;
    /** Allowed beside the share, in a window. */
    extra: number;
}

/** Part of the allowance that is used; the rest covers entries that count in windows that differ a little. */
const usedPart = 0.8;

/**
 * This entry's part of the allowance.
 *
 * When many endpoints fail together, each failure asks for another send, and these alone can overload what is left; one
 * would notice sends growing while answers fall. The share counts own requests only, and the extra is divided by the
 * number of entries, so that the sum over all entries holds without asking anybody.
 */
export class SharedRetryBudget {
    private readonly requests: KeyedWindows;
    private readonly repeats: KeyedWindows;

    constructor(
        clock: Clock,
        private readonly limits: () => RetryLimits,
        private readonly entries: () => number,
    ) {
        this.requests = new KeyedWindows(clock, () => limits().window);
        this.repeats = new KeyedWindows(clock, () => limits().window);
    }

    /** Notes a caller's request for `service`. */
    recordRequest(service: string): void {
        this.requests.add(service);
    }

    /** Takes one repeat; false when the budget is spent. */
    tryTake(service: string): boolean {
        const requests = this.requests.count(service);
        const { share, extra } = this.limits();
        const allowed = usedPart * (share * requests + extra / this.entries());
        if (this.repeats.count(service) + 1 > allowed) {
            return false;
        }
        this.repeats.add(service);
        return true;
    }
}
