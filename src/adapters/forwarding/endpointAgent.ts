/** Connections to endpoints that are kept for later requests, and watched while they wait. */
import http from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Milliseconds } from "../../utils/clock.js";

/** How long a connection may wait for its next request. Endpoints close idle ones after a few seconds at the least. */
const idleAtMost: Milliseconds = 4_000;
/** Kept back from the time that an endpoint names, for what is on the way when it closes. */
const idleMargin: Milliseconds = 500;
/** Connections to one endpoint, and those of them that may wait. */
const connectionsAtMost = 48;
const idleConnectionsAtMost = 12;

const destroy = function(this: Socket): void {
    this.destroy();
};

/**
 * An agent that drops a waiting connection as soon as a byte arrives on it.
 *
 * An endpoint may send a second answer, or bytes of none, after an answer is whole. Node hands them to whoever uses the
 * connection next, and a caller would get somebody else's answer. No request is waiting, so such bytes belong to
 * nobody, and the connection can't be trusted any more.
 */
export class EndpointAgent extends http.Agent {
    constructor() {
        super({
            keepAlive: true,
            maxSockets: connectionsAtMost,
            maxFreeSockets: idleConnectionsAtMost,
            scheduling: "lifo",
        });
    }

    // Node's own type says void; the agent keeps the socket only when the result is true.
    override keepSocketAlive(stream: Duplex): void {
        const socket = stream as Socket;
        const idle = idleTime(socket);
        if (idle <= 0 || socket.destroyed || socket.readableLength > 0) {
            return false as unknown as void;
        }
        socket.setKeepAlive(true);
        socket.unref();
        socket.setTimeout(idle);
        socket.on("data", destroy);
        return true as unknown as void;
    }

    override reuseSocket(stream: Duplex, request: http.ClientRequest): void {
        const socket = stream as Socket;
        socket.off("data", destroy);
        socket.setTimeout(0);
        super.reuseSocket(socket, request);
    }
}

/** The time that the endpoint's last answer gives a waiting connection, or the usual one. */
const idleTime = (socket: Socket & { _httpMessage?: { res?: http.IncomingMessage; }; }): Milliseconds => {
    const hint = /timeout=(\d+)/.exec(String(socket._httpMessage?.res?.headers["keep-alive"] ?? ""))?.[1];
    return hint === undefined ? idleAtMost : Math.min(idleAtMost, Number(hint) * 1_000 - idleMargin);
};
