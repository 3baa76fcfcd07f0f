/** How a request fails: the one error that the core gives to callers' adapters. */
import { DandelionrampError } from "../utils/errors.js";

/** Whether the request ran on an endpoint. */
export enum Execution {
    /** No byte of it reached an endpoint, or the endpoint itself refused before running it. */
    NotRun = "not-run",
    Ran = "ran",
    Unknown = "unknown",
}

/** Kinds of failure, each with a status and a title of its own. */
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
    Overloaded = "overloaded",
    NoEndpoint = "no-endpoint",
    /** This entry stops before the answer could be whole. */
    Stopping = "stopping",
    PlatformDown = "platform-down",
    DeadlineExceeded = "deadline-exceeded",
    RetriesExhausted = "retries-exhausted",
    OutcomeUnknown = "outcome-unknown",
    /** The endpoint's answer was no whole answer to this request. */
    AnswerUnusable = "answer-unusable",
    AnswerNotKept = "answer-not-kept",
    Internal = "internal",
}

/** A request ends without its answer. */
export class RequestFailure extends DandelionrampError {
    /** `retryAfterSeconds` is given where asking again can help. */
    constructor(
        readonly kind: FailureKind,
        readonly execution: Execution,
        detail: string,
        readonly retryAfterSeconds?: number,
    ) {
        super(detail);
    }
}
