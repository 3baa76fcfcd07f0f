/** One request: chosen endpoints one after the other, until one answers or the request can't be sent again. */
import type {
    AnswerHead,
    CallerExchange,
    EndpointOutcome,
    ForwardedRequest,
    Refusal,
    StreamEvent,
} from "../../ports/forwardingPorts.js";
import { RefusalReason, StreamBrokenError } from "../../ports/forwardingPorts.js";
import { RequestKind } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import { Execution, FailureKind, RequestFailure } from "../failures.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import { type Placement, valueOf } from "../placement/placer.js";
import type { Admission } from "./admission.js";
import type { ForwardingParts } from "./forwarder.js";

/**
 * Endpoints that can't be reached are passed over this often; each costs the wait for a connection. They got nothing, so
 * they don't count as attempts.
 */
const unreachedAtMost = 4;
/** When to come back after an endpoint was too busy: the time of a few short requests. */
const busyRetrySeconds = 0.25;
/** When to come back while a service has no endpoint that may get work: about a heartbeat of the endpoints. */
const noEndpointRetrySeconds = 1;
/** When to come back to another entry: at once, but not in step with all others. */
const stoppingRetrySeconds = 0.1;
/** Callers wait for an event for the longest of: a time, so many targets of the first event, so many of pauses. */
const patienceAtLeast: Milliseconds = 2_000;
const patienceTargets = 4;
const patienceGaps = 8;
/** Predictions of a whole answer are passed by this much in nine of ten; pauses grow with reads beside it. */
const stopCaution = 2;
/** An order needs at least this much time to be worth sending. */
const leastTimeToSend: Milliseconds = 20;
const firstFailureStatus = 500;
/** The highest number of an endpoint's ranks. */
const lastRank = 9;

interface KeptAnswer {
    head: AnswerHead;
    body: Buffer;
}

/** The work of forwarding one request. */
export class RequestTask {
    private readonly broken = new Set<string>();
    private readonly refused = new Set<string>();
    private readonly ending = new AbortController();
    private sends = 0;
    private unreached = 0;
    private mayHaveRun = false;
    private begun = false;
    private lastEvent: string | undefined;
    /** An endpoint's own failure, to be passed on when no other send does better. */
    private kept: KeptAnswer | undefined;

    constructor(
        private readonly parts: ForwardingParts,
        private readonly exchange: CallerExchange,
        private readonly request: ForwardedRequest,
        private readonly admission: Admission,
    ) {
        this.lastEvent = request.resumeAfter;
    }

    /** Runs the request to its end. Throws {@link RequestFailure} when there is no answer to pass on. */
    async run(): Promise<void> {
        const leave = () => this.ending.abort();
        this.exchange.left.addEventListener("abort", leave, { once: true });
        const expiry = setTimeout(leave, Math.max(0, this.timeLeft));
        try {
            await this.sendUntilAnswered();
        }
        catch (error) {
            this.finishWithout(error);
        }
        finally {
            clearTimeout(expiry);
            this.ending.abort();
        }
    }

    private get timeLeft(): Milliseconds {
        return this.admission.deadline - this.parts.clock.now();
    }

    private async sendUntilAnswered(): Promise<void> {
        for (;;) {
            this.checkTime();
            const placement = this.choose();
            const outcome = await this.send(placement);
            this.checkTime();
            if (await this.settle(placement.endpoint, outcome)) {
                return;
            }
        }
    }

    /** Acts on an outcome and tells whether the request is done. */
    private async settle(endpoint: KnownEndpoint, outcome: EndpointOutcome): Promise<boolean> {
        const { failures } = this.parts;
        const { id } = endpoint.record;
        switch (outcome.type) {
            case "Unreached":
                failures.lost(id);
                this.refused.add(id);
                this.sends--;
                this.note("An endpoint can't be reached.", endpoint, { reason: outcome.reason });
                this.passOver("no endpoint could be reached");
                return false;
            case "Refused":
                this.noteRefusal(endpoint, outcome);
                this.refused.add(id);
                if (outcome.reason === RefusalReason.WrongEndpoint) {
                    // The address belongs to another endpoint now, so the chosen one was never reached.
                    this.sends--;
                    this.passOver("no listed endpoint was at its address");
                    return false;
                }
                this.sendAgainOrFail(FailureKind.Overloaded, `the endpoint refused: ${outcome.reason}`);
                return false;
            case "Broken":
                failures.lost(id);
                this.broken.add(id);
                this.mayHaveRun = true;
                this.note("An endpoint broke off.", endpoint, { reason: outcome.reason });
                this.sendAgainOrFail(FailureKind.OutcomeUnknown, `the endpoint broke off: ${outcome.reason}`);
                return false;
            case "Answered":
                return this.passAnswer(endpoint, outcome);
            case "Streaming":
                return this.passStream(endpoint, outcome.head, outcome.events);
        }
    }

    /**
     * Notes whose fault a refusal is. An endpoint whose helper is gone refuses in its place; without a look at whom it names,
     * the dead helper would be chosen for the next long prompts too, and each would be refused.
     */
    private noteRefusal(endpoint: KnownEndpoint, outcome: Refusal): void {
        const { directory, failures } = this.parts;
        const { id } = endpoint.record;
        const atFault = outcome.atFault === undefined ? undefined : directory.find(outcome.atFault)?.record.id;
        if (outcome.coldFor !== undefined) {
            directory.noteCold(id, outcome.coldFor);
        }
        if (atFault !== undefined && atFault !== id) {
            failures.lost(atFault);
        }
        else if (outcome.reason === RefusalReason.WrongEndpoint) {
            failures.lost(id);
        }
        else {
            failures.failed(id);
        }
        this.note("An endpoint refused.", endpoint, { reason: outcome.reason, atFault: outcome.atFault });
    }

    private passAnswer(endpoint: KnownEndpoint, { head, body }: KeptAnswer): boolean {
        const failed = head.status >= firstFailureStatus;
        if (failed) {
            this.parts.failures.failed(endpoint.record.id);
            this.broken.add(endpoint.record.id);
            this.mayHaveRun = true;
            this.note("An endpoint failed.", endpoint, { status: head.status });
            this.kept = { head, body };
            if (this.maySendAgain() && this.parts.repeats.take(this.admission.service.name)) {
                return false;
            }
        }
        else {
            this.parts.failures.succeeded(endpoint.record.id);
        }
        if (this.begun) {
            throw new StreamBrokenError(`the endpoint answered ${head.status} where the stream goes on`);
        }
        this.exchange.answer(head, body);
        this.note("Answered.", endpoint, { status: head.status });
        return true;
    }

    private async passStream(
        endpoint: KnownEndpoint,
        head: AnswerHead,
        events: AsyncIterable<StreamEvent>,
    ): Promise<boolean> {
        this.mayHaveRun = true;
        try {
            await this.passEvents(endpoint, head, events);
        }
        catch (error) {
            this.checkTime();
            this.parts.failures.lost(endpoint.record.id);
            this.broken.add(endpoint.record.id);
            this.note("A stream broke off.", endpoint, { lastEvent: this.lastEvent, reason: describeError(error) });
            if (this.begun && this.lastEvent === undefined) {
                throw error;
            }
            this.sendAgainOrFail(FailureKind.OutcomeUnknown, `the stream broke off: ${describeError(error)}`);
            return false;
        }
        this.parts.failures.succeeded(endpoint.record.id);
        this.exchange.end();
        this.note("Streamed.", endpoint, { status: head.status, lastEvent: this.lastEvent });
        return true;
    }

    private async passEvents(
        endpoint: KnownEndpoint,
        head: AnswerHead,
        events: AsyncIterable<StreamEvent>,
    ): Promise<void> {
        let writing = false;
        for await (const event of events) {
            if (!writing) {
                writing = true;
                this.parts.loads.writes(endpoint.record.id, this.request.id);
            }
            this.checkOrder(event);
            if (!this.begun) {
                this.begun = true;
                this.exchange.begin(head);
            }
            this.lastEvent = event.id ?? this.lastEvent;
            await this.exchange.write(event.bytes);
        }
        if (!this.begun) {
            this.begun = true;
            this.exchange.begin(head);
        }
    }

    /**
     * Events come in the order of their identifiers. A late answer to an earlier run, or one that a faulty endpoint
     * repeats, would reach the caller as events twice or out of order.
     */
    private checkOrder({ id }: StreamEvent): void {
        if (id !== undefined && this.lastEvent !== undefined && Number(id) <= Number(this.lastEvent)) {
            throw new StreamBrokenError(`event ${id} came after event ${this.lastEvent}`);
        }
    }

    private choose(): Placement {
        const { directory, placer, cold, clock, dataCentre } = this.parts;
        const { service, route } = this.admission;
        const candidates = directory.usable(service.name).filter(({ record, coldUntil }) =>
            clock.now() >= coldUntil || cold.allows(record.id, service.coldRequestsPerSecond)
        );
        const placement = placer.place(
            {
                service,
                promptTokens: this.request.size?.promptTokens ?? 0,
                answerTokens: this.request.size?.answerTokensAtMost ?? 0,
                targetLatency: route.targetLatency,
                targetGap: route.targetGap,
                targetLeft: route.targetLatency - (clock.now() - this.request.arrivedAt),
                dataCentre,
                broken: this.broken,
                refused: this.refused,
            },
            candidates,
        );
        if (!placement) {
            const detail = `no endpoint of ${service.name} may get work`;
            throw this.failure(FailureKind.NoEndpoint, detail, noEndpointRetrySeconds);
        }
        this.checkStop(placement);
        this.checkPatience(placement);
        return placement;
    }

    /**
     * A stopping entry may still get requests, when all entries of its data centre stop and the balancer knows no other.
     * One that can't end before this entry does would be cut in the middle; refused at once, its caller finds another entry.
     */
    private checkStop({ whole }: Placement): void {
        const endsAt = this.parts.endsAt();
        if (endsAt !== undefined && this.sends === 0 && this.parts.clock.now() + stopCaution * whole > endsAt) {
            const detail = "this entry stops before the answer could be whole";
            throw this.failure(FailureKind.Stopping, detail, stoppingRetrySeconds);
        }
    }

    /**
     * Callers give a stream up when its first event takes too long. Under a load beyond the endpoints' strength, work that
     * would be given up before it begins only holds up others; refused at once, its caller knows when to come back.
     */
    private checkPatience({ firstEvent }: Placement): void {
        const { route } = this.admission;
        if (route.kind !== RequestKind.Streaming || this.sends > 0 || this.begun) {
            return;
        }
        const patience = Math.max(
            patienceAtLeast,
            patienceTargets * route.targetLatency,
            patienceGaps * (route.targetGap ?? 0),
        );
        const waited = this.parts.clock.now() - this.request.arrivedAt;
        if (waited + firstEvent > Math.min(patience, this.timeLeft)) {
            const detail = `the first event would take ${Math.round(firstEvent)} ms`;
            const comeBack = Math.max(busyRetrySeconds, (firstEvent - route.targetLatency) / 1_000);
            throw this.failure(FailureKind.Overloaded, detail, Math.round(comeBack * 100) / 100);
        }
    }

    private async send(placement: Placement): Promise<EndpointOutcome> {
        const { loads, cold, endpoints } = this.parts;
        const { route, customer } = this.admission;
        const { endpoint, helpers } = placement;
        const used = [endpoint, ...helpers].map(({ record }) => record.id);
        loads.place(this.works(placement));
        cold.note(endpoint.record.id);
        this.note("Sent.", endpoint, {
            route: route.name,
            version: this.admission.version,
            promptTokens: this.request.size?.promptTokens,
            helpers: helpers.length,
            predicted: Math.round(placement.firstEvent),
            timeLeft: Math.round(this.timeLeft),
        });
        this.sends++;
        const outcome = await endpoints.send(
            {
                request: this.request,
                endpoint: endpoint.record,
                timeLeft: this.timeLeft,
                customer: customer?.name,
                priority: placement.yields ? lastRank : Math.min(lastRank - 1, customer?.priority ?? route.priority),
                resumeAfter: this.lastEvent,
                helpers: helpers.map(({ record }) => record.address),
                streaming: route.kind === RequestKind.Streaming,
                mayReuseConnection: this.admission.repeatable,
            },
            this.ending.signal,
        );
        if (outcome.type === "Streaming") {
            return { ...outcome, events: this.endingAt(used, outcome.events) };
        }
        loads.end(used, this.request.id);
        return outcome;
    }

    /** Passes events through, and notes the work's end however the stream ends. */
    private async *endingAt(used: readonly string[], events: AsyncIterable<StreamEvent>): AsyncIterable<StreamEvent> {
        try {
            yield* events;
        }
        finally {
            this.parts.loads.end(used, this.request.id);
        }
    }

    private works({ endpoint, helpers, readTime, yields }: Placement) {
        const { route } = this.admission;
        const promptTokens = this.request.size?.promptTokens ?? 0;
        const work = {
            id: this.request.id,
            owner: this.parts.entry,
            endpoint: endpoint.record.id,
            contextTokens: promptTokens,
            readTime,
            targetGap: route.targetGap,
            value: valueOf(promptTokens),
            yielding: yields,
            helping: false,
            endsBy: this.admission.deadline,
        };
        return [work, ...helpers.map(({ record }) => ({ ...work, endpoint: record.id, helping: true }))];
    }

    private passOver(detail: string): void {
        this.unreached++;
        if (this.unreached > unreachedAtMost) {
            throw this.failure(FailureKind.NoEndpoint, detail, noEndpointRetrySeconds);
        }
    }

    private maySendAgain(): boolean {
        return this.sends < this.admission.route.attempts
            && (this.admission.repeatable || !this.mayHaveRun)
            && this.timeLeft > leastTimeToSend;
    }

    private sendAgainOrFail(kind: FailureKind, detail: string): void {
        if (this.maySendAgain() && this.parts.repeats.take(this.admission.service.name)) {
            return;
        }
        throw this.failure(kind, detail, busyRetrySeconds);
    }

    /** A failure that promises "not run" only when that is certain. */
    private failure(kind: FailureKind, detail: string, retryAfterSeconds: number): RequestFailure {
        return this.mayHaveRun
            ? new RequestFailure(FailureKind.OutcomeUnknown, Execution.Unknown, detail)
            : new RequestFailure(kind, Execution.NotRun, detail, retryAfterSeconds);
    }

    private checkTime(): void {
        if (this.ending.signal.aborted || this.timeLeft <= 0) {
            const execution = this.sends === 0 ? Execution.NotRun : Execution.Unknown;
            const detail = this.exchange.left.aborted ? "the caller has left" : "the time for this request is over";
            throw new RequestFailure(FailureKind.DeadlineExceeded, execution, detail);
        }
    }

    /** Ends a request for which no answer came: the last failure of an endpoint, a broken stream, or our own failure. */
    private finishWithout(error: unknown): void {
        if (this.begun) {
            this.note("A stream was cut.", undefined, { lastEvent: this.lastEvent, reason: describeError(error) });
            this.exchange.cut();
            return;
        }
        if (this.kept && !this.exchange.left.aborted) {
            this.exchange.answer(this.kept.head, this.kept.body);
            this.note("Answered with an endpoint's failure.", undefined, { status: this.kept.head.status });
            return;
        }
        throw error;
    }

    private note(message: string, endpoint: KnownEndpoint | undefined, fields: Record<string, unknown>): void {
        this.parts.log.info(message, {
            requestId: this.request.id,
            endpoint: endpoint?.record.id,
            send: this.sends,
            elapsed: Math.round(this.parts.clock.now() - this.request.arrivedAt),
            ...fields,
        });
    }
}
