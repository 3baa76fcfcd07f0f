/**
 * Log output that never blocks on its reader. The number of lines per second and the size of the buffer are bounded; excess
 * lines are dropped and counted.
 */
import { fstatSync } from "node:fs";
import net from "node:net";
import type { Clock, Milliseconds } from "./clock.js";

const standardOutputDescriptor = 1;
/** Maximum size of buffered output: a few seconds of usual volume, and a small part of the memory of an instance. */
const maximumPendingBytes = 1024 * 1024;
/** Rate limit for lines below warning level, about three times the usual volume. The remaining lines are left for warnings. */
const maximumRoutineLinesPerSecond = 200;
const maximumLinesPerSecond = 400;
const rateWindow: Milliseconds = 1_000;
/** Numeric level of warnings in bunyan. */
const warningLevel = 40;

/** Output of a log. */
export interface LogSink {
    write(text: string): void;
    /** Bytes that are buffered because the reader has not consumed them yet. */
    readonly pendingBytes: number;
}

/** How often a process that ends checks whether its log has been written. */
const flushPollInterval: Milliseconds = 10;

/** A log record as bunyan passes it to a raw stream. */
export interface LogRecord {
    level: number;
    [field: string]: unknown;
}

/**
 * Writes records as JSON lines, and drops records beyond its limits.
 *
 * Node writes to a pipe synchronously, so a stalled log reader would block the whole entry and every caller. This stream
 * never blocks. It counts dropped lines and logs their number before the next line that it writes.
 */
export class BoundedLogStream {
    private unreportedDropCount = 0;
    private totalDropCount = 0;
    private windowStart: Milliseconds = -Infinity;
    private windowLineCount = 0;

    constructor(private readonly sink: LogSink, private readonly clock: Clock, private readonly name: string) {}

    write(record: LogRecord): void {
        if (!this.hasRoom(record.level)) {
            this.unreportedDropCount++;
            this.totalDropCount++;
            return;
        }
        if (this.unreportedDropCount > 0) {
            const dropNotice = {
                name: this.name,
                level: warningLevel,
                msg: "log: Lines were dropped.",
                lines: this.unreportedDropCount,
            };
            this.unreportedDropCount = 0;
            this.sink.write(
                `${JSON.stringify({ ...dropNotice, time: new Date(this.clock.wallTime()).toISOString(), v: 0 })}\n`,
            );
        }
        this.sink.write(`${JSON.stringify(record)}\n`);
    }

    /** Resolves when the log has been written, or after `limit`. A process that exits earlier loses its last lines. */
    async flush(limit: Milliseconds): Promise<void> {
        const startedAt = this.clock.now();
        while (this.sink.pendingBytes > 0 && this.clock.now() - startedAt < limit) {
            await this.clock.sleep(flushPollInterval);
        }
    }

    /** Number of lines dropped since the start. */
    get droppedTotal(): number {
        return this.totalDropCount;
    }

    private hasRoom(level: number): boolean {
        const now = this.clock.now();
        if (now - this.windowStart >= rateWindow) {
            this.windowStart = now;
            this.windowLineCount = 0;
        }
        const maximumLines = level >= warningLevel ? maximumLinesPerSecond : maximumRoutineLinesPerSecond;
        if (this.windowLineCount >= maximumLines || this.sink.pendingBytes >= maximumPendingBytes) {
            return false;
        }
        this.windowLineCount++;
        return true;
    }
}

/** Non-blocking standard output. Pipes and sockets are written asynchronously; writes to a file don't block on a reader. */
export const standardOutputSink = (): LogSink => {
    const fileStatus = fstatSync(standardOutputDescriptor);
    if (!fileStatus.isFIFO() && !fileStatus.isSocket()) {
        return { write: text => void process.stdout.write(text), pendingBytes: 0 };
    }
    const pipe = new net.Socket({ fd: standardOutputDescriptor, readable: false, writable: true });
    // When the reader exits, logging stops but the entry continues.
    pipe.on("error", () => pipe.destroy());
    return {
        write: text => {
            if (!pipe.destroyed) {
                pipe.write(text);
            }
        },
        get pendingBytes() {
            return pipe.writableLength;
        },
    };
};
