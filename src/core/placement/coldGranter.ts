/** Selects endpoints for requests of other entries, and grants requests to cold ones that the asking entry may not use. */
import type { ServiceDefinition } from "../../types/routing.js";
import type { PartLog } from "../../utils/log.js";
import type { ColdBudget } from "../budgets/coldBudget.js";
import { type ColdGrants, grantDuration } from "../budgets/coldGrants.js";
import type { EndpointDirectory, KnownEndpoint } from "../membership/endpointDirectory.js";
import type { Metrics } from "../metrics.js";
import type { Eligibility } from "./eligibility.js";
import type { Placement } from "./endpointSelector.js";
import type { PlacementQuestion } from "./placementQuestion.js";

/** Where fewer of the cold endpoints than this may receive a request, the placer asks other entries for their parts. */
const minimumGrantableShare = 0.5;

/** Dependencies of {@link ColdGranter}. */
export interface ColdGranterDependencies {
    log: PartLog;
    metrics: Metrics;
    directory: EndpointDirectory;
    eligibility: Eligibility;
    coldBudget: ColdBudget;
    coldGrants: ColdGrants;
}

/** A placement, and how long the request may be sent to its cold endpoint. */
export interface GrantedSelection {
    placement: Placement | undefined;
    coldGrant?: number;
}

/** Grants requests to cold endpoints from this entry's own and borrowed parts of their allowances. */
export class ColdGranter {
    constructor(private readonly dependencies: ColdGranterDependencies) {}

    /**
     * Selects among `candidates` and the cold endpoints that this entry may grant. Only a request that is sent at once to a
     * single endpoint gets a grant: one that waits would use up a grant with each question.
     */
    select(
        question: PlacementQuestion,
        service: ServiceDefinition,
        select: (candidates: readonly KnownEndpoint[]) => Placement | undefined,
        candidates: readonly KnownEndpoint[],
    ): GrantedSelection {
        const grantable = this.findGrantable(question, service);
        if (grantable.length === 0) {
            return { placement: select(candidates) };
        }
        const placement = select([...candidates, ...grantable]);
        const needsGrant = (endpoint: KnownEndpoint) => grantable.includes(endpoint);
        if (!placement || ![placement.endpoint, ...placement.helpers].some(needsGrant)) {
            return { placement };
        }
        const { endpoint: { record: { id } }, helpers, shares, postponed } = placement;
        if (postponed || helpers.length > 0 || shares.length > 0) {
            return { placement: select(candidates) };
        }
        const { coldBudget, log, metrics } = this.dependencies;
        coldBudget.recordGranted(id);
        metrics.count("cold_grants_total");
        log.info("A request to a cold endpoint is granted.", {
            requestId: question.requestId,
            endpoint: id,
            questionAge: question.age,
            coldCandidates: grantable.length,
        });
        return { placement, coldGrant: grantDuration };
    }

    /** Finds the cold endpoints that the asking entry may use only by grant, and that may receive a request now. */
    private findGrantable(question: PlacementQuestion, service: ServiceDefinition): KnownEndpoint[] {
        const { directory, eligibility, coldGrants, metrics } = this.dependencies;
        if (question.takesColdGrants !== true || question.without !== undefined || !coldGrants.mayGrant) {
            return [];
        }
        const allowed = new Set(question.cold);
        const spent = new Set(question.spent);
        const cold = directory.usable(service.name).filter(endpoint =>
            eligibility.takesGrants(endpoint) && !eligibility.isLeaving(endpoint) && !allowed.has(endpoint.record.id)
            && !spent.has(endpoint.record.id)
        );
        if (cold.length === 0) {
            return [];
        }
        const grantable = cold.filter(endpoint => eligibility.mayGrant(endpoint, service));
        coldGrants.recordDemand(grantable.length < minimumGrantableShare * cold.length);
        if (grantable.length === 0) {
            metrics.count("cold_grants_lacking_total");
        }
        return grantable;
    }
}
