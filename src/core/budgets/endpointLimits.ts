/**
 * Applies the rate limits that endpoints advertise in their responses: requests per second from all entries together.
 *
 * Load pattern: an overloaded endpoint responds as before and only asks for fewer requests. Each entry sees only some of
 * the endpoint's requests, so each keeps to a share of the limit, and the sum holds even when messages between entries
 * are lost. The newest limit of an endpoint applies, whichever entry received it.
 */
import type { AdvertisedLimit, LentAllowance } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { KeyedWindows } from "../../utils/keyedWindows.js";
import type { PartLog } from "../../utils/log.js";
import { newestReports } from "../membership/newestReports.js";
import type { AllowanceLoans } from "./allowanceLoans.js";

/** Window over which requests are counted. */
export const countingWindow: Milliseconds = 4_000;
const countingWindowSeconds = countingWindow / 1_000;
/** Window over which the present use is measured. */
const recentWindow: Milliseconds = 1_000;
/** How far requests in a window may exceed a limit: by a factor, and by a number of requests on top. */
const excessFactor = 1.5;
const excessExtra = 5;
/** Share of that excess that is used; the remainder is a reserve for entries that disagree on the number of entries. */
const usableExcessRatio = 0.8;
/** A limit that no response confirmed for this long expires; the next request then shows the current limit. */
const limitLifetime: Milliseconds = 60_000;

/** How many requests an endpoint with a limit may still receive. */
export enum Allowance {
    /** The limit that the endpoint advertised. */
    Named = "named",
    /** A little more, which the endpoint tolerates for a while. */
    Excess = "excess",
}

/** The entries that share a limit. */
export interface KnownEntries {
    /** Number of known entries, this one included. */
    readonly knownCount: number;
    /** Rank of this entry for `key` among all entries, from 0. */
    rank(key: string): number;
}

/** The newest limit that an endpoint advertised. */
interface ReceivedLimit {
    /** Undefined where the endpoint has lifted its limit. */
    perSecond: number | undefined;
    /** When the limit was received, on the local clock. */
    receivedAt: Milliseconds;
}

/** Requests in a counting window that all entries together may send. */
const wholeAllowance = (perSecond: number, allowance: Allowance): number => {
    const advertised = perSecond * countingWindowSeconds;
    return Math.floor(
        allowance === Allowance.Named ? advertised : usableExcessRatio * (excessFactor * advertised + excessExtra),
    );
};

/** The limits in force, and this entry's shares of them. */
export class EndpointLimits {
    /** Called when a response to this entry changes a limit. */
    onChange: () => void = () => {};
    /** What this entry has lent to others and borrowed from them. */
    loans: Pick<AllowanceLoans, "lent" | "borrowed" | "isBorrowing"> | undefined;
    private readonly receivedLimits = new Map<string, ReceivedLimit>();
    private readonly sends: KeyedWindows;
    private readonly recentSends: KeyedWindows;

    constructor(
        private readonly clock: Clock,
        private readonly log: PartLog,
        private readonly entries: KnownEntries,
    ) {
        this.sends = new KeyedWindows(clock, () => countingWindow);
        this.recentSends = new KeyedWindows(clock, () => recentWindow);
    }

    /** Number of endpoints with a limit now. */
    get count(): number {
        return [...this.receivedLimits.keys()].filter(endpoint => this.limitOf(endpoint) !== undefined).length;
    }

    /** The advertised limit of `endpoint`; undefined where it has none. */
    limitOf(endpoint: string): number | undefined {
        const limit = this.receivedLimits.get(endpoint);
        return limit && this.clock.now() - limit.receivedAt < limitLifetime ? limit.perSecond : undefined;
    }

    /** Whether `endpoint` may receive one more request from this entry. */
    allows(endpoint: string, allowance: Allowance): boolean {
        const perSecond = this.limitOf(endpoint);
        return perSecond === undefined
            || this.sends.count(endpoint) + 1 <= this.allowanceOf(endpoint, perSecond, allowance);
    }

    /** Whether this entry has borrowed allowances, and would exceed its own if it went on sending as in the last second. */
    exceedsOwnShares(endpoints: readonly string[]): boolean {
        if (this.loans?.isBorrowing !== true) {
            return false;
        }
        let share = 0;
        let recent = 0;
        for (const endpoint of endpoints) {
            const perSecond = this.limitOf(endpoint);
            if (perSecond !== undefined) {
                share += this.shareOfLimit(endpoint, perSecond, Allowance.Named);
                recent += this.recentSends.count(endpoint);
            }
        }
        return recent * (countingWindow / recentWindow) > share;
    }

    /** Requests that this entry has sent in the counting window beyond its own share. */
    borrowedUse(endpoint: string): number {
        const perSecond = this.limitOf(endpoint);
        return perSecond === undefined
            ? 0
            : Math.max(0, this.sends.count(endpoint) - this.shareOfLimit(endpoint, perSecond, Allowance.Named));
    }

    /** Returns what is left of this entry's own shares of the advertised limits, without what it has borrowed. */
    unusedAllowances(): LentAllowance[] {
        const unused: LentAllowance[] = [];
        for (const endpoint of this.receivedLimits.keys()) {
            const perSecond = this.limitOf(endpoint);
            if (perSecond === undefined) {
                continue;
            }
            const share = this.shareOfLimit(endpoint, perSecond, Allowance.Named) - (this.loans?.lent(endpoint) ?? 0);
            const count = share - this.sends.count(endpoint);
            if (count > 0) {
                unused.push({ endpoint, count });
            }
        }
        return unused;
    }

    /** Time until this entry's share of the endpoint's limit has capacity again. */
    timeUntilCapacity(endpoint: string): Milliseconds {
        return this.sends.timeUntilExpiry(endpoint);
    }

    /** Records a request to any endpoint, as its response may advertise a limit. */
    recordSent(endpoint: string): void {
        this.sends.add(endpoint);
        this.recentSends.add(endpoint);
    }

    /** Records a limit that a response advertises. */
    recordLimit(endpoint: string, perSecond: number): void {
        this.applyResponse(endpoint, perSecond);
    }

    /**
     * Records a response without a limit to a request that was sent at `sentAt`. A response that was in flight when the
     * endpoint advertised its limit doesn't lift the limit.
     */
    recordNoLimit(endpoint: string, sentAt: Milliseconds): void {
        const limit = this.receivedLimits.get(endpoint);
        if (limit?.perSecond !== undefined && sentAt > limit.receivedAt) {
            this.applyResponse(endpoint, undefined);
        }
    }

    /** Returns the limits to send to other entries. */
    snapshot(): AdvertisedLimit[] {
        const now = this.clock.now();
        const limits: AdvertisedLimit[] = [];
        for (const [endpoint, { perSecond, receivedAt }] of this.receivedLimits) {
            if (now - receivedAt >= limitLifetime) {
                this.receivedLimits.delete(endpoint);
                continue;
            }
            limits.push({ endpoint, perSecond, age: Math.round(now - receivedAt) });
        }
        return newestReports(limits);
    }

    /** Merges limits that another entry sent. */
    merge(limits: readonly AdvertisedLimit[]): void {
        const now = this.clock.now();
        for (const { endpoint, perSecond, age } of limits) {
            const receivedAt = now - age;
            if (receivedAt > (this.receivedLimits.get(endpoint)?.receivedAt ?? -Infinity)) {
                this.storeLimit(endpoint, { perSecond, receivedAt });
            }
        }
    }

    private allowanceOf(endpoint: string, perSecond: number, allowance: Allowance): number {
        const { loans } = this;
        const share = this.shareOfLimit(endpoint, perSecond, allowance);
        if (!loans) {
            return share;
        }
        // Loans may date from a higher limit.
        return Math.min(share - loans.lent(endpoint) + loans.borrowed(endpoint), wholeAllowance(perSecond, allowance));
    }

    /**
     * Divides a limit into whole requests per entry; the entries with the lowest ranks get the remainder, so that the
     * shares add up to the whole limit.
     */
    private shareOfLimit(endpoint: string, perSecond: number, allowance: Allowance): number {
        const requestCount = wholeAllowance(perSecond, allowance);
        const { knownCount } = this.entries;
        return Math.floor(requestCount / knownCount) + Number(this.entries.rank(endpoint) < requestCount % knownCount);
    }

    private applyResponse(endpoint: string, perSecond: number | undefined): void {
        const before = this.limitOf(endpoint);
        this.storeLimit(endpoint, { perSecond, receivedAt: this.clock.now() });
        if (perSecond !== before) {
            this.onChange();
        }
    }

    private storeLimit(endpoint: string, limit: ReceivedLimit): void {
        const before = this.limitOf(endpoint);
        this.receivedLimits.set(endpoint, limit);
        const { perSecond } = limit;
        if (perSecond === before) {
            return;
        }
        if (perSecond === undefined) {
            this.log.info("An endpoint names no limit any more.", { endpoint, before });
            return;
        }
        this.log.info("An endpoint names a limit.", { endpoint, perSecond, before });
    }
}
