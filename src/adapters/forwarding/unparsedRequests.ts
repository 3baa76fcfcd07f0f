/** Answers bytes of callers that Node can't parse as a request, after the answers to the requests before them. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import { Execution, FailureKind, RequestFailure } from "../../core/failures.js";
import type { PartLog } from "../../utils/log.js";
import { problemOf } from "../callers/problem.js";
import type { LingeringCloser } from "./lingeringClose.js";

/** Why bytes can't be parsed, as Node reports it. */
export type ParseError = Error & { code?: string; };

/**
 * Rejects what can't be parsed on the connections of callers.
 *
 * A caller may send it behind a request that is in progress: the rest of a body that is longer than announced, or the next
 * request. An answer to it that is sent at once would be taken for the answer to the request before, which runs.
 */
export class UnparsedRequests {
    private readonly responsesBySocket = new WeakMap<Socket, Set<ServerResponse>>();
    private readonly rejectedSockets = new WeakSet<Socket>();

    constructor(private readonly log: PartLog, private readonly closer: LingeringCloser) {}

    /** Records a request on `socket` by its response. */
    recordRequest(socket: Socket, response: ServerResponse): void {
        const responses = this.responsesBySocket.get(socket) ?? new Set();
        this.responsesBySocket.set(socket, responses.add(response));
        response.once("close", () => responses.delete(response));
    }

    /** Answers what `socket` has received last, once the requests before it have been answered. */
    reject(error: ParseError, socket: Socket): void {
        if (this.closer.isWaiting(socket)) {
            return;
        }
        const earlier = this.responseBefore(socket);
        const hasLeft = earlier !== undefined && socket.readableEnded;
        if (error.code === "ECONNRESET" || !socket.writable || hasLeft) {
            socket.destroy();
            return;
        }
        // What follows can't be parsed either.
        if (!this.rejectedSockets.has(socket)) {
            this.rejectedSockets.add(socket);
            this.answerInTurn(error, socket);
        }
    }

    /** Answers a `CONNECT` request. Node hands its connection over, and would close it if nobody took it. */
    rejectTunnel(socket: Socket): void {
        socket.on("error", () => {});
        // The end of an unread connection isn't noticed.
        socket.resume();
        this.reject(new Error("this entry opens no tunnels for callers"), socket);
    }

    private answerInTurn(error: ParseError, socket: Socket): void {
        const earlier = this.responseBefore(socket);
        if (earlier) {
            earlier.once("close", () => this.answerInTurn(error, socket));
            return;
        }
        if (socket.writable) {
            this.answer(error, socket);
        }
    }

    /** A response that has begun, or that belongs to a request that was received whole. */
    private responseBefore(socket: Socket): ServerResponse | undefined {
        for (const response of this.responsesBySocket.get(socket) ?? []) {
            if (response.req.complete || response.headersSent) {
                return response;
            }
        }
        return undefined;
    }

    private answer(error: ParseError, socket: Socket): void {
        this.log.warn("A request can't be parsed.", { code: error.code, reason: error.message });
        const failure = new RequestFailure(failureKindOf(error.code), Execution.NotRun, error.message);
        const problem = problemOf(failure, "");
        const text = JSON.stringify(problem);
        socket.write(
            `HTTP/1.1 ${problem.status} ${problem.title}\r\nContent-Type: application/problem+json\r\n`
                + `Content-Length: ${Buffer.byteLength(text)}\r\nConnection: close\r\n\r\n${text}`,
        );
        this.closer.close(socket);
    }
}

const failureKindOf = (code: string | undefined): FailureKind =>
    match(code)
        .with("HPE_HEADER_OVERFLOW", () => FailureKind.HeadersTooLarge)
        .with("ERR_HTTP_REQUEST_TIMEOUT", () => FailureKind.RequestTooSlow)
        .otherwise(() => FailureKind.BadRequest);
