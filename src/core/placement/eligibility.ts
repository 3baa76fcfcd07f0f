/**
 * Decides which endpoints may receive a request from this entry now: by the list of endpoints, by what endpoints reported
 * about themselves, and by this entry's shares of their limits. Every way to an endpoint asks here.
 */
import type { ServiceDefinition } from "../../types/routing.js";
import type { Clock } from "../../utils/clock.js";
import type { ColdBudget } from "../budgets/coldBudget.js";
import { Allowance, type EndpointLimits } from "../budgets/endpointLimits.js";
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
    reportedStates: ReportedStates;
}

/** Filters endpoints by whether they may receive requests from this entry. */
export class Eligibility {
    constructor(private readonly dependencies: EligibilityDependencies) {}

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
            && (!this.isCold(endpoint) || coldBudget.allows(endpoint.record.id, service.coldRequestsPerSecond))
        );
        const withinLimit = available.filter(({ record }) => limits.allows(record.id, Allowance.Named));
        return withinLimit.length >= minimumShareWithinLimit * available.length
            ? withinLimit
            : available.filter(({ record }) => limits.allows(record.id, Allowance.Excess));
    }
}
