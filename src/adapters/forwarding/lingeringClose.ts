/**
 * Closes connections of callers without losing their answers.
 *
 * The operating system resets a connection that is closed with unread bytes, or that gets bytes after it was closed, and drops
 * what its caller hasn't received yet. So the entry ends its own side first, and reads and discards what the caller still sends
 * until the caller has closed its side, too.
 */
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { holdReading } from "../../utils/heldReading.js";
import type { TurnShare } from "../../utils/turnShare.js";

/** Bounds on how long the connection of a caller stays open that sends nothing, and of one that sends on. */
const maximumSilence: Milliseconds = 1_000;
const maximumDuration: Milliseconds = 5_000;
/** Twice the largest usual body, which its caller still sends when it is rejected. */
const maximumDiscardedBytes = 32 * 1024 * 1024;
/** Connections that wait for their callers at the same time. Further ones are closed at once. */
const maximumConnections = 512;
/** The system grows the receive buffer of a connection whose caller sends on to about this size, and the caller fills it. */
const maximumUnreadBytes = 1024 * 1024;
/** What the receive buffers of all these connections may take: a part of the instance's memory, or a usual one's if unknown. */
const unreadFraction = 1 / 32;
const defaultBoundBytes = 12 * 1024 * 1024;

/** Dependencies of {@link LingeringCloser}. */
export interface LingeringCloserDependencies {
    clock: Clock;
    share: TurnShare;
    /** Memory that the process may use; 0, the default, where it is unknown. */
    memoryBytes?: number;
}

/** Closes connections, and bounds what it costs to wait for their callers. */
export class LingeringCloser {
    /** The connections that wait, with the bytes that their callers have sent meanwhile. */
    private readonly waiting = new Map<Socket, number>();
    /** Estimated size of the receive buffers of {@link waiting}. */
    private unreadBytes = 0;
    private readonly boundBytes: number;

    constructor(private readonly dependencies: LingeringCloserDependencies) {
        const { memoryBytes = 0 } = dependencies;
        this.boundBytes = memoryBytes === 0 ? defaultBoundBytes : memoryBytes * unreadFraction;
    }

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
        this.waiting.set(socket, 0);
        const destroy = () => void socket.destroy();
        const stopTimer = this.dependencies.clock.after(maximumDuration, destroy);
        socket.once("close", () => {
            this.forget(socket);
            stopTimer();
        });
        socket.setTimeout(maximumSilence, destroy);
        socket.once("end", destroy);
        socket.end();
        this.discardInput(socket);
    }

    /** Reads and discards all bytes, a piece a turn. Closes the connection when they are too many. */
    private discardInput(socket: Socket): void {
        const { share } = this.dependencies;
        // Node's parser would take the bytes for a request.
        socket.removeAllListeners("data");
        socket.on("data", (bytes: Buffer) => {
            this.recordDiscarded(socket, bytes.length);
            if (!socket.destroyed) {
                share.spend(bytes.length);
                share.enqueue(holdReading(socket));
            }
        });
        // Where Node's parser has stopped the reading, the stream still waits for bytes. An empty piece ends that wait.
        socket.push("");
        socket.resume();
    }

    /** Counts discarded bytes, and closes the connections whose callers have sent the most while all exceed their bound. */
    private recordDiscarded(socket: Socket, bytes: number): void {
        const before = this.waiting.get(socket);
        if (before === undefined) {
            return;
        }
        const discardedBytes = before + bytes;
        this.waiting.set(socket, discardedBytes);
        this.unreadBytes += unreadEstimate(discardedBytes) - unreadEstimate(before);
        if (discardedBytes > maximumDiscardedBytes) {
            this.end(socket);
        }
        while (this.unreadBytes > this.boundBytes) {
            this.end(this.findLargest());
        }
    }

    private findLargest(): Socket {
        let largest: Socket | undefined;
        let mostBytes = -1;
        for (const [socket, bytes] of this.waiting) {
            if (bytes > mostBytes) {
                largest = socket;
                mostBytes = bytes;
            }
        }
        return largest!;
    }

    private end(socket: Socket): void {
        this.forget(socket);
        socket.destroy();
    }

    private forget(socket: Socket): void {
        this.unreadBytes -= unreadEstimate(this.waiting.get(socket) ?? 0);
        this.waiting.delete(socket);
    }
}

const unreadEstimate = (discardedBytes: number): number => Math.min(discardedBytes, maximumUnreadBytes);
