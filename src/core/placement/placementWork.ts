/** Lists the work that a placement assigns to each of its endpoints. */
import type { Milliseconds } from "../../utils/clock.js";
import type { Placement } from "./endpointSelector.js";
import { type PlacedWork, WorkPart } from "./engineEstimate.js";
import { requestValue } from "./requestValue.js";

/** The request that was placed. */
export interface PlacedRequest {
    id: string;
    /** The entry that sends the request. */
    owner: string;
    promptTokens: number;
    targetGap: Milliseconds | undefined;
    rank?: number;
    customer?: string;
    endsBy: Milliseconds;
}

/** Returns the work at the main endpoint, and at the helpers that prefill or hold parts for it. */
export const workOfPlacement = (placement: Placement, request: PlacedRequest): PlacedWork[] => {
    const { id, owner, promptTokens, targetGap, rank, customer, endsBy } = request;
    const heldTokensByEndpoint = new Map(placement.shares.map(({ endpoint, tokens }) => [endpoint.record.id, tokens]));
    const commonFields = {
        id,
        owner,
        readTokens: promptTokens / (1 + placement.helpers.length),
        readTime: placement.readTime,
        targetGap,
        value: requestValue(promptTokens, rank),
        yielding: placement.yields,
        firstEventIn: placement.helpers.length === 0 ? placement.firstEvent : undefined,
        customer,
        endsBy,
    };
    const mainWork = {
        ...commonFields,
        endpoint: placement.endpoint.record.id,
        contextTokens: heldTokensByEndpoint.get(placement.endpoint.record.id) ?? promptTokens,
        part: WorkPart.Main,
    };
    const helperWork = placement.helpers.map(({ record }) => ({
        ...commonFields,
        endpoint: record.id,
        contextTokens: heldTokensByEndpoint.get(record.id) ?? 0,
        part: heldTokensByEndpoint.has(record.id) ? WorkPart.Hold : WorkPart.Read,
    }));
    return [mainWork, ...helperWork];
};

/** Returns the endpoint ids of a placement, the main endpoint first. */
export const endpointsOfPlacement = (placement: Placement): string[] =>
    [placement.endpoint, ...placement.helpers].map(({ record }) => record.id);
