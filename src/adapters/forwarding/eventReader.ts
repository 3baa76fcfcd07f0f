/** Splits the bytes of an event stream into events without changing them. */
import { StreamBrokenError, type StreamEvent } from "../../ports/forwardingPorts.js";
import { PendingBytes } from "./pendingBytes.js";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const space = 0x20;
const byteOrderMark = Buffer.from("\uFEFF");
/** Names of the fields that make a block an event. */
const dataName = Buffer.from("data");
const idName = Buffer.from("id");
/** Models send far smaller events; buffering more could exhaust memory. */
export const maximumEventBytes = 1024 * 1024;
/** Limit on the bytes between two events. A comment as a sign of life has a few bytes and comes once in some seconds. */
export const maximumEventlessBytes = 64 * 1024;

/** An event of a stream exceeds the size limit. */
export class EventTooLargeError extends StreamBrokenError {
    constructor() {
        super(`an event exceeds ${maximumEventBytes} bytes`);
    }
}

/** A stream goes on without events. */
export class EventlessBytesError extends StreamBrokenError {
    constructor() {
        super(
            `more than ${maximumEventlessBytes} bytes of empty lines, comments or other blocks without data and identifier arrived between two events`,
        );
    }
}

/**
 * Buffers bytes until events are complete. A block of lines, ended by an empty line, is an event if it has a field `data` or
 * `id`. Other blocks are held back and precede the next event in its bytes.
 *
 * Each byte is searched once, and whether and where an error is thrown doesn't depend on how the bytes are cut into pieces.
 */
export class EventReader {
    private readonly pending = new PendingBytes();
    /** Offsets from the start of the pending bytes, which is the end of the last event. */
    private blockStart = 0;
    private lineStart = 0;
    private searchedLength = 0;
    private blockHasEventField = false;
    private blockId: string | undefined;
    private isFirstLine = true;

    /** Adds bytes, which {@link next} then reads. */
    push(bytes: Buffer): void {
        this.pending.append(bytes);
    }

    /** Number of bytes that have not been searched for events. */
    get unreadBytes(): number {
        return this.pending.length - this.searchedLength;
    }

    /** Whether all bytes so far form complete blocks; known once {@link next} has returned undefined. */
    get isAtBlockBoundary(): boolean {
        return this.pending.length === this.blockStart;
    }

    /**
     * Returns the next event; undefined if it is incomplete. Throws {@link EventTooLargeError} or {@link EventlessBytesError}
     * when a limit is exceeded.
     */
    next(): StreamEvent | undefined {
        const { bytes, start } = this.pending;
        for (let lineEnd = this.findLineEnd(bytes, start); lineEnd >= 0; lineEnd = this.findLineEnd(bytes, start)) {
            const isBlockEnd = isEmptyLine(bytes, start + this.lineStart);
            if (!isBlockEnd) {
                this.readField(bytes, start, lineEnd);
            }
            this.isFirstLine = false;
            this.lineStart = lineEnd + 1;
            this.searchedLength = lineEnd + 1;
            if (!this.blockHasEventField && this.lineStart > maximumEventlessBytes) {
                throw new EventlessBytesError();
            }
            if (isBlockEnd) {
                const event = this.endBlock();
                if (event) {
                    return event;
                }
            }
        }
        this.searchedLength = this.pending.length;
        this.checkIncompleteBlock(bytes, start);
        return undefined;
    }

    /** Returns and removes the bytes that are held back. */
    takeHeld(): Buffer {
        const held = this.pending.take(this.blockStart);
        this.clear();
        return held;
    }

    /** Discards all bytes. */
    clear(): void {
        this.pending.clear();
        this.beginEvent();
    }

    /** Returns the offset of the line feed that ends the line at `lineStart`, or -1 when the line is incomplete. */
    private findLineEnd(bytes: Buffer, start: number): number {
        // Most empty lines are found without a search.
        if (bytes[start + this.lineStart] === lineFeed) {
            return this.lineStart;
        }
        const index = bytes.indexOf(lineFeed, start + this.searchedLength);
        return index < 0 ? -1 : index - start;
    }

    private readField(bytes: Buffer, start: number, lineEnd: number): void {
        const nameStart = this.findNameStart(bytes, start);
        if (isFieldNamed(idName, bytes, nameStart)) {
            this.blockHasEventField = true;
            this.blockId ??= parseId(bytes, nameStart, start + lineEnd);
            return;
        }
        this.blockHasEventField ||= isFieldNamed(dataName, bytes, nameStart);
    }

    /** A stream may begin with a byte order mark. */
    private findNameStart(bytes: Buffer, start: number): number {
        const nameStart = start + this.lineStart;
        return this.isFirstLine && startsWith(byteOrderMark, bytes, nameStart)
            ? nameStart + byteOrderMark.length
            : nameStart;
    }

    private endBlock(): StreamEvent | undefined {
        if (!this.blockHasEventField) {
            this.blockStart = this.lineStart;
            return undefined;
        }
        if (this.lineStart - this.blockStart > maximumEventBytes) {
            throw new EventTooLargeError();
        }
        const event = { id: this.blockId, bytes: this.pending.take(this.lineStart) };
        this.beginEvent();
        return event;
    }

    private beginEvent(): void {
        this.blockStart = 0;
        this.lineStart = 0;
        this.searchedLength = 0;
        this.blockHasEventField = false;
        this.blockId = undefined;
    }

    /** Throws when the limits are exceeded however the incomplete line goes on. */
    private checkIncompleteBlock(bytes: Buffer, start: number): void {
        if (
            this.pending.length > maximumEventlessBytes && !this.blockHasEventField
            && !mayBecomeEventField(bytes, this.findNameStart(bytes, start))
        ) {
            throw new EventlessBytesError();
        }
        if (this.pending.length - this.blockStart > maximumEventBytes) {
            throw new EventTooLargeError();
        }
    }
}

const isEmptyLine = (bytes: Buffer, lineStart: number): boolean =>
    bytes[lineStart] === lineFeed || (bytes[lineStart] === carriageReturn && bytes[lineStart + 1] === lineFeed);

const startsWith = (name: Buffer, bytes: Buffer, start: number): boolean => {
    for (let index = 0; index < name.length; index++) {
        if (bytes[start + index] !== name[index]) {
            return false;
        }
    }
    return true;
};

/** Whether the field at `start` has this name, which ends at a colon or with the line. */
const isFieldNamed = (name: Buffer, bytes: Buffer, start: number): boolean => {
    if (!startsWith(name, bytes, start)) {
        return false;
    }
    const next = bytes[start + name.length];
    return next === colon || next === lineFeed || next === carriageReturn;
};

/** Whether the incomplete line at `start`, the last one, is a field of an event or may become one. */
const mayBecomeEventField = (bytes: Buffer, start: number): boolean =>
    [dataName, idName].some(name =>
        bytes.length - start <= name.length
            ? startsWith(name.subarray(0, bytes.length - start), bytes, start)
            : isFieldNamed(name, bytes, start)
    );

/** Returns the value of the field `id` at `start`; undefined where it has no colon. */
const parseId = (bytes: Buffer, start: number, lineEnd: number): string | undefined => {
    const colonIndex = start + idName.length;
    if (bytes[colonIndex] !== colon) {
        return undefined;
    }
    const valueStart = bytes[colonIndex + 1] === space ? colonIndex + 2 : colonIndex + 1;
    const value = bytes.toString("latin1", valueStart, lineEnd);
    const valueEnd = value.indexOf("\r");
    return valueEnd < 0 ? value : value.slice(0, valueEnd);
};
