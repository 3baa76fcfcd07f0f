/** Bounds what a cold endpoint gets in any second, over all entries together. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { KeyedWindows } from "../../utils/keyedWindows.js";

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

/** The entries that share an allowance. */
export interface SharingEntries {
    readonly size: number;
    /** This entry's place for `key` among all, from 0. */
    rank(key: string): number;
}

/**
 * This entry's share of what a cold endpoint bears.
 *
 * A cold endpoint under full load crashes. No entry sees what the others send, so each keeps to its part of the whole
 * allowance; the sum then holds whatever happens to the messages between them. Where there are more entries than the
 * endpoint bears requests, a part would be less than one for each and nobody would ever send: some entries then get one
 * each, other ones for each endpoint, so that every entry finds a few cold endpoints that it may use.
 */
export class ColdBudget {
    private readonly sent: KeyedWindows;

    constructor(
        clock: Clock,
        private readonly limits: () => ColdLimits,
        private readonly entries: SharingEntries,
    ) {
        this.sent = new KeyedWindows(clock, () => window);
    }

    /** Whether a cold endpoint that bears `requestsPerSecond` may get one more request. */
    allows(endpoint: string, requestsPerSecond: number): boolean {
        const { factor, extra } = this.limits();
        const all = usedPart * (requestsPerSecond * factor + extra);
        const { size } = this.entries;
        const share = all >= size ? all / size : Number(this.entries.rank(endpoint) < Math.floor(all));
        return this.sent.count(endpoint) + 1 <= share;
    }

    /** Notes a request sent to any endpoint; one may turn out to have been cold already. */
    recordSent(endpoint: string): void {
        this.sent.add(endpoint);
    }
}
