/**
 * Framing of the bytes that an entry carries from an endpoint to another entry.
 *
 * A response without a length ends with its connection, and the end of a byte stream doesn't say who has ended it: a carrying
 * process that is killed closes the connection as an endpoint does that has sent all. So the bytes come in frames, each behind
 * its length, and an empty frame declares that the endpoint has closed the connection. A frame whose length no content has
 * declares that the endpoint has reset it, to entries that ask for it.
 */
import type { Socket } from "node:net";
import { SocketEnd } from "../../utils/socketEnd.js";

const lengthBytes = 4;
/** Lengths of the frames that declare how the endpoint has ended the connection. */
const closedLength = 0;
const resetLength = 0xffff_ffff;

const formatLength = (length: number): Buffer => {
    const bytes = Buffer.allocUnsafe(lengthBytes);
    bytes.writeUInt32BE(length);
    return bytes;
};

/**
 * Copies what `source` sends to `target` in frames, and ends `target` with the last frame when `source` ends, unless that is
 * declared already.
 */
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
    source.once("end", () => declareEnd(target, closedLength));
};

/** Ends `target` with the frame that declares a reset. What `target` still sends is dropped, so that its end is noticed. */
export const declareReset = (target: Socket): void => {
    declareEnd(target, resetLength);
    target.resume();
};

const declareEnd = (target: Socket, length: number): void => {
    if (target.writable) {
        target.end(formatLength(length));
    }
};

/** Reads frames from the pieces in which they arrive. */
export class FrameDecoder {
    private readonly header = Buffer.alloc(lengthBytes);
    private headerBytes = 0;
    /** Bytes of the current frame that haven't arrived yet. */
    private missingBytes = 0;
    private declaredEnd: SocketEnd | undefined;

    /** How the endpoint has ended the connection, once that is declared. */
    get end(): SocketEnd | undefined {
        return this.declaredEnd;
    }

    get isEnded(): boolean {
        return this.declaredEnd !== undefined;
    }

    /** Returns the content of a piece, which may hold parts of several frames. What follows the end is left out. */
    *read(piece: Buffer): Generator<Buffer, void> {
        for (let position = 0; position < piece.length && !this.isEnded;) {
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
            this.start(this.header.readUInt32BE());
        }
        return copied;
    }

    private start(length: number): void {
        switch (length) {
            case closedLength:
                this.declaredEnd = SocketEnd.Closed;
                return;
            case resetLength:
                this.declaredEnd = SocketEnd.Reset;
                return;
            default:
                this.missingBytes = length;
        }
    }
}
