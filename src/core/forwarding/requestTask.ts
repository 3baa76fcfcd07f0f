/** Runs one request: sends it to one endpoint after another until one responds or no further attempt is allowed. */
import {
    type AttemptOutcome,
    type CallerExchange,
    type ForwardedRequest,
    type ResponseHead,
    type StreamEvent,
    StreamStalledError,
} from "../../ports/forwardingPorts.js";
import type { Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import { FailureKind } from "../failures.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import type { Placement } from "../placement/endpointSelector.js";
import { standstillProbeTimeout } from "../reachability/standstillProbes.js";
import type { Admission } from "./admission.js";
import { Attempt } from "./attempt.js";
import { AttemptFailures, firstFailureStatus, hasUsedRetry, type RetryTerms } from "./attemptFailures.js";
import { EndpointSearch } from "./endpointSearch.js";
import type { ForwardingDependencies } from "./forwardingDependencies.js";
import { Hedge, type ServingOutcome } from "./hedge.js";
import { callerPatience, noEndpointRetrySeconds } from "./overload.js";
import { QuarantineGate } from "./quarantineGate.js";
import { RequestProgress } from "./requestProgress.js";
import { type DispatchOutcome, Sender, type Silence, type StallDecision } from "./sender.js";

/**
 * Fraction of the caller's patience after which a stalled endpoint is abandoned. It is long enough for predictions that are too
 * low by a few times, and leaves another endpoint enough time to respond before the caller gives up.
 */
const stallPatienceFraction = 0.5;
/** In all but a few cases an event arrives within this multiple of its prediction, so a longer wait indicates a fault. */
const stallPredictionFactor = 3;
/**
 * A sound endpoint may stand still for a second or so. While its instance accepts connections, no other one is tried before this
 * duration or this fraction of the caller's patience.
 */
const maximumStandstill: Milliseconds = 1_500;
const standstillPatienceFraction = 0.75;
/** An endpoint that is waited for is looked at again after this fraction of the stall timeout. */
const stallRecheckFraction = 0.2;
/** An endpoint with estimated prefill work for longer than this, a few engine passes, is expected to send nothing. */
const maximumBusyDuration: Milliseconds = 200;

/** Why an attempt whose endpoint sends nothing is not abandoned. */
enum ReasonToWait {
    /** The request has no attempt left, or may not run again. */
    NotRepeatable = "notRepeatable",
    Prefilling = "prefilling",
    /** Its process may stand still and go on. */
    Standstill = "standstill",
    NoAlternative = "noAlternative",
    NoRetryBudget = "noRetryBudget",
    /** The request, or a part of its prompt, is suspected to crash endpoints. */
    Suspect = "suspect",
}

/** Why a request that an endpoint failed is not sent again. */
enum FinalAttemptReason {
    AttemptsUsedUp = "attemptsUsedUp",
    /** It may have run, and its route doesn't allow it to run twice. */
    MayHaveRun = "mayHaveRun",
    DeadlineNear = "deadlineNear",
    NoRetryBudget = "noRetryBudget",
}

/** An attempt with its outcome. */
interface AttemptResult {
    attempt: Attempt;
    outcome: DispatchOutcome;
}

/** Forwards one request. */
export class RequestTask {
    private readonly progress: RequestProgress;
    private readonly search: EndpointSearch;
    private readonly quarantineGate: QuarantineGate;
    private readonly failures: AttemptFailures;
    /** The attempt that serves the request now. */
    private running: Attempt | undefined;
    /** An attempt beside the running one, whose endpoint is silent. */
    private hedge: Hedge | undefined;
    /** Set after a failed attempt. */
    private retryTerms: RetryTerms | undefined;
    /** Whether a retry was taken from the budget that no attempt has used. */
    private hasReservedRetry = false;
    /** Logged once, as a silent endpoint is checked again and again. */
    private lastReasonToWait: ReasonToWait | undefined;

    constructor(
        private readonly dependencies: ForwardingDependencies,
        exchange: CallerExchange,
        request: ForwardedRequest,
        admission: Admission,
    ) {
        this.progress = new RequestProgress(dependencies, exchange, request, admission);
        this.quarantineGate = new QuarantineGate(this.progress);
        this.search = new EndpointSearch(this.progress, this.quarantineGate);
        this.failures = new AttemptFailures(this.progress, this.quarantineGate);
    }

    /** What the request waits for, for the log. */
    get waitsFor(): string {
        const endpoint = this.running?.endpoint.record.id;
        if (endpoint === undefined) {
            return "an endpoint";
        }
        return this.progress.relay.hasStarted ? `further events of ${endpoint}` : `the answer of ${endpoint}`;
    }

    /** Runs the request to its end. Throws {@link RequestFailure} when there is no response for the caller. */
    async run(): Promise<void> {
        const end = () => this.progress.end();
        this.progress.exchange.disconnected.addEventListener("abort", end, { once: true });
        this.progress.exchange.memory?.ended.addEventListener("abort", end, { once: true });
        const stopTimer = this.dependencies.clock.after(Math.max(0, this.progress.timeLeft), end);
        try {
            await this.sendUntilDone();
        }
        catch (error) {
            this.finishWithoutResponse(error);
        }
        finally {
            stopTimer();
            if (this.hedge) {
                this.failures.recordIfTimedOut(this.hedge.attempt, true);
            }
            this.quarantineGate.end();
            end();
        }
    }

    /** Ends the request because this entry has stopped. */
    endAtStop(): void {
        this.progress.endAtStop();
    }

    private async sendUntilDone(): Promise<void> {
        for (;;) {
            const { attempt, outcome } = await this.nextResult();
            this.failures.recordIfTimedOut(attempt, outcome.type === "Broken" || outcome.type === "Silent");
            this.progress.throwIfEnded();
            if (await this.handleOutcome(attempt, outcome)) {
                return;
            }
        }
    }

    /** Resolves with the outcome of the hedge, if there is one that serves the request, or else of a new attempt. */
    private async nextResult(): Promise<AttemptResult> {
        while (this.hedge) {
            const hedge = this.hedge;
            const { attempt } = hedge;
            this.hedge = undefined;
            this.running = attempt;
            const outcome = await hedge.outcome;
            this.failures.recordIfTimedOut(attempt, outcome === undefined);
            this.progress.throwIfEnded();
            if (outcome) {
                this.retryTerms = undefined;
                return { attempt, outcome };
            }
        }
        await this.prepareRetry();
        const attempt = new Attempt(this.dependencies.clock, await this.search.nextPlacement());
        this.running = attempt;
        return { attempt, outcome: await this.send(attempt, this.progress.ended) };
    }

    /** Handles the outcome of an attempt and resolves with whether the request is done. */
    private async handleOutcome(attempt: Attempt, outcome: DispatchOutcome): Promise<boolean> {
        switch (outcome.type) {
            case "Answered":
                return this.passResponse(attempt, outcome);
            case "Streaming":
                return await this.relayStream(attempt, outcome.head, outcome.events);
            case "NoMemory":
            case "Withdrawn":
            case "Unreached":
            case "Refused":
            case "Broken":
            case "Silent":
                this.retryTerms = this.failures.record(attempt, outcome);
                return false;
        }
    }

    /** Meets the terms for a further attempt. Throws a `RequestFailure` where it isn't allowed. */
    private async prepareRetry(): Promise<void> {
        const terms = this.retryTerms;
        this.retryTerms = undefined;
        switch (terms?.type) {
            case undefined:
            case "AtOnce":
                return;
            case "AfterDelay":
                await this.progress.waitBeforeMemoryRetry();
                return;
            case "Unreached":
                this.throwIfOutOfPatience(terms.detail);
                return;
            case "Misdirected":
                this.throwIfOutOfPatience(terms.detail);
                this.takeRetry(FailureKind.NoEndpoint, terms.detail);
                return;
            case "Counted":
                if (!this.progress.mayRetry()) {
                    this.logFinalAttempt(this.findFinalAttemptReason(), terms.detail);
                    throw this.progress.createFailure(terms.kind, terms.detail, this.search.retryDelaySeconds);
                }
                this.takeRetry(terms.kind, terms.detail);
                return;
        }
    }

    private passResponse(attempt: Attempt, response: Extract<AttemptOutcome, { type: "Answered"; }>): boolean {
        const { endpoint } = attempt;
        const { head, body } = response;
        if (!this.serves(response)) {
            this.retryTerms = this.failures.recordFailureResponse(endpoint, response);
            return false;
        }
        this.cancelHedge();
        this.dependencies.failureTracker.recordSucceeded(endpoint);
        this.quarantineGate.recordCompletion(attempt);
        this.progress.exchange.respond(head, body);
        this.dependencies.metrics.observe(
            "answer_milliseconds",
            this.dependencies.clock.now() - this.progress.request.arrivedAt,
        );
        this.progress.log("Answered.", endpoint, { status: head.status });
        return true;
    }

    private async relayStream(
        attempt: Attempt,
        head: ResponseHead,
        events: AsyncIterable<StreamEvent>,
    ): Promise<boolean> {
        const { endpoint } = attempt;
        this.progress.attempts.mayHaveRun = true;
        attempt.recordWriting();
        try {
            await this.progress.relay.relayEvents(head, events, {
                onFirst: () =>
                    this.dependencies.loadEstimator.recordWriting(endpoint.record.id, this.progress.request.id),
                onEvent: () => {
                    this.cancelHedge();
                    this.failures.recordResumed(attempt);
                    this.quarantineGate.recordEvent(attempt);
                },
            });
        }
        catch (error) {
            this.progress.throwIfEnded();
            this.failures.recordLost(attempt, error instanceof StreamStalledError);
            this.progress.log("A stream broke off.", endpoint, {
                lastEvent: this.progress.relay.lastEventId,
                reason: describeError(error),
                content: this.progress.fingerprint.value,
            });
            if (!this.progress.relay.canContinue) {
                throw error;
            }
            const detail = `the stream broke off before its end: ${describeError(error)}`;
            this.retryTerms = { type: "Counted", kind: FailureKind.OutcomeUnknown, detail };
            return false;
        }
        this.cancelHedge();
        this.dependencies.failureTracker.recordSucceeded(endpoint);
        this.quarantineGate.recordCompletion(attempt);
        this.progress.exchange.endStream();
        const { lastEventId, firstEventAfter, longestPause } = this.progress.relay;
        this.dependencies.metrics.observe("longest_pause_milliseconds", longestPause);
        this.progress.log("Streamed.", endpoint, {
            status: head.status,
            lastEvent: lastEventId,
            firstEventAfter,
            longestPause,
        });
        return true;
    }

    /** Sends an attempt; `silent` is the endpoint of the attempt that it runs beside. */
    private async send(attempt: Attempt, signal: AbortSignal, silent?: KnownEndpoint): Promise<DispatchOutcome> {
        const { placement, endpoint } = attempt;
        const { helpers, shares, firstEvent, slotWait, readWait, chosenBy } = placement;
        const { route } = this.progress.admission;
        this.progress.relay.predictedFirstEvent = this.dependencies.clock.now() - this.progress.request.arrivedAt
            + firstEvent;
        this.progress.attempts.recordStarted(endpoint.record.id);
        this.dependencies.metrics.count(
            this.progress.attempts.startedCount > 1 ? "repeats_total" : "first_sends_total",
        );
        this.progress.log("Sent.", endpoint, {
            route: route.name,
            version: this.progress.admission.configurationVersion,
            target: route.targetLatency,
            targetGap: route.targetGap,
            timeout: route.timeout,
            limitPerSecond: this.dependencies.endpointLimits.limitOf(endpoint.record.id),
            pauseLeft: Math.round(this.dependencies.eligibility.pauseLeft(endpoint)) || undefined,
            isLeaving: this.dependencies.eligibility.isLeaving(endpoint) || undefined,
            promptTokens: this.progress.request.size?.promptTokens,
            helpers: helpers.length > 0 ? helpers.map(({ record }) => record.id) : undefined,
            reservations: shares.length,
            chosenBy,
            predicted: Math.round(firstEvent),
            slotWait: Math.round(slotWait),
            readWait: Math.round(readWait),
            timeLeft: Math.round(this.progress.timeLeft),
            lastEvent: this.progress.relay.lastEventId,
            silentEndpoint: silent?.record.id,
        });
        return await Sender.send(this.dependencies, {
            placement,
            path: attempt.path,
            request: this.progress.request,
            admission: this.progress.admission,
            attemptNumber: this.progress.attempts.startedCount,
            lastEventId: this.progress.relay.lastEventId,
            signal,
            stallPolicy: {
                firstEventTimeout: () => this.firstEventTimeout(attempt),
                eventGapTimeout: this.stallTimeout - standstillProbeTimeout,
                onStall: silence => this.decideOnStall(attempt, silence),
            },
        });
    }

    private firstEventTimeout(attempt: Attempt): Milliseconds {
        // The head of a response alone ends no silence in which a hedge has started.
        return this.hedgeOf(attempt)
            ? 0
            : Math.max(this.stallTimeout, stallPredictionFactor * attempt.placement.firstEvent)
                - standstillProbeTimeout;
    }

    /** The hedge that runs beside `attempt`. */
    private hedgeOf(attempt: Attempt): Hedge | undefined {
        return attempt === this.running ? this.hedge : undefined;
    }

    private get stallTimeout(): Milliseconds {
        return stallPatienceFraction * callerPatience(this.progress.admission.route);
    }

    /** For how long an endpoint may send nothing while its instance accepts connections. */
    private get standstillTimeout(): Milliseconds {
        return Math.min(maximumStandstill, standstillPatienceFraction * callerPatience(this.progress.admission.route));
    }

    /** A stalled attempt is abandoned once another endpoint serves the request; a hedge, once a further attempt may start. */
    private async decideOnStall(attempt: Attempt, silence: Silence): Promise<StallDecision> {
        const { endpoint } = attempt;
        const wait: StallDecision = { type: "Wait", duration: this.stallTimeout * stallRecheckFraction };
        const current = this.hedgeOf(attempt);
        if (current) {
            return await this.decideByHedge(current, wait);
        }
        if (await this.mayStandStill(attempt, silence)) {
            this.logReasonToWait(endpoint, ReasonToWait.Standstill);
            return { type: "Wait", duration: Math.max(0, this.standstillTimeout - silence.duration) };
        }
        const reason = await this.findReasonToWait(endpoint);
        if (reason !== undefined) {
            this.logReasonToWait(endpoint, reason);
            return wait;
        }
        if (attempt !== this.running) {
            return { type: "Abandon" };
        }
        const placement = await this.search.findPlacementBeside(endpoint);
        if (placement === undefined) {
            this.logReasonToWait(endpoint, ReasonToWait.NoAlternative);
            return wait;
        }
        if (silence.isOver) {
            this.dependencies.placementClient.release(placement, this.progress.request.id);
            return wait;
        }
        return await this.decideByHedge(this.startHedge(attempt, placement), wait);
    }

    /** After a hedge that reached no endpoint, the next one is tried at once. */
    private async decideByHedge(hedge: Hedge, wait: StallDecision): Promise<StallDecision> {
        if (await this.isServedBy(hedge)) {
            return { type: "Abandon" };
        }
        return this.retryTerms?.type === "Unreached" ? { type: "Wait", duration: 0 } : wait;
    }

    /** Whether an endpoint that has just stalled is waited for a little longer, as it and its helpers accept connections. */
    private async mayStandStill(attempt: Attempt, silence: Silence): Promise<boolean> {
        const { standstillProbes } = this.dependencies;
        if (!this.canRunElsewhere || attempt.isKnownGone || silence.duration >= this.standstillTimeout) {
            return false;
        }
        const members = [attempt.endpoint, ...attempt.placement.helpers];
        const accepting = await Promise.all(members.map(({ record }) => standstillProbes.acceptsConnections(record)));
        attempt.isKnownGone = accepting.includes(false);
        return !attempt.isKnownGone;
    }

    private startHedge(silent: Attempt, placement: Placement): Hedge {
        this.hasReservedRetry = false;
        this.dependencies.metrics.count("hedges_total");
        this.failures.recordSilent(silent);
        const attempt = new Attempt(this.dependencies.clock, placement);
        const hedge = new Hedge(attempt, this.progress.ended, {
            send: signal => this.send(attempt, signal, silent.endpoint),
            serves: outcome => this.serves(outcome),
            checkOrder: event => this.progress.relay.checkOrder(event),
            recordFailure: outcome => {
                this.retryTerms = this.failures.record(attempt, outcome);
                // Where this attempt has become the running one, the terms alone say whether the next one takes a retry.
                this.hasReservedRetry ||= attempt !== this.running && !hasUsedRetry(this.retryTerms);
            },
        });
        this.hedge = hedge;
        return hedge;
    }

    private async isServedBy(hedge: Hedge): Promise<boolean> {
        const outcome = await hedge.outcome;
        if (outcome === undefined && this.hedge === hedge) {
            this.hedge = undefined;
        }
        return outcome !== undefined;
    }

    private serves(outcome: DispatchOutcome): outcome is ServingOutcome {
        return outcome.type === "Streaming"
            || (outcome.type === "Answered" && outcome.head.status < firstFailureStatus
                && !this.progress.relay.hasStarted);
    }

    /** Cancels the attempt beside the running one, which has sent something. */
    private cancelHedge(): void {
        if (this.hedge === undefined) {
            return;
        }
        this.progress.log("A second attempt is cancelled.", this.hedge.attempt.endpoint, {});
        this.dependencies.metrics.count("hedges_cancelled_total");
        this.progress.attempts.recordCancelled(this.hedge.attempt.endpoint.record.id);
        this.hedge.cancel();
        this.hedge = undefined;
    }

    private logReasonToWait(endpoint: KnownEndpoint, reason: ReasonToWait): void {
        if (reason !== this.lastReasonToWait) {
            this.lastReasonToWait = reason;
            const isListed = this.dependencies.directory.get(endpoint.record.id) === endpoint;
            this.progress.log("A silent endpoint is waited for.", endpoint, { reason, isListed });
        }
    }

    private get canRunElsewhere(): boolean {
        return this.progress.relay.canContinue && this.progress.mayRetry(this.progress.admission.isRetryable);
    }

    /**
     * Returns why no other endpoint is tried beside one that stalls; undefined if one is, with a retry reserved. Moving to an
     * endpoint that is equally busy would only lose the request's place in the queue.
     */
    private async findReasonToWait(endpoint: KnownEndpoint): Promise<ReasonToWait | undefined> {
        if (!this.canRunElsewhere) {
            return ReasonToWait.NotRepeatable;
        }
        if (!this.quarantineGate.mayRunTwice()) {
            return ReasonToWait.Suspect;
        }
        const { placement, busyFor } = await this.dependencies.placementClient.findAlternative(
            this.search.placementRequestBeside(endpoint),
            endpoint.record.id,
        );
        // An endpoint that prefills a long prompt sends nothing for a while, and no other endpoint would be faster.
        if (busyFor >= maximumBusyDuration) {
            return ReasonToWait.Prefilling;
        }
        if (placement === undefined || !this.search.respondsInTime(placement)) {
            return ReasonToWait.NoAlternative;
        }
        this.hasReservedRetry ||= this.dependencies.retryBudget.tryTake(this.progress.admission.service.name);
        return this.hasReservedRetry ? undefined : ReasonToWait.NoRetryBudget;
    }

    /**
     * Throws if the caller would give up before another endpoint could respond. A stream that has started goes on looking, since
     * it could only be cut.
     */
    private throwIfOutOfPatience(detail: string): void {
        if (!this.progress.relay.hasStarted && this.progress.patienceLeft <= 0) {
            throw this.progress.createFailure(FailureKind.NoEndpoint, detail, noEndpointRetrySeconds);
        }
    }

    /** Takes a retry from the budget, or the one that was reserved. Throws a `RequestFailure` if there is none. */
    private takeRetry(kind: FailureKind, detail: string): void {
        const hadReservedRetry = this.hasReservedRetry;
        this.hasReservedRetry = false;
        if (!hadReservedRetry && !this.dependencies.retryBudget.tryTake(this.progress.admission.service.name)) {
            this.logFinalAttempt(FinalAttemptReason.NoRetryBudget, detail);
            this.dependencies.metrics.count("repeats_refused_total");
            throw this.progress.createFailure(kind, detail, this.search.retryDelaySeconds);
        }
    }

    private findFinalAttemptReason(): FinalAttemptReason {
        const { attempts, admission } = this.progress;
        if (!attempts.areLeft(admission.route.attempts)) {
            return FinalAttemptReason.AttemptsUsedUp;
        }
        return this.progress.mayRunAgain ? FinalAttemptReason.DeadlineNear : FinalAttemptReason.MayHaveRun;
    }

    private logFinalAttempt(reason: FinalAttemptReason, detail: string): void {
        this.progress.log("No further attempt is made.", undefined, { reason, detail });
    }

    /**
     * Ends a request without a successful response: cuts a started stream, sends the failure response of an endpoint, or
     * rethrows `error`.
     */
    private finishWithoutResponse(error: unknown): void {
        if (this.progress.relay.hasStarted) {
            this.dependencies.metrics.count("streams_cut_total");
            this.progress.log("A stream was cut.", undefined, {
                lastEvent: this.progress.relay.lastEventId,
                reason: describeError(error),
            });
            this.progress.exchange.abortStream();
            return;
        }
        if (this.failures.response && !this.progress.exchange.disconnected.aborted) {
            this.progress.exchange.respond(this.failures.response.head, this.failures.response.body);
            this.progress.log("Answered with an endpoint's failure.", undefined, {
                status: this.failures.response.head.status,
            });
            return;
        }
        throw error;
    }
}
