/** Reads complete message bodies. A failure leaves the connection open, so that a server can still send a response. */
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "./byteCollector.js";
import type { Clock, Milliseconds } from "./clock.js";
import { BodyTooLargeError, DandelionrampError, describeError } from "./errors.js";
import { createTurnLimit } from "./turnLimit.js";
import type { TurnShare } from "./turnShare.js";

/** The connection closed before the body was complete. */
export class BodyIncompleteError extends DandelionrampError {}

/** The body did not arrive within its timeout. */
export class BodyTooSlowError extends DandelionrampError {
    constructor(readonly limit: Milliseconds) {
        super(`the body did not arrive within ${limit} ms`);
    }
}

/** The signal aborted before the body was complete. */
export class BodyStoppedError extends DandelionrampError {}

/** Length of the body by the head of its message; 0 where the head has none. */
export const announcedBytes = ({ headers }: IncomingMessage): number => Number(headers["content-length"] ?? 0);

/** Limits on the size of a body and on the time to read it. */
export interface BodyLimits {
    bytes: number;
    /** Timeout for the complete body; omitted where the caller has its own timeout. */
    time?: { limit: Milliseconds; clock: Clock; };
    /** Stops the reading when it aborts. */
    signal?: AbortSignal;
    /** Shares the turns of the event loop with other bodies. */
    share?: TurnShare;
}

/**
 * Resolves with the complete body. Rejects with {@link BodyIncompleteError}, {@link BodyTooSlowError},
 * {@link BodyTooLargeError} or {@link BodyStoppedError}.
 */
export const collectBody = (message: IncomingMessage, limits: BodyLimits): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const collector = new ByteCollector();
        const limitTurn = createTurnLimit(message, limits.share);
        let cancelTimer = () => {};
        let size = 0;
        const finish = (settle: () => void) => {
            cancelTimer();
            message.off("data", addChunk);
            collector.clear();
            limits.signal?.removeEventListener("abort", stop);
            settle();
        };
        const addChunk = (chunk: Buffer) => {
            size += chunk.length;
            if (size > limits.bytes) {
                finish(() => reject(new BodyTooLargeError(limits.bytes)));
                return;
            }
            collector.add(chunk);
            limitTurn(chunk);
        };
        const stop = () => finish(() => reject(new BodyStoppedError("the reading was stopped")));
        if (limits.signal?.aborted) {
            stop();
            return;
        }
        limits.signal?.addEventListener("abort", stop, { once: true });
        message.on("data", addChunk);
        message.once("end", () => {
            if (message.complete) {
                const body = collector.join();
                finish(() => resolve(body));
                return;
            }
            finish(() => reject(new BodyIncompleteError("the connection closed")));
        });
        message.once("error", error => finish(() => reject(new BodyIncompleteError(describeError(error)))));
        message.once("close", () => finish(() => reject(new BodyIncompleteError("the connection closed"))));
        const { time } = limits;
        if (time !== undefined) {
            cancelTimer = time.clock.after(time.limit, () => finish(() => reject(new BodyTooSlowError(time.limit))));
        }
    });
