/** HTTP server over Node's `http`: listens, sends JSON responses, and shuts down. */
import http from "node:http";
import { AddressInfo } from "node:net";
import { splitAddress } from "./address.js";
import { Clock, Milliseconds } from "./clock.js";

/** A listening server. */
export interface Listener {
    server: http.Server;
    /** `host:port`, with the assigned port if port 0 was requested. */
    address: string;
    /** Stops listening and destroys every connection. */
    close(): Promise<void>;
    /** Stops listening, waits up to `limit` for requests in flight, then destroys the remaining connections. */
    drain(clock: Clock, limit: Milliseconds): Promise<void>;
}

/** Handles one request. If it throws or the promise rejects, the response has status 500. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

/** Ends a response whose handler has failed: with status 500, or by closing its connection. */
export const endWithInternalError = (response: http.ServerResponse): void => {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    // The request may not have been read to its end, and may have none.
    response.writeHead(500, { connection: "close" }).end();
};

/** Listens on `host:port`. Rejects with Node's error if the address is unavailable. */
export const listen = (address: string, handler: RequestHandler): Promise<Listener> =>
    new Promise((resolve, reject) => {
        const handle = async (request: http.IncomingMessage, response: http.ServerResponse) => {
            try {
                await handler(request, response);
            }
            catch {
                endWithInternalError(response);
            }
        };
        const server = http.createServer((request, response) => void handle(request, response));
        // Long uploads of callers have their own timeout. Node's default would close the connection without a response.
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
                drain: (clock, limit) => drainServer(server, clock, limit),
            });
        });
    });

/** Answers the `CONNECT` requests that `server` receives. Node closes their connections without an answer. */
export const refuseTunnels = (server: http.Server): void => {
    server.on("connect", (...[, stream]) => {
        stream.on("error", () => {});
        // Node no longer closes this connection, neither when its client does nor when the server closes.
        stream.once("finish", () => stream.destroy());
        stream.end("HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    });
};

const closeServer = (server: http.Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });

const drainServer = async (server: http.Server, clock: Clock, limit: Milliseconds): Promise<void> => {
    const timer = new AbortController();
    const allClosed = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeIdleConnections();
    await Promise.race([allClosed, clock.sleep(limit, timer.signal)]);
    timer.abort();
    server.closeAllConnections();
};

/** Resolves when the response has left this process, or when its connection is closed. */
export const responseSent = (response: http.ServerResponse): Promise<void> =>
    new Promise(resolve => {
        if (response.writableFinished || response.destroyed) {
            resolve();
            return;
        }
        response.once("finish", resolve);
        response.once("close", resolve);
    });

/** Sends a JSON response. */
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
