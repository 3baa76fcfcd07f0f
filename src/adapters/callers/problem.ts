/** Sends failures to callers as `application/problem+json`. */
import { ServerResponse } from "node:http";
import { match } from "ts-pattern";
import { Execution, FailureKind, RequestFailure } from "../../core/failures.js";
import { describeError } from "../../utils/errors.js";

/** Response body of every rejected or failed request. */
export interface Problem {
    type: string;
    title: string;
    status: number;
    detail: string;
    requestId: string;
    execution: Execution;
}

interface ProblemHeading {
    status: number;
    title: string;
}

const headingOf = (kind: FailureKind): ProblemHeading =>
    match(kind)
        .with(FailureKind.BadRequest, () => ({ status: 400, title: "Bad request" }))
        .with(FailureKind.BodyTooLarge, () => ({ status: 413, title: "Body over the limit" }))
        .with(FailureKind.UnknownCustomer, () => ({ status: 401, title: "Unknown customer" }))
        .with(FailureKind.UnknownModel, () => ({ status: 404, title: "Unknown model" }))
        .with(FailureKind.UnknownService, () => ({ status: 404, title: "Unknown service" }))
        .with(FailureKind.UnknownRoute, () => ({ status: 404, title: "Unknown route" }))
        .with(FailureKind.HeadersTooLarge, () => ({ status: 431, title: "Headers over the limit" }))
        .with(FailureKind.RequestTooSlow, () => ({ status: 408, title: "Request too slow" }))
        .with(FailureKind.NotConfigured, () => ({ status: 503, title: "No configuration yet" }))
        .with(FailureKind.KeyRequired, () => ({ status: 400, title: "Idempotency-Key required" }))
        .with(FailureKind.KeyReused, () => ({ status: 422, title: "Idempotency-Key reused with another request" }))
        .with(FailureKind.PromptTooLarge, () => ({ status: 413, title: "Prompt too large" }))
        .with(FailureKind.Poison, () => ({ status: 422, title: "Request crashes endpoints" }))
        .with(FailureKind.Quarantined, () => ({ status: 503, title: "Request crashes endpoints" }))
        .with(FailureKind.Overloaded, () => ({ status: 503, title: "Overloaded" }))
        .with(FailureKind.NoEndpoint, () => ({ status: 503, title: "No endpoint" }))
        .with(FailureKind.MemoryFull, () => ({ status: 503, title: "Entry's memory is full" }))
        .with(FailureKind.Stopping, () => ({ status: 503, title: "Entry is stopping" }))
        .with(FailureKind.PlatformDown, () => ({ status: 503, title: "Platform down" }))
        .with(FailureKind.DeadlineExceeded, () => ({ status: 504, title: "Deadline exceeded" }))
        .with(FailureKind.RetriesExhausted, () => ({ status: 503, title: "Retries exhausted" }))
        .with(FailureKind.OutcomeUnknown, () => ({ status: 502, title: "Outcome unknown" }))
        .with(FailureKind.AnswerUnusable, () => ({ status: 502, title: "Answer unusable" }))
        .with(FailureKind.AnswerNotKept, () => ({ status: 410, title: "Answer not kept" }))
        .with(FailureKind.Internal, () => ({ status: 500, title: "Internal error" }))
        .exhaustive();

/** Converts any thrown value to a failure. After an unexpected error, whether the request ran is unknown. */
export const failureOf = (error: unknown): RequestFailure =>
    error instanceof RequestFailure
        ? error
        : new RequestFailure(FailureKind.Internal, Execution.Unknown, describeError(error));

/** Creates the problem object of a failure. */
export const problemOf = (failure: RequestFailure, requestId: string): Problem => {
    const { status, title } = headingOf(failure.kind);
    return {
        type: `urn:dandelionramp:problem:${failure.kind}`,
        title,
        status,
        detail: failure.message,
        requestId,
        execution: failure.execution,
    };
};

/** Sends a problem response. Does nothing once the response head has been sent or the connection is closed. */
export const sendProblem = (response: ServerResponse, failure: RequestFailure, requestId: string): void => {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const problem = problemOf(failure, requestId);
    const text = JSON.stringify(problem);
    if (failure.retryAfterSeconds !== undefined) {
        response.setHeader("retry-after", String(failure.retryAfterSeconds));
    }
    response.writeHead(problem.status, {
        "content-type": "application/problem+json",
        "content-length": Buffer.byteLength(text),
        "x-request-id": requestId,
    });
    response.end(text);
};
