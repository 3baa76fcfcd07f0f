/** Tells whether a caller's connection is idle, so that a stopping entry may close it. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { LingeringCloser } from "./lingeringClose.js";

/** The connection of a caller. */
export class CallerConnection {
    /** Responses that the system hasn't taken over completely. */
    private openResponses = 0;
    /** Bytes that had arrived when the last response was complete. */
    private bytesReadWhenIdle = 0;

    constructor(private readonly socket: Socket, closer: LingeringCloser) {
        // Node calls this function after the last response of a connection.
        socket.destroySoon = () => closer.close(socket);
    }

    /** Records a request and its response. */
    recordRequest(response: ServerResponse): void {
        this.openResponses++;
        response.once("close", () => {
            this.openResponses--;
            this.bytesReadWhenIdle = this.socket.bytesRead;
        });
    }

    /** Closes the connection unless a request arrives, is in progress, or its response is still being read. */
    closeIfIdle(): void {
        const { socket } = this;
        const isArriving = socket.bytesRead > this.bytesReadWhenIdle;
        if (this.openResponses === 0 && !isArriving && socket.writableLength === 0) {
            socket.destroy();
        }
    }
}
