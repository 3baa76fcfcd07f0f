/** The requests of one connection of a caller: which of them are served, and when the connection may be closed. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { LingeringCloser } from "./lingeringClose.js";

/** The connection of a caller. */
export class CallerConnection {
    /** Responses that the system hasn't taken over completely, in the order of their requests. */
    private readonly openResponses = new Set<ServerResponse>();
    private newestResponse: ServerResponse | undefined;
    private hasAnnouncedClose = false;
    /** Bytes that had arrived when the last response was complete. */
    private bytesReadWhenIdle = 0;

    constructor(private readonly socket: Socket, closer: LingeringCloser) {
        // Node calls this function after the last response of a connection.
        socket.destroySoon = () => closer.close(socket);
    }

    /**
     * Records a request and its response. Returns whether the request is served: behind a response that announces the close of
     * the connection, it would run without an answer.
     */
    recordRequest(response: ServerResponse): boolean {
        if (this.hasAnnouncedClose) {
            return false;
        }
        this.newestResponse = response;
        this.openResponses.add(response);
        response.once("close", () => {
            this.openResponses.delete(response);
            this.bytesReadWhenIdle = this.socket.bytesRead;
        });
        return true;
    }

    /** Returns whether `response` may announce the close, which no request waits behind. No later request is served then. */
    announceClose(response: ServerResponse): boolean {
        if (response !== this.newestResponse) {
            return false;
        }
        this.hasAnnouncedClose = true;
        return true;
    }

    /** Closes the connection unless a request arrives, is in progress, or its response is still being read. */
    closeIfIdle(): void {
        const { socket } = this;
        const isArriving = socket.bytesRead > this.bytesReadWhenIdle;
        if (this.openResponses.size === 0 && !isArriving && socket.writableLength === 0) {
            socket.destroy();
        }
    }
}
