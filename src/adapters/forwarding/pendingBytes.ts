/** Bytes that were received and not yet handed out. Their buffer grows by doubling, so that each byte is copied a few times at most. */

const emptyBuffer: Buffer = Buffer.alloc(0);
/** Smallest buffer that pieces are copied to; smaller ones would grow again at once. */
const minimumCapacityBytes = 1024;

/** First-in, first-out bytes. A piece that arrives when there are none is kept without a copy. */
export class PendingBytes {
    /** A received piece, or a buffer of this class with room after `end`. */
    private buffer = emptyBuffer;
    /** The bytes of `buffer` before `end`; undefined after a change. */
    private view: Buffer | undefined;
    private end = 0;
    /** Index of the first pending byte in {@link bytes}. */
    start = 0;

    get length(): number {
        return this.end - this.start;
    }

    /** A buffer with the pending bytes from `start` to its end. */
    get bytes(): Buffer {
        this.view ??= this.end === this.buffer.length ? this.buffer : this.buffer.subarray(0, this.end);
        return this.view;
    }

    append(piece: Buffer): void {
        this.view = undefined;
        if (this.length === 0) {
            this.buffer = piece;
            this.start = 0;
            this.end = piece.length;
            return;
        }
        if (this.end + piece.length > this.buffer.length) {
            this.grow(this.length + piece.length);
        }
        piece.copy(this.buffer, this.end);
        this.end += piece.length;
    }

    /** Removes and returns the first `length` bytes. They are never overwritten. */
    take(length: number): Buffer {
        const { bytes, start } = this;
        const taken = start === 0 && length === bytes.length ? bytes : bytes.subarray(start, start + length);
        this.start += length;
        if (this.length === 0) {
            this.clear();
        }
        return taken;
    }

    clear(): void {
        this.buffer = emptyBuffer;
        this.view = undefined;
        this.start = 0;
        this.end = 0;
    }

    private grow(neededBytes: number): void {
        const { length } = this;
        const buffer = Buffer.allocUnsafe(Math.max(2 * neededBytes, minimumCapacityBytes));
        this.buffer.copy(buffer, 0, this.start, this.end);
        this.buffer = buffer;
        this.start = 0;
        this.end = length;
    }
}
