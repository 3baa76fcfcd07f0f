/**
 * Decides which endpoints may receive a request from this entry now: by the list of endpoints, by what endpoints reported
 * about themselves, and by this entry's shares of their limits. Every way to an endpoint asks here.
 */
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

/** Dependencies of {@link Eligibility}. */
export interface EligibilityDependencies {
    clock: Clock;
    directory: EndpointDirectory;
    coldBudget: ColdBudget;
    limits: EndpointLimits;
    pauses: EndpointPauses;
    reportedStates: ReportedStates;
}

/** Filters endpoints by whether they may receive requests from this entry. */
export class Eligibility {
    constructor(private readonly dependencies: EligibilityDependencies) {}

    /** Whether `endpoint` has reported to any entry that it shuts down. */
    isLeaving({ record }: KnownEndpoint): boolean {
        return this.dependencies.reportedStates.isLeaving(record);
    }

    /** Whether `endpoint` is cold by its record or by its own reports. */
    isCold({ record, coldUntil }: KnownEndpoint): boolean {
        const { clock, reportedStates } = this.dependencies;
        return clock.now() < Math.max(coldUntil, reportedStates.coldUntil(record));
    }

    /**
     * Returns the endpoints that may receive a request from this entry now. Where most endpoints have reached their
     * advertised limit, those that tolerate some excess are included: the few others would be overloaded, and callers
     * rejected.
     */
    candidates(service: ServiceDefinition, excludedEndpoint?: string): KnownEndpoint[] {
        const { coldBudget, directory, limits } = this.dependencies;
        const available = directory.usable(service.name).filter(endpoint =>
            endpoint.record.id !== excludedEndpoint
            && this.accepts(endpoint)
            && (!this.isCold(endpoint) || coldBudget.allows(endpoint.record.id, service.coldRequestsPerSecond))
        );
        const withinLimit = available.filter(({ record }) => limits.allows(record.id, Allowance.Named));
        return withinLimit.length >= minimumShareWithinLimit * available.length
            ? withinLimit
            : available.filter(({ record }) => limits.allows(record.id, Allowance.Excess));
    }

    /** Whether a request that waited after its placement may still be sent to `endpoint`. */
    isStillEligible(endpoint: KnownEndpoint): boolean {
        const { id, service } = endpoint.record;
        const current = this.dependencies.directory.usable(service).find(({ record }) => record.id === id);
        return current !== undefined && this.accepts(current);
    }

    /**
     * Endpoints of the service that may receive no request from this entry now, although they are listed as usable and
     * are not cold.
     */
    exhaustedEndpoints(service: ServiceDefinition, candidates: readonly KnownEndpoint[]): string[] {
        const candidateIds = new Set(candidates.map(({ record }) => record.id));
        return this.dependencies.directory.usable(service.name)
            .filter(endpoint => !candidateIds.has(endpoint.record.id) && !this.isCold(endpoint))
            .map(({ record }) => record.id);
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

    private waitFor({ record }: KnownEndpoint): Milliseconds | undefined {
        const { limits, pauses, reportedStates } = this.dependencies;
        if (reportedStates.isLeaving(record)) {
            return undefined;
        }
        const pause = pauses.remaining(record);
        if (!limits.allows(record.id, Allowance.Named)) {
            return Math.max(pause, limits.timeUntilCapacity(record.id));
        }
        return pause > 0 ? pause : undefined;
    }

    private accepts({ record }: KnownEndpoint): boolean {
        const { pauses, reportedStates } = this.dependencies;
        return !reportedStates.isLeaving(record) && pauses.remaining(record) === 0;
    }
}
