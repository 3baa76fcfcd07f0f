/** Joins the pieces of a message body. */

/** Smaller pieces are copied: each costs an object and, with some servers, a share of the buffer that it was read into. */
const smallPieceBytes = 4 * 1024;
const blockBytes = 16 * 1024;

/** Collects pieces, and holds little more memory than their bytes however small they are. */
export class ByteCollector {
    private pieces: Buffer[] = [];
    /** The block that small pieces are copied to. */
    private block: Buffer | undefined;
    private usedInBlock = 0;

    add(piece: Buffer): void {
        // The only piece of a small body needs no copy.
        if (piece.length >= smallPieceBytes || this.pieces.length === 0) {
            this.closeBlock();
            this.pieces.push(piece);
            return;
        }
        for (let rest = piece; rest.length > 0;) {
            this.block ??= Buffer.allocUnsafeSlow(blockBytes);
            const copied = rest.copy(this.block, this.usedInBlock);
            this.usedInBlock += copied;
            rest = rest.subarray(copied);
            if (this.usedInBlock === blockBytes) {
                this.closeBlock();
            }
        }
    }

    /** Returns all bytes, and keeps none of them: listeners on the message may hold this collector for as long as it exists. */
    join(): Buffer {
        this.closeBlock();
        const { pieces } = this;
        this.pieces = [];
        return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces);
    }

    /** Drops all bytes. */
    clear(): void {
        this.pieces = [];
        this.block = undefined;
        this.usedInBlock = 0;
    }

    private closeBlock(): void {
        if (this.block && this.usedInBlock > 0) {
            this.pieces.push(this.block.subarray(0, this.usedInBlock));
        }
        this.block = undefined;
        this.usedInBlock = 0;
    }
}
