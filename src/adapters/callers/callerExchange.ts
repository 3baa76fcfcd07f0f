/** One request of a caller: reads its body, authenticates the customer, and determines deadline and idempotency key. */
import { IncomingMessage, ServerResponse } from "node:http";
import {
    BodyTooLargeError,
    Deadline,
    EntryNode,
    ExchangeError,
    Execution,
    FailureKind,
    Profile,
    randomIdentifier,
    readBody,
    RequestFailure,
    requestTarget,
    sha256,
} from "../../internal.js";

const callerTimeoutHeader = "x-request-timeout-ms";
const idempotencyKeyHeader = "idempotency-key";
const maximumIdempotencyKeyLength = 256;
/** Timeout for the body of a request, so that a body that never ends can't occupy memory indefinitely. */
const bodyTimeoutMilliseconds = 60_000;

/** A caller's request in progress, and its response. */
export interface CallerExchange {
    request: IncomingMessage;
    response: ServerResponse;
    requestId: string;
    method: string;
    path: string;
    query: string;
    /** Aborts when the caller disconnects before the complete response is written. */
    signal: AbortSignal;
}

/** Creates the exchange of a request. */
export const openExchange = (node: EntryNode, request: IncomingMessage, response: ServerResponse): CallerExchange => {
    const disconnected = new AbortController();
    response.on("close", () => {
        if (!response.writableFinished) {
            disconnected.abort();
        }
    });
    const { method, path } = requestTarget(request);
    const queryStart = (request.url ?? "").indexOf("?");
    return {
        request,
        response,
        requestId: randomIdentifier(node.ports.random),
        method,
        path,
        query: queryStart < 0 ? "" : request.url!.slice(queryStart),
        signal: disconnected.signal,
    };
};

const rejection = (kind: FailureKind, detail: string): RequestFailure =>
    new RequestFailure(kind, Execution.NotRun, detail);

/** Returns the name of the customer that the request's API key belongs to. Throws RequestFailure if there is none. */
export const authenticateCustomer = (node: EntryNode, exchange: CallerExchange): string => {
    const key = /^Bearer (.+)$/.exec(exchange.request.headers.authorization ?? "")?.[1];
    const customer = key === undefined ? undefined : node.configuration.customerByKeyHash(sha256(key));
    if (customer === undefined) {
        throw rejection(FailureKind.UnknownCustomer, "Authorization: missing or unknown API key");
    }
    return customer;
};

/** Returns the caller's deadline, capped by the profile. Throws RequestFailure for an invalid header. */
export const callerDeadline = (node: EntryNode, exchange: CallerExchange, profile: Profile): Deadline => {
    const text = exchange.request.headers[callerTimeoutHeader];
    if (text === undefined) {
        return new Deadline(node.ports.clock, profile.defaultTimeoutMilliseconds);
    }
    if (typeof text !== "string" || !/^[1-9][0-9]{0,8}$/.test(text)) {
        throw rejection(
            FailureKind.BadRequest,
            "X-Request-Timeout-Ms: expected a positive whole number of milliseconds",
        );
    }
    return new Deadline(node.ports.clock, Math.min(Number(text), profile.maximumTimeoutMilliseconds));
};

/** Returns the caller's Idempotency-Key, if any. Throws RequestFailure for an invalid one. */
export const idempotencyKeyOf = (exchange: CallerExchange): string | undefined => {
    const key = exchange.request.headers[idempotencyKeyHeader];
    if (key === undefined) {
        return undefined;
    }
    if (typeof key !== "string" || key.length === 0 || key.length > maximumIdempotencyKeyLength) {
        throw rejection(
            FailureKind.BadRequest,
            `Idempotency-Key: expected 1 to ${maximumIdempotencyKeyLength} characters`,
        );
    }
    return key;
};

/** Reads the body of the request. Throws RequestFailure if it exceeds the limit, is incomplete, or arrives too slowly. */
export const readCallerBody = async (exchange: CallerExchange, limitBytes: number): Promise<Buffer> => {
    const bodyTimer = setTimeout(() => exchange.request.destroy(), bodyTimeoutMilliseconds);
    try {
        return await readBody(exchange.request, limitBytes);
    }
    catch (error) {
        if (error instanceof BodyTooLargeError) {
            // The rest of the body is not read, so the connection can't be reused for another request.
            exchange.response.setHeader("connection", "close");
            throw rejection(FailureKind.BodyTooLarge, error.message);
        }
        if (error instanceof ExchangeError) {
            throw rejection(FailureKind.BadRequest, error.message);
        }
        throw error;
    }
    finally {
        clearTimeout(bodyTimer);
    }
};
