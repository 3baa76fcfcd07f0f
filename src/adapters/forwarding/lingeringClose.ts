/**
 * Closes connections of callers without losing their answers.
 *
 * The operating system resets a connection that is closed with unread bytes, or that gets bytes after it was closed, and drops
 * what its caller hasn't received yet. So the entry ends its own side first, and reads and discards what the caller still sends
 * until the caller has closed its side, too.
 */
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../../utils/clock.js";

/** Bounds on how long the connection of a caller stays open that sends nothing, and of one that sends on. */
const maximumSilence: Milliseconds = 1_000;
const maximumDuration: Milliseconds = 5_000;
/** Twice the largest usual body, which its caller still sends when it is rejected. */
const maximumDiscardedBytes = 32 * 1024 * 1024;
/** Connections that wait for their callers at the same time. Further ones are closed at once. */
const maximumConnections = 512;

/** Closes connections, and bounds what it costs to wait for their callers. */
export class LingeringCloser {
    private readonly waiting = new Set<Socket>();

    constructor(private readonly clock: Clock) {}

    /** Whether the entry has ended its side of `socket`, and waits for the caller. */
    isWaiting(socket: Socket): boolean {
        return this.waiting.has(socket);
    }

    /** Ends the entry's side behind what is written, and closes the connection once the caller has closed its side. */
    close(socket: Socket): void {
        if (this.isWaiting(socket)) {
            return;
        }
        if (this.waiting.size >= maximumConnections) {
            socket.end(() => socket.destroy());
            return;
        }
        this.waiting.add(socket);
        const destroy = () => void socket.destroy();
        const stopTimer = this.clock.after(maximumDuration, destroy);
        socket.once("close", () => {
            this.waiting.delete(socket);
            stopTimer();
        });
        socket.setTimeout(maximumSilence, destroy);
        socket.once("end", destroy);
        socket.end();
        discardInput(socket, destroy);
    }
}

/** Reads and discards all bytes; calls `onExcess` when they are too many. */
const discardInput = (socket: Socket, onExcess: () => void): void => {
    let discardedBytes = 0;
    // Node's parser would take the bytes for a request.
    socket.removeAllListeners("data");
    socket.on("data", (bytes: Buffer) => {
        discardedBytes += bytes.length;
        if (discardedBytes > maximumDiscardedBytes) {
            onExcess();
        }
    });
    // Where Node's parser has stopped the reading, the stream still waits for bytes. An empty piece ends that wait.
    socket.push("");
    socket.resume();
};
