/** Sends orders to endpoints over HTTP, and says plainly what became of each. */
import http from "node:http";
import {
    type AttemptOutcome,
    type EndpointAttempt,
    type EndpointPort,
    RefusalReason,
    type ResponseHead,
    StreamBrokenError,
} from "../../ports/forwardingPorts.js";
import { splitAddress } from "../../utils/address.js";
import { collectBody } from "../../utils/bodies.js";
import type { Clock } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import { EndpointAgent } from "./endpointAgent.js";
import { EventStream } from "./eventStream.js";
import type { AnswerFacts, ForwardingWire } from "./wireNames.js";

const misdirected = 421;
/** An answer that is kept whole in memory; a larger one is no plain answer. */
const answerBytesAtMost = 16 * 1024 * 1024;
/** Statuses that promise "not run"; they may be passed on only with the endpoint's own word for it. */
const promisingStatuses = new Set([408, 429, 503]);

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** The endpoints of a deployment. */
export class EndpointClient implements EndpointPort {
    private readonly agent = new EndpointAgent();

    constructor(private readonly wire: ForwardingWire, private readonly clock: Clock) {}

    send(order: EndpointAttempt, signal: AbortSignal): Promise<AttemptOutcome> {
        return new Promise(resolve => new Exchange(this.wire, this.clock, order, signal, resolve).start(this.agent));
    }
}

/** One order on one connection. */
class Exchange {
    private settled = false;
    /** Forgets the signal: a cancel after the end would hit the connection's next request. */
    private release: () => void = () => {};
    private connected = false;
    /** The head of an answer came; what follows is judged with its body. */
    private answered = false;
    private lost: string | undefined;
    private nobodyListens = false;

    constructor(
        private readonly wire: ForwardingWire,
        private readonly clock: Clock,
        private readonly order: EndpointAttempt,
        private readonly signal: AbortSignal,
        private readonly resolve: (outcome: AttemptOutcome) => void,
    ) {}

    start(agent: http.Agent): void {
        if (this.signal.aborted) {
            this.settle({ type: "Unreached", reason: "cancelled", connectionRefused: false });
            return;
        }
        const request = this.open(agent);
        const end = () => request.destroy(new Error("cancelled"));
        this.signal.addEventListener("abort", end, { once: true });
        this.release = () => this.signal.removeEventListener("abort", end);
        const stopTimer = this.clock.after(this.order.connectWithin, () => {
            // An entry that was held up itself may find the timer due before it looks at a connection that is there.
            setImmediate(() => {
                if (!this.connected) {
                    request.destroy(new Error("no connection in time"));
                }
            });
        });
        const onConnected = () => {
            this.connected = true;
            stopTimer();
        };
        request.on("socket", socket => {
            if (socket.connecting) {
                socket.once("connect", onConnected);
                return;
            }
            onConnected();
        });
        request.on("response", response => {
            this.answered = true;
            void this.receive(request, response);
        });
        request.on("error", (error: NodeJS.ErrnoException) => {
            this.lost = describeError(error);
            this.nobodyListens = error.code === "ECONNREFUSED";
            this.settleUnanswered();
        });
        request.on("close", () => {
            stopTimer();
            this.release();
            this.settleUnanswered();
        });
        request.end(this.order.request.body);
    }

    private open(agent: http.Agent): http.ClientRequest {
        const { request, endpoint, mayReuseConnection } = this.order;
        return http.request({
            ...splitAddress(endpoint.address),
            method: request.method,
            path: request.target,
            headers: this.wire.orderHeaders(this.order),
            // A kept connection may be closing while the request is on its way, and then nobody knows whether it ran.
            agent: mayReuseConnection ? agent : false,
        });
    }

    private settleUnanswered(): void {
        if (!this.answered) {
            const reason = this.lost ?? "the connection closed";
            const { nobodyListens } = this;
            this.settle(
                this.connected
                    ? { type: "Broken", reason }
                    : { type: "Unreached", reason, connectionRefused: nobodyListens },
            );
        }
    }

    private settle(outcome: AttemptOutcome): void {
        if (!this.settled) {
            this.settled = true;
            this.resolve(outcome);
        }
    }

    private async receive(request: http.ClientRequest, response: http.IncomingMessage): Promise<void> {
        const status = response.statusCode ?? 0;
        const facts = this.wire.readAnswer(response.rawHeaders);
        response.on("error", error => {
            this.lost ??= describeError(error);
        });
        this.watchForReset(response);
        if (!this.answersThis(facts, request)) {
            request.destroy();
            this.settle({ type: "Broken", reason: `an answer to ${facts.requestId ?? "no request"} came` });
            return;
        }
        if (facts.notRun || status === misdirected) {
            response.resume();
            this.settle({
                type: "Refused",
                reason: status === misdirected ? RefusalReason.WrongEndpoint : RefusalReason.Busy,
                coldFor: facts.coldFor,
                limitPerSecond: facts.limitPerSecond,
                atFault: facts.atFault,
            });
            return;
        }
        if (isSuccess(status) && (!facts.signed || facts.encoded)) {
            request.destroy();
            this.settle({ type: "Broken", reason: "the answer isn't the endpoint's own" });
            return;
        }
        const { limitPerSecond } = facts;
        const head = { status, headers: facts.headers };
        if (this.order.streaming && isSuccess(status)) {
            const events = new EventStream(response, () => this.checkWhole(response), this.release);
            this.settle({ type: "Streaming", head, events, limitPerSecond });
            return;
        }
        await this.receiveWhole(request, response, head, limitPerSecond);
    }

    private async receiveWhole(
        request: http.ClientRequest,
        response: http.IncomingMessage,
        head: ResponseHead,
        limitPerSecond: number | undefined,
    ): Promise<void> {
        try {
            const body = await this.readWhole(response);
            this.release();
            if (promisingStatuses.has(head.status)) {
                this.settle({ type: "Broken", reason: `status ${head.status} without the word that nothing ran` });
                return;
            }
            this.settle({ type: "Answered", head, body, limitPerSecond });
        }
        catch (error) {
            request.destroy();
            this.settle({ type: "Broken", reason: describeError(error) });
        }
    }

    /**
     * A body without a length ends with its connection. A reset that arrives together with the last bytes reaches Node as
     * an ordinary end, and a body that lost its rest would look whole. After a reset the system knows no peer any more,
     * after an ordinary end it does; this is asked before Node closes the socket.
     */
    private watchForReset(response: http.IncomingMessage): void {
        const { headers, socket } = response;
        if (headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined) {
            return;
        }
        socket.prependOnceListener("end", () => {
            if (socket.remoteAddress === undefined) {
                this.lost ??= "the connection was reset";
            }
        });
    }

    /**
     * An answer belongs to this request when it bears its identifier. On a new connection nothing older can arrive, and a
     * refusal there may come without one.
     */
    private answersThis(facts: AnswerFacts, request: http.ClientRequest): boolean {
        return facts.requestId === this.order.request.id
            || (facts.requestId === undefined && facts.notRun && !request.reusedSocket);
    }

    private async readWhole(response: http.IncomingMessage): Promise<Buffer> {
        const body = await collectBody(response, { bytes: answerBytesAtMost });
        this.checkWhole(response);
        return body;
    }

    /** Node calls a body without a length complete after a reset too; the error tells the two apart. */
    private checkWhole(response: http.IncomingMessage): void {
        if (!response.complete || this.lost !== undefined) {
            throw new StreamBrokenError(`the answer was cut: ${this.lost ?? "its connection closed"}`);
        }
    }
}
