/**
 * Log output that never blocks on its reader. The number of lines per second and the size of the buffer are bounded; excess
 * lines are dropped and counted.
 */
import { fstatSync, writeSync } from "node:fs";
import net from "node:net";
import type { Clock, Milliseconds } from "./clock.js";
import { createUnlessInvalid } from "./invalidArguments.js";

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
    /** Calls `onLost` at once or later when the text couldn't be written whole. Never throws. */
    write(text: string, onLost: () => void): void;
    /** Bytes that are buffered because the reader has not consumed them yet. */
    readonly pendingBytes: number;
}

/** How often a process that ends checks whether its log has been written. */
const flushPollInterval: Milliseconds = 10;
/** How long lines are dropped after the reader of a pipe has gone, before the next one is tried. */
const pipeRetryInterval: Milliseconds = 1_000;

/** A log record as bunyan passes it to a raw stream. */
export interface LogRecord {
    level: number;
    [field: string]: unknown;
}

/**
 * Writes records as JSON lines, and drops records beyond its limits and those that can't be written.
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
            this.recordDrop();
            return;
        }
        if (this.unreportedDropCount > 0) {
            this.reportDrops(this.unreportedDropCount);
        }
        this.sink.write(`${JSON.stringify(record)}\n`, () => this.recordDrop());
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

    private recordDrop(): void {
        this.unreportedDropCount++;
        this.totalDropCount++;
    }

    private reportDrops(lines: number): void {
        const dropNotice = { name: this.name, level: warningLevel, msg: "log: Lines were dropped.", lines };
        this.unreportedDropCount = 0;
        this.sink.write(
            `${JSON.stringify({ ...dropNotice, time: new Date(this.clock.wallTime()).toISOString(), v: 0 })}\n`,
            () => {
                this.unreportedDropCount += lines;
            },
        );
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
export const standardOutputSink = (clock: Clock): LogSink => {
    const fileStatus = fstatSync(standardOutputDescriptor);
    return fileStatus.isFIFO() || fileStatus.isSocket() ? new PipeSink(clock) : new FileSink();
};

/**
 * A file or a terminal. Node's own stream of them emits an error that ends the process when the disk is full or the terminal has
 * gone, and writes nothing more after it.
 */
class FileSink implements LogSink {
    readonly pendingBytes = 0;
    private isInsideLine = false;

    write(text: string, onLost: () => void): void {
        const bytes = Buffer.from(this.isInsideLine ? `\n${text}` : text);
        let writtenBytes = 0;
        try {
            while (writtenBytes < bytes.length) {
                writtenBytes += writeSync(standardOutputDescriptor, bytes, writtenBytes);
            }
            this.isInsideLine = false;
        }
        catch {
            this.isInsideLine ||= writtenBytes > 0;
            onLost();
        }
    }
}

/** A pipe or a socket. A named pipe may get another reader after the first has gone. */
class PipeSink implements LogSink {
    private pipe: net.Socket | undefined;
    private openedAt: Milliseconds = -Infinity;

    constructor(private readonly clock: Clock) {}

    get pendingBytes(): number {
        return this.pipe?.writableLength ?? 0;
    }

    write(text: string, onLost: () => void): void {
        if (!this.pipe && this.clock.now() - this.openedAt >= pipeRetryInterval) {
            this.open();
        }
        if (!this.pipe) {
            onLost();
            return;
        }
        this.pipe.write(text, error => {
            if (error) {
                onLost();
            }
        });
    }

    private open(): void {
        this.openedAt = this.clock.now();
        // Node leaves the descriptor of standard output open when the socket is destroyed.
        const pipe = createUnlessInvalid(() =>
            new net.Socket({ fd: standardOutputDescriptor, readable: false, writable: true })
        );
        if (pipe instanceof Error) {
            return;
        }
        this.pipe = pipe;
        pipe.on("error", () => {
            this.pipe = undefined;
        });
    }
}
