/** HTTP server for forwarded requests. Reads the requests of callers and writes their responses through Node's `http`. */
import http from "node:http";
import net, { type AddressInfo, type Socket } from "node:net";
import type { RouteTable } from "../../core/configuration/routeTable.js";
import { ConnectionTable } from "../../core/connectionBounds/connectionTable.js";
import { Execution, FailureKind, RequestFailure } from "../../core/failures.js";
import { HeldKind } from "../../core/memoryBounds/heldBytes.js";
import type { MemoryGuard } from "../../core/memoryBounds/memoryGuard.js";
import { createMemoryFailure, type RequestMemory } from "../../core/memoryBounds/requestMemory.js";
import type { CallerExchange, RequestHead, ResponseHead } from "../../ports/forwardingPorts.js";
import { splitAddress } from "../../utils/address.js";
import { BodyStoppedError, BodyTooSlowError, collectBody } from "../../utils/bodies.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { BodyTooLargeError, DandelionrampError, describeError } from "../../utils/errors.js";
import { haveValidNames, headerBytes } from "../../utils/headers.js";
import { endWithInternalError } from "../../utils/httpServer.js";
import type { PartLog } from "../../utils/log.js";
import { abortQuietly } from "../../utils/signal.js";
import { TurnShare } from "../../utils/turnShare.js";
import { problemOf } from "../callers/problem.js";
import { createBoundedMessage } from "./boundedMessage.js";
import { CallerConnection, WaitingRequests } from "./callerConnection.js";
import { CallerWriter } from "./callerWriter.js";
import type { ForwardingWire } from "./forwardingWire.js";
import { LingeringCloser } from "./lingeringClose.js";
import { UnparsedRequests } from "./unparsedRequests.js";

/** Node rejects larger headers while reading them; the configured limit is lower. */
const maximumHeaderBytes = 128 * 1024;
/** How often Node checks for callers that exceed the header timeout. */
const headerTimeoutCheckInterval: Milliseconds = 1_000;
/** Timeouts until a configuration is in force. */
const defaultHeaderTimeout: Milliseconds = 5_000;
const defaultIdleTimeout: Milliseconds = 15_000;
/** Idle connections stay open this much longer than the configured timeout, for requests in flight when it expires. */
const keepAliveMargin: Milliseconds = 1_000;
const requestLineOverheadBytes = 16;
/** What a body without an announced length is expected to take, in bytes, until it has arrived. */
const unannouncedBodyBytes = 512 * 1024;
/** Work that a request behind another one causes when it arrives, in bytes (see {@link TurnShare}). */
const waitingRequestCost = 4 * 1024;
/** Memory that the objects of a request take, without its head and body. */
const exchangeBytes = 8 * 1024;
/** Memory that the head of a request takes, as a multiple of its bytes: its texts, their copies, and the lists of them. */
const headCostFactor = 3;
/** Targets that Node sends; it also receives others, and an endpoint that they can't be sent to would look unreachable. */
const targetPattern = /^[\x21-\xff]+$/;

/** Dependencies of {@link CallerPort}. */
export interface CallerPortDependencies {
    wire: ForwardingWire;
    clock: Clock;
    log: PartLog;
    serve: (exchange: CallerExchange) => Promise<void>;
    /** The route table in force, with its limits; undefined until a configuration is known. */
    routes: () => RouteTable | undefined;
    memoryGuard: MemoryGuard;
    /** Whether streams are read on while their callers don't read them, within the bound on buffered bytes; false by default. */
    queuesUnreadResponses?: () => boolean;
    /** Memory that the process may use; 0, the default, where it is unknown. */
    memoryBytes?: number;
    /** Connections that may be open at the same time; not bounded by default. */
    maximumConnections?: number;
    /** Whether this entry is stopping, so that callers should close their connections. */
    isStopping: () => boolean;
}

/** Accepts the connections of callers. */
export class CallerPort {
    private readonly server: http.Server;
    private readonly connectionBySocket = new Map<Socket, CallerConnection>();
    private readonly closer: LingeringCloser;
    private readonly unparsedRequests: UnparsedRequests;
    private readonly share = new TurnShare();
    private readonly table: ConnectionTable;
    private readonly waitingRequests = new WaitingRequests();

    constructor(private readonly dependencies: CallerPortDependencies) {
        const { clock, memoryBytes } = dependencies;
        this.table = new ConnectionTable(dependencies.maximumConnections ?? Infinity);
        this.closer = new LingeringCloser({ clock, memoryBytes, share: this.share });
        this.unparsedRequests = new UnparsedRequests(dependencies.log, socket => this.connectionBySocket.get(socket));
        this.server = http.createServer({
            maxHeaderSize: maximumHeaderBytes,
            connectionsCheckingInterval: headerTimeoutCheckInterval,
            headersTimeout: defaultHeaderTimeout,
            // The route bounds the total time of a request, not a fixed timeout here.
            requestTimeout: 0,
            keepAliveTimeout: defaultIdleTimeout,
            // Node's own rejection closes the connection beside later requests, which run.
            requireHostHeader: false,
            IncomingMessage: createBoundedMessage(socket => this.isRejected(socket)),
        }, (request, response) => this.handleRequest(request, response));
        this.server.on("clientError", (error, socket) => this.unparsedRequests.reject(error, socket as Socket));
        this.server.on("connect", (...[, stream]) => this.unparsedRequests.rejectTunnel(stream as Socket));
        this.server.on("connection", socket => {
            const connection = new CallerConnection(socket, this.closer, clock, this.waitingRequests);
            if (!this.table.add(connection)) {
                socket.destroy();
                return;
            }
            this.connectionBySocket.set(socket, connection);
            if (this.share.isSpent) {
                socket.pause();
                this.share.enqueueNew(() => socket.resume());
            }
            socket.once("close", () => {
                this.table.remove(connection);
                this.connectionBySocket.delete(socket);
            });
        });
    }

    /** Listens on `host:port` and resolves with the actual address. Rejects when the address is unavailable. */
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

    /** Applies the timeouts of a new configuration. */
    applyLimits(routes: RouteTable): void {
        const { headerTimeout, idleTimeout } = routes.configuration.limits;
        this.server.headersTimeout = headerTimeout;
        this.server.keepAliveTimeout = Math.max(0, idleTimeout) + keepAliveMargin;
    }

    /** Accepts no further connections; those that are open go on. */
    stopListening(): void {
        // The function of Node's HTTP server also closes idle connections, and those whose callers still read the response.
        net.Server.prototype.close.call(this.server);
    }

    /** Number of open connections. */
    get connectionCount(): number {
        return this.connectionBySocket.size;
    }

    /**
     * Closes connections without a request in progress. Node's own function also closes those whose callers still read the
     * response.
     */
    closeIdleConnections(): void {
        for (const connection of this.connectionBySocket.values()) {
            connection.closeIfIdle();
        }
    }

    /** Logs the requests whose callers haven't read the whole response. */
    logUnread(): void {
        for (const { requestInProgress, unwrittenBytes } of this.connectionBySocket.values()) {
            const requestId = requestInProgress && this.dependencies.wire.readRequest(requestInProgress.rawHeaders).id;
            if (requestId !== undefined) {
                this.dependencies.log.warn("A response that its caller still reads is cut by the end of the stop.", {
                    requestId,
                    unwrittenBytes,
                });
            }
        }
    }

    /** Stops listening and closes all connections, including those with requests in progress. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            // Node's own function leaves out the connections of CONNECT requests.
            for (const [socket, connection] of this.connectionBySocket) {
                connection.resetIfUnframed();
                socket.destroy();
            }
        });
    }

    private handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
        const connection = this.connectionBySocket.get(request.socket);
        if (!connection?.recordRequest(request, response)) {
            this.dependencies.log.info("A request came after the last answer of its connection.", {
                requestId: this.dependencies.wire.readRequest(request.rawHeaders).id,
            });
            return;
        }
        this.table.recordUse(connection);
        if (connection.hasWaitingRequests) {
            this.share.spend(waitingRequestCost);
        }
        const fail = (error: unknown) => {
            const stack = error instanceof Error ? error.stack : undefined;
            this.dependencies.log.error("A request's handling has thrown.", { error: describeError(error), stack });
            endWithInternalError(response);
        };
        try {
            const exchange = this.openExchange(request, response, connection);
            if (exchange) {
                connection.startInTurn(() => void this.serve(exchange).catch(fail));
            }
        }
        catch (error) {
            fail(error);
        }
    }

    /** Whether a request that comes now on `socket` ends its connection. */
    private isRejected(socket: Socket): boolean {
        const isFull = this.connectionBySocket.get(socket)?.isFull ?? false;
        if (isFull) {
            this.dependencies.log.warn("A connection is closed, because too many requests wait on it.");
        }
        return isFull;
    }

    private async serve(exchange: HttpExchange): Promise<void> {
        await this.dependencies.serve(exchange);
        exchange.releaseBody();
    }

    /** Creates the exchange of a request, or rejects the request at once when its head is invalid. */
    private openExchange(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        connection: CallerConnection,
    ): HttpExchange | undefined {
        const { wire, clock } = this.dependencies;
        const { id, ...facts } = wire.readRequest(request.rawHeaders);
        const head = { ...facts, method: request.method ?? "", target: request.url ?? "", arrivedAt: clock.now() };
        const exchange = new HttpExchange(
            this.dependencies,
            { ...head, id: id ?? "" },
            request,
            response,
            connection,
            this.share,
        );
        const limit = this.dependencies.routes()?.configuration.limits.headerBytes ?? maximumHeaderBytes;
        if (headerBytes(request.rawHeaders) + head.target.length + requestLineOverheadBytes > limit) {
            const detail = `the request line and headers exceed ${limit} bytes`;
            exchange.reject(new RequestFailure(FailureKind.HeadersTooLarge, Execution.NotRun, detail));
            return undefined;
        }
        if (!targetPattern.test(head.target) || !haveValidNames(request.rawHeaders)) {
            const detail = "the target or the name of a header is invalid";
            exchange.reject(new RequestFailure(FailureKind.BadRequest, Execution.NotRun, detail));
            return undefined;
        }
        if (request.headers.host === undefined && request.httpVersionMinor > 0) {
            exchange.reject(new RequestFailure(FailureKind.BadRequest, Execution.NotRun, "expected a Host header"));
            return undefined;
        }
        if (id === undefined) {
            const detail = "expected exactly one request identifier header";
            exchange.reject(new RequestFailure(FailureKind.BadRequest, Execution.NotRun, detail));
            return undefined;
        }
        return exchange;
    }
}

/** One request and its response. */
class HttpExchange implements CallerExchange {
    readonly memory: RequestMemory | undefined;
    private readonly disconnectController = new AbortController();
    /** Sends the response where buffered bytes are bounded. */
    private readonly writer: CallerWriter | undefined;
    private bodyBytes = 0;

    constructor(
        private readonly dependencies: CallerPortDependencies,
        readonly head: RequestHead,
        private readonly request: http.IncomingMessage,
        private readonly response: http.ServerResponse,
        private readonly connection: CallerConnection,
        private readonly share: TurnShare,
    ) {
        this.memory = dependencies.memoryGuard.open(head.id);
        this.memory?.change(HeldKind.Head, exchangeBytes + headCostFactor * headerBytes(request.rawHeaders));
        this.writer = this.memory && dependencies.queuesUnreadResponses?.()
            ? new CallerWriter(response, this.memory)
            : undefined;
        this.memory?.ended.addEventListener("abort", () => this.endUnread(), { once: true });
        response.once("close", () => {
            this.memory?.close();
            if (!response.writableFinished) {
                abortQuietly(this.disconnectController);
            }
        });
        request.once("error", () => abortQuietly(this.disconnectController));
        response.on("error", error => {
            this.dependencies.log.info("A caller's connection failed.", {
                requestId: head.id,
                error: describeError(error),
            });
            abortQuietly(this.disconnectController);
        });
    }

    get disconnected(): AbortSignal {
        return this.disconnectController.signal;
    }

    async readBody(limitBytes: number): Promise<Buffer> {
        if (Number(this.request.headers["content-length"] ?? 0) > limitBytes) {
            throw toBodyFailure(new BodyTooLargeError(limitBytes));
        }
        this.countBody(limitBytes);
        try {
            const time = { limit: this.bodyTimeout(), clock: this.dependencies.clock };
            const { share, memory } = this;
            const body = await collectBody(this.request, { bytes: limitBytes, time, signal: memory?.ended, share });
            this.recordArrived(body.length);
            return body;
        }
        catch (error) {
            throw toBodyFailure(error);
        }
    }

    respond(head: ResponseHead, body: Buffer): void {
        this.writeHead(head);
        if (this.writer && this.head.method !== "HEAD") {
            this.writer.write(body);
            this.endStream();
            return;
        }
        if (this.head.method === "HEAD") {
            this.response.end();
            return;
        }
        this.response.end(body);
        if (this.response.writableLength > 0) {
            // Counted until the response closes.
            this.memory?.change(HeldKind.Unwritten, body.length);
        }
    }

    beginStream(head: ResponseHead): void {
        this.writeHead(head);
    }

    write(bytes: Buffer): Promise<void> {
        if (this.writer) {
            this.writer.write(bytes);
            return Promise.resolve();
        }
        return new Promise((resolve, reject) => {
            const onDisconnect = () => reject(new CallerDisconnectedError());
            // Node emits no "drain" any more once a CONNECT request has come on the connection.
            const acceptsMore = this.response.write(bytes, () => {
                this.disconnected.removeEventListener("abort", onDisconnect);
                resolve();
            });
            if (acceptsMore) {
                resolve();
                return;
            }
            this.disconnected.addEventListener("abort", onDisconnect, { once: true });
        });
    }

    endStream(): void {
        this.afterQueued(() => this.response.end());
    }

    abortStream(): void {
        this.afterQueued(() => this.request.httpVersionMinor === 0 ? this.reset() : this.response.destroy());
    }

    /** Stops counting the body, which no attempt needs any more. */
    releaseBody(): void {
        this.memory?.change(HeldKind.Body, -this.bodyBytes);
        this.bodyBytes = 0;
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
            headers.push(this.dependencies.wire.requestIdHeader, this.head.id);
        }
        if (failure.retryAfterSeconds !== undefined) {
            headers.push("Retry-After", String(failure.retryAfterSeconds));
        }
        this.writeHead({ status: problemOf(failure, this.head.id).status, headers });
        this.response.end(text);
    }

    /** Rejects a request whose head is invalid. */
    reject(failure: RequestFailure): void {
        this.dependencies.log.warn("A request was rejected.", { requestId: this.head.id, reason: failure.message });
        this.fail(failure);
    }

    /** Counts the announced length of the body at once, so that bodies that arrive slowly can't exceed the bound together. */
    private countBody(limitBytes: number): void {
        const { memory } = this;
        if (!memory) {
            return;
        }
        const announcedBytes = Number(this.request.headers["content-length"] ?? 0);
        memory.admit(announcedBytes);
        const isUnannounced = this.request.headers["transfer-encoding"] !== undefined;
        this.bodyBytes = isUnannounced ? Math.min(unannouncedBodyBytes, limitBytes) : announcedBytes;
        memory.change(HeldKind.Body, this.bodyBytes);
        let receivedBytes = 0;
        this.request.on("data", (bytes: Buffer) => {
            memory.recordArriving();
            receivedBytes += bytes.length;
            const excessBytes = Math.max(0, receivedBytes - this.bodyBytes);
            this.bodyBytes += excessBytes;
            memory.change(HeldKind.Body, excessBytes);
        });
    }

    /** Counts what the body takes from now on, once all of it has arrived. */
    private recordArrived(bytes: number): void {
        this.memory?.change(HeldKind.Body, bytes - this.bodyBytes);
        this.bodyBytes = bytes;
        this.memory?.recordArrived();
    }

    private afterQueued(action: () => void): void {
        if (this.writer) {
            this.writer.finish(action);
            return;
        }
        action();
    }

    /** Ends the response because of the bound. A request without a response gets a failure when its task ends. */
    private endUnread(): void {
        if (this.response.headersSent) {
            this.reset();
        }
    }

    /**
     * Closes the connection with a reset. After an ordinary close, a body that ends with its connection, as those of HTTP/1.0
     * do, would look complete, and the operating system would keep the unread bytes.
     */
    private reset(): void {
        this.response.socket?.resetAndDestroy();
        this.response.destroy();
    }

    private writeHead({ status, headers }: ResponseHead): void {
        const all = [...headers];
        // Reusing the connection would require reading the rest of the body first.
        const mustClose = !this.request.complete || this.dependencies.isStopping();
        if (mustClose && this.connection.announceClose(this.response)) {
            all.push("Connection", "close");
        }
        this.response.writeHead(status, all);
    }

    private bodyTimeout(): Milliseconds {
        return this.dependencies.routes()?.configuration.limits.idleTimeout ?? defaultIdleTimeout;
    }
}

/** The caller closed its connection while its response was being sent. */
class CallerDisconnectedError extends DandelionrampError {
    constructor() {
        super("the caller has left");
    }
}

/** Converts an error in reading a body to a failure. No part of the request was forwarded, so it has not run. */
const toBodyFailure = (error: unknown): RequestFailure => {
    if (error instanceof BodyTooLargeError) {
        return new RequestFailure(FailureKind.BodyTooLarge, Execution.NotRun, error.message);
    }
    if (error instanceof BodyStoppedError) {
        return createMemoryFailure();
    }
    const kind = error instanceof BodyTooSlowError ? FailureKind.RequestTooSlow : FailureKind.BadRequest;
    return new RequestFailure(kind, Execution.NotRun, describeError(error));
};
