/** Spreads the reading of a large message over several turns of the event loop, so that timers and other connections run. */
import type { IncomingMessage } from "node:http";
import { holdReading } from "./heldReading.js";
import type { TurnShare } from "./turnShare.js";

/** Bytes that one message may deliver in a turn. Node reads up to 2 MB from one connection in a turn. */
const maximumTurnBytes = 128 * 1024;
/**
 * The same for one that shares the turns with others: a single read. The system grows the receive buffer of a connection that is
 * read faster, and the unread bytes of many such connections take the memory of the instance.
 */
const maximumSharedTurnBytes = 64 * 1024;
/** A smaller piece takes as much memory and time as one of this size, for the objects around it. */
const minimumPieceBytes = 256;

/** Memory and work that a piece of a message takes, in bytes. */
export const costOfPiece = (piece: Buffer): number => Math.max(minimumPieceBytes, piece.length);

/**
 * Returns a function to call with each piece of `message`. At the limit the reading stops until the next turn, or until
 * `share`, where there is one, has room for it.
 */
export const createTurnLimit = (message: IncomingMessage, share?: TurnShare): (piece: Buffer) => void => {
    const { socket } = message;
    const maximumBytes = share ? maximumSharedTurnBytes : maximumTurnBytes;
    let bytes = 0;
    let isPausing = false;
    const pause = () => {
        share?.spend(bytes);
        bytes = 0;
        isPausing = false;
        if (message.complete || socket.destroyed) {
            return;
        }
        const resume = holdReading(socket);
        if (share) {
            share.enqueue(resume);
        }
        else {
            setImmediate(resume);
        }
    };
    return piece => {
        bytes += costOfPiece(piece);
        if (bytes >= maximumBytes && !isPausing) {
            isPausing = true;
            // The pieces of the current buffer are all delivered first.
            process.nextTick(pause);
        }
    };
};
