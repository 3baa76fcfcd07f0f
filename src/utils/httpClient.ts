/** HTTP client over Node's `http`. Each failure states whether the server may have received the request. */
import http from "node:http";
import type { Duplex } from "node:stream";
import { gunzipSync } from "node:zlib";
import { splitAddress } from "./address.js";
import { announcedBytes, type BodyLimits, collectBody } from "./bodies.js";
import { BodyTooLargeError, describeError, ExchangeError } from "./errors.js";
import { cancelOnAbort } from "./requestCancellation.js";
import { limitHeadBytes } from "./responseHeadLimit.js";

/** One outgoing request. */
export interface OutgoingRequest {
    /** `host:port`. */
    address: string;
    method: string;
    path: string;
    headers?: Record<string, string>;
    body?: string | Buffer;
    signal?: AbortSignal;
    /** Opens a new connection. A failure to connect then proves that nothing was written. */
    freshConnection?: boolean;
    /** Pools the connections. Requests without an agent share one. */
    agent?: http.Agent;
    /** Sends the request on this established connection instead. */
    socket?: Duplex;
}

/** Head of a response, and its unread body. */
export interface IncomingResponse {
    status: number;
    headers: http.IncomingHttpHeaders;
    body: http.IncomingMessage;
}

const sharedAgent = new http.Agent({ keepAlive: true, maxSockets: 512, maxFreeSockets: 32 });

const requestHeaders = (request: OutgoingRequest): http.OutgoingHttpHeaders => {
    const contentLength = request.body === undefined ? undefined : Buffer.byteLength(request.body);
    return { ...request.headers, ...(contentLength === undefined ? {} : { "content-length": contentLength }) };
};

const connectionOf = ({ socket, freshConnection, agent }: OutgoingRequest): http.RequestOptions => {
    if (socket) {
        return { createConnection: () => socket };
    }
    return { agent: freshConnection ? new http.Agent({ keepAlive: false }) : agent ?? sharedAgent };
};

/**
 * Sends a request and resolves with the head of the response.
 *
 * Throws {@link ExchangeError}, whose `written` is false only if no connection was established.
 */
export const sendRequest = (request: OutgoingRequest): Promise<IncomingResponse> =>
    new Promise((resolve, reject) => {
        let written = false;
        const outgoing = http.request({
            ...splitAddress(request.address),
            method: request.method,
            path: request.path,
            headers: requestHeaders(request),
            ...connectionOf(request),
        });
        limitHeadBytes(outgoing);
        if (request.signal) {
            outgoing.once("close", cancelOnAbort(outgoing, request.signal));
        }
        outgoing.on("socket", socket => {
            if (!socket.connecting) {
                written = true;
                return;
            }
            socket.once("connect", () => {
                written = true;
            });
        });
        outgoing.on("response", body => {
            resolve({ status: body.statusCode ?? 0, headers: body.headers, body });
        });
        const fail = (reason: string, cause?: Error) =>
            reject(
                new ExchangeError(`${request.method} ${request.address}${request.path}: ${reason}`, written, { cause }),
            );
        outgoing.on("error", error => fail(describeError(error), error));
        // Node reports no error for a server that switches protocols.
        outgoing.once("close", () => fail("the connection closed before a response"));
        outgoing.end(request.body);
    });

/**
 * Reads a complete body. Throws {@link BodyTooLargeError} if it exceeds `limitBytes`, and {@link ExchangeError} if it is
 * incomplete or does not arrive within `time`. The connection stays open in both cases, because a server still has to send its response. Clients use
 * {@link readResponseBody}.
 */
export const readBody = async (
    body: http.IncomingMessage,
    limitBytes: number,
    time?: BodyLimits["time"],
): Promise<Buffer> => {
    try {
        return await collectBody(body, { bytes: limitBytes, time });
    }
    catch (error) {
        if (error instanceof BodyTooLargeError) {
            throw error;
        }
        throw new ExchangeError(`the body is incomplete: ${describeError(error)}`, true, { cause: error });
    }
};

/**
 * Reads the complete body of a response. Throws as {@link readBody} does, and then closes the connection: nobody reads the rest,
 * which may have no end. A body whose announced length exceeds the limit isn't read at all.
 */
export const readResponseBody = async (body: http.IncomingMessage, limitBytes: number): Promise<Buffer> => {
    try {
        // The response to a HEAD request announces a length and is already complete.
        if (!body.complete && announcedBytes(body) > limitBytes) {
            throw new BodyTooLargeError(limitBytes);
        }
        return await readBody(body, limitBytes);
    }
    catch (error) {
        body.destroy();
        throw error;
    }
};

/** A request without a body, whose response is JSON. */
export interface JsonRequest extends Omit<OutgoingRequest, "body"> {
    /** Limit on the body of the response, as sent and uncompressed; {@link defaultJsonResponseBytes} where omitted. */
    maximumResponseBytes?: number;
    /** Parses the body; `JSON.parse` where omitted. */
    parse?: (text: string) => unknown;
}

/** A response with its parsed JSON body. */
export interface JsonResponse {
    status: number;
    headers: http.IncomingHttpHeaders;
    value: unknown;
}

/** Limit for responses that state an outcome or a few figures. Callers that expect more name their own limit. */
export const defaultJsonResponseBytes = 64 * 1024;

const readJsonText = async (body: http.IncomingMessage, limitBytes: number): Promise<string> => {
    const bytes = await readResponseBody(body, limitBytes);
    const isGzipped = body.headers["content-encoding"] === "gzip";
    return (isGzipped ? gunzipSync(bytes, { maxOutputLength: limitBytes }) : bytes).toString("utf8");
};

/** Sends `value` as JSON and reads a JSON response. Throws {@link ExchangeError} or {@link BodyTooLargeError}. */
export const requestJson = async (
    { maximumResponseBytes = defaultJsonResponseBytes, parse = JSON.parse, ...request }: JsonRequest,
    value?: unknown,
): Promise<JsonResponse> => {
    const response = await sendRequest({
        ...request,
        headers: { ...request.headers, ...(value === undefined ? {} : { "content-type": "application/json" }) },
        body: value === undefined ? undefined : JSON.stringify(value),
    });
    const text = await readJsonText(response.body, maximumResponseBytes);
    try {
        return {
            status: response.status,
            headers: response.headers,
            value: text === "" ? undefined : parse(text),
        };
    }
    catch (error) {
        throw new ExchangeError(`${request.address}${request.path}: the response is not valid JSON`, true, {
            cause: error,
        });
    }
};
