/** Limits the requests that all entries together send to a cold endpoint per second. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { KeyedWindows } from "../../utils/keyedWindows.js";

/** How far requests may exceed the published rate of a cold endpoint. */
export interface ColdLimits {
    factor: number;
    /** Requests per second on top of the factor. */
    extra: number;
}

/** Slightly longer than the one second that the limit covers, as network delays shift the arrivals. */
const countingWindow: Milliseconds = 1_100;
/** Share of the allowance that is used; the remainder is a reserve for one entry that is not known yet. */
const usableAllowanceRatio = 0.8;

/** The entries that share an allowance. */
export interface SharingEntries {
    /** Number by which the allowance of all entries is divided. */
    readonly budgetDivisor: number;
    /** Rank of this entry for `key` among all entries, from 0. */
    rank(key: string): number;
}

/**
 * This entry's share of the requests that a cold endpoint tolerates.
 *
 * A cold endpoint under full load crashes. No entry sees the requests of the others, so each keeps to its share of the
 * whole allowance, and the sum holds even when messages between entries are lost. With more entries than allowed
 * requests, an equal share is below one request and no entry would ever send. In that case some entries get one request
 * each, chosen by rank per endpoint, so that every entry finds a few cold endpoints that it may use.
 */
export class ColdBudget {
    private readonly sends: KeyedWindows;

    constructor(
        clock: Clock,
        private readonly limits: () => ColdLimits,
        private readonly entries: SharingEntries,
    ) {
        this.sends = new KeyedWindows(clock, () => countingWindow);
    }

    /** Whether a cold endpoint that tolerates `requestsPerSecond` may receive one more request. */
    allows(endpoint: string, requestsPerSecond: number): boolean {
        const { factor, extra } = this.limits();
        const allowance = usableAllowanceRatio * (requestsPerSecond * factor + extra);
        const { budgetDivisor } = this.entries;
        const share = allowance >= budgetDivisor
            ? allowance / budgetDivisor
            : Number(this.entries.rank(endpoint) < Math.floor(allowance));
        return this.sends.count(endpoint) + 1 <= share;
    }

    /** Records a request to any endpoint, as the endpoint may turn out to have been cold already. */
    recordSent(endpoint: string): void {
        this.sends.add(endpoint);
    }
}
