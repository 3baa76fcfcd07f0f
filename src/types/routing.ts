/** Configuration of routes, services and customers, and the endpoints behind them, in the project's own words. */
import type { Milliseconds } from "../utils/clock.js";

/** What may be repeated on a route. */
export enum RequestKind {
    Idempotent = "idempotent",
    NonIdempotent = "nonIdempotent",
    /** Answers with a series of events. */
    Streaming = "streaming",
}

/** A service that a route sends to, with its share of the requests. */
export interface ServiceShare {
    service: string;
    /** Relative to the route's other shares. */
    weight: number;
}

/** Where the requests of a host under a path prefix go, and how. */
export interface Route {
    name: string;
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    kind: RequestKind;
    /** The longest that a caller is kept waiting for the whole answer. */
    timeout: Milliseconds;
    /** Time to the whole answer, or to a stream's first event, that callers want. */
    targetLatency: Milliseconds;
    /** The longest pause between a stream's events that callers want. */
    targetGap: Milliseconds | undefined;
    /** Endpoints to which one request may be sent. */
    attempts: number;
    /** Rank; 0 goes first. */
    priority: number;
    shares: readonly ServiceShare[];
    /** Whether callers need no key. */
    open: boolean;
    /** Whether another endpoint can continue a stream. */
    resumable: boolean;
}

/** Published speeds of a service's model engines. */
export interface EngineProfile {
    /** Requests that an engine works on at once. */
    slots: number;
    memoryTokens: number;
    stepTime: Milliseconds;
    /** Added to a step for each request that is writing. */
    stepTimePerRequest: Milliseconds;
    /** Added to a step for each thousand tokens of context. */
    stepTimePerThousandTokens: Milliseconds;
    readTokensPerSecond: number;
    /** Reading time for a million pairs of a token and an earlier one. */
    readTimePerMillionPairs: Milliseconds;
    /** Prompt tokens that one step reads at most. */
    chunkTokens: number;
    /** Steps of a pass in which requests write. */
    stepsPerPass: number;
    /** Added to each step for every pass over engines that share a prompt. */
    hopTime: Milliseconds;
    /** Mean size of a request, as published; undefined where the service publishes none. */
    usual: UsualSize | undefined;
}

/** Mean size of a service's requests, in tokens. */
export interface UsualSize {
    promptTokens: number;
    answerTokens: number;
}

/** A service behind the routes. */
export interface ServiceDefinition {
    name: string;
    healthPath: string;
    /** Connections that an endpoint takes from all entries together. */
    connectionsAtMost: number;
    /** Requests a second that a cold endpoint bears. */
    coldRequestsPerSecond: number;
    /** Undefined for plain services. */
    engine: EngineProfile | undefined;
}

/** Somebody whose callers hold keys. */
export interface Customer {
    name: string;
    keys: readonly string[];
    /** Goes before the route's; undefined where the route's holds. */
    priority: number | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headerTimeout: Milliseconds;
    idleTimeout: Milliseconds;
}

/** One version of the whole configuration. */
export interface RoutingConfiguration {
    version: number;
    routes: readonly Route[];
    services: readonly ServiceDefinition[];
    /** Undefined where callers need no keys at all. */
    customers: readonly Customer[] | undefined;
    limits: CallerLimits;
}

/** How endpoints are chosen. */
export enum PlacementPolicy {
    /** Where the least value is lost by predicted times. */
    Predicted = "predicted",
    /** Where the fewest requests are in progress; a baseline to compare with. */
    LeastOutstanding = "leastOutstanding",
}

/** Whether an endpoint may get new requests. */
export enum EndpointState {
    Ready = "ready",
    Draining = "draining",
}

/** An endpoint as it is listed. */
export interface EndpointRecord {
    id: string;
    service: string;
    /** `host:port`. */
    address: string;
    dataCentre: string;
    slots: number;
    state: EndpointState;
    /** How much longer it was cold when the record was written. */
    coldFor: Milliseconds;
    /** Differs between two lives of an endpoint under one id. */
    incarnation: number;
}
