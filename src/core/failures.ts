/** The error with which the core reports a failed request to the callers' adapters. */
import { DandelionrampError } from "../utils/errors.js";

/** Whether the request ran on an endpoint. */
export enum Execution {
    /** No byte of the request reached an endpoint, or the endpoint rejected the request before running it. */
    NotRun = "not-run",
    Ran = "ran",
    Unknown = "unknown",
}

/** Kinds of failure. The callers' adapters map each kind to an HTTP status and a title. */
export enum FailureKind {
    BadRequest = "bad-request",
    BodyTooLarge = "body-too-large",
    UnknownCustomer = "unknown-customer",
    UnknownModel = "unknown-model",
    UnknownService = "unknown-service",
    UnknownRoute = "unknown-route",
    HeadersTooLarge = "headers-too-large",
    RequestTooSlow = "request-too-slow",
    NotConfigured = "not-configured",
    KeyRequired = "idempotency-key-required",
    KeyReused = "idempotency-key-reused",
    PromptTooLarge = "prompt-too-large",
    Poison = "crashes-endpoints",
    /** The request crashed several endpoints, and none gets it for some time. */
    Quarantined = "quarantined",
    Overloaded = "overloaded",
    NoEndpoint = "no-endpoint",
    /** This entry buffers too much unread data to accept the request. */
    MemoryFull = "memory-full",
    /** This entry stops before it could complete the response. */
    Stopping = "stopping",
    PlatformDown = "platform-down",
    DeadlineExceeded = "deadline-exceeded",
    RetriesExhausted = "retries-exhausted",
    OutcomeUnknown = "outcome-unknown",
    /** The endpoint's response was incomplete or invalid. */
    AnswerUnusable = "answer-unusable",
    AnswerNotKept = "answer-not-kept",
    Internal = "internal",
}

/** A request that failed without a complete response. */
export class RequestFailure extends DandelionrampError {
    /** `retryAfterSeconds` is given if a later retry by the caller may succeed. */
    constructor(
        readonly kind: FailureKind,
        readonly execution: Execution,
        detail: string,
        readonly retryAfterSeconds?: number,
    ) {
        super(detail);
    }
}
