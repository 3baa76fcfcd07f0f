/** Bounds what a cold endpoint gets in any second, over all entries together. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { SlidingWindow } from "./slidingWindow.js";

/** How far the published rate of a cold endpoint may be passed. */
export interface ColdLimits {
    factor: number;
    /** Requests a second beside the factor. */
    extra: number;
}

/** The window is a little longer than the second that is counted, as arrivals shift by the way they take. */
const window: Milliseconds = 1_100;
/** Part of the allowance that is used; the rest covers an entry more than is known. */
const usedPart = 0.8;

/**
 * This entry's share of what a cold endpoint bears.
 *
 * A cold endpoint under full load crashes. No entry sees what the others send, so each keeps to its part of the whole
 * allowance; the sum then holds whatever happens to the messages between them.
 */
export class ColdBudget {
    private readonly sent = new Map<string, SlidingWindow>();

    constructor(
        private readonly clock: Clock,
        private readonly limits: () => ColdLimits,
        private readonly entries: () => number,
    ) {}

    /** Whether a cold endpoint that bears `requestsPerSecond` may get one more request. */
    allows(endpoint: string, requestsPerSecond: number): boolean {
        const { factor, extra } = this.limits();
        const all = requestsPerSecond * factor + extra;
        return (this.sent.get(endpoint)?.count() ?? 0) + 1 <= usedPart * all / this.entries();
    }

    /** Notes a request sent to any endpoint; one may turn out to have been cold already. */
    note(endpoint: string): void {
        let sent = this.sent.get(endpoint);
        if (!sent) {
            sent = new SlidingWindow(this.clock, window);
            this.sent.set(endpoint, sent);
        }
        sent.add();
    }
}
