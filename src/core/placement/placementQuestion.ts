/** What one entry asks another that chooses endpoints for it, and what it is told. */
import type { Milliseconds } from "../../utils/clock.js";
import type { Placement, PlacementRequirements } from "./endpointSelector.js";

/** A request to be placed, as it travels. */
export interface PlacementQuestion
    extends Omit<PlacementRequirements, "service" | "dataCentre" | "broken" | "refused" | "lacking"> {
    /** Pairs the answer with the question; counts the asking entry's questions. */
    serial: number;
    /** Names the request over all entries. */
    requestId: string;
    service: string;
    broken: string[];
    refused: string[];
    lacking: string[];
    /** Cold endpoints to which the asking entry may send now. */
    cold: string[];
    /** Endpoints that have got the asking entry's share of what they take. */
    spent: string[];
    /** Time until the request has ended at the latest. */
    endsIn: Milliseconds;
    /** An endpoint that was silent for long: it isn't chosen, and nothing is noted. */
    without: string | undefined;
}

/** A placement with its endpoints by name. */
export interface SerializedPlacement
    extends Omit<Placement, "endpoint" | "helpers" | "shares" | "recorded" | "chosenBy"> {
    endpoint: string;
    helpers: string[];
    shares: [endpoint: string, tokens: number][];
}

/** The answer to a question. */
export type PlacementAnswer =
    /** The entry doesn't choose for others, or doesn't know the service. */
    | { type: "Declined"; serial: number; }
    /** No endpoint may get the request, or none has the memory. */
    | { type: "NoEndpoint"; serial: number; }
    /** `busyFor` is how long the endpoint that the question left out still reads what it has. */
    | { type: "Chosen"; serial: number; placement: SerializedPlacement; busyFor: Milliseconds; };
