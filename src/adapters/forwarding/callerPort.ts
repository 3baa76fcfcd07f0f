/** The port for forwarded requests: reads callers' requests and writes their answers over Node's `http`. */
import http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { match } from "ts-pattern";
import type { RouteTable } from "../../core/configuration/routeTable.js";
import { Execution, FailureKind, RequestFailure } from "../../core/failures.js";
import type { CallerExchange, RequestHead, ResponseHead } from "../../ports/forwardingPorts.js";
import { splitAddress } from "../../utils/address.js";
import { BodyTooSlowError, collectBody } from "../../utils/bodies.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { BodyTooLargeError, DandelionrampError, describeError } from "../../utils/errors.js";
import { headerBytes } from "../../utils/headers.js";
import type { PartLog } from "../../utils/log.js";
import { abortQuietly } from "../../utils/signal.js";
import { problemOf } from "../callers/problem.js";
import type { ForwardingWire } from "./wireNames.js";

/** Headers beyond this are refused while they are read; the configured limit holds below it. */
const headerBytesAtMost = 128 * 1024;
/** How often Node looks for callers that are slow to send their headers. */
const slownessCheck: Milliseconds = 1_000;
/** Before a configuration is known. */
const defaultHeaderTimeout: Milliseconds = 5_000;
const defaultIdleTimeout: Milliseconds = 15_000;
/** A connection is kept this much longer than promised, for requests that are on their way when the time is up. */
const idleMargin: Milliseconds = 1_000;
const requestLineBytes = 16;

/** What the port needs. */
export interface CallerPortParts {
    wire: ForwardingWire;
    clock: Clock;
    log: PartLog;
    serve: (exchange: CallerExchange) => Promise<void>;
    /** The limits in force; undefined before a configuration is known. */
    routes: () => RouteTable | undefined;
    /** Whether this entry is stopping, so that callers should leave. */
    stopping: () => boolean;
}

/** Listens for callers. */
export class CallerPort {
    private readonly server: http.Server;
    private readonly sockets = new Set<Socket>();

    constructor(private readonly parts: CallerPortParts) {
        this.server = http.createServer({
            maxHeaderSize: headerBytesAtMost,
            connectionsCheckingInterval: slownessCheck,
            headersTimeout: defaultHeaderTimeout,
            // A request's whole time is bounded by its route, not by a fixed time here.
            requestTimeout: 0,
            keepAliveTimeout: defaultIdleTimeout,
        }, (request, response) => this.receive(request, response));
        this.server.on("clientError", (error, socket) => refuseUnread(error, socket as Socket, parts.log));
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    /** Listens on `host:port`; resolves with the real address. Rejects when it can't be had. */
    listen(address: string): Promise<string> {
        const { host, port } = splitAddress(address);
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => {
                this.server.off("error", reject);
                resolve(`${host}:${(this.server.address() as AddressInfo).port}`);
            });
        });
    }

    /** Takes the limits of a new configuration. */
    limit(routes: RouteTable): void {
        const { headerTimeout, idleTimeout } = routes.configuration.limits;
        this.server.headersTimeout = headerTimeout;
        this.server.keepAliveTimeout = idleTimeout + idleMargin;
    }

    /** Connections that are open. */
    get connections(): number {
        return this.sockets.size;
    }

    /** Closes connections on which no request is in progress. */
    closeIdle(): void {
        this.server.closeIdleConnections();
    }

    /** Stops listening and cuts all that is left. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    private receive(request: http.IncomingMessage, response: http.ServerResponse): void {
        const exchange = this.open(request, response);
        if (exchange) {
            void this.parts.serve(exchange);
        }
    }

    /** Checks the head of a request; answers it at once when it can't be read. */
    private open(request: http.IncomingMessage, response: http.ServerResponse): HttpExchange | undefined {
        const { wire, clock } = this.parts;
        const { id, ...facts } = wire.readCaller(request.rawHeaders);
        const head = { ...facts, method: request.method ?? "", target: request.url ?? "", arrivedAt: clock.now() };
        const exchange = new HttpExchange(this.parts, { ...head, id: id ?? "" }, request, response);
        const limit = this.parts.routes()?.configuration.limits.headerBytes ?? headerBytesAtMost;
        if (headerBytes(request.rawHeaders) + head.target.length + requestLineBytes > limit) {
            const detail = `the headers are over ${limit} bytes`;
            exchange.refuse(new RequestFailure(FailureKind.HeadersTooLarge, Execution.NotRun, detail));
            return undefined;
        }
        if (id === undefined) {
            const detail = "the request bears no identifier, or more than one";
            exchange.refuse(new RequestFailure(FailureKind.BadRequest, Execution.NotRun, detail));
            return undefined;
        }
        return exchange;
    }
}

/** One request on its connection. */
class HttpExchange implements CallerExchange {
    private readonly leaving = new AbortController();

    constructor(
        private readonly parts: CallerPortParts,
        readonly head: RequestHead,
        private readonly request: http.IncomingMessage,
        private readonly response: http.ServerResponse,
    ) {
        response.once("close", () => {
            if (!response.writableFinished) {
                abortQuietly(this.leaving);
            }
        });
        request.once("error", () => abortQuietly(this.leaving));
        response.on("error", error => {
            this.parts.log.info("A caller's connection failed.", { requestId: head.id, error: describeError(error) });
            abortQuietly(this.leaving);
        });
    }

    get disconnected(): AbortSignal {
        return this.leaving.signal;
    }

    async readBody(limitBytes: number): Promise<Buffer> {
        if (Number(this.request.headers["content-length"] ?? 0) > limitBytes) {
            throw bodyFailure(new BodyTooLargeError(limitBytes));
        }
        try {
            const time = { limit: this.bodyTimeout(), clock: this.parts.clock };
            return await collectBody(this.request, { bytes: limitBytes, time });
        }
        catch (error) {
            throw bodyFailure(error);
        }
    }

    respond(head: ResponseHead, body: Buffer): void {
        this.writeHead(head);
        this.response.end(this.head.method === "HEAD" ? undefined : body);
    }

    beginStream(head: ResponseHead): void {
        this.writeHead(head);
    }

    write(bytes: Buffer): Promise<void> {
        if (this.response.write(bytes)) {
            return Promise.resolve();
        }
        return new Promise((resolve, reject) => {
            const leave = () => reject(new CallerLeftError());
            this.disconnected.addEventListener("abort", leave, { once: true });
            this.response.once("drain", () => {
                this.disconnected.removeEventListener("abort", leave);
                resolve();
            });
        });
    }

    endStream(): void {
        this.response.end();
    }

    abortStream(): void {
        this.response.destroy();
    }

    fail(failure: RequestFailure): void {
        if (this.response.headersSent) {
            this.abortStream();
            return;
        }
        const text = JSON.stringify(problemOf(failure, this.head.id));
        const headers = [
            "Content-Type",
            "application/problem+json",
            "Content-Length",
            String(Buffer.byteLength(text)),
        ];
        if (this.head.id !== "") {
            headers.push(this.parts.wire.requestIdHeader, this.head.id);
        }
        if (failure.retryAfterSeconds !== undefined) {
            headers.push("Retry-After", String(failure.retryAfterSeconds));
        }
        if (!this.request.complete) {
            // The rest of the body would have to be read to find the next request.
            headers.push("Connection", "close");
        }
        this.writeHead({ status: problemOf(failure, this.head.id).status, headers });
        this.response.end(text);
    }

    /** Refuses a request whose head can't be used. */
    refuse(failure: RequestFailure): void {
        this.parts.log.warn("A request was refused.", { requestId: this.head.id, reason: failure.message });
        this.fail(failure);
    }

    private writeHead({ status, headers }: ResponseHead): void {
        const all = [...headers];
        if (this.parts.stopping()) {
            all.push("Connection", "close");
        }
        this.response.writeHead(status, all);
    }

    private bodyTimeout(): Milliseconds {
        return this.parts.routes()?.configuration.limits.idleTimeout ?? defaultIdleTimeout;
    }
}

/** The caller closed its connection while its answer was on the way. */
class CallerLeftError extends DandelionrampError {
    constructor() {
        super("the caller has left");
    }
}

/** What a caller is told of a body that can't be used. Nothing of it was passed on. */
const bodyFailure = (error: unknown): RequestFailure => {
    if (error instanceof BodyTooLargeError) {
        return new RequestFailure(FailureKind.BodyTooLarge, Execution.NotRun, error.message);
    }
    const kind = error instanceof BodyTooSlowError ? FailureKind.RequestTooSlow : FailureKind.BadRequest;
    return new RequestFailure(kind, Execution.NotRun, describeError(error));
};

/** Answers bytes that are no request. Nothing of them was passed on. */
const refuseUnread = (error: Error & { code?: string; }, socket: Socket, log: PartLog): void => {
    if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    const kind = kindOfUnread(error.code);
    log.warn("A request can't be read.", { code: error.code, reason: error.message });
    const problem = problemOf(new RequestFailure(kind, Execution.NotRun, error.message), "");
    const text = JSON.stringify(problem);
    socket.end(
        `HTTP/1.1 ${problem.status} ${problem.title}\r\nContent-Type: application/problem+json\r\n`
            + `Content-Length: ${Buffer.byteLength(text)}\r\nConnection: close\r\n\r\n${text}`,
    );
};

const kindOfUnread = (code: string | undefined): FailureKind =>
    match(code)
        .with("HPE_HEADER_OVERFLOW", () => FailureKind.HeadersTooLarge)
        .with("ERR_HTTP_REQUEST_TIMEOUT", () => FailureKind.RequestTooSlow)
        .otherwise(() => FailureKind.BadRequest);
