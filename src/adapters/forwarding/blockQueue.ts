/** Queue of bytes in blocks. Small pieces are copied, since a separate buffer for each of them costs several times its bytes. */

const blockBytes = 4 * 1024;
/** Larger pieces are split, so that writes complete while a slow peer reads. */
const maximumPieceBytes = 64 * 1024;

/** First-in, first-out queue of bytes. */
export class BlockQueue {
    private readonly pieces: Buffer[] = [];
    /** Number of bytes used in the last piece, if it is a block that small pieces are copied to. */
    private usedInBlock: number | undefined;

    push(bytes: Buffer): void {
        if (bytes.length < blockBytes && this.pieces.length > 0) {
            this.copy(bytes);
            return;
        }
        this.closeBlock();
        for (let start = 0; start < bytes.length; start += maximumPieceBytes) {
            this.pieces.push(bytes.subarray(start, start + maximumPieceBytes));
        }
    }

    /** Removes and returns the first bytes; undefined when the queue is empty. */
    shift(): Buffer | undefined {
        if (this.pieces.length === 1) {
            this.closeBlock();
        }
        return this.pieces.shift();
    }

    private copy(bytes: Buffer): void {
        let rest = bytes;
        while (rest.length > 0) {
            if (this.usedInBlock === undefined || this.usedInBlock === blockBytes) {
                this.pieces.push(Buffer.allocUnsafeSlow(blockBytes));
                this.usedInBlock = 0;
            }
            const copied = rest.copy(this.pieces.at(-1)!, this.usedInBlock);
            this.usedInBlock += copied;
            rest = rest.subarray(copied);
        }
    }

    private closeBlock(): void {
        const block = this.pieces.at(-1);
        if (this.usedInBlock !== undefined && block) {
            this.pieces[this.pieces.length - 1] = block.subarray(0, this.usedInBlock);
        }
        this.usedInBlock = undefined;
    }
}
