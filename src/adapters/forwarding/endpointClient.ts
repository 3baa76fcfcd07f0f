/** Sends attempts to endpoints over HTTP and classifies the outcome of each. */
import http from "node:http";
import net from "node:net";
import { HeldKind } from "../../core/memoryBounds/heldBytes.js";
import { ReceivedBodies } from "../../core/memoryBounds/receivedBodies.js";
import type { AttemptPath } from "../../core/reachability/attemptPath.js";
import {
    type AttemptOutcome,
    ConnectFailure,
    ConnectionCheck,
    connectionCheckOf,
    type EndpointAttempt,
    type EndpointPort,
    RefusalReason,
    type ReportListener,
    type ResponseHead,
    StreamBrokenError,
} from "../../ports/forwardingPorts.js";
import type { EndpointRecord } from "../../types/routing.js";
import { splitAddress } from "../../utils/address.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError, isConnectionRefused } from "../../utils/errors.js";
import { haveValidNames } from "../../utils/headers.js";
import { misdirectedRequestStatus } from "../../utils/httpStatus.js";
import { createUnlessInvalid } from "../../utils/invalidArguments.js";
import { cancelOnAbort } from "../../utils/requestCancellation.js";
import { limitHeadBytes } from "../../utils/responseHeadLimit.js";
import { SocketEnd, watchEnd } from "../../utils/socketEnd.js";
import { EndpointAgent } from "./endpointAgent.js";
import { EventStream } from "./eventStream.js";
import type { ForwardingWire, ResponseFacts } from "./forwardingWire.js";
import { connectByRelay, type RelayedSocket } from "./relayConnection.js";
import { announcesForbiddenBody, BodyFraming, framingOf, hasBody, receiveBody } from "./responseBody.js";
import { drainResponse } from "./responseDrain.js";

/** Statuses that guarantee callers that the request has not run; forwarded only if the endpoint gives that guarantee. */
const notRunStatuses = new Set([408, 429, 503]);

/** Statuses below are interim ones, which Node handles, or none at all: they can't be passed on. */
const lowestFinalStatus = 200;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** HTTP client for the endpoints of a deployment. */
export class EndpointClient implements EndpointPort {
    onConnected: (endpoint: EndpointRecord) => void = () => {};
    private readonly agent = new EndpointAgent();

    /** `bodies` bounds the bodies of all responses together. */
    constructor(
        private readonly wire: ForwardingWire,
        private readonly clock: Clock,
        private readonly bodies = new ReceivedBodies({ clock }),
    ) {}

    async send(attempt: EndpointAttempt, signal: AbortSignal, onReport: ReportListener): Promise<AttemptOutcome> {
        const { endpoint, relay, connectTimeout } = attempt;
        const { wire, clock, bodies } = this;
        const options: ExchangeOptions = { wire, clock, bodies, attempt, signal, onReport };
        if (relay === undefined) {
            return await EndpointExchange.run({
                ...options,
                agent: this.agent,
                onConnected: () => this.onConnected(endpoint),
            });
        }
        const connection = await connectByRelay(clock, relay, endpoint, connectTimeout);
        if (connection.type === "Failed") {
            return { ...connection, type: "Unreached" };
        }
        watchCarrier(connection, attempt.path);
        return await EndpointExchange.run({ ...options, carried: connection });
    }

    async checkConnection(
        endpoint: EndpointRecord,
        timeout: Milliseconds,
        relay?: string,
    ): Promise<ConnectionCheck> {
        if (relay === undefined) {
            return await this.checkOwnConnection(endpoint, timeout);
        }
        const connection = await connectByRelay(this.clock, relay, endpoint, timeout);
        if (connection.type === "Failed") {
            return connectionCheckOf(connection.failure);
        }
        connection.socket.destroy();
        return ConnectionCheck.Accepted;
    }

    isReplaced(endpoint: EndpointRecord, healthPath: string, timeout: Milliseconds): Promise<boolean> {
        const { wire } = this;
        return new Promise(resolve => {
            const request = createUnlessInvalid(() =>
                http.request({
                    ...splitAddress(endpoint.address),
                    method: "GET",
                    path: healthPath,
                    headers: ["Host", endpoint.address, ...wire.healthHeaders(endpoint)],
                    agent: false,
                })
            );
            if (request instanceof Error) {
                resolve(false);
                return;
            }
            limitHeadBytes(request);
            const finish = (isReplaced: boolean) => {
                stopTimer();
                request.destroy();
                resolve(isReplaced);
            };
            const stopTimer = this.clock.after(timeout, () => finish(false));
            request.once("response", ({ statusCode, rawHeaders }) => {
                const responding = wire.readHealthyEndpoint(rawHeaders) ?? endpoint.id;
                finish(statusCode === misdirectedRequestStatus || responding !== endpoint.id);
            });
            request.on("error", () => finish(false));
            request.end();
        });
    }

    private checkOwnConnection({ address }: EndpointRecord, timeout: Milliseconds): Promise<ConnectionCheck> {
        const { host, port } = splitAddress(address);
        return new Promise(resolve => {
            const socket = createUnlessInvalid(() => net.connect(port, host));
            if (socket instanceof Error) {
                resolve(ConnectionCheck.NoResponse);
                return;
            }
            const finish = (result: ConnectionCheck) => {
                stopTimer();
                socket.destroy();
                resolve(result);
            };
            const stopTimer = this.clock.after(timeout, () => finish(ConnectionCheck.NoResponse));
            socket.once("connect", () => finish(ConnectionCheck.Accepted));
            socket.once("error", (error: NodeJS.ErrnoException) => {
                finish(isConnectionRefused(error) ? ConnectionCheck.Refused : ConnectionCheck.NoResponse);
            });
        });
    }
}

/** Records in `path` when nothing tells any more that an end of the connection is the endpoint's. */
const watchCarrier = ({ socket, declaresEnd }: RelayedSocket, path: AttemptPath | undefined): void => {
    if (declaresEnd) {
        socket.onCut = () => path?.recordCut();
    }
    else {
        path?.recordCut();
    }
};

interface ExchangeOptions {
    wire: ForwardingWire;
    clock: Clock;
    bodies: ReceivedBodies;
    attempt: EndpointAttempt;
    signal: AbortSignal;
    onReport: ReportListener;
    /** Connects to the endpoint; undefined where `carried` is connected to it. */
    agent?: http.Agent;
    /** A connection that another entry carries. */
    carried?: RelayedSocket;
    /** Called when a new connection is established. */
    onConnected?: () => void;
}

/** One attempt on one connection. */
class EndpointExchange {
    private readonly wire: ForwardingWire;
    private readonly clock: Clock;
    private readonly attempt: EndpointAttempt;
    private readonly signal: AbortSignal;
    private isSettled = false;
    /** Stops listening to the signal: an abort after the end would hit the next request on the connection. */
    private removeAbortListener: () => void = () => {};
    private isConnected = false;
    /** Whether a response head has arrived; the outcome then depends on the response. */
    private hasResponse = false;
    private connectionError: string | undefined;
    private connectFailure = ConnectFailure.NoResponse;

    private constructor(
        private readonly options: ExchangeOptions,
        private readonly resolve: (outcome: AttemptOutcome) => void,
    ) {
        this.wire = options.wire;
        this.clock = options.clock;
        this.attempt = options.attempt;
        this.signal = options.signal;
    }

    /** Resolves with the outcome of the attempt. */
    static run(options: ExchangeOptions): Promise<AttemptOutcome> {
        return new Promise(resolve => new EndpointExchange(options, resolve).start());
    }

    private start(): void {
        if (this.signal.aborted) {
            this.options.carried?.socket.destroy();
            this.settle({ type: "Unreached", reason: "cancelled", failure: ConnectFailure.NoResponse });
            return;
        }
        const request = createUnlessInvalid(() => this.createRequest());
        if (request instanceof Error) {
            this.options.carried?.socket.destroy();
            this.settle({ type: "Unreached", reason: describeError(request), failure: ConnectFailure.NoResponse });
            return;
        }
        limitHeadBytes(request);
        this.removeAbortListener = cancelOnAbort(request, this.signal);
        const stopTimer = this.clock.after(this.attempt.connectTimeout, () => {
            // After a delay of this process itself, the timer may run before an established connection is noticed.
            setImmediate(() => {
                if (!this.isConnected) {
                    this.connectionError = "the connection timed out";
                    request.destroy(new Error(this.connectionError));
                    // Node reports the error of a request without a connection only once one is free.
                    this.settleWithoutResponse();
                }
            });
        });
        const onConnected = () => {
            this.isConnected = true;
            stopTimer();
        };
        request.on("socket", socket => {
            if (socket.connecting) {
                socket.once("connect", () => {
                    onConnected();
                    this.options.onConnected?.();
                });
                return;
            }
            onConnected();
        });
        request.on("response", response => {
            this.hasResponse = true;
            this.handleResponse(request, response).catch(error => {
                request.destroy();
                this.settle({ type: "Broken", reason: describeError(error) });
            });
        });
        request.on("error", (error: NodeJS.ErrnoException) => {
            this.connectionError = describeError(error);
            this.connectFailure = isConnectionRefused(error) ? ConnectFailure.Refused : ConnectFailure.NoResponse;
            this.settleWithoutResponse();
        });
        request.on("close", () => {
            stopTimer();
            this.removeAbortListener();
            this.settleWithoutResponse();
        });
        this.countUnsentBody(request);
        request.end(this.attempt.request.body);
    }

    /** Counts the body as unread until all of it is written, or until the connection has failed. */
    private countUnsentBody(request: http.ClientRequest): void {
        const { body, memory } = this.attempt.request;
        let unsentBytes = body.length;
        const recordSent = () => {
            memory?.change(HeldKind.Unsent, -unsentBytes);
            unsentBytes = 0;
        };
        memory?.change(HeldKind.Unsent, unsentBytes);
        request.once("finish", recordSent);
        request.once("close", recordSent);
    }

    private createRequest(): http.ClientRequest {
        const { request, endpoint, mayReuseConnection } = this.attempt;
        const { agent, carried } = this.options;
        // An idle connection may be closing while the request is in flight, and then it is unknown whether the request ran.
        const connection = carried
            ? { createConnection: () => carried.socket }
            : { agent: mayReuseConnection ? agent : false };
        return http.request({
            ...splitAddress(endpoint.address),
            method: request.method,
            path: request.target,
            headers: this.wire.attemptHeaders(this.attempt),
            ...connection,
        });
    }

    private settleWithoutResponse(): void {
        if (!this.hasResponse) {
            const reason = this.connectionError ?? "the connection closed before a response";
            this.settle(
                this.isConnected
                    ? { type: "Broken", reason }
                    : { type: "Unreached", reason, failure: this.connectFailure },
            );
        }
    }

    private settle(outcome: AttemptOutcome): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.resolve(outcome);
        }
    }

    private async handleResponse(request: http.ClientRequest, response: http.IncomingMessage): Promise<void> {
        const status = response.statusCode ?? 0;
        const facts = this.wire.readResponse(status, response.rawHeaders);
        response.on("error", error => {
            this.connectionError ??= describeError(error);
        });
        this.watchEndOfBody(response);
        if (!this.isResponseToAttempt(facts, request)) {
            request.destroy();
            this.settle({
                type: "Broken",
                reason: `expected a response to this request, but received one to ${facts.requestId ?? "no request"}`,
            });
            return;
        }
        if (status !== misdirectedRequestStatus && (!isSuccess(status) || facts.isSigned)) {
            this.options.onReport(facts.report);
        }
        if (facts.guaranteesNotRun || status === misdirectedRequestStatus) {
            drainResponse(response, this.clock);
            this.settle({
                type: "Refused",
                reason: status === misdirectedRequestStatus ? RefusalReason.WrongEndpoint : RefusalReason.Busy,
                atFault: facts.atFault,
            });
            return;
        }
        if (status < lowestFinalStatus || !haveValidNames(response.rawHeaders)) {
            request.destroy();
            this.settle({ type: "Broken", reason: "the head of the response is invalid" });
            return;
        }
        if (isSuccess(status) && (!facts.isSigned || facts.isEncoded)) {
            request.destroy();
            this.settle({
                type: "Broken",
                reason: "the response is not signed by the endpoint, or its encoding was changed",
            });
            return;
        }
        if (notRunStatuses.has(status)) {
            drainResponse(response, this.clock);
            this.settle({
                type: "Broken",
                reason: `status ${status} without the guarantee that the request has not run`,
            });
            return;
        }
        if (hasBody(response, this.attempt.request.method) && framingOf(response) === BodyFraming.Unknown) {
            request.destroy();
            this.settle({
                type: "Broken",
                reason: `unknown transfer coding ${response.headers["transfer-encoding"]}`,
            });
            return;
        }
        if (announcesForbiddenBody(response)) {
            request.destroy();
            this.settle({ type: "Broken", reason: `a response with status ${status} has a body` });
            return;
        }
        const head = { status, headers: facts.headers };
        if (this.attempt.isStreaming && isSuccess(status)) {
            const events = new EventStream(response, () => this.throwIfIncomplete(response), this.removeAbortListener);
            this.settle({ type: "Streaming", head, events });
            return;
        }
        await this.receiveBody(request, response, head);
    }

    private async receiveBody(
        request: http.ClientRequest,
        response: http.IncomingMessage,
        head: ResponseHead,
    ): Promise<void> {
        try {
            const { request: { method, memory }, endpoint } = this.attempt;
            const body = await receiveBody(response, {
                method,
                memory,
                openAccount: () => this.options.bodies.open(endpoint.id, error => response.destroy(error)),
            });
            this.throwIfIncomplete(response);
            this.removeAbortListener();
            this.settle({ type: "Answered", head, body });
        }
        catch (error) {
            request.destroy();
            this.settle({ type: "Broken", reason: describeError(error) });
        }
    }

    /**
     * Detects that a body without a length, which ends with its connection, was cut. Over a carried connection the end counts
     * only if the carrying entry declares it; an earlier version of an entry doesn't.
     */
    private watchEndOfBody(response: http.IncomingMessage): void {
        const { headers, socket } = response;
        const endsWithConnection = headers["content-length"] === undefined
            && framingOf(response) === BodyFraming.Plain
            && hasBody(response, this.attempt.request.method);
        if (!endsWithConnection) {
            return;
        }
        const { carried } = this.options;
        if (carried === undefined) {
            watchEnd(socket, end => {
                if (end === SocketEnd.Reset) {
                    this.connectionError ??= "the connection was reset";
                }
            });
        }
        else if (!carried.declaresEnd) {
            this.connectionError = "the entry that carried the response doesn't declare its end";
        }
    }

    /**
     * Whether the response belongs to this attempt, which its request identifier shows. A refusal on a new connection may lack
     * the identifier, since no earlier response can arrive there.
     */
    private isResponseToAttempt(facts: ResponseFacts, request: http.ClientRequest): boolean {
        return facts.requestId === this.attempt.request.id
            || (facts.requestId === undefined && facts.guaranteesNotRun && !request.reusedSocket);
    }

    /**
     * Throws when the response was cut. Node marks a body without a length as complete even after a reset; the recorded error
     * distinguishes the two.
     */
    private throwIfIncomplete(response: http.IncomingMessage): void {
        if (!response.complete || this.connectionError !== undefined) {
            throw new StreamBrokenError(`the response was cut: ${this.connectionError ?? "its connection closed"}`);
        }
    }
}
