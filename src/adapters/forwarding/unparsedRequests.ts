/** Answers bytes of callers that Node can't parse as a request, after the answers to the requests before them. */
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import { Execution, FailureKind, RequestFailure } from "../../core/failures.js";
import type { PartLog } from "../../utils/log.js";
import { problemOf } from "../callers/problem.js";
import type { CallerConnection } from "./callerConnection.js";

/** Why bytes can't be parsed, as Node reports it. */
export type ParseError = Error & { code?: string; };

/**
 * Rejects what can't be parsed on the connections of callers.
 *
 * A caller may send it behind a request that is in progress: the rest of a body that is longer than announced, or the next
 * request. An answer to it that is sent at once would be taken for the answer to the request before, which runs.
 */
export class UnparsedRequests {
    constructor(
        private readonly log: PartLog,
        private readonly connectionOf: (socket: Socket) => CallerConnection | undefined,
    ) {}

    /** Answers what `socket` has received last, once the requests before it have been answered. */
    reject(error: ParseError, socket: Socket): void {
        const connection = this.connectionOf(socket);
        if (connection?.isClosing) {
            return;
        }
        if (!connection || error.code === "ECONNRESET" || !socket.writable || connection.hasCallerLeft) {
            socket.destroy();
            return;
        }
        // What follows can't be parsed either, and would be read for as long as the request in progress takes.
        if (connection.isEnding) {
            connection.holdReading();
            return;
        }
        this.log.warn("A request can't be parsed.", { code: error.code, reason: error.message });
        connection.endWith(formatRejection(error));
    }

    /** Answers a `CONNECT` request. Node hands its connection over, and would close it if nobody took it. */
    rejectTunnel(socket: Socket): void {
        socket.on("error", () => {});
        // The end of an unread connection isn't noticed.
        socket.resume();
        this.reject(new Error("this entry opens no tunnels for callers"), socket);
    }
}

const formatRejection = (error: ParseError): string => {
    const problem = problemOf(new RequestFailure(failureKindOf(error.code), Execution.NotRun, error.message), "");
    const text = JSON.stringify(problem);
    return `HTTP/1.1 ${problem.status} ${problem.title}\r\nContent-Type: application/problem+json\r\n`
        + `Content-Length: ${Buffer.byteLength(text)}\r\nConnection: close\r\n\r\n${text}`;
};

const failureKindOf = (code: string | undefined): FailureKind =>
    match(code)
        .with("HPE_HEADER_OVERFLOW", () => FailureKind.HeadersTooLarge)
        .with("ERR_HTTP_REQUEST_TIMEOUT", () => FailureKind.RequestTooSlow)
        .otherwise(() => FailureKind.BadRequest);
