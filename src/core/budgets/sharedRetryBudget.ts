/** Limits the retries of a service over all entries together. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { KeyedWindows } from "../../utils/keyedWindows.js";

/** Retries that all entries together may send. */
export interface RetryLimits {
    /** Share of the requests in the window. */
    share: number;
    window: Milliseconds;
    /** Retries per window on top of the share. */
    extra: number;
}

/** Share of the allowance that is used; the remainder is a reserve for entries whose windows differ slightly. */
const usableAllowanceRatio = 0.8;

/**
 * This entry's share of the retry allowance.
 *
 * When many endpoints fail together, each failure asks for another attempt, and these retries alone can overload the
 * remaining endpoints: attempts grow while successful responses fall. The share counts only this entry's own requests,
 * and the extra retries are divided by the number of entries, so that the sum over all entries holds without any
 * communication.
 */
export class SharedRetryBudget {
    private readonly requests: KeyedWindows;
    private readonly retries: KeyedWindows;

    constructor(
        clock: Clock,
        private readonly limits: () => RetryLimits,
        private readonly entries: () => number,
    ) {
        this.requests = new KeyedWindows(clock, () => limits().window);
        this.retries = new KeyedWindows(clock, () => limits().window);
    }

    /** Records a caller's request for `service`. */
    recordRequest(service: string): void {
        this.requests.add(service);
    }

    /** Takes one retry; returns false when the budget is exhausted. */
    tryTake(service: string): boolean {
        const requests = this.requests.count(service);
        const { share, extra } = this.limits();
        const allowed = usableAllowanceRatio * (share * requests + extra / this.entries());
        if (this.retries.count(service) + 1 > allowed) {
            return false;
        }
        this.retries.add(service);
        return true;
    }
}
