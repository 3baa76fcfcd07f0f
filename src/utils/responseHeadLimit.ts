/** Bounds what precedes the head of a response. */
import type { ClientRequest } from "node:http";
import { DandelionrampError } from "./errors.js";

/**
 * Limit for a head with all interim responses and empty lines before it. Node bounds each head by 16 KB, but neither the number
 * of interim responses nor that of empty lines.
 */
export const maximumHeadBytes = 64 * 1024;

/** A server sent more than {@link maximumHeadBytes} and no head of a response. */
export class HeadTooLargeError extends DandelionrampError {
    constructor() {
        super(`${maximumHeadBytes} bytes arrived before the head of a response`);
    }
}

/** Destroys `request` with a {@link HeadTooLargeError} when too many bytes arrive before the head of its response. */
export const limitHeadBytes = (request: ClientRequest): void => {
    request.once("socket", socket => {
        let receivedBytes = 0;
        let isCounting = true;
        // Node's parser listens first, so the head that a chunk contains has been reported when this listener is called.
        const countBytes = (bytes: Buffer) => {
            receivedBytes += bytes.length;
            if (isCounting && receivedBytes >= maximumHeadBytes) {
                request.destroy(new HeadTooLargeError());
            }
        };
        const stopCounting = () => {
            isCounting = false;
            socket.off("data", countBytes);
        };
        socket.on("data", countBytes);
        // Nobody here asks to switch protocols. Node closes the connection of a server that does, unless "upgrade" has a listener.
        for (const end of ["response", "connect", "close"]) {
            request.once(end, stopCounting);
        }
    });
};
