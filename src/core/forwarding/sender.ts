/**
 * Sends one attempt of a request to its placement: records the placed work, reserves memory where needed, and detects endpoints
 * that stall.
 */
import type { AttemptOutcome, ForwardedRequest, ReportListener, StreamEvent } from "../../ports/forwardingPorts.js";
import { StreamStalledError } from "../../ports/forwardingPorts.js";
import type { EndpointRecord } from "../../types/routing.js";
import { RequestKind } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import { abortQuietly } from "../../utils/signal.js";
import type { Placement } from "../placement/endpointSelector.js";
import type { PlacedWork } from "../placement/engineEstimate.js";
import { endpointsOfPlacement, workOfPlacement } from "../placement/placementWork.js";
import type { AttemptPath } from "../reachability/attemptPath.js";
import type { Admission } from "./admission.js";
import type { ForwardingDependencies } from "./forwardingDependencies.js";
import { MemoryHold } from "./memoryHold.js";

/** The lowest priority that endpoints support. Requests that will be late at every priority get it. */
const lowestPriority = 9;
/**
 * Fraction of the latency target after which a connection attempt fails over to another endpoint, and its bounds. Connecting
 * takes a few milliseconds between data centres, an instance without power never responds, and an entry may be busy for a
 * moment.
 */
const connectTimeoutFraction = 1 / 3;
const minimumConnectTimeout: Milliseconds = 100;
const maximumConnectTimeout: Milliseconds = 400;
const connectTimeoutFor = (target: Milliseconds): Milliseconds =>
    Math.min(maximumConnectTimeout, Math.max(minimumConnectTimeout, target * connectTimeoutFraction));
/** Each reservation of a request has a unique identifier over all attempts. */
const reservationIdFor = (requestId: string, attemptNumber: number, index: number): string =>
    `${requestId}-${attemptNumber}-${index}`;

/** One attempt to send a request. */
export interface Dispatch {
    placement: Placement;
    path: AttemptPath;
    request: ForwardedRequest;
    admission: Admission;
    /** Number of this attempt, counting those that failed to reserve memory. */
    attemptNumber: number;
    lastEventId: string | undefined;
    /** Cancels the attempt at the endpoint. */
    signal: AbortSignal;
    stallPolicy: StallPolicy;
}

/** A time in which nothing arrives from an endpoint. */
export interface Silence {
    /** Its duration so far. */
    readonly duration: Milliseconds;
    /** Whether something has arrived, or the attempt has ended. */
    readonly isOver: boolean;
}

/** What becomes of an attempt whose endpoint sends nothing. */
export type StallDecision =
    | { type: "Abandon"; }
    /** The attempt goes on, and is looked at again after this duration. */
    | { type: "Wait"; duration: Milliseconds; };

/** When an attempt is abandoned because the endpoint sends nothing. */
export interface StallPolicy {
    /** Timeout for the first event, or for a response that is not streamed. Asked for at the send and after the head. */
    firstEventTimeout: () => Milliseconds;
    eventGapTimeout: Milliseconds;
    /** Called after a timeout, and again after each wait that it asks for. What arrives meanwhile is delivered. */
    onStall: (silence: Silence) => Promise<StallDecision>;
}

/** Outcome of an attempt. */
export type DispatchOutcome =
    | AttemptOutcome
    /** The endpoint stalled beyond the timeout, and another one serves the request. */
    | { type: "Silent"; reason: string; }
    /** These endpoints could not reserve memory; nothing was sent. */
    | { type: "NoMemory"; endpointsWithoutMemory: string[]; }
    /** The endpoint, or a helper, stopped accepting requests while memory was reserved; nothing was sent. */
    | { type: "Withdrawn"; };

/** What waiting for an endpoint led to. */
type WaitResult<Result> =
    | { type: "Arrived"; result: Result; }
    | { type: "Abandoned"; reason: string; };

/** How long a response that may be on its way from a lost endpoint is waited for at least. */
const minimumLossGracePeriod: Milliseconds = 100;
const stallReason = (timeout: Milliseconds): string => `nothing received for ${Math.round(timeout)} ms`;

/** Why nothing more can arrive from the endpoint. */
interface Loss {
    reason: string;
    /** Only a response of which nothing has arrived for this long is lost. */
    minimumSilence: Milliseconds;
}

/** Runs one attempt. */
export class Sender {
    private readonly abortController = new AbortController();
    private hold: MemoryHold | undefined;
    private isFinished = false;
    /** Why nothing more can arrive from the endpoint, once that is known. */
    private loss: Loss | undefined;
    /** Called when {@link loss} becomes known while a response or an event is waited for. */
    private onLost: () => void = () => {};
    private stopWatching: () => void = () => {};

    private constructor(private readonly dependencies: ForwardingDependencies, private readonly dispatch: Dispatch) {}

    /** Sends the request and resolves with the outcome. Records the end of the work, also when a stream ends later. */
    static async send(dependencies: ForwardingDependencies, dispatch: Dispatch): Promise<DispatchOutcome> {
        return await new Sender(dependencies, dispatch).run();
    }

    private async run(): Promise<DispatchOutcome> {
        const { loadEstimator, coldBudget, endpointLimits } = this.dependencies;
        const { placement, signal } = this.dispatch;
        if (!placement.recorded) {
            loadEstimator.recordPlaced(this.placedWork());
        }
        if (!coldBudget.recordSent(placement.endpoint.record.id, this.dispatch.request.id)) {
            this.dependencies.metrics.count("cold_grants_expired_total");
            this.finish();
            return { type: "Withdrawn" };
        }
        endpointLimits.recordSent(placement.endpoint.record.id);
        const endpointsWithoutMemory = await this.reserveMemory();
        if (endpointsWithoutMemory.length > 0) {
            this.finish();
            return { type: "NoMemory", endpointsWithoutMemory };
        }
        if (this.hold && !this.isStillEligible()) {
            this.finish();
            return { type: "Withdrawn" };
        }
        this.stopWatching = this.dependencies.endedProcesses.watch(
            placement.endpoint.record,
            (reason, minimumSilence) => this.recordLost(reason, minimumSilence),
        );
        const end = () => abortQuietly(this.abortController);
        signal.addEventListener("abort", end, { once: true });
        if (signal.aborted) {
            end();
        }
        const sentAt = this.dependencies.clock.now();
        const waited = await this.waitUnlessStalled(
            this.sendToEndpoint(),
            this.dispatch.stallPolicy.firstEventTimeout(),
            sentAt,
        );
        if (waited.type === "Abandoned") {
            this.finish();
            return { type: "Silent", reason: waited.reason };
        }
        const outcome = waited.result;
        if (outcome.type === "Streaming" && !signal.aborted) {
            // A request that ends before it reads the first event starts no iteration, so none would finish the attempt.
            signal.addEventListener("abort", () => this.finish(), { once: true });
            return { ...outcome, events: this.watchStream(outcome.events, sentAt) };
        }
        this.finish();
        return outcome;
    }

    /** Returns a listener for the report in the response to a request that is sent now. */
    private reportListener(endpoint: EndpointRecord): ReportListener {
        const { clock, endpointReports } = this.dependencies;
        const sentAt = clock.now();
        return report => endpointReports.record(endpoint, report, sentAt);
    }

    private isStillEligible(): boolean {
        const { endpoint, helpers } = this.dispatch.placement;
        return [endpoint, ...helpers].every(member => this.dependencies.eligibility.isStillEligible(member));
    }

    /** Reserves the memory of the placement. Resolves with the endpoints that lack it; empty when all of it is reserved. */
    private async reserveMemory(): Promise<string[]> {
        const { placement, request, attemptNumber } = this.dispatch;
        const [running, ...others] = placement.shares.map(({ endpoint, tokens }, index) => ({
            id: reservationIdFor(request.id, attemptNumber, index),
            endpoint: endpoint.record,
            tokens,
            onReport: this.reportListener(endpoint.record),
        }));
        if (running === undefined) {
            return [];
        }
        const acquired = await MemoryHold.acquire(this.dependencies, {
            requestId: request.id,
            reservations: [running, ...others],
            onLapsed: () => this.recordLost("its memory lapsed at the endpoint", 0),
        });
        if ("endpointsWithoutMemory" in acquired) {
            return acquired.endpointsWithoutMemory;
        }
        this.hold = acquired.hold;
        return [];
    }

    private sendToEndpoint(): Promise<AttemptOutcome> {
        const { placement, path, request, admission, lastEventId, attemptNumber } = this.dispatch;
        const { route, customer } = admission;
        const { clock, endpointPort } = this.dependencies;
        const reservationIdByEndpoint = new Map(
            placement.shares.map((
                { endpoint },
                index,
            ) => [endpoint.record.id, reservationIdFor(request.id, attemptNumber, index)]),
        );
        const ownMemory = reservationIdByEndpoint.has(placement.endpoint.record.id) ? [placement.endpoint] : [];
        // The endpoint fills memory in the order of this list, so endpoints with a reservation come first.
        const helpers = [...ownMemory, ...placement.helpers].map(({ record }) => ({
            address: record.address,
            reservationId: reservationIdByEndpoint.get(record.id),
        })).sort((left, right) => Number(right.reservationId !== undefined) - Number(left.reservationId !== undefined));
        return endpointPort.send(
            {
                request,
                endpoint: placement.endpoint.record,
                timeLeft: admission.deadline - clock.now(),
                customer: customer?.name,
                priority: placement.yields
                    ? lowestPriority
                    : Math.min(lowestPriority - 1, customer?.priority ?? route.priority),
                lastEventId,
                helpers,
                isStreaming: route.kind === RequestKind.Streaming,
                connectTimeout: connectTimeoutFor(route.targetLatency),
                mayReuseConnection: admission.isRetryable,
                path,
            },
            this.abortController.signal,
            this.reportListener(placement.endpoint.record),
        );
    }

    /** Records that nothing more can arrive from the endpoint. */
    private recordLost(reason: string, minimumSilence: Milliseconds): void {
        if (this.loss === undefined || minimumSilence < this.loss.minimumSilence) {
            this.loss = { reason, minimumSilence };
        }
        this.onLost();
    }

    /**
     * Waits for `work` until the endpoint is lost, or until nothing that serves the caller has arrived for `timeout` since
     * `silentSince` and the request may go elsewhere.
     *
     * An endpoint or a connection can stall while health checks succeed and new connections work. Without a bound the caller
     * would give up first. A stall alone ends no response: the work is cancelled once the stall policy says so.
     */
    private waitUnlessStalled<Result>(
        work: Promise<Result>,
        timeout: Milliseconds,
        silentSince: Milliseconds,
    ): Promise<WaitResult<Result>> {
        const { clock, endedProcesses } = this.dependencies;
        const { placement, admission } = this.dispatch;
        // An endpoint that still sends events isn't lost, whatever else says so.
        const lossGracePeriod = Math.max(minimumLossGracePeriod, admission.route.targetGap ?? 0);
        const startedAt = clock.now();
        return new Promise((resolve, reject) => {
            let isOver = false;
            let stopLossTimer = () => {};
            const end = () => {
                isOver = true;
                stopTimer();
                stopLossTimer();
                if (this.onLost === abandonAfterGracePeriod) {
                    this.onLost = () => {};
                }
            };
            const abandon = (reason: string) => {
                end();
                abortQuietly(this.abortController);
                resolve({ type: "Abandoned", reason });
            };
            const silence: Silence = {
                get duration() {
                    return clock.now() - silentSince;
                },
                get isOver() {
                    return isOver;
                },
            };
            const check = async () => {
                const decision = await this.dispatch.stallPolicy.onStall(silence);
                if (isOver) {
                    return;
                }
                switch (decision.type) {
                    case "Abandon":
                        abandon(stallReason(silence.duration));
                        return;
                    case "Wait":
                        void endedProcesses.verify(placement.endpoint.record);
                        stopTimer = clock.after(decision.duration, () => void check());
                        return;
                }
            };
            let stopTimer = clock.after(Math.max(0, silentSince + timeout - startedAt), () => void check());
            const abandonAfterGracePeriod = () => {
                const { reason, minimumSilence } = this.loss!;
                stopLossTimer();
                const gracePeriod = Math.max(lossGracePeriod, minimumSilence);
                const gracePeriodLeft = Math.max(0, startedAt + gracePeriod - clock.now());
                stopLossTimer = clock.after(gracePeriodLeft, () => abandon(reason));
            };
            this.onLost = abandonAfterGracePeriod;
            if (this.loss !== undefined) {
                abandonAfterGracePeriod();
            }
            work.then(result => {
                if (this.loss && this.loss.minimumSilence > 0) {
                    // The endpoint was only silent.
                    this.loss = undefined;
                }
                end();
                resolve({ type: "Arrived", result });
            }, (error: unknown) => {
                end();
                reject(error as Error);
            });
        });
    }

    /**
     * Yields the events of a stream, and finishes the attempt however the stream ends. The silence before the first event lasts
     * since the send: the head of a response brings the caller nothing.
     */
    private async *watchStream(
        events: AsyncIterable<StreamEvent>,
        sentAt: Milliseconds,
    ): AsyncIterable<StreamEvent> {
        const { clock } = this.dependencies;
        const iterator = events[Symbol.asyncIterator]();
        let silentSince = sentAt;
        let timeout = this.dispatch.stallPolicy.firstEventTimeout();
        try {
            for (;;) {
                const waited = await this.waitUnlessStalled(iterator.next(), timeout, silentSince);
                if (waited.type === "Abandoned") {
                    throw new StreamStalledError(waited.reason);
                }
                if (waited.result.done) {
                    return;
                }
                this.hold?.confirm();
                timeout = this.dispatch.stallPolicy.eventGapTimeout;
                yield waited.result.value;
                silentSince = clock.now();
            }
        }
        finally {
            // When the caller disconnects, iteration stops here; the abort ends the endpoint's side.
            abortQuietly(this.abortController);
            void iterator.return?.();
            this.finish();
        }
    }

    private finish(): void {
        if (this.isFinished) {
            return;
        }
        this.isFinished = true;
        const { placement, request } = this.dispatch;
        this.stopWatching();
        this.hold?.release();
        this.dependencies.loadEstimator.recordEnded(endpointsOfPlacement(placement), request.id);
    }

    private placedWork(): PlacedWork[] {
        const { placement, request, admission } = this.dispatch;
        const { route, service, customer } = admission;
        return workOfPlacement(placement, {
            id: request.id,
            owner: this.dependencies.entryId,
            promptTokens: request.size?.promptTokens ?? 0,
            targetGap: route.targetGap,
            rank: this.dependencies.schedulingPolicy.rankOf(route, service.name),
            customer: customer?.name,
            endsBy: admission.deadline,
        });
    }
}
