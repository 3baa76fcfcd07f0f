/** Configuration of routes, services and customers, and the records of endpoints, independent of the platform's formats. */
import type { Milliseconds } from "../utils/clock.js";

/** Kind of the requests on a route, which determines whether an attempt may be retried. */
export enum RequestKind {
    Idempotent = "idempotent",
    NonIdempotent = "nonIdempotent",
    /** The response is a stream of events. */
    Streaming = "streaming",
}

/** A service that a route forwards to, with its share of the requests. */
export interface ServiceShare {
    service: string;
    /** Relative to the weights of the route's other shares. */
    weight: number;
}

/** How requests for a host and path prefix are forwarded. */
export interface Route {
    name: string;
    host: string;
    /** Starts and ends with a slash. */
    pathPrefix: string;
    kind: RequestKind;
    /** Timeout for the complete response. */
    timeout: Milliseconds;
    /** Latency target for the complete response, or for the first event of a stream. */
    targetLatency: Milliseconds;
    /** Target for the longest inter-event gap of a stream. */
    targetGap: Milliseconds | undefined;
    /** Limit on the endpoints to which one request may be sent. */
    attempts: number;
    /** Priority of the requests; 0 is the highest. */
    priority: number;
    shares: readonly ServiceShare[];
    /** Whether callers need no API key. */
    open: boolean;
    /** Whether another endpoint can continue a stream. */
    resumable: boolean;
}

/** Published capacity and speed of a service's model engines. */
export interface EngineProfile {
    /** Limit on the concurrent requests of an engine. */
    slots: number;
    memoryTokens: number;
    stepTime: Milliseconds;
    /** Added to a step for each request in decode. */
    stepTimePerRequest: Milliseconds;
    /** Added to a step for each thousand tokens of context. */
    stepTimePerThousandTokens: Milliseconds;
    readTokensPerSecond: number;
    /** Prefill time for one million pairs of a token and an earlier token. */
    readTimePerMillionPairs: Milliseconds;
    /** Limit on the prompt tokens that one step prefills. */
    chunkTokens: number;
    /** Steps in one pass; each request in decode generates one token per step. */
    stepsPerPass: number;
    /** Added to each step for every pass across engines that share a prompt. */
    hopTime: Milliseconds;
    /** Published mean size of a request; undefined if the service publishes none. */
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
    /** Limit on the connections that an endpoint accepts from all entries together. */
    connectionsAtMost: number;
    /** Requests per second that a cold endpoint can serve. */
    coldRequestsPerSecond: number;
    /** Undefined for plain services. */
    engine: EngineProfile | undefined;
}

/** A customer and the API keys of its callers. */
export interface Customer {
    name: string;
    keys: readonly string[];
    /** Overrides the priority of the route; undefined if the route's priority applies. */
    priority: number | undefined;
}

/** Limits on the size of requests and on the time to send them. */
export interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headerTimeout: Milliseconds;
    idleTimeout: Milliseconds;
}

/** One version of the complete configuration. */
export interface RoutingConfiguration {
    version: number;
    routes: readonly Route[];
    services: readonly ServiceDefinition[];
    /** Undefined if no route requires an API key. */
    customers: readonly Customer[] | undefined;
    limits: CallerLimits;
}

/** How endpoints are selected. */
export enum PlacementPolicy {
    /** The endpoint with the smallest loss of value at the predicted response times. */
    Predicted = "predicted",
    /** The endpoint with the fewest requests in progress, as a baseline for comparison. */
    LeastOutstanding = "leastOutstanding",
}

/** Whether an endpoint may receive new requests. */
export enum EndpointState {
    Ready = "ready",
    Draining = "draining",
}

/** Incarnation of an endpoint whose record names no process. */
export const unknownIncarnation = 0;

/** Record of an endpoint in the store. */
export interface EndpointRecord {
    id: string;
    service: string;
    /** `host:port`. */
    address: string;
    dataCentre: string;
    slots: number;
    state: EndpointState;
    /** Remaining duration of the cold start when the record was written. */
    coldFor: Milliseconds;
    /** Changes when an endpoint is replaced or restarted under the same id. */
    incarnation: number;
}
