/** Spreads the reading of a large message over several turns of the event loop, so that timers and other connections run. */
import type { Readable } from "node:stream";

/** Bytes that one message may deliver in a turn. Node reads up to 2 MB from one connection in a turn. */
const maximumTurnBytes = 128 * 1024;
/** A smaller piece takes as much memory and time as one of this size, for the objects around it. */
const minimumPieceBytes = 256;

/** Memory and work that a piece of a message takes, in bytes. */
export const costOfPiece = (piece: Buffer): number => Math.max(minimumPieceBytes, piece.length);

/** Returns a function to call with each piece of `message`; it pauses the message until the next turn at the limit. */
export const createTurnLimit = (message: Readable): (piece: Buffer) => void => {
    let bytes = 0;
    return piece => {
        bytes += costOfPiece(piece);
        if (bytes >= maximumTurnBytes) {
            bytes = 0;
            message.pause();
            setImmediate(() => message.resume());
        }
    };
};
