/** Answers placement questions of other entries on a placer. */
import type { Clock } from "../../utils/clock.js";
import type { RouteTable } from "../configuration/routeTable.js";
import type { EndpointDirectory, KnownEndpoint } from "../membership/endpointDirectory.js";
import type { ColdGranter } from "./coldGranter.js";
import type { Eligibility } from "./eligibility.js";
import type { EndpointSelector, Placement } from "./endpointSelector.js";
import { prefillWait } from "./loadEstimator.js";
import type { PlacementAnswer, PlacementQuestion, SerializedPlacement } from "./placementQuestion.js";
import { endpointsOfPlacement, workOfPlacement } from "./placementWork.js";
import type { SharedLoadEstimator } from "./sharedLoadEstimator.js";

/** Dependencies of {@link PlacementServer}. */
export interface PlacementServerDependencies {
    clock: Clock;
    routes: () => RouteTable | undefined;
    directory: EndpointDirectory;
    eligibility: Eligibility;
    selector: EndpointSelector;
    loads: SharedLoadEstimator;
    dataCentre: string;
    /** Whether this entry is a placer and so receives the placements of the others. */
    isPlacer: () => boolean;
    /** Cold endpoints to which other entries send by grants of this one. */
    coldGranter: ColdGranter;
}

/** Chooses endpoints for the requests of other entries. */
export class PlacementServer {
    constructor(private readonly dependencies: PlacementServerDependencies) {}

    /**
     * Chooses endpoints for a request of `owner` and records the placement at once, as the next question arrives before
     * the request is sent.
     */
    answer(owner: string, question: PlacementQuestion): PlacementAnswer {
        const { clock, loads, selector, routes, dataCentre, isPlacer, coldGranter } = this.dependencies;
        const { serial, without, requestId, promptTokens, targetGap, rank, customer, endsIn } = question;
        const service = routes()?.service(question.service);
        if (!service || !isPlacer()) {
            return { type: "Declined", serial };
        }
        const requirements = {
            ...question,
            service,
            dataCentre,
            failedEndpoints: new Set(question.broken),
            rejectedEndpoints: new Set(question.refused),
            endpointsWithoutMemory: new Set(question.lacking),
        };
        const { placement, coldGrant } = coldGranter.select(
            question,
            service,
            candidates => selector.select(requirements, candidates),
            this.candidates(question),
        );
        if (!placement) {
            return { type: "NoEndpoint", serial };
        }
        if (without === undefined && !placement.postponed) {
            const endsBy = clock.now() + endsIn;
            loads.recordPlaced(
                workOfPlacement(placement, { id: requestId, owner, promptTokens, targetGap, rank, customer, endsBy }),
            );
        }
        return {
            type: "Chosen",
            serial,
            placement: serializePlacement(placement),
            busyFor: this.remainingPrefillTime(without),
            coldGrant,
        };
    }

    /**
     * Applies what only the asking entry knows: how many requests it may send to cold endpoints and to endpoints with an
     * advertised limit, and which endpoints have asked it for a pause. Both entries know everything else.
     */
    private candidates({ service, without, cold, spent }: PlacementQuestion): KnownEndpoint[] {
        const { directory, eligibility } = this.dependencies;
        const allowedColdEndpoints = new Set(cold);
        const exhaustedEndpoints = new Set(spent);
        return directory.usable(service).filter(endpoint => {
            const { id } = endpoint.record;
            return id !== without && !exhaustedEndpoints.has(id) && !eligibility.isLeaving(endpoint)
                && (!eligibility.isCold(endpoint) || allowedColdEndpoints.has(id));
        });
    }

    private remainingPrefillTime(endpoint: string | undefined): number {
        return endpoint === undefined ? 0 : prefillWait(this.dependencies.loads.loadOf(endpoint));
    }
}

const serializePlacement = (placement: Placement): SerializedPlacement => {
    const { readTime, firstEvent, slotWait, readWait, whole, yields, postponed, firstEventAfterWait, shares } =
        placement;
    const [endpoint, ...helpers] = endpointsOfPlacement(placement);
    return {
        endpoint: endpoint!,
        helpers,
        shares: shares.map(share => [share.endpoint.record.id, share.tokens]),
        readTime: Math.round(readTime),
        firstEvent: Math.round(firstEvent),
        slotWait: Math.round(slotWait),
        readWait: Math.round(readWait),
        whole: Math.round(whole),
        yields,
        postponed,
        firstEventAfterWait: firstEventAfterWait === undefined ? undefined : Math.round(firstEventAfterWait),
    };
};
