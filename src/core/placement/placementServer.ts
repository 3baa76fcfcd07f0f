/** Chooses endpoints for the requests of other entries. */
import type { Clock } from "../../utils/clock.js";
import type { RouteTable } from "../configuration/routeTable.js";
import type { EndpointDirectory, KnownEndpoint } from "../membership/endpointDirectory.js";
import type { EndpointSelector, Placement } from "./endpointSelector.js";
import { readWait } from "./loadEstimator.js";
import type { PlacementAnswer, PlacementQuestion, SerializedPlacement } from "./placementQuestion.js";
import { endpointsOfPlacement, workOfPlacement } from "./placementWork.js";
import type { SharedLoadEstimator } from "./sharedLoadEstimator.js";

/** What choosing for others needs. */
export interface PlacementServerParts {
    clock: Clock;
    routes: () => RouteTable | undefined;
    directory: EndpointDirectory;
    placer: EndpointSelector;
    loads: SharedLoadEstimator;
    dataCentre: string;
    /** Whether this entry hears what the others place. */
    places: () => boolean;
}

/** Answers other entries' questions. */
export class PlacementServer {
    constructor(private readonly parts: PlacementServerParts) {}

    /** Chooses for a request of `owner`, and notes it at once: the next question comes before the request is sent. */
    answer(owner: string, question: PlacementQuestion): PlacementAnswer {
        const { clock, loads, placer, routes, dataCentre, places } = this.parts;
        const { serial, without, requestId, promptTokens, targetGap, endsIn } = question;
        const service = routes()?.service(question.service);
        if (!service || !places()) {
            return { type: "Declined", serial };
        }
        const need = {
            ...question,
            service,
            dataCentre,
            broken: new Set(question.broken),
            refused: new Set(question.refused),
            lacking: new Set(question.lacking),
        };
        const placement = placer.select(need, this.candidates(question));
        if (!placement) {
            return { type: "NoEndpoint", serial };
        }
        if (without === undefined && !placement.postponed) {
            const endsBy = clock.now() + endsIn;
            loads.recordPlaced(workOfPlacement(placement, { id: requestId, owner, promptTokens, targetGap, endsBy }));
        }
        return { type: "Chosen", serial, placement: travelling(placement), busyFor: this.busyFor(without) };
    }

    /** The asking entry knows how many requests it may send to an endpoint that is cold or in need; all else both know. */
    private candidates({ service, without, cold, spent }: PlacementQuestion): KnownEndpoint[] {
        const now = this.parts.clock.now();
        const allowed = new Set(cold);
        const barred = new Set(spent);
        return this.parts.directory.usable(service).filter(({ record, coldUntil }) =>
            record.id !== without && !barred.has(record.id) && (now >= coldUntil || allowed.has(record.id))
        );
    }

    private busyFor(endpoint: string | undefined): number {
        return endpoint === undefined ? 0 : readWait(this.parts.loads.load(endpoint));
    }
}

const travelling = (placement: Placement): SerializedPlacement => {
    const { readTime, firstEvent, slotWait, readWait, whole, yields, postponed, shares } = placement;
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
    };
};
