/** Tells how the other side of a connection has ended it. */
import type { Socket } from "node:net";

/** How a connection has ended. */
export enum SocketEnd {
    Closed = "closed",
    Reset = "reset",
}

/**
 * Calls `onEnd` when `socket` reports the end of its input, before its other listeners.
 *
 * Node reports a reset that arrives together with the last bytes as an ordinary end, so truncated input would look complete.
 * After a reset the socket has no remote address any more; after an ordinary end it has. The address is read before Node
 * closes the socket.
 */
export const watchEnd = (socket: Socket, onEnd: (end: SocketEnd) => void): void => {
    socket.prependOnceListener("end", () => {
        onEnd(socket.remoteAddress === undefined ? SocketEnd.Reset : SocketEnd.Closed);
    });
};
