/** Carries connections of other entries to endpoints: answers `CONNECT`, then copies bytes in both directions. */
import type http from "node:http";
import net, { type Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { RelayGuard } from "../../core/reachability/relayGuard.js";
import type { EndpointRecord } from "../../types/routing.js";
import { splitAddress } from "../../utils/address.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { isConnectionRefused } from "../../utils/errors.js";
import { createUnlessInvalid } from "../../utils/invalidArguments.js";
import { parseNonNegativeNumber } from "../../utils/numbers.js";
import { SocketEnd, watchEnd } from "../../utils/socketEnd.js";
import {
    relayEndpointHeader,
    relayFraming,
    relayFramingHeader,
    relayResetFraming,
    relayResetHeader,
    RelayStatus,
    relayTimeoutHeader,
} from "./relayConnection.js";
import { declareReset, sendFrames } from "./relayFrames.js";

/** Upper bound of the connect timeout that another entry asks for. */
const maximumConnectTimeout: Milliseconds = 1_000;
/** Longer than any pause of a response, and than any caller waits. */
const defaultIdleTimeout: Milliseconds = 60_000;

/** Decides which connections are carried, and counts them. */
export type ConnectionGuard = Pick<RelayGuard, "openConnections" | "admit" | "judgesFailure">;

/** Dependencies of {@link serveRelay}. */
export interface RelayServerDependencies {
    clock: Clock;
    guard: ConnectionGuard;
    /** Called for each connection that is carried. */
    onCarried: () => void;
    /** Called with the endpoint of each connection that this entry has established. */
    onConnected: (endpoint: EndpointRecord) => void;
    /** After this time without a byte a carried connection is reset, as the other entry may have lost power. */
    idleTimeout?: Milliseconds;
}

/** Serves the `CONNECT` requests that `server` receives. Returns a function that resets all carried connections. */
export const serveRelay = (server: http.Server, dependencies: RelayServerDependencies): () => void => {
    const sockets = new Set<Socket>();
    server.on("connect", (request: http.IncomingMessage, stream: Duplex) => {
        const socket = stream as Socket;
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
        new CarriedConnection(dependencies, request, socket).open();
    });
    return () => {
        for (const socket of sockets) {
            socket.resetAndDestroy();
        }
    };
};

/** One connection of another entry. */
class CarriedConnection {
    private readonly startedAt: Milliseconds;
    private isCarried = false;

    constructor(
        private readonly dependencies: RelayServerDependencies,
        private readonly request: http.IncomingMessage,
        private readonly entrySocket: Socket,
    ) {
        this.startedAt = dependencies.clock.now();
    }

    open(): void {
        const { clock, guard } = this.dependencies;
        this.entrySocket.on("error", () => {});
        const { headers, url: address = "" } = this.request;
        const endpoint = guard.admit({ endpoint: String(headers[relayEndpointHeader]), address });
        if (!endpoint) {
            this.answer(RelayStatus.Unavailable);
            return;
        }
        const { host, port } = splitAddress(address);
        const endpointSocket = createUnlessInvalid(() => net.connect(port, host));
        if (endpointSocket instanceof Error) {
            this.answer(RelayStatus.Unavailable);
            return;
        }
        guard.openConnections++;
        endpointSocket.once("close", () => this.recordEndpointClosed());
        const stopTimer = clock.after(this.connectTimeout, () => {
            endpointSocket.destroy();
            void this.answerFailure(endpoint, RelayStatus.NoResponse);
        });
        const abandon = () => {
            stopTimer();
            endpointSocket.destroy();
        };
        this.entrySocket.once("close", abandon);
        const onConnectError = (error: Error) => {
            stopTimer();
            const status = isConnectionRefused(error) ? RelayStatus.Refused : RelayStatus.NoResponse;
            void this.answerFailure(endpoint, status);
        };
        endpointSocket.once("error", onConnectError);
        endpointSocket.once("connect", () => {
            stopTimer();
            this.entrySocket.off("close", abandon);
            endpointSocket.off("error", onConnectError);
            this.dependencies.onConnected(endpoint);
            this.carry(endpointSocket);
        });
    }

    /** Ends the connection's account. What the endpoint has sent may still be on its way to the other entry. */
    private recordEndpointClosed(): void {
        const { guard } = this.dependencies;
        if (this.isCarried && !this.entrySocket.closed) {
            this.entrySocket.once("close", () => guard.openConnections--);
            return;
        }
        guard.openConnections--;
    }

    private get connectTimeout(): Milliseconds {
        const asked = parseNonNegativeNumber(String(this.request.headers[relayTimeoutHeader]));
        return Math.min(maximumConnectTimeout, asked ?? maximumConnectTimeout);
    }

    /** A failure tells about the endpoint only where this entry reaches others. */
    private async answerFailure(endpoint: EndpointRecord, status: RelayStatus): Promise<void> {
        const isJudged = await this.dependencies.guard.judgesFailure(endpoint, this.startedAt);
        this.answer(isJudged ? status : RelayStatus.Unavailable);
    }

    private answer(status: RelayStatus): void {
        if (this.entrySocket.writable) {
            // Its side may stay open, and nothing reads from this connection any more.
            this.entrySocket.once("finish", () => this.entrySocket.destroy());
            this.entrySocket.end(`HTTP/1.1 ${status} \r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
        }
    }

    /**
     * Copies bytes until both sides have closed. A reset on one side is passed on: it shows that a response was cut. Where the
     * other entry asks for it, a frame declares the endpoint's reset, so that it isn't taken for one by this entry. An entry of
     * an earlier version asks for no such frame, or for none at all.
     */
    private carry(endpointSocket: Socket): void {
        const { entrySocket } = this;
        this.isCarried = true;
        this.dependencies.onCarried();
        const { headers } = this.request;
        const usesFrames = headers[relayFramingHeader] === relayFraming;
        const declaresResets = usesFrames && headers[relayResetHeader] === relayResetFraming;
        const framing = usesFrames ? `${relayFramingHeader}: ${relayFraming}\r\n` : "";
        entrySocket.write(`HTTP/1.1 ${RelayStatus.Connected} Connected\r\n${framing}\r\n`);
        entrySocket.pipe(endpointSocket);
        if (usesFrames) {
            sendFrames(endpointSocket, entrySocket);
        }
        else {
            endpointSocket.pipe(entrySocket);
        }
        const passReset = () => declaresResets ? declareReset(entrySocket) : entrySocket.resetAndDestroy();
        endWith(endpointSocket, entrySocket, passReset);
        endWith(entrySocket, endpointSocket, () => endpointSocket.resetAndDestroy());
        entrySocket.setTimeout(
            this.dependencies.idleTimeout ?? defaultIdleTimeout,
            () => entrySocket.resetAndDestroy(),
        );
    }
}

/** Ends `other` with `socket`. Calls `passReset` when `socket` is reset, fails or closes before both have ended. */
const endWith = (socket: Socket, other: Socket, passReset: () => void): void => {
    watchEnd(socket, end => {
        if (end === SocketEnd.Reset) {
            passReset();
        }
    });
    socket.once("error", passReset);
    socket.once("close", () => {
        if (!socket.readableEnded) {
            passReset();
            return;
        }
        other.end();
    });
};
