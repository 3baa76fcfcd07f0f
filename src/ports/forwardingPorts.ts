/** Ports between forwarding and its callers and endpoints. */
import type { RequestFailure } from "../core/failures.js";
import type { RequestMemory } from "../core/memoryBounds/requestMemory.js";
import type { AttemptPath } from "../core/reachability/attemptPath.js";
import type { EndpointRecord } from "../types/routing.js";
import type { Milliseconds } from "../utils/clock.js";
import { DandelionrampError } from "../utils/errors.js";

/** Header names and values, alternating, in the order received. */
export type HeaderList = readonly string[];

/** Size of a generation in tokens. */
export interface GenerationSize {
    promptTokens: number;
    maximumAnswerTokens: number;
}

/** The head of a request from a caller. */
export interface RequestHead {
    /** Identifies this request; a retry by the caller has an identifier of its own. */
    id: string;
    method: string;
    /** Path and query, unchanged. */
    target: string;
    host: string;
    /** Headers that are forwarded to the endpoint. */
    headers: HeaderList;
    /** API key of the caller. */
    apiKey: string | undefined;
    /** The caller's own timeout, counted from the arrival. */
    callerTimeout: Milliseconds | undefined;
    /** When the request head was read, on the local clock. */
    arrivedAt: Milliseconds;
    /** Last event of the stream that the caller already has. */
    lastEventId: string | undefined;
    size: GenerationSize | undefined;
    /** Identifiers of the parts of the prompt that other requests may share, in order; none where the prompt isn't known. */
    sharedParts: readonly string[];
}

/** A request with its complete body. */
export interface ForwardedRequest extends RequestHead {
    body: Buffer;
    /** Account of the bytes that are buffered for the request; undefined where they are not bounded. */
    memory?: RequestMemory;
}

/** An endpoint that prefills a part of a prompt for another endpoint. */
export interface Helper {
    address: string;
    /**
     * Memory reserved there for the prompt. An endpoint may be listed as its own helper to name its reservation, and then comes
     * first.
     */
    reservationId: string | undefined;
}

/** One send of a request to one endpoint. */
export interface EndpointAttempt {
    request: ForwardedRequest;
    endpoint: EndpointRecord;
    /** Remaining time until the deadline. */
    timeLeft: Milliseconds;
    /** The customer that the caller's API key belongs to. */
    customer: string | undefined;
    /** Priority in the queue of the endpoint; 0 is the highest. */
    priority: number;
    /** Last event of the stream that the caller already has. */
    lastEventId: string | undefined;
    /** Endpoints that prefill parts of the prompt. */
    helpers: readonly Helper[];
    /** Whether the response is an event stream. */
    isStreaming: boolean;
    /** Timeout for a new connection. */
    connectTimeout: Milliseconds;
    /** Whether an idle connection of an earlier request may be used. */
    mayReuseConnection: boolean;
    /** Address of the entry that carries the connection; undefined where this entry connects itself. */
    relay?: string;
    /** Kept up to date with how the connection runs and ends; undefined where nobody asks who has failed. */
    path?: AttemptPath;
}

/** One event of a stream with its unchanged bytes. */
export interface StreamEvent {
    /** Identifier of the event; undefined where it has none. */
    id: string | undefined;
    bytes: Buffer;
}

/** Why an endpoint refused a request without running it. */
export enum RefusalReason {
    Busy = "busy",
    /** The address belongs to another endpoint now. */
    WrongEndpoint = "wrongEndpoint",
}

/** Status and headers of an endpoint's response, as they are sent to the caller. */
export interface ResponseHead {
    status: number;
    headers: HeaderList;
}

/** What an endpoint reports about itself in a response. */
export interface EndpointReport {
    /** Requests per second that the endpoint accepts from all entries together; undefined where it names no limit. */
    limitPerSecond: number | undefined;
    /** Whether a missing limit means that the endpoint has none. Refusals and responses to orders don't tell. */
    mayLiftLimit: boolean;
    /** How long the endpoint stays cold; undefined where it doesn't say. */
    coldFor: Milliseconds | undefined;
    /** For how long the endpoint asks this entry, with a refusal, to send nothing. */
    retryAfter: Milliseconds | undefined;
    /** Whether the endpoint is shutting down. */
    isLeaving: boolean;
}

/** Receives the report of each response as soon as its head has arrived. */
export type ReportListener = (report: EndpointReport) => void;

/** An endpoint guarantees that it has not run the request and will not. */
export interface Refusal {
    type: "Refused";
    reason: RefusalReason;
    /** Identifier or address of the endpoint that caused the refusal, where the refusal names it. */
    atFault: string | undefined;
}

/** Why there was no connection to an endpoint. */
export enum ConnectFailure {
    /** The instance of the endpoint refused the connection. */
    Refused = "refused",
    NoResponse = "noResponse",
    /** No entry that reaches endpoints has tried, so that this says nothing about the endpoint. */
    RelayUnavailable = "relayUnavailable",
}

/** Outcome of an attempt. */
export type AttemptOutcome =
    /** Not a byte was written. */
    | { type: "Unreached"; reason: string; failure: ConnectFailure; }
    | Refusal
    /** The request may have run, but no complete response arrived. */
    | { type: "Broken"; reason: string; }
    | { type: "Answered"; head: ResponseHead; body: Buffer; }
    | { type: "Streaming"; head: ResponseHead; events: AsyncIterable<StreamEvent>; };

/** A stream ended before its last event was complete. */
export class StreamBrokenError extends DandelionrampError {}

/** No event arrived within the timeout, and the stream is continued at another endpoint. */
export class StreamStalledError extends StreamBrokenError {}

/** Whether an endpoint accepts connections. */
export enum ConnectionCheck {
    Accepted = "accepted",
    /** The instance runs, and no process listens there. */
    Refused = "refused",
    NoResponse = "noResponse",
    /** The entry that should have carried the connection doesn't. */
    RelayUnavailable = "relayUnavailable",
}

/** The result of a check whose connection failed. */
export const connectionCheckOf = (failure: ConnectFailure): ConnectionCheck => {
    switch (failure) {
        case ConnectFailure.Refused:
            return ConnectionCheck.Refused;
        case ConnectFailure.NoResponse:
            return ConnectionCheck.NoResponse;
        case ConnectFailure.RelayUnavailable:
            return ConnectionCheck.RelayUnavailable;
    }
};

/** Sends requests to endpoints. */
export interface EndpointPort {
    /** Called with the endpoint of each new connection of this entry that is established. */
    onConnected: (endpoint: EndpointRecord) => void;
    /** Sends one attempt. Aborting `signal` cancels it at the endpoint; the outcome is then ignored. */
    send(attempt: EndpointAttempt, signal: AbortSignal, onReport: ReportListener): Promise<AttemptOutcome>;
    /** Opens a connection to the endpoint, or has the entry at the address `relay` open it, and closes it at once. */
    checkConnection(endpoint: EndpointRecord, timeout: Milliseconds, relay?: string): Promise<ConnectionCheck>;
    /** Asks for the health of the endpoint; resolves with whether another process responds at its address. */
    isReplaced(endpoint: EndpointRecord, healthPath: string, timeout: Milliseconds): Promise<boolean>;
}

/** The caller's side of one request. */
export interface CallerExchange {
    readonly head: RequestHead;
    /** Aborts when the caller disconnects. */
    readonly disconnected: AbortSignal;
    /** Account of the bytes that are buffered for the request; undefined where they are not bounded. */
    readonly memory?: RequestMemory;
    /** Reads the body. Throws a {@link RequestFailure} when it exceeds `limitBytes` or is incomplete. */
    readBody(limitBytes: number): Promise<Buffer>;
    /** Sends a complete response to the caller. */
    respond(head: ResponseHead, body: Buffer): void;
    /** Sends the head of a streamed response. */
    beginStream(head: ResponseHead): void;
    /** Sends bytes of the stream; resolves when the connection accepts more, or at once where buffered bytes are bounded. */
    write(bytes: Buffer): Promise<void>;
    /** Ends a complete stream. */
    endStream(): void;
    /** Cuts a stream so that the caller can detect that it is incomplete. */
    abortStream(): void;
    /** Sends a failure of the entry itself. */
    fail(failure: RequestFailure): void;
}
