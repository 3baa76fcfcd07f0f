/** Incoming HTTP over Node's `http`: listening, JSON answers, and stopping. */
import http from "node:http";
import { AddressInfo } from "node:net";
import { splitAddress } from "./address.js";
import { Clock, Milliseconds } from "./clock.js";

/** A listening server and the address it got. */
export interface Listener {
    server: http.Server;
    /** `host:port`, with the real port where 0 was asked for. */
    address: string;
    /** Stops listening and cuts every connection. */
    close(): Promise<void>;
    /** Stops listening and lets what is being answered end, then cuts the rest after `limit`. */
    finish(clock: Clock, limit: Milliseconds): Promise<void>;
}

/** Answers one request; a rejected promise ends the request with status 500. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

const answerFailure = (response: http.ServerResponse): void => {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    response.writeHead(500).end();
};

/** Listens on `host:port`. Rejects with Node's error when the address can't be had. */
export const listen = (address: string, handler: RequestHandler): Promise<Listener> =>
    new Promise((resolve, reject) => {
        const server = http.createServer((request, response) => {
            handler(request, response).catch(() => answerFailure(response));
        });
        // Callers' long uploads have their own deadline; Node's default would cut them without an answer.
        server.requestTimeout = 0;
        server.keepAliveTimeout = 60_000;
        server.once("error", reject);
        const { host, port } = splitAddress(address);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve({
                server,
                address: `${host}:${(server.address() as AddressInfo).port}`,
                close: () => closeServer(server),
                finish: (clock, limit) => finishServer(server, clock, limit),
            });
        });
    });

const closeServer = (server: http.Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });

const finishServer = async (server: http.Server, clock: Clock, limit: Milliseconds): Promise<void> => {
    const closed = new AbortController();
    const ended = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeIdleConnections();
    await Promise.race([ended, clock.sleep(limit, closed.signal)]);
    closed.abort();
    server.closeAllConnections();
};

/** Resolves when an answer has left this process, or its connection is gone. */
export const answerSent = (response: http.ServerResponse): Promise<void> =>
    new Promise(resolve => {
        if (response.writableFinished || response.destroyed) {
            resolve();
            return;
        }
        response.once("finish", resolve);
        response.once("close", resolve);
    });

/** Sends a JSON answer. */
export const sendJson = (response: http.ServerResponse, status: number, value: unknown): void => {
    const text = JSON.stringify(value);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
};

/** Method, path and query of a request. */
export const requestTarget = (
    request: http.IncomingMessage,
): { method: string; path: string; query: URLSearchParams; } => {
    const url = new URL(request.url ?? "/", "http://localhost");
    return { method: request.method ?? "GET", path: url.pathname, query: url.searchParams };
};
