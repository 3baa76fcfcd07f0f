/** The requests of one connection of a caller: which of them are served, and when the connection may be closed. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ConnectionUse, type TableConnection } from "../../core/connectionBounds/connectionTable.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { holdReading } from "../../utils/heldReading.js";
import type { LingeringCloser } from "./lingeringClose.js";

/** Requests that may wait for their answers on one connection, and behind others on all connections. */
const maximumRequestsInRow = 32;
const maximumWaitingRequests = 2_048;
/** How long the first request of a new connection may be on its way. */
const firstRequestTimeout: Milliseconds = 500;
/** The smallest usual receive buffer. Of larger responses, the operating system may still hold a part that the caller hasn't got. */
const maximumReceivedBytes = 16 * 1024;

/** Counts the requests that wait behind others on the connections of all callers. */
export class WaitingRequests {
    count = 0;

    get isFull(): boolean {
        return this.count >= maximumWaitingRequests;
    }
}

/** The connection of a caller. */
export class CallerConnection implements TableConnection {
    /** Begins to serve the requests that wait behind another one. Run at once, they would take memory without a bound. */
    private waitingStarts: (() => void)[] = [];
    /** Responses that the system hasn't taken over completely, in the order of their requests. */
    private readonly openResponses = new Set<ServerResponse>();
    /** The newest request, until it is answered. */
    private newest: { request: IncomingMessage; response: ServerResponse; } | undefined;
    private hasHadRequest = false;
    /** Whether no further request is served. */
    private hasAnnouncedClose = false;
    /** Requests behind the announced close. */
    private unservedCount = 0;
    /** What the connection ends with once the responses in progress are complete. */
    private finalBytes: string | undefined;
    /** Goes on with the reading after {@link holdReading}. */
    private resumeReading: (() => void) | undefined;
    /** Bytes that had arrived when the last response was complete. */
    private bytesReadWhenIdle = 0;

    /** Bytes that had been sent when the newest request came. */
    private bytesWrittenBefore = 0;
    private readonly openedAt: Milliseconds;

    constructor(
        private readonly socket: Socket,
        private readonly closer: LingeringCloser,
        private readonly clock: Clock,
        private readonly waitingRequests: WaitingRequests,
    ) {
        socket.once("close", () => this.dropWaiting());
        this.openedAt = clock.now();
        // Node calls this function after the last response of a connection.
        socket.destroySoon = () => closer.close(socket);
    }

    /**
     * Records a request and its response. Returns whether the request is served: behind a response that announces the close of
     * the connection, it would run without an answer.
     */
    recordRequest(request: IncomingMessage, response: ServerResponse): boolean {
        if (this.hasAnnouncedClose) {
            this.unservedCount++;
            return false;
        }
        this.hasHadRequest = true;
        this.newest = { request, response };
        this.bytesWrittenBefore = this.socket.bytesWritten;
        this.openResponses.add(response);
        response.once("close", () => this.recordEnded(response));
        return true;
    }

    /** Calls `start` once the responses to the requests before are complete, at once if there are none. */
    startInTurn(start: () => void): void {
        if (this.openResponses.size <= 1) {
            start();
            return;
        }
        this.waitingStarts.push(start);
        this.waitingRequests.count++;
    }

    /** Whether no further request may wait on this connection. */
    get isFull(): boolean {
        const openCount = this.openResponses.size;
        return openCount + this.unservedCount >= maximumRequestsInRow || (openCount > 0 && this.waitingRequests.isFull);
    }

    /** Whether requests wait behind another one. */
    get hasWaitingRequests(): boolean {
        return this.openResponses.size > 1;
    }

    get use(): ConnectionUse {
        if (this.isClosing) {
            return ConnectionUse.Ending;
        }
        if (this.openResponses.size === 0) {
            return this.hasHadRequest ? ConnectionUse.Idle : ConnectionUse.Unused;
        }
        return this.newest?.request.complete === false ? ConnectionUse.Arriving : ConnectionUse.Busy;
    }

    close(): void {
        this.socket.destroy();
    }

    /** Whether the entry has ended its side, and reads no further request. */
    get isClosing(): boolean {
        return this.closer.isWaiting(this.socket);
    }

    /** Whether the caller has ended its side while it has responses to come. */
    get hasCallerLeft(): boolean {
        return this.socket.readableEnded && this.openResponses.size > 0;
    }

    /** Stops the reading of bytes that can't be parsed until the responses in progress are complete. */
    holdReading(): void {
        this.resumeReading ??= holdReading(this.socket);
    }

    /** Whether the connection closes behind the responses in progress. */
    get isEnding(): boolean {
        return this.finalBytes !== undefined;
    }

    /**
     * Sends `bytes` behind the responses in progress and closes the connection. They are the answer to what can't be read: to a
     * request whose body hasn't arrived, if there is one without a response.
     */
    endWith(bytes: string): void {
        this.hasAnnouncedClose = true;
        this.finalBytes = bytes;
        if (this.newest && !this.newest.request.complete && !this.newest.response.headersSent) {
            this.openResponses.delete(this.newest.response);
        }
        this.writeFinalBytes();
    }

    /** Returns whether `response` may announce the close, which no request waits behind. No later request is served then. */
    announceClose(response: ServerResponse): boolean {
        if (response !== this.newest?.response) {
            return false;
        }
        this.hasAnnouncedClose = true;
        return true;
    }

    /** Closes the connection unless a request arrives, is in progress or expected, or its response is still being read. */
    closeIfIdle(): void {
        const { socket, clock, openedAt } = this;
        const isArriving = socket.bytesRead > this.bytesReadWhenIdle;
        const isNew = socket.bytesRead === 0 && clock.now() - openedAt < firstRequestTimeout;
        // A connection that waits for its caller to close, too, has bounds of its own.
        if (this.isClosing || this.openResponses.size > 0 || isArriving || isNew || socket.writableLength > 0) {
            return;
        }
        if (socket.bytesWritten - this.bytesWrittenBefore > maximumReceivedBytes) {
            this.closer.close(socket);
            return;
        }
        socket.destroy();
    }

    /** The newest request, unless the system has taken over its response completely. */
    get requestInProgress(): IncomingMessage | undefined {
        return this.newest?.request;
    }

    /** Bytes of responses that the system hasn't taken over. */
    get unwrittenBytes(): number {
        return this.socket.writableLength;
    }

    /** Resets the connection if a response in progress may have no frame. After an ordinary close, it would look complete. */
    resetIfUnframed(): void {
        if (this.newest?.request.httpVersionMinor === 0) {
            this.socket.resetAndDestroy();
        }
    }

    private recordEnded(response: ServerResponse): void {
        this.openResponses.delete(response);
        this.bytesReadWhenIdle = this.socket.bytesRead;
        if (response === this.newest?.response) {
            this.newest = undefined;
        }
        this.startNext();
        this.writeFinalBytes();
    }

    private startNext(): void {
        const start = this.waitingStarts.shift();
        if (start) {
            this.waitingRequests.count--;
            start();
        }
    }

    private dropWaiting(): void {
        this.waitingRequests.count -= this.waitingStarts.length;
        this.waitingStarts = [];
    }

    private writeFinalBytes(): void {
        const { socket, finalBytes } = this;
        if (finalBytes === undefined || this.openResponses.size > 0 || !socket.writable) {
            return;
        }
        this.finalBytes = undefined;
        this.resumeReading?.();
        socket.write(finalBytes);
        this.closer.close(socket);
    }
}
