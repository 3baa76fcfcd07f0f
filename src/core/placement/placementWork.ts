/** What a placement puts on each of its endpoints. */
import type { Milliseconds } from "../../utils/clock.js";
import { type Placement, requestValue } from "./endpointSelector.js";
import { type PlacedWork, WorkPart } from "./engineEstimate.js";

/** The request that was placed. */
export interface PlacedRequest {
    id: string;
    /** The entry that sends it. */
    owner: string;
    promptTokens: number;
    targetGap: Milliseconds | undefined;
    endsBy: Milliseconds;
}

/** The work at the endpoint that gets the order, and at those that read or hold parts for it. */
export const workOfPlacement = (placement: Placement, request: PlacedRequest): PlacedWork[] => {
    const { id, owner, promptTokens, targetGap, endsBy } = request;
    const held = new Map(placement.shares.map(({ endpoint, tokens }) => [endpoint.record.id, tokens]));
    const work = {
        id,
        owner,
        readTokens: promptTokens / (1 + placement.helpers.length),
        readTime: placement.readTime,
        targetGap,
        value: requestValue(promptTokens),
        yielding: placement.yields,
        firstEventIn: placement.helpers.length === 0 ? placement.firstEvent : undefined,
        endsBy,
    };
    const main = {
        ...work,
        endpoint: placement.endpoint.record.id,
        contextTokens: held.get(placement.endpoint.record.id) ?? promptTokens,
        part: WorkPart.Main,
    };
    const helping = placement.helpers.map(({ record }) => ({
        ...work,
        endpoint: record.id,
        contextTokens: held.get(record.id) ?? 0,
        part: held.has(record.id) ? WorkPart.Hold : WorkPart.Read,
    }));
    return [main, ...helping];
};

/** The endpoints of a placement, the one that gets the order first. */
export const endpointsOfPlacement = (placement: Placement): string[] =>
    [placement.endpoint, ...placement.helpers].map(({ record }) => record.id);
