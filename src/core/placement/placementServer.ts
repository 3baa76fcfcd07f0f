/** Answers placement questions of other entries on a placer. */
import type { ServiceDefinition } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { RouteTable } from "../configuration/routeTable.js";
import type { EndpointDirectory, KnownEndpoint } from "../membership/endpointDirectory.js";
import type { WaitScheduler } from "../waiting/waitScheduler.js";
import { WaitServer } from "../waiting/waitServer.js";
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
    /** Whether requests of a service wait in a queue, the queue, and a callback that sends an answer to an entry. */
    usesQueue: (service: string) => boolean;
    waitScheduler: WaitScheduler;
    push: (entry: string, answer: PlacementAnswer) => void;
}

/** Chooses endpoints for the requests of other entries. */
export class PlacementServer {
    private readonly waitServer: WaitServer;

    constructor(private readonly dependencies: PlacementServerDependencies) {
        const { clock, waitScheduler, loads, push } = dependencies;
        this.waitServer = new WaitServer({
            clock,
            scheduler: waitScheduler,
            select: (question, service) => this.select(question, service),
            countCandidates: question => this.candidates(question).length,
            grant: (owner, question, placement) => this.grant(owner, question, placement),
            release: (endpoints, requestId) => loads.recordEnded(endpoints, requestId),
            push,
        });
    }

    /**
     * Chooses endpoints for a request of `owner` and records the placement at once, as the next question arrives before
     * the request is sent.
     */
    answer(owner: string, question: PlacementQuestion): PlacementAnswer {
        const { routes, isPlacer, usesQueue, coldGranter } = this.dependencies;
        const { serial, without } = question;
        const service = routes()?.service(question.service);
        if (!service || !isPlacer()) {
            return { type: "Declined", serial };
        }
        if (question.mayWait && without === undefined && usesQueue(service.name)) {
            return this.waitServer.answer(owner, question, service);
        }
        const { placement, coldGrant } = coldGranter.select(
            question,
            service,
            candidates => this.select(question, service, candidates),
            this.candidates(question),
        );
        return placement ? this.grant(owner, question, placement, coldGrant) : { type: "NoEndpoint", serial };
    }

    /** Drops the waiter of a request of `owner`. */
    withdraw(owner: string, requestId: string): void {
        this.waitServer.withdraw(owner, requestId);
    }

    private select(
        question: PlacementQuestion,
        service: ServiceDefinition,
        candidates: readonly KnownEndpoint[] = this.candidates(question),
    ): Placement | undefined {
        const { selector, dataCentre } = this.dependencies;
        const requirements = {
            ...question,
            service,
            dataCentre,
            failedEndpoints: new Set(question.broken),
            rejectedEndpoints: new Set(question.refused),
            endpointsWithoutMemory: new Set(question.lacking),
        };
        return selector.select(requirements, candidates);
    }

    private grant(
        owner: string,
        question: PlacementQuestion,
        placement: Placement,
        coldGrant?: Milliseconds,
    ): PlacementAnswer {
        const { clock, loads } = this.dependencies;
        const { serial, without, requestId, promptTokens, targetGap, rank, customer, endsIn } = question;
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
