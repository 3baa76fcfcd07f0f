/**
 * Decides which endpoints may receive a request from this entry now: by the list of endpoints, by what endpoints reported
 * about themselves, and by this entry's shares of their limits. Every way to an endpoint asks here.
 */
import type { LentAllowance } from "../../ports/peerChannelPort.js";
import type { ServiceDefinition } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { ColdBudget } from "../budgets/coldBudget.js";
import { Allowance, type EndpointLimits } from "../budgets/endpointLimits.js";
import type { EndpointPauses } from "../budgets/endpointPauses.js";
import type { EndpointDirectory, KnownEndpoint } from "../membership/endpointDirectory.js";
import type { ReportedStates } from "../membership/reportedStates.js";

/**
 * Where a smaller share of the endpoints than this is below its advertised limit, endpoints may also receive the
 * tolerated excess.
 */
const minimumShareWithinLimit = 0.5;

/** Where fewer of a service's endpoints than this accept one more request from this entry, it needs more allowance. */
const minimumOpenShare = 0.25;

/**
 * An endpoint that became cold again gets requests by grant only after this time, in which all entries learn of it and
 * the requests that they sent before leave the counting window.
 */
const coldReportDuration: Milliseconds = 2_300;

/** Usable endpoints of a service that this entry may not, or hardly, use now; all others are available. */
export interface Restrictions {
    /** Endpoints that shut down, that are paused, or that have received this entry's share of their limit. */
    readonly exhausted: ReadonlySet<string>;
    /** Cold endpoints that may receive no request from this entry now. */
    readonly forbiddenCold: ReadonlySet<string>;
    /** Cold endpoints that may receive a request from this entry now. */
    readonly allowedCold: ReadonlySet<string>;
}

const isExcluded = ({ exhausted, forbiddenCold }: Restrictions, id: string): boolean =>
    exhausted.has(id) || forbiddenCold.has(id);

/** Dependencies of {@link Eligibility}. */
export interface EligibilityDependencies {
    clock: Clock;
    directory: EndpointDirectory;
    coldBudget: ColdBudget;
    limits: EndpointLimits;
    pauses: EndpointPauses;
    reportedStates: ReportedStates;
    /** Called when this entry's shares of the limits are used up at most endpoints of a service. */
    onShortage: () => void;
    /** Called where endpoints of a service are cold; `isShort`: most of them may receive no request from this entry. */
    onColdDemand?: (isShort: boolean) => void;
}

/** Filters endpoints by whether they may receive requests from this entry. */
export class Eligibility {
    constructor(private readonly dependencies: EligibilityDependencies) {}

    /** Whether `endpoint` has reported to any entry that it shuts down. */
    isLeaving({ record }: KnownEndpoint): boolean {
        return this.dependencies.reportedStates.isLeaving(record);
    }

    /** Remaining time of the pause that `endpoint` asked this entry for; zero where there is none. */
    pauseLeft({ record }: KnownEndpoint): Milliseconds {
        return this.dependencies.pauses.remaining(record);
    }

    /** Whether `endpoint` is cold by its record or by its own reports. */
    isCold({ record, coldUntil }: KnownEndpoint): boolean {
        const { clock, reportedStates } = this.dependencies;
        return clock.now() < Math.max(coldUntil, reportedStates.coldUntil(record));
    }

    /** Returns the endpoints that may receive a request from this entry now. */
    candidates(service: ServiceDefinition, excludedEndpoint?: string): KnownEndpoint[] {
        const restrictions = this.restrictions(service);
        return this.dependencies.directory.usable(service.name).filter(({ record: { id } }) =>
            id !== excludedEndpoint && !isExcluded(restrictions, id)
        );
    }

    /**
     * Returns the endpoint `id` if it may receive a request from this entry under `restrictions`; undefined otherwise.
     */
    find(service: ServiceDefinition, restrictions: Restrictions, id: string): KnownEndpoint | undefined {
        const { directory } = this.dependencies;
        const endpoint = directory.get(id);
        return endpoint && directory.isUsable(endpoint, service.name) && !isExcluded(restrictions, id)
            ? endpoint
            : undefined;
    }

    /**
     * Finds the endpoints of `service` that this entry may not use now, in one pass, since there may be thousands.
     *
     * Where most endpoints have reached their advertised limit, those that tolerate some excess stay in use: the few
     * others would be overloaded, and callers rejected.
     */
    restrictions(service: ServiceDefinition): Restrictions {
        const { coldBudget, directory, limits, onColdDemand } = this.dependencies;
        const exhausted = new Set<string>();
        const forbiddenCold = new Set<string>();
        const allowedCold = new Set<string>();
        const atLimit: string[] = [];
        let availableCount = 0;
        let grantableCount = 0;
        let lackingCount = 0;
        for (const endpoint of directory.usable(service.name)) {
            const { id } = endpoint.record;
            if (!this.accepts(endpoint)) {
                exhausted.add(id);
                continue;
            }
            if (this.isCold(endpoint)) {
                const takesGrants = this.takesGrants(endpoint);
                const isAllowed = coldBudget.allows(id, service.coldRequestsPerSecond, takesGrants);
                grantableCount += Number(takesGrants && isAllowed);
                lackingCount += Number(takesGrants && !isAllowed);
                if (!isAllowed) {
                    forbiddenCold.add(id);
                    continue;
                }
                allowedCold.add(id);
            }
            availableCount++;
            if (!limits.allows(id, Allowance.Named)) {
                atLimit.push(id);
            }
        }
        if (grantableCount + lackingCount > 0) {
            onColdDemand?.(grantableCount < lackingCount);
        }
        const toleratesExcess = availableCount - atLimit.length < minimumShareWithinLimit * availableCount;
        if (atLimit.length > 0) {
            this.detectShortage(service);
        }
        for (const id of atLimit) {
            if (!toleratesExcess || !limits.allows(id, Allowance.Excess)) {
                exhausted.add(id);
            }
        }
        return { exhausted, forbiddenCold, allowedCold };
    }

    /** Whether `endpoint` is cold and all entries know it, so that parts of its allowance may be lent. */
    takesGrants(endpoint: KnownEndpoint): boolean {
        const { clock, reportedStates } = this.dependencies;
        const now = clock.now();
        return now < endpoint.coldUntil
            || (this.isCold(endpoint) && now - reportedStates.coldSince(endpoint.record) >= coldReportDuration);
    }

    /** Whether `endpoint`, which takes grants, may receive a request from another entry that asks this one. */
    mayGrant({ record: { id } }: KnownEndpoint, { coldRequestsPerSecond }: ServiceDefinition): boolean {
        return this.dependencies.coldBudget.mayGrant(id, coldRequestsPerSecond);
    }

    /** Cold endpoints of `service` with the requests there that this entry may lend to the placer `borrower`. */
    lendableParts({ name, coldRequestsPerSecond }: ServiceDefinition, borrower: string): LentAllowance[] {
        const { coldBudget, directory } = this.dependencies;
        return directory.usable(name).filter(endpoint => this.takesGrants(endpoint)).map(({ record: { id } }) => ({
            endpoint: id,
            count: coldBudget.lendable(id, coldRequestsPerSecond, borrower),
        }));
    }

    /** Whether a request that waited after its placement may still be sent to `endpoint`. */
    isStillEligible(endpoint: KnownEndpoint): boolean {
        const { directory } = this.dependencies;
        const current = directory.get(endpoint.record.id);
        return current !== undefined && directory.isUsable(current, endpoint.record.service) && this.accepts(current);
    }

    /**
     * Time until an endpoint that is paused, or has received this entry's share of its limit, accepts the next request.
     * Undefined where there is no such endpoint.
     */
    timeUntilCapacity(service: ServiceDefinition): Milliseconds | undefined {
        const waits = this.dependencies.directory.usable(service.name).map(endpoint => this.waitFor(endpoint))
            .filter(wait => wait !== undefined);
        return waits.length === 0 ? undefined : Math.min(...waits);
    }

    /** Reports when hardly any endpoint is left, and while this entry sends more than its own shares allow. */
    private detectShortage(service: ServiceDefinition): void {
        const { directory, limits, onShortage } = this.dependencies;
        const ids = directory.usable(service.name).map(({ record: { id } }) => id);
        const openCount = ids.filter(id => limits.allows(id, Allowance.Excess)).length;
        if (openCount < minimumOpenShare * ids.length || limits.exceedsOwnShares(ids)) {
            onShortage();
        }
    }

    private waitFor(endpoint: KnownEndpoint): Milliseconds | undefined {
        const { limits } = this.dependencies;
        if (this.isLeaving(endpoint)) {
            return undefined;
        }
        const { id } = endpoint.record;
        const pause = this.pauseLeft(endpoint);
        if (!limits.allows(id, Allowance.Named)) {
            return Math.max(pause, limits.timeUntilCapacity(id));
        }
        return pause > 0 ? pause : undefined;
    }

    private accepts(endpoint: KnownEndpoint): boolean {
        return !this.isLeaving(endpoint) && this.pauseLeft(endpoint) === 0;
    }
}
