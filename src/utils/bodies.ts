/** Reads whole bodies without destroying their connection, so that an answer can still be written. */
import type { IncomingMessage } from "node:http";
import type { Clock, Milliseconds } from "./clock.js";
import { BodyTooLargeError, DandelionrampError, describeError } from "./errors.js";

/** A body ended before it was whole. */
export class BodyCutError extends DandelionrampError {}

/** A body stopped coming. */
export class BodyTooSlowError extends DandelionrampError {
    constructor(readonly limit: Milliseconds) {
        super(`the body took longer than ${limit} ms`);
    }
}

/** Bounds of a body. */
export interface BodyLimits {
    bytes: number;
    /** For the whole body; left out where something else bounds it. */
    time?: { limit: Milliseconds; clock: Clock; };
}

/** Resolves with the body once it is whole. Rejects with the errors of this module or {@link BodyTooLargeError}. */
export const collectBody = (message: IncomingMessage, limits: BodyLimits): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let stopTimer = () => {};
        let size = 0;
        const finish = (settle: () => void) => {
            stopTimer();
            message.off("data", take);
            settle();
        };
        const take = (chunk: Buffer) => {
            size += chunk.length;
            if (size > limits.bytes) {
                finish(() => reject(new BodyTooLargeError(limits.bytes)));
                return;
            }
            chunks.push(chunk);
        };
        message.on("data", take);
        message.once("end", () => {
            if (message.complete) {
                finish(() => resolve(Buffer.concat(chunks)));
                return;
            }
            finish(() => reject(new BodyCutError("its connection closed")));
        });
        message.once("error", error => finish(() => reject(new BodyCutError(describeError(error)))));
        message.once("close", () => finish(() => reject(new BodyCutError("its connection closed"))));
        const { time } = limits;
        if (time !== undefined) {
            stopTimer = time.clock.after(time.limit, () => finish(() => reject(new BodyTooSlowError(time.limit))));
        }
    });
