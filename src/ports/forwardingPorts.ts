/** What forwarding needs of callers and of endpoints. */
import type { RequestFailure } from "../core/failures.js";
import type { EndpointRecord } from "../types/routing.js";
import type { Milliseconds } from "../utils/clock.js";
import { DandelionrampError } from "../utils/errors.js";

/** Header names and values in the order in which they came: name, value, name, value. */
export type HeaderList = readonly string[];

/** Size of a generation in tokens. */
export interface GenerationSize {
    promptTokens: number;
    answerTokensAtMost: number;
}

/** What the head of a caller's request says. */
export interface RequestHead {
    /** Names this attempt of the caller. */
    id: string;
    method: string;
    /** Path and query as they were sent. */
    target: string;
    host: string;
    /** Headers that go on to the endpoint. */
    headers: HeaderList;
    /** The key that the caller showed. */
    key: string | undefined;
    /** How long the caller waits, from the arrival. */
    patience: Milliseconds | undefined;
    /** When its head was read, on the local clock. */
    arrivedAt: Milliseconds;
    /** The caller has a stream up to this event. */
    resumeAfter: string | undefined;
    size: GenerationSize | undefined;
}

/** One request of a caller, read whole. */
export interface ForwardedRequest extends RequestHead {
    body: Buffer;
}

/** An endpoint that reads a part of a prompt for another one. */
export interface Helper {
    address: string;
    /** Memory set aside there for the prompt; the endpoint that gets the order may name its own, and then goes first. */
    reservation: string | undefined;
}

/** One request as it goes to one endpoint. */
export interface EndpointAttempt {
    request: ForwardedRequest;
    endpoint: EndpointRecord;
    /** What is left of the caller's time. */
    timeLeft: Milliseconds;
    /** The customer whose key the caller showed. */
    customer: string | undefined;
    /** Rank among the endpoint's waiting requests; 0 goes first. */
    priority: number;
    /** The caller has the stream up to this event. */
    resumeAfter: string | undefined;
    /** Endpoints that read parts of the prompt. */
    helpers: readonly Helper[];
    /** Whether the answer is a series of events. */
    streaming: boolean;
    /** How long a new connection may take. */
    connectWithin: Milliseconds;
    /** Whether a connection that was used before will do. */
    mayReuseConnection: boolean;
}

/** One event of a stream, as its bytes came. */
export interface StreamEvent {
    /** Its identifier; undefined where it has none. */
    id: string | undefined;
    bytes: Buffer;
}

/** Why an endpoint refused without running a request. */
export enum RefusalReason {
    Busy = "busy",
    /** Another endpoint has this address now. */
    WrongEndpoint = "wrongEndpoint",
}

/** Status and headers of an endpoint's answer, as they go to the caller. */
export interface ResponseHead {
    status: number;
    headers: HeaderList;
}

/** What an endpoint says of itself in an answer. */
export interface EndpointHints {
    /** Requests a second that it takes from all entries together; undefined where it names no limit. */
    limitPerSecond: number | undefined;
}

/** An endpoint's own word that it hasn't run an order and won't. */
export interface Refusal extends EndpointHints {
    type: "Refused";
    reason: RefusalReason;
    coldFor: Milliseconds | undefined;
    /** Identifier or address of the endpoint that it is due to, where the refusal says so. */
    atFault: string | undefined;
}

/** What became of an order. */
export type AttemptOutcome =
    /** Not a byte of it was written; `connectionRefused` where the endpoint's instance said so. */
    | { type: "Unreached"; reason: string; connectionRefused: boolean; }
    | Refusal
    /** It may have run; no whole answer came. */
    | { type: "Broken"; reason: string; }
    | EndpointHints & { type: "Answered"; head: ResponseHead; body: Buffer; }
    | EndpointHints & { type: "Streaming"; head: ResponseHead; events: AsyncIterable<StreamEvent>; };

/** A stream ended before its last event was whole. */
export class StreamBrokenError extends DandelionrampError {}

/** A stream said nothing for so long that it is continued elsewhere. */
export class StreamSilentError extends StreamBrokenError {}

/** The endpoints. */
export interface EndpointPort {
    /** Sends an order. An abort of `signal` cancels it at the endpoint; the outcome is then of no interest. */
    send(order: EndpointAttempt, signal: AbortSignal): Promise<AttemptOutcome>;
}

/** The caller's side of one request. */
export interface CallerExchange {
    readonly head: RequestHead;
    /** Aborts when the caller has left. */
    readonly disconnected: AbortSignal;
    /** Reads the body. Throws a failure when it is over `limitBytes` or doesn't come whole. */
    readBody(limitBytes: number): Promise<Buffer>;
    /** Passes an endpoint's whole answer on. */
    respond(head: ResponseHead, body: Buffer): void;
    /** Begins a stream. */
    beginStream(head: ResponseHead): void;
    /** Passes bytes on; resolves when the caller's connection takes more. */
    write(bytes: Buffer): Promise<void>;
    /** Ends a stream that is whole. */
    endStream(): void;
    /** Breaks a stream off, so that it can't look whole. */
    abortStream(): void;
    /** Answers with a failure of our own. */
    fail(failure: RequestFailure): void;
}
