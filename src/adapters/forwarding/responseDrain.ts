/** Reads bodies that nobody needs, so that their connections can be used again. */
import type { IncomingMessage } from "node:http";
import { announcedBytes } from "../../utils/bodies.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { costOfPiece } from "../../utils/turnLimit.js";

/** Limits above which a new connection is cheaper. */
const maximumDrainedBytes = 64 * 1024;
const drainTimeout: Milliseconds = 1_000;

/** Reads a body that nobody needs. Destroys the connection when the body is too large or too slow for that. */
export const drainResponse = (response: IncomingMessage, clock: Clock): void => {
    let drainedBytes = 0;
    const giveUp = () => response.destroy();
    if (announcedBytes(response) > maximumDrainedBytes) {
        giveUp();
        return;
    }
    const stopTimer = clock.after(drainTimeout, giveUp);
    response.once("close", stopTimer);
    response.on("data", (bytes: Buffer) => {
        drainedBytes += costOfPiece(bytes);
        if (drainedBytes > maximumDrainedBytes) {
            giveUp();
        }
    });
};
