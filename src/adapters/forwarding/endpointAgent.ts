/** Keep-alive connections to endpoints, which are monitored while they are idle. */
import http from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Milliseconds } from "../../utils/clock.js";

/** Longest idle time of a connection. Endpoints close idle connections after a few seconds at the earliest. */
const maximumIdleDuration: Milliseconds = 4_000;
/** Subtracted from the keep-alive timeout that an endpoint names, for a request in flight when the endpoint closes. */
const idleMargin: Milliseconds = 500;
/** Limits on the connections to one endpoint, and on those of them that may be idle. */
const maximumConnections = 48;
const maximumIdleConnections = 12;

const destroySocket = function(this: Socket): void {
    this.destroy();
};

/**
 * An agent that destroys an idle connection as soon as a byte arrives on it.
 *
 * A faulty endpoint may send a second response, or stray bytes, after a complete response. Node would pass them to the next
 * request on the connection, and a caller would receive the response to another request. No request is waiting on an idle
 * connection, so these bytes belong to none, and the connection can no longer be trusted.
 */
export class EndpointAgent extends http.Agent {
    constructor() {
        super({
            keepAlive: true,
            maxSockets: maximumConnections,
            maxFreeSockets: maximumIdleConnections,
            scheduling: "lifo",
        });
    }

    // Node declares the return type as void, but the agent keeps the socket only when the result is true.
    override keepSocketAlive(stream: Duplex): void {
        const socket = stream as Socket;
        const idleTimeout = idleTimeoutOf(socket);
        if (idleTimeout <= 0 || socket.destroyed || socket.readableLength > 0) {
            return false as unknown as void;
        }
        socket.setKeepAlive(true);
        socket.unref();
        socket.setTimeout(idleTimeout);
        socket.on("data", destroySocket);
        return true as unknown as void;
    }

    override reuseSocket(stream: Duplex, request: http.ClientRequest): void {
        const socket = stream as Socket;
        socket.off("data", destroySocket);
        socket.setTimeout(0);
        super.reuseSocket(socket, request);
    }
}

/** Idle timeout that the keep-alive header of the last response allows, or the default. */
const idleTimeoutOf = (socket: Socket & { _httpMessage?: { res?: http.IncomingMessage; }; }): Milliseconds => {
    const hint = /timeout=(\d+)/.exec(String(socket._httpMessage?.res?.headers["keep-alive"] ?? ""))?.[1];
    return hint === undefined ? maximumIdleDuration : Math.min(maximumIdleDuration, Number(hint) * 1_000 - idleMargin);
};
