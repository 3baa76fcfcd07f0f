/** Standard output for logs that never waits for its reader, and whose volume is bounded. */
import { fstatSync } from "node:fs";
import net from "node:net";
import type { Clock, Milliseconds } from "./clock.js";

const standardOutput = 1;
/** Bytes that may wait for the reader: some seconds of usual lines, and a small part of an instance's memory. */
const waitingBytesAtMost = 1024 * 1024;
/** Lines of a second below the level of warnings; failures come beside them. About three times the usual volume. */
const routineLinesPerSecond = 200;
const allLinesPerSecond = 400;
const second: Milliseconds = 1_000;
/** bunyan's number for warnings. */
const warningLevel = 40;

/** Where bytes go; `waiting` are those that the reader hasn't taken. */
export interface LogSink {
    write(text: string): void;
    readonly waiting: number;
}

/** One line as bunyan gives it to a raw stream. */
export interface LogRecord {
    level: number;
    [field: string]: unknown;
}

/**
 * Writes records as JSON lines, and drops what is over its bounds.
 *
 * Node writes to a pipe synchronously: a log reader that stalls would stop the whole entry, and every caller would wait.
 * Here nothing waits; what can't be written is counted, and the count is written when there is room again.
 */
export class BoundedLogStream {
    private dropped = 0;
    private droppedInAll = 0;
    private windowStart: Milliseconds = -Infinity;
    private windowLines = 0;

    constructor(private readonly sink: LogSink, private readonly clock: Clock, private readonly name: string) {}

    write(record: LogRecord): void {
        if (!this.hasRoom(record.level)) {
            this.dropped++;
            this.droppedInAll++;
            return;
        }
        if (this.dropped > 0) {
            const line = { name: this.name, level: warningLevel, msg: "log: Lines were dropped.", lines: this.dropped };
            this.dropped = 0;
            this.sink.write(
                `${JSON.stringify({ ...line, time: new Date(this.clock.wallTime()).toISOString(), v: 0 })}\n`,
            );
        }
        this.sink.write(`${JSON.stringify(record)}\n`);
    }

    /** Lines that were dropped since the start. */
    get droppedTotal(): number {
        return this.droppedInAll;
    }

    private hasRoom(level: number): boolean {
        const now = this.clock.now();
        if (now - this.windowStart >= second) {
            this.windowStart = now;
            this.windowLines = 0;
        }
        const lines = level >= warningLevel ? allLinesPerSecond : routineLinesPerSecond;
        if (this.windowLines >= lines || this.sink.waiting >= waitingBytesAtMost) {
            return false;
        }
        this.windowLines++;
        return true;
    }
}

/** Standard output without waiting: a pipe is written asynchronously; a file takes lines at once anyway. */
export const standardOutputSink = (): LogSink => {
    const kind = fstatSync(standardOutput);
    if (!kind.isFIFO() && !kind.isSocket()) {
        return { write: text => void process.stdout.write(text), waiting: 0 };
    }
    const pipe = new net.Socket({ fd: standardOutput, readable: false, writable: true });
    // A reader that has gone away ends the lines, not the entry.
    pipe.on("error", () => pipe.destroy());
    return {
        write: text => {
            if (!pipe.destroyed) {
                pipe.write(text);
            }
        },
        get waiting() {
            return pipe.writableLength;
        },
    };
};
