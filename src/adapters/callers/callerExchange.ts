/** One caller's request: who asks, until when, and whether the caller is still there. */
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

const timeoutHeader = "x-request-timeout-ms";
const keyHeader = "idempotency-key";
const keyCharactersAtMost = 256;
/** Time a caller gets to send its body: a body that never ends must not hold memory for good. */
const bodyMilliseconds = 60_000;

/** A caller's request while it is served. */
export interface CallerExchange {
    request: IncomingMessage;
    response: ServerResponse;
    requestId: string;
    method: string;
    path: string;
    query: string;
    /** Aborts when the caller goes away before its answer is whole. */
    signal: AbortSignal;
}

/** Opens an exchange. */
export const openExchange = (node: EntryNode, request: IncomingMessage, response: ServerResponse): CallerExchange => {
    const gone = new AbortController();
    response.on("close", () => {
        if (!response.writableFinished) {
            gone.abort();
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
        signal: gone.signal,
    };
};

const refuse = (kind: FailureKind, detail: string): RequestFailure =>
    new RequestFailure(kind, Execution.NotRun, detail);

/** Name of the customer whose key the request carries. Throws RequestFailure. */
export const customerOf = (node: EntryNode, exchange: CallerExchange): string => {
    const key = /^Bearer (.+)$/.exec(exchange.request.headers.authorization ?? "")?.[1];
    const customer = key === undefined ? undefined : node.configuration.customerByKeyHash(sha256(key));
    if (customer === undefined) {
        throw refuse(FailureKind.UnknownCustomer, "Authorization: no customer has this key");
    }
    return customer;
};

/** The caller's deadline, capped by the profile. Throws RequestFailure for a bad header. */
export const deadlineOf = (node: EntryNode, exchange: CallerExchange, profile: Profile): Deadline => {
    const text = exchange.request.headers[timeoutHeader];
    if (text === undefined) {
        return new Deadline(node.ports.clock, profile.defaultTimeoutMilliseconds);
    }
    if (typeof text !== "string" || !/^[1-9][0-9]{0,8}$/.test(text)) {
        throw refuse(FailureKind.BadRequest, "X-Request-Timeout-Ms: expected a positive whole number of milliseconds");
    }
    return new Deadline(node.ports.clock, Math.min(Number(text), profile.maximumTimeoutMilliseconds));
};

/** The caller's Idempotency-Key, if any. Throws RequestFailure for a bad one. */
export const idempotencyKeyOf = (exchange: CallerExchange): string | undefined => {
    const key = exchange.request.headers[keyHeader];
    if (key === undefined) {
        return undefined;
    }
    if (typeof key !== "string" || key.length === 0 || key.length > keyCharactersAtMost) {
        throw refuse(FailureKind.BadRequest, `Idempotency-Key: expected 1 to ${keyCharactersAtMost} characters`);
    }
    return key;
};

/** Reads the caller's body. Throws RequestFailure over the limit or when the body is cut or too slow. */
export const bodyOf = async (exchange: CallerExchange, limitBytes: number): Promise<Buffer> => {
    const timer = setTimeout(() => exchange.request.destroy(), bodyMilliseconds);
    try {
        return await readBody(exchange.request, limitBytes);
    }
    catch (error) {
        if (error instanceof BodyTooLargeError) {
            // The rest of the body is never read, so this connection can't carry another request.
            exchange.response.setHeader("connection", "close");
            throw refuse(FailureKind.BodyTooLarge, error.message);
        }
        if (error instanceof ExchangeError) {
            throw refuse(FailureKind.BadRequest, error.message);
        }
        throw error;
    }
    finally {
        clearTimeout(timer);
    }
};
