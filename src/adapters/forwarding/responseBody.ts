/** Reads the bodies of responses that are not streamed, within bounds. */
import type { IncomingMessage } from "node:http";
import { HeldKind } from "../../core/memoryBounds/heldBytes.js";
import type { ReceivedBody } from "../../core/memoryBounds/receivedBodies.js";
import { maximumResponseBytes } from "../../core/memoryBounds/receivedBound.js";
import type { RequestMemory } from "../../core/memoryBounds/requestMemory.js";
import { announcedBytes, collectBody } from "../../utils/bodies.js";
import { BodyTooLargeError } from "../../utils/errors.js";
import { costOfPiece } from "../../utils/turnLimit.js";

const noContentStatus = 204;
/** Statuses of responses without a body, whatever length their head announces. */
const statusesWithoutBody = new Set([noContentStatus, 304]);

/** What {@link receiveBody} takes besides the response. */
export interface BodyContext {
    /** Method of the request. */
    method: string;
    /** Account of the bytes that are buffered for the request; undefined where they are not bounded. */
    memory: RequestMemory | undefined;
    /** Opens the account of a body that may have no end; it is closed after the last byte. */
    openAccount: () => ReceivedBody;
}

/** Resolves with the body of a response, whose completeness the caller checks. Rejects when it exceeds a bound. */
export const receiveBody = async (response: IncomingMessage, context: BodyContext): Promise<Buffer> => {
    if (hasBody(response, context.method) && announcedBytes(response) > maximumResponseBytes) {
        throw new BodyTooLargeError(maximumResponseBytes);
    }
    const { memory } = context;
    // A body with a length ends by itself, however many there are.
    const account = response.headers["content-length"] === undefined ? context.openAccount() : undefined;
    let receivedBytes = 0;
    response.on("data", (bytes: Buffer) => {
        receivedBytes += bytes.length;
        memory?.change(HeldKind.Received, bytes.length);
        account?.add(costOfPiece(bytes));
    });
    try {
        return await collectBody(response, { bytes: maximumResponseBytes });
    }
    finally {
        account?.close();
        memory?.change(HeldKind.Received, -receivedBytes);
    }
};

/** How the end of a body shows, apart from a length. */
export enum BodyFraming {
    /** The body has a length, or ends with its connection. */
    Plain = "plain",
    Chunked = "chunked",
    /** A transfer coding that isn't undone here, so that the body can't be forwarded. */
    Unknown = "unknown",
}

/** Reads the transfer codings of a response. Node undoes chunks only, and takes any other coding for a part of the body. */
export const framingOf = ({ headers }: IncomingMessage): BodyFraming => {
    switch ((headers["transfer-encoding"] ?? "").trim().toLowerCase()) {
        case "":
        case "identity":
            return BodyFraming.Plain;
        case "chunked":
            return BodyFraming.Chunked;
        default:
            return BodyFraming.Unknown;
    }
};

/** Whether a response announces a body that its status rules out. Node reads such a body, and a caller may wait for it. */
export const announcesForbiddenBody = (response: IncomingMessage): boolean =>
    response.statusCode === noContentStatus
    && (announcedBytes(response) > 0 || response.headers["transfer-encoding"] !== undefined);

/** Whether the response to a request with `method` has a body. */
export const hasBody = ({ statusCode = 0 }: IncomingMessage, method: string): boolean =>
    method !== "HEAD" && !statusesWithoutBody.has(statusCode);
