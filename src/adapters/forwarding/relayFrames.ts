/**
 * Framing of the bytes that an entry carries from an endpoint to another entry.
 *
 * A response without a length ends with its connection, and the end of a byte stream doesn't say who has ended it: a carrying
 * process that is killed closes the connection as an endpoint does that has sent all. So the bytes come in frames, each behind
 * its length, and an empty frame declares that the endpoint has closed the connection.
 */
import type { Socket } from "node:net";

const lengthBytes = 4;
/** Length of the frame that declares the endpoint's end. */
const endLength = 0;

const formatLength = (length: number): Buffer => {
    const bytes = Buffer.allocUnsafe(lengthBytes);
    bytes.writeUInt32BE(length);
    return bytes;
};

/** Copies what `source` sends to `target` in frames, and ends `target` with the last frame when `source` ends. */
export const sendFrames = (source: Socket, target: Socket): void => {
    source.on("data", (bytes: Buffer) => {
        target.cork();
        target.write(formatLength(bytes.length));
        const mayWriteMore = target.write(bytes);
        target.uncork();
        if (!mayWriteMore) {
            source.pause();
        }
    });
    target.on("drain", () => source.resume());
    source.once("end", () => target.end(formatLength(endLength)));
};

/** Reads frames from the pieces in which they arrive. */
export class FrameDecoder {
    private readonly header = Buffer.alloc(lengthBytes);
    private headerBytes = 0;
    /** Bytes of the current frame that haven't arrived yet. */
    private missingBytes = 0;
    private hasEnd = false;

    /** Whether the end has been declared. */
    get isEnded(): boolean {
        return this.hasEnd;
    }

    /** Returns the content of a piece, which may hold parts of several frames. What follows the end is left out. */
    *read(piece: Buffer): Generator<Buffer, void> {
        for (let position = 0; position < piece.length && !this.hasEnd;) {
            if (this.missingBytes > 0) {
                const content = piece.subarray(position, position + this.missingBytes);
                this.missingBytes -= content.length;
                position += content.length;
                yield content;
                continue;
            }
            position += this.readHeader(piece, position);
        }
    }

    /** Reads the header from `position` as far as it has arrived, and returns the number of its bytes in `piece`. */
    private readHeader(piece: Buffer, position: number): number {
        const copied = piece.copy(this.header, this.headerBytes, position);
        this.headerBytes += copied;
        if (this.headerBytes === lengthBytes) {
            this.headerBytes = 0;
            this.missingBytes = this.header.readUInt32BE();
            this.hasEnd = this.missingBytes === endLength;
        }
        return copied;
    }
}
