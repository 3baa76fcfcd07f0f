/** Writes a response to a caller without waiting for the caller to read, and counts its bytes until they are written. */
import type { ServerResponse } from "node:http";
import { HeldKind } from "../../core/memoryBounds/heldBytes.js";
import type { RequestMemory } from "../../core/memoryBounds/requestMemory.js";
import { BlockQueue } from "./blockQueue.js";

/** Limits on what is handed to Node's socket: each write costs Node some hundred bytes that are not counted. */
const maximumPendingWrites = 16;
const maximumPendingBytes = 16 * 1024;

/** The response of one caller. */
export class CallerWriter {
    private readonly queue = new BlockQueue();
    private pendingWrites = 0;
    private pendingBytes = 0;
    private onFlushed: (() => void) | undefined;

    constructor(private readonly response: ServerResponse, private readonly memory: RequestMemory) {}

    /** Queues bytes that the connection doesn't accept now. Does nothing when the connection is closed. */
    write(bytes: Buffer): void {
        if (this.response.destroyed) {
            return;
        }
        this.queue.push(bytes);
        this.writeQueued();
        this.memory.change(HeldKind.Unwritten, bytes.length);
    }

    /** Calls `onFlushed` when no bytes are queued, at once if possible. */
    finish(onFlushed: () => void): void {
        this.onFlushed = onFlushed;
        this.writeQueued();
    }

    private get acceptsMore(): boolean {
        return this.pendingWrites < maximumPendingWrites && this.pendingBytes < maximumPendingBytes;
    }

    private writeQueued(): void {
        while (this.acceptsMore && !this.response.destroyed) {
            const bytes = this.queue.shift();
            if (!bytes) {
                this.onFlushed?.();
                this.onFlushed = undefined;
                return;
            }
            this.pendingWrites++;
            this.pendingBytes += bytes.length;
            this.response.write(bytes, () => this.recordWritten(bytes.length));
        }
    }

    /** Called when the operating system has accepted the bytes, or when the connection has failed. */
    private recordWritten(bytes: number): void {
        this.pendingWrites--;
        this.pendingBytes -= bytes;
        this.memory.change(HeldKind.Unwritten, -bytes);
        this.writeQueued();
    }
}
