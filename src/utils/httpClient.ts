/** Outgoing HTTP over Node's `http`, with a plain answer to the question whether a request may have been read. */
import http from "node:http";
import { gunzipSync } from "node:zlib";
import { splitAddress } from "./address.js";
import { collectBody } from "./bodies.js";
import { BodyTooLargeError, describeError, ExchangeError } from "./errors.js";

/** One outgoing request. */
export interface OutgoingRequest {
    /** `host:port`. */
    address: string;
    method: string;
    path: string;
    headers?: Record<string, string>;
    body?: string | Buffer;
    signal?: AbortSignal;
    /** A connection of its own: a failure to connect then proves that nothing was written. */
    freshConnection?: boolean;
    /** Keeps the connections; one for all where it is left out. */
    agent?: http.Agent;
}

/** The head of an answer, with its body still to be read. */
export interface IncomingResponse {
    status: number;
    headers: http.IncomingHttpHeaders;
    body: http.IncomingMessage;
}

const sharedAgent = new http.Agent({ keepAlive: true, maxSockets: 512, maxFreeSockets: 32 });

const requestHeaders = (request: OutgoingRequest): http.OutgoingHttpHeaders => {
    const length = request.body === undefined ? undefined : Buffer.byteLength(request.body);
    return { ...request.headers, ...(length === undefined ? {} : { "content-length": length }) };
};

/**
 * Sends a request and resolves with the head of its answer.
 *
 * Throws {@link ExchangeError}; its `written` is false only when the connection was never made.
 */
export const sendRequest = (request: OutgoingRequest): Promise<IncomingResponse> =>
    new Promise((resolve, reject) => {
        let written = false;
        const outgoing = http.request({
            ...splitAddress(request.address),
            method: request.method,
            path: request.path,
            headers: requestHeaders(request),
            agent: request.freshConnection ? new http.Agent({ keepAlive: false }) : request.agent ?? sharedAgent,
            signal: request.signal,
        });
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
        outgoing.on("error", error => {
            const message = `${request.method} ${request.address}${request.path}: ${describeError(error)}`;
            reject(new ExchangeError(message, written, { cause: error }));
        });
        outgoing.end(request.body);
    });

/**
 * Reads a body to its end. Throws {@link BodyTooLargeError} over `limitBytes`, {@link ExchangeError} when cut. The
 * connection stays open either way: a server still has to answer on it.
 */
export const readBody = async (body: http.IncomingMessage, limitBytes: number): Promise<Buffer> => {
    try {
        return await collectBody(body, { bytes: limitBytes });
    }
    catch (error) {
        if (error instanceof BodyTooLargeError) {
            throw error;
        }
        throw new ExchangeError(`the body was cut: ${describeError(error)}`, true, { cause: error });
    }
};

/** An answer with its JSON body. */
export interface JsonResponse {
    status: number;
    headers: http.IncomingHttpHeaders;
    value: unknown;
}

const jsonAnswerLimitBytes = 32 * 1024 * 1024;

const readText = async (body: http.IncomingMessage): Promise<string> => {
    try {
        const bytes = await readBody(body, jsonAnswerLimitBytes);
        const packed = body.headers["content-encoding"] === "gzip";
        return (packed ? gunzipSync(bytes, { maxOutputLength: jsonAnswerLimitBytes }) : bytes).toString("utf8");
    }
    catch (error) {
        body.destroy();
        throw error;
    }
};

/** Sends `value` as JSON and reads a JSON answer. Throws {@link ExchangeError}. */
export const requestJson = async (
    request: Omit<OutgoingRequest, "body">,
    value?: unknown,
): Promise<JsonResponse> => {
    const answer = await sendRequest({
        ...request,
        headers: { ...request.headers, ...(value === undefined ? {} : { "content-type": "application/json" }) },
        body: value === undefined ? undefined : JSON.stringify(value),
    });
    const text = await readText(answer.body);
    try {
        return { status: answer.status, headers: answer.headers, value: text === "" ? undefined : JSON.parse(text) };
    }
    catch (error) {
        throw new ExchangeError(`${request.address}${request.path} answered no JSON`, true, { cause: error });
    }
};
