/** Stops the reading from a connection whose message goes on flowing, so that nothing is buffered between the two. */
import type { Socket } from "node:net";

/**
 * Stops reading from `socket`, and returns a function that goes on with it. `socket.pause()` alone is undone at once by Node: a
 * message reads on until its own buffer is full, and pieces of a byte fill it with some ten thousand objects.
 */
export const holdReading = (socket: Socket): () => void => {
    socket.pause();
    socket.resume = () => socket;
    return () => {
        Reflect.deleteProperty(socket, "resume");
        if (!socket.destroyed) {
            socket.resume();
        }
    };
};
