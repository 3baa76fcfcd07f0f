/** Reads the bodies of responses that are not streamed, within bounds. */
import type { IncomingMessage } from "node:http";
import { HeldKind } from "../../core/memoryBounds/heldBytes.js";
import type { ReceivedBody } from "../../core/memoryBounds/receivedBodies.js";
import { maximumResponseBytes } from "../../core/memoryBounds/receivedBound.js";
import type { RequestMemory } from "../../core/memoryBounds/requestMemory.js";
import { announcedBytes, collectBody } from "../../utils/bodies.js";
import { BodyTooLargeError } from "../../utils/errors.js";
import { costOfPiece } from "../../utils/turnLimit.js";

/** What {@link readResponseBody} takes besides the response. */
export interface BodyContext {
    /** Method of the request. */
    method: string;
    /** Account of the bytes that are buffered for the request; undefined where they are not bounded. */
    memory: RequestMemory | undefined;
    /** Account of the body among those of all responses; it is closed at the end. */
    account: ReceivedBody;
}

/** Resolves with the body of a response, whose completeness the caller checks. Rejects when it exceeds a bound. */
export const readResponseBody = async (response: IncomingMessage, context: BodyContext): Promise<Buffer> => {
    const { memory, account } = context;
    let receivedBytes = 0;
    try {
        // The response to HEAD has the length of the response to another method.
        if (context.method !== "HEAD" && announcedBytes(response) > maximumResponseBytes) {
            throw new BodyTooLargeError(maximumResponseBytes);
        }
        response.on("data", (bytes: Buffer) => {
            receivedBytes += bytes.length;
            memory?.change(HeldKind.Received, bytes.length);
            account.add(costOfPiece(bytes));
        });
        return await collectBody(response, { bytes: maximumResponseBytes });
    }
    finally {
        account.close();
        memory?.change(HeldKind.Received, -receivedBytes);
    }
};
