/** Messages between an entry that needs a placement and the placer that it asks. */
import type { Milliseconds } from "../../utils/clock.js";
import type { Placement, PlacementRequirements } from "./endpointSelector.js";

/** A request to be placed, as it is sent to a placer. */
export interface PlacementQuestion extends
    Omit<
        PlacementRequirements,
        "service" | "dataCentre" | "failedEndpoints" | "rejectedEndpoints" | "endpointsWithoutMemory"
    > {
    /** Matches the answer to its question; numbers the asking entry's questions. */
    serial: number;
    /** Identifies the request across all entries. */
    requestId: string;
    service: string;
    broken: string[];
    refused: string[];
    lacking: string[];
    /** Cold endpoints to which the asking entry may send now. */
    cold: string[];
    /** Endpoints that accept no request from the asking entry now: it has used up its share, or they asked it for a pause. */
    spent: string[];
    /** Time since the request arrived. Missing in messages of earlier versions, as are the rank and the customer. */
    age?: Milliseconds;
    /** Time until the request has ended at the latest. */
    endsIn: Milliseconds;
    /** Whether the placer may let the request wait for capacity. Missing in messages of earlier versions. */
    mayWait?: boolean;
    /** An endpoint that has been unresponsive for long: the placer does not choose it, and records no placement. */
    without: string | undefined;
    /** Whether the asking entry sends to a cold endpoint by grant. Missing in messages of earlier versions. */
    takesColdGrants?: boolean;
}

/** A placement with endpoint ids instead of endpoints. */
export interface SerializedPlacement
    extends Omit<Placement, "endpoint" | "helpers" | "shares" | "recorded" | "chosenBy"> {
    endpoint: string;
    helpers: string[];
    shares: [endpoint: string, tokens: number][];
}

/** A placer's answer to a question. */
export type PlacementAnswer =
    /** The entry is no placer, or doesn't know the service. */
    | { type: "Declined"; serial: number; }
    /** No endpoint may receive the request, or none has the memory. */
    | { type: "NoEndpoint"; serial: number; }
    /** The request waits. The placer sends a placement with the same serial when there is capacity. */
    | { type: "Waiting"; serial: number; renewIn: Milliseconds; }
    /**
     * `busyFor` is the time that the endpoint excluded by the question still needs for its prefills. `coldGrant`, if present,
     * allows the request to the chosen endpoint, which is cold, for this time from when the entry asked.
     */
    | {
        type: "Chosen";
        serial: number;
        placement: SerializedPlacement;
        busyFor: Milliseconds;
        coldGrant?: Milliseconds;
    };
