/** Joins the pieces of a message body. */

/** Number of pieces that are joined early: a small piece keeps the buffer alive that it was read into. */
const maximumSeparatePieces = 512;

/** Collects pieces, and holds little more memory than their bytes however small they are. */
export class ByteCollector {
    private joined: Buffer[] = [];
    private pieces: Buffer[] = [];

    add(piece: Buffer): void {
        this.pieces.push(piece);
        if (this.pieces.length === maximumSeparatePieces) {
            this.joined.push(Buffer.concat(this.pieces));
            this.pieces = [];
        }
    }

    /** Returns all bytes, and keeps none of them: listeners on the message may hold this collector for as long as it exists. */
    join(): Buffer {
        const pieces = this.joined.length === 0 ? this.pieces : [...this.joined, ...this.pieces];
        this.joined = [];
        this.pieces = [];
        return Buffer.concat(pieces);
    }
}
