/** Limits the requests that all entries together send to a cold endpoint per second. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { KeyedWindows } from "../../utils/keyedWindows.js";
import { type ColdGrants, grantedCountingWindow } from "./coldGrants.js";

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
/**
 * Reserve where parts are lent to placers. An entry that joins then uses no part until the others know it, so this covers
 * one entry of an earlier build, which uses its part at once.
 */
const joinReserveRatio = 0.07;
const minimumJoinReserve = 1;

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
    /** The parts that this entry has lent and borrowed; undefined where entries lend none. */
    grants: ColdGrants | undefined;
    /** Whether parts are divided for entries that lend them. */
    lendsParts: () => boolean = () => false;
    private readonly sends: KeyedWindows;
    private readonly granted: KeyedWindows;
    /** Endpoints, and when the grants end, by request. */
    private readonly receivedGrants = new Map<string, { endpoint: string; until: Milliseconds; }>();

    constructor(
        private readonly clock: Clock,
        private readonly limits: () => ColdLimits,
        private readonly entries: SharingEntries,
    ) {
        this.sends = new KeyedWindows(clock, () => countingWindow);
        this.granted = new KeyedWindows(clock, () => grantedCountingWindow);
    }

    /**
     * Whether a cold endpoint that tolerates `requestsPerSecond` may receive one more request from this entry. `takesGrants`:
     * all entries know that it is cold, so that parts of its allowance may be lent.
     */
    allows(endpoint: string, requestsPerSecond: number, takesGrants = false): boolean {
        const { grants } = this;
        const ownPart = this.ownPart(endpoint, requestsPerSecond, takesGrants);
        const borrowed = takesGrants && grants ? grants.borrowed(endpoint) : 0;
        return this.used(endpoint) + 1 <= ownPart - (grants?.lent(endpoint) ?? 0) + borrowed;
    }

    /** Whether this entry may grant another one a request to a cold endpoint. */
    mayGrant(endpoint: string, requestsPerSecond: number): boolean {
        return this.grants?.mayGrant === true && this.allows(endpoint, requestsPerSecond, true);
    }

    /** Records a request that this entry has granted. */
    recordGranted(endpoint: string): void {
        this.granted.add(endpoint);
    }

    /** Requests to a cold endpoint that this entry may lend to the placer `borrower`, those already lent to it included. */
    lendable(endpoint: string, requestsPerSecond: number, borrower: string): number {
        const lent = this.grants?.lent(endpoint, borrower) ?? 0;
        return Math.max(0, Math.floor(this.ownPart(endpoint, requestsPerSecond, true) - lent - this.used(endpoint)));
    }

    /** Records that `request` may be sent to the cold `endpoint` until `until`. */
    receiveGrant(request: string, endpoint: string, until: Milliseconds): void {
        const now = this.clock.now();
        for (const [id, grant] of this.receivedGrants) {
            if (now < grant.until) {
                break;
            }
            this.receivedGrants.delete(id);
        }
        this.receivedGrants.set(request, { endpoint, until });
    }

    /** Drops the grant of a request that is placed anew. */
    dropGrant(request: string): void {
        this.receivedGrants.delete(request);
    }

    /**
     * Records a request to any endpoint, as the endpoint may turn out to have been cold already. A granted request counts
     * at the placer. Returns false if the request may not be sent, because its grant has ended.
     */
    recordSent(endpoint: string, request?: string): boolean {
        const grant = request === undefined ? undefined : this.receivedGrants.get(request);
        if (request === undefined || grant?.endpoint !== endpoint) {
            this.sends.add(endpoint);
            return true;
        }
        this.receivedGrants.delete(request);
        return this.clock.now() < grant.until;
    }

    private used(endpoint: string): number {
        return this.sends.count(endpoint) + this.granted.count(endpoint);
    }

    private ownPart(endpoint: string, requestsPerSecond: number, takesGrants: boolean): number {
        const { factor, extra } = this.limits();
        const limit = requestsPerSecond * factor + extra;
        if (!this.lendsParts()) {
            return this.share(endpoint, limit);
        }
        if (!this.grants?.isSettled) {
            return 0;
        }
        return takesGrants ? this.partForLending(endpoint, limit) : this.share(endpoint, limit);
    }

    private share(endpoint: string, limit: number): number {
        const allowance = usableAllowanceRatio * limit;
        const { budgetDivisor } = this.entries;
        return allowance >= budgetDivisor
            ? allowance / budgetDivisor
            : Number(this.entries.rank(endpoint) < Math.floor(allowance));
    }

    /**
     * Divides the allowance into whole requests. No part is smaller than that of an entry of an earlier build, so the sum
     * holds while both run side by side.
     */
    private partForLending(endpoint: string, limit: number): number {
        const reserve = Math.max(minimumJoinReserve, joinReserveRatio * limit);
        const requestCount = Math.floor(Math.max(usableAllowanceRatio * limit, limit - reserve));
        const { budgetDivisor } = this.entries;
        return Math.floor(requestCount / budgetDivisor)
            + Number(this.entries.rank(endpoint) < requestCount % budgetDivisor);
    }
}
