/** One request: chosen endpoints one after the other, until one answers or the request can't be sent again. */
import type {
    CallerExchange,
    ForwardedRequest,
    Refusal,
    ResponseHead,
    StreamEvent,
} from "../../ports/forwardingPorts.js";
import { RefusalReason, StreamBrokenError, StreamSilentError } from "../../ports/forwardingPorts.js";
import type { Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import { FailureKind } from "../failures.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import type { Placement } from "../placement/endpointSelector.js";
import type { Admission } from "./admission.js";
import { EndpointSearch } from "./endpointSearch.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { busyRetrySeconds, noEndpointRetrySeconds, patienceOf } from "./overload.js";
import { RequestProgress } from "./requestProgress.js";
import { type DispatchOutcome, Sender } from "./sender.js";

/**
 * Part of a caller's patience after which a silent endpoint is left: late enough for predictions that are off by a few
 * times, early enough for another endpoint to answer before the caller gives up.
 */
const silentPart = 0.5;
/** Predictions are passed by less than this in all but a few cases, so a longer silence says that something is wrong. */
const silenceCaution = 3;
const firstFailureStatus = 500;
/** An endpoint that is busy for longer than a few passes has a reason to be silent. */
const quietAtMost: Milliseconds = 200;

interface KeptAnswer {
    head: ResponseHead;
    body: Buffer;
}

/** The work of forwarding one request. */
export class RequestTask {
    private readonly progress: RequestProgress;
    private readonly search: EndpointSearch;
    /** A repeat was taken from the budget when a silent endpoint was left. */
    private repeatTaken = false;
    /** An endpoint's own failure, to be passed on when no other send does better. */
    private kept: KeptAnswer | undefined;

    constructor(
        private readonly parts: ForwardingParts,
        exchange: CallerExchange,
        request: ForwardedRequest,
        admission: Admission,
    ) {
        this.progress = new RequestProgress(parts, exchange, request, admission);
        this.search = new EndpointSearch(this.progress);
    }

    /** Runs the request to its end. Throws {@link RequestFailure} when there is no answer to pass on. */
    async run(): Promise<void> {
        const leave = () => this.progress.end();
        this.progress.exchange.disconnected.addEventListener("abort", leave, { once: true });
        const stopTimer = this.parts.clock.after(Math.max(0, this.progress.timeLeft), leave);
        try {
            await this.sendUntilAnswered();
        }
        catch (error) {
            this.finishWithout(error);
        }
        finally {
            stopTimer();
            leave();
        }
    }

    private async sendUntilAnswered(): Promise<void> {
        for (;;) {
            const placement = await this.search.next();
            const outcome = await this.send(placement);
            this.progress.checkTime();
            if (await this.settle(placement.endpoint, outcome)) {
                return;
            }
        }
    }

    /** Acts on an outcome and tells whether the request is done. */
    private async settle(endpoint: KnownEndpoint, outcome: DispatchOutcome): Promise<boolean> {
        const { attempts } = this.progress;
        const { id } = endpoint.record;
        switch (outcome.type) {
            case "NoMemory":
                this.parts.metrics.count("memory_lacking_total");
                attempts.noteLacking(outcome.lacking);
                await this.progress.pauseForMemory();
                return false;
            case "Unreached":
                this.noteUnreached(endpoint, outcome.connectionRefused);
                attempts.withdraw();
                attempts.noteRefused(id);
                this.progress.note("An endpoint can't be reached.", endpoint, { reason: outcome.reason });
                this.passOver("no endpoint could be reached");
                return false;
            case "Refused":
                this.settleRefusal(endpoint, outcome);
                return false;
            case "Broken":
            case "Silent":
                this.noteLost(endpoint, outcome.type === "Silent");
                this.progress.note("An endpoint broke off.", endpoint, { reason: outcome.reason });
                this.sendAgainOrFail(FailureKind.OutcomeUnknown, `the endpoint broke off: ${outcome.reason}`);
                return false;
            case "Answered":
                return this.passAnswer(endpoint, outcome);
            case "Streaming":
                return this.passStream(endpoint, outcome.head, outcome.events);
        }
    }

    private noteLost(endpoint: KnownEndpoint, silent: boolean): void {
        const { failures, metrics } = this.parts;
        if (silent) {
            failures.recordSilent(endpoint);
        }
        else {
            failures.recordLost(endpoint);
        }
        this.progress.attempts.noteBroken(endpoint.record.id);
        metrics.count("endpoint_breaks_total");
    }

    private noteUnreached(endpoint: KnownEndpoint, nobodyListens: boolean): void {
        const { failures } = this.parts;
        if (nobodyListens) {
            failures.recordUnreachable(endpoint);
        }
        else {
            failures.recordLost(endpoint);
        }
    }

    /**
     * Acts on a refusal by whose fault it is. An endpoint whose helper is gone refuses in its place; without a look at whom it
     * names, the dead helper would be chosen again, and the attempts would be used up though no endpoint of the route was busy.
     */
    private settleRefusal(endpoint: KnownEndpoint, outcome: Refusal): void {
        const { directory, failures, metrics } = this.parts;
        const { attempts } = this.progress;
        const { id } = endpoint.record;
        const atFault = outcome.atFault === undefined ? undefined : directory.find(outcome.atFault);
        metrics.count("endpoint_refusals_total", `reason="${outcome.reason}"`);
        this.progress.note("An endpoint refused.", endpoint, { reason: outcome.reason, atFault: outcome.atFault });
        if (outcome.coldFor !== undefined) {
            directory.recordCold(id, outcome.coldFor);
        }
        if (atFault && atFault.record.id !== id) {
            failures.recordLost(atFault);
            attempts.withdraw();
            attempts.noteRefused(atFault.record.id);
            this.sendAgainOrFail(FailureKind.Overloaded, "an endpoint that was to help has gone");
            return;
        }
        attempts.noteRefused(id);
        if (outcome.reason === RefusalReason.WrongEndpoint) {
            // The address belongs to another endpoint now, so the chosen one was never reached.
            failures.recordLost(endpoint);
            attempts.withdraw();
            this.passOver("no listed endpoint was at its address");
            return;
        }
        failures.recordFailed(id);
        this.sendAgainOrFail(FailureKind.Overloaded, `the endpoint refused: ${outcome.reason}`);
    }

    private passAnswer(endpoint: KnownEndpoint, { head, body }: KeptAnswer): boolean {
        const failed = head.status >= firstFailureStatus;
        if (failed) {
            this.parts.failures.recordFailed(endpoint.record.id);
            this.progress.attempts.noteBroken(endpoint.record.id);
            this.progress.note("An endpoint failed.", endpoint, { status: head.status });
            this.kept = { head, body };
            if (
                this.progress.maySendAgain() && this.parts.repeats.tryTake(this.progress.admission.service.name)
            ) {
                return false;
            }
        }
        else {
            this.parts.failures.recordSucceeded(endpoint);
        }
        if (this.progress.relay.begun) {
            throw new StreamBrokenError(`the endpoint answered ${head.status} where the stream goes on`);
        }
        this.progress.exchange.respond(head, body);
        this.parts.metrics.observe(
            "answer_milliseconds",
            this.parts.clock.now() - this.progress.request.arrivedAt,
        );
        this.progress.note("Answered.", endpoint, { status: head.status });
        return true;
    }

    private async passStream(
        endpoint: KnownEndpoint,
        head: ResponseHead,
        events: AsyncIterable<StreamEvent>,
    ): Promise<boolean> {
        this.progress.attempts.mayHaveRun = true;
        try {
            await this.progress.relay.pass(
                head,
                events,
                () => this.parts.loads.recordWriting(endpoint.record.id, this.progress.request.id),
            );
        }
        catch (error) {
            this.progress.checkTime();
            this.noteLost(endpoint, error instanceof StreamSilentError);
            this.progress.note("A stream broke off.", endpoint, {
                lastEvent: this.progress.relay.lastEvent,
                reason: describeError(error),
            });
            if (!this.progress.relay.canContinue) {
                throw error;
            }
            this.sendAgainOrFail(FailureKind.OutcomeUnknown, `the stream broke off: ${describeError(error)}`);
            return false;
        }
        this.parts.failures.recordSucceeded(endpoint);
        this.progress.exchange.endStream();
        const { lastEvent, firstEventAfter, longestPause } = this.progress.relay;
        this.parts.metrics.observe("longest_pause_milliseconds", longestPause);
        this.progress.note("Streamed.", endpoint, { status: head.status, lastEvent, firstEventAfter, longestPause });
        return true;
    }

    private async send(placement: Placement): Promise<DispatchOutcome> {
        const { endpoint, helpers, shares, firstEvent, slotWait, readWait, chosenBy } = placement;
        const { route } = this.progress.admission;
        this.progress.relay.predicted = this.parts.clock.now() - this.progress.request.arrivedAt + firstEvent;
        this.progress.attempts.begin();
        this.parts.metrics.count(this.progress.attempts.tries > 1 ? "repeats_total" : "first_sends_total");
        this.progress.note("Sent.", endpoint, {
            route: route.name,
            version: this.progress.admission.version,
            target: route.targetLatency,
            targetGap: route.targetGap,
            limitPerSecond: this.parts.limits.limitOf(endpoint.record.id),
            promptTokens: this.progress.request.size?.promptTokens,
            helpers: helpers.length > 0 ? helpers.map(({ record }) => record.id) : undefined,
            reservations: shares.length,
            chosenBy,
            predicted: Math.round(firstEvent),
            slotWait: Math.round(slotWait),
            readWait: Math.round(readWait),
            timeLeft: Math.round(this.progress.timeLeft),
        });
        const patience = silentPart * patienceOf(route);
        return await Sender.send(this.parts, {
            placement,
            request: this.progress.request,
            admission: this.progress.admission,
            number: this.progress.attempts.tries,
            resumeAfter: this.progress.relay.lastEvent,
            signal: this.progress.ended,
            silence: {
                first: Math.max(patience, silenceCaution * firstEvent),
                later: patience,
                mayLeave: () => this.mayLeave(endpoint),
            },
        });
    }

    /**
     * Whether a silent endpoint is left: the request may run again, and another endpoint would answer before the caller gives
     * up. Left for one that is as busy, it would only lose its place.
     */
    private async mayLeave({ record }: KnownEndpoint): Promise<boolean> {
        if (!this.progress.relay.canContinue || !this.progress.maySendAgain(this.progress.admission.repeatable)) {
            return false;
        }
        const { placement, busyFor } = await this.parts.placing.findAlternative(
            this.search.placementRequest,
            record.id,
        );
        // An endpoint that reads a long prompt is silent for a while, and no other would be quicker.
        const worthLeaving = busyFor < quietAtMost && this.answersInTime(placement);
        this.repeatTaken = worthLeaving && this.parts.repeats.tryTake(this.progress.admission.service.name);
        return this.repeatTaken;
    }

    private answersInTime(placement: Placement | undefined): boolean {
        return placement !== undefined && !this.progress.attempts.broken.has(placement.endpoint.record.id)
            && placement.firstEvent < this.progress.patienceLeft;
    }

    /** Goes on to another endpoint, unless the caller will have given up before it could answer. */
    private passOver(detail: string): void {
        if (this.progress.patienceLeft <= 0) {
            throw this.progress.failure(FailureKind.NoEndpoint, detail, noEndpointRetrySeconds);
        }
    }

    private sendAgainOrFail(kind: FailureKind, detail: string): void {
        const taken = this.repeatTaken;
        this.repeatTaken = false;
        if (
            this.progress.maySendAgain()
            && (taken || this.parts.repeats.tryTake(this.progress.admission.service.name))
        ) {
            return;
        }
        throw this.progress.failure(kind, detail, busyRetrySeconds);
    }

    /** Ends a request for which no answer came: the last failure of an endpoint, a broken stream, or our own failure. */
    private finishWithout(error: unknown): void {
        if (this.progress.relay.begun) {
            this.parts.metrics.count("streams_cut_total");
            this.progress.note("A stream was cut.", undefined, {
                lastEvent: this.progress.relay.lastEvent,
                reason: describeError(error),
            });
            this.progress.exchange.abortStream();
            return;
        }
        if (this.kept && !this.progress.exchange.disconnected.aborted) {
            this.progress.exchange.respond(this.kept.head, this.kept.body);
            this.progress.note("Answered with an endpoint's failure.", undefined, { status: this.kept.head.status });
            return;
        }
        throw error;
    }
}
