/**
 * In-memory model of an engine that runs in passes. Each step of a pass decodes one token for every prefilled request and
 * prefills one chunk of the queued prompts. Prefill and decode share the steps, so a long prefill lengthens the inter-event
 * gaps of the requests that decode.
 */
import type { EngineProfile } from "../types/routing.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import { DandelionrampError } from "../utils/errors.js";
import { ChangeSignal } from "../utils/signal.js";

const pairsPerMillion = 1_000_000;
const tokensPerThousand = 1_000;
/** Requests that can wait for a slot; the engine refuses further requests. */
const maximumQueueLength = 32;
const maximumReservations = 64;

/** The engine cannot accept the request. */
export class EngineFullError extends DandelionrampError {}

/** The request was aborted because its caller left, a reservation expired or the engine died. */
export class RequestAbortedError extends DandelionrampError {}

/** A helper died before the request emitted an event. The error names the helper, so that the refusal can. */
export class HelperLostError extends EngineFullError {
    constructor(readonly helper: PassEngine) {
        super("a helper that prefills a part of the prompt has died");
    }
}

/** A request to the engine. */
export interface PassEngineRequest {
    id: string;
    promptTokens: number;
    /** Number of events of the complete response. */
    eventCount: number;
    /** Number of events that the caller has already received. */
    deliveredEventCount: number;
    /** 0 is the highest priority. */
    priority: number;
    /** Engines that prefill parts of the prompt, each with its reservation; the engine itself may be the first. */
    helpers: readonly { engine: PassEngine; ticket: string | undefined; }[];
}

interface PrefillPart {
    owner: ScheduledRequest;
    tokens: number;
    /** Attention pairs of the prompt that this part computes. */
    pairs: number;
}

interface ScheduledRequest extends PassEngineRequest {
    memoryTokens: number;
    /** Parts of the prompt that are not prefilled yet, on this engine and its helpers. */
    remainingPartCount: number;
    emittedEventCount: number;
    emit: (event: number) => void;
    fail: (error: Error) => void;
    complete: () => void;
    /** Resumes the engine that runs the request once a helper has prefilled the last part. */
    wakeEngine: () => void;
}

/** Reserved memory. */
export interface Reservation {
    id: string;
    tokens: number;
    state: "waiting" | "held" | "used";
    expiresAt: Milliseconds;
}

/** Model of one engine. */
export class PassEngine {
    readonly reservations = new Map<string, Reservation>();
    private waitingRequests: ScheduledRequest[] = [];
    private runningRequests: ScheduledRequest[] = [];
    private prefillQueue: PrefillPart[] = [];
    private isRunningPasses = false;
    private readonly wakeSignal = new ChangeSignal();

    /** Factor by which the duration of every pass is multiplied. */
    passTimeFactor = 1;
    private dead = false;

    constructor(
        readonly profile: EngineProfile,
        private readonly clock: Clock,
        /** How long a request that depends on a dead helper stalls before it fails. */
        private readonly stallTime: Milliseconds = 0,
    ) {}

    get activeCount(): number {
        return this.runningRequests.length;
    }

    get queuedCount(): number {
        return this.waitingRequests.length;
    }

    /** Whether the engine has crashed. */
    get isDead(): boolean {
        return this.dead;
    }

    /** Memory of running requests and granted reservations, in tokens. */
    get memoryUsedTokens(): number {
        this.expireReservations();
        let used = this.runningRequests.reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
        for (const { tokens, state } of this.reservations.values()) {
            used += state === "waiting" ? 0 : tokens;
        }
        return used;
    }

    /** Queues a request and resolves when its last event was emitted. Throws {@link EngineFullError}. */
    run(request: PassEngineRequest, emit: (event: number) => void, signal: AbortSignal): Promise<void> {
        const reservedTokens = request.helpers.reduce(
            (sum, { engine, ticket }) => sum + engine.reservedTokens(ticket),
            0,
        );
        const memoryTokens = Math.max(0, request.promptTokens - reservedTokens);
        if (
            this.dead || memoryTokens > this.profile.memoryTokens || this.waitingRequests.length >= maximumQueueLength
        ) {
            throw new EngineFullError("the engine is full");
        }
        return new Promise((resolve, reject) => {
            const scheduled: ScheduledRequest = {
                ...request,
                memoryTokens,
                remainingPartCount: 1,
                emittedEventCount: request.deliveredEventCount,
                emit,
                fail: reject,
                complete: resolve,
                wakeEngine: () => this.ensureRunning(),
            };
            signal.addEventListener("abort", () => this.abort(scheduled), { once: true });
            this.waitingRequests.push(scheduled);
            this.ensureRunning();
        });
    }

    /** Prefills a part of a prompt for another engine, ahead of all other parts. */
    private prefillPart(part: PrefillPart, ticket: string | undefined): void {
        this.consumeReservation(ticket);
        this.prefillQueue.unshift(part);
        this.ensureRunning();
    }

    /** Reserves memory or renews a reservation. Returns undefined if the memory is not free and the caller does not wait. */
    reserve(id: string, tokens: number, hold: Milliseconds, wait: boolean): Reservation | undefined {
        this.expireReservations();
        const expiresAt = this.clock.now() + hold;
        const existing = this.reservations.get(id);
        if (existing) {
            existing.expiresAt = expiresAt;
            return existing;
        }
        const free = this.profile.memoryTokens - this.memoryUsedTokens;
        if (this.reservations.size >= maximumReservations || (tokens > free && !wait)) {
            return undefined;
        }
        const reservation: Reservation = { id, tokens, state: tokens > free ? "waiting" : "held", expiresAt };
        this.reservations.set(id, reservation);
        return reservation;
    }

    release(id: string): void {
        this.reservations.delete(id);
        this.grantWaitingReservations();
        this.ensureRunning();
    }

    /** Crashes the engine: drops its reservations, fails its requests and, after `stallTime`, those that it was helping. */
    crash(): void {
        const owners = new Set(this.prefillQueue.map(({ owner }) => owner));
        const ownRequests = [...this.runningRequests, ...this.waitingRequests];
        this.dead = true;
        this.runningRequests = [];
        this.waitingRequests = [];
        this.prefillQueue = [];
        this.reservations.clear();
        for (const scheduled of ownRequests) {
            owners.delete(scheduled);
            this.discardParts(scheduled);
            scheduled.fail(new RequestAbortedError("the engine died"));
        }
        for (const owner of owners) {
            this.clock.after(this.stallTime, () => owner.fail(new HelperLostError(this)));
        }
    }

    /** Restarts a crashed engine without requests or reservations. */
    revive(): void {
        this.dead = false;
    }

    private consumeReservation(ticket: string | undefined): void {
        if (ticket === undefined) {
            return;
        }
        const reservation = this.reservations.get(ticket);
        if (reservation?.state !== "held") {
            throw new EngineFullError(`no granted reservation ${ticket}`);
        }
        reservation.state = "used";
    }

    /** Whether all reservations of a request still exist. */
    private hasAllReservations({ helpers }: ScheduledRequest): boolean {
        return helpers.every(({ engine, ticket }) => {
            engine.expireReservations();
            return ticket === undefined || engine.reservations.has(ticket);
        });
    }

    private reservedTokens(ticket: string | undefined): number {
        return ticket === undefined ? 0 : this.reservations.get(ticket)?.tokens ?? 0;
    }

    private abort(scheduled: ScheduledRequest): void {
        this.waitingRequests = this.waitingRequests.filter(other => other !== scheduled);
        this.runningRequests = this.runningRequests.filter(other => other !== scheduled);
        this.discardParts(scheduled);
        this.grantWaitingReservations();
        scheduled.fail(new RequestAbortedError("the request was cancelled or its reservation expired"));
    }

    /** Removes the remaining parts of a request from the prefill queues of this engine and its helpers. */
    private discardParts(scheduled: ScheduledRequest): void {
        for (const engine of [this, ...scheduled.helpers.map(helper => helper.engine)]) {
            engine.prefillQueue = engine.prefillQueue.filter(({ owner }) => owner !== scheduled);
        }
    }

    private ensureRunning(): void {
        this.wakeSignal.notify();
        if (!this.isRunningPasses) {
            this.isRunningPasses = true;
            void this.runPasses();
        }
    }

    private async runPasses(): Promise<void> {
        while (this.admitWaitingRequests() || this.hasWork) {
            await this.runPass();
        }
        this.isRunningPasses = false;
    }

    /** Whether the engine can prefill or decode now. A request that waits for its helpers to prefill is no work for it. */
    private get hasWork(): boolean {
        return this.prefillQueue.length > 0
            || this.runningRequests.some(({ remainingPartCount }) => remainingPartCount === 0);
    }

    /** Admits waiting requests in order of priority while slots and memory are free. Returns whether any was admitted. */
    private admitWaitingRequests(): boolean {
        this.waitingRequests.sort((left, right) => left.priority - right.priority);
        const waitsForMemory = [...this.reservations.values()].some(({ state }) => state === "waiting");
        let admitted = false;
        while (this.waitingRequests.length > 0 && this.runningRequests.length < this.profile.slots && !waitsForMemory) {
            const next = this.waitingRequests[0]!;
            if (this.memoryUsedTokens + next.memoryTokens > this.profile.memoryTokens) {
                break;
            }
            this.waitingRequests.shift();
            this.runningRequests.push(next);
            this.startPrefill(next);
            admitted = true;
        }
        return admitted;
    }

    private startPrefill(scheduled: ScheduledRequest): void {
        const helpers = scheduled.helpers.filter(({ engine }) => engine !== this);
        const deadHelper = helpers.find(({ engine }) => engine.isDead);
        if (deadHelper) {
            this.clock.after(this.stallTime, () => scheduled.fail(new HelperLostError(deadHelper.engine)));
            return;
        }
        const engineCount = helpers.length + 1;
        const tokens = scheduled.promptTokens / engineCount;
        const pairs = scheduled.promptTokens * scheduled.promptTokens / 2 / engineCount;
        scheduled.remainingPartCount = engineCount;
        this.prefillQueue.push({ owner: scheduled, tokens, pairs });
        this.consumeReservation(scheduled.helpers.find(({ engine }) => engine === this)?.ticket);
        for (const { engine, ticket } of helpers) {
            engine.prefillPart({ owner: scheduled, tokens, pairs }, ticket);
        }
    }

    private async runPass(): Promise<void> {
        const decoding = this.runningRequests.filter(({ remainingPartCount }) => remainingPartCount === 0);
        const { stepsPerPass, stepTime, stepTimePerRequest, stepTimePerThousandTokens } = this.profile;
        const steps = decoding.length > 0 ? stepsPerPass : 1;
        const contextTokens = decoding.reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
        const stepDuration = stepTime + decoding.length * stepTimePerRequest
            + contextTokens / tokensPerThousand * stepTimePerThousandTokens;
        let duration = 0;
        const finished: PrefillPart[] = [];
        // Each step prefills one chunk. While no request decodes, a pass has one step, so it ends after the last chunk.
        for (let index = 0; index < steps; index++) {
            duration += stepDuration + this.prefillChunk(finished);
        }
        await this.clock.sleep(duration * this.passTimeFactor);
        if (this.dead) {
            return;
        }
        for (const { owner } of finished) {
            owner.remainingPartCount--;
            owner.wakeEngine();
        }
        // A request whose prefill ended within this pass decodes its first tokens in the remaining steps.
        for (const request of this.runningRequests.filter(({ remainingPartCount }) => remainingPartCount === 0)) {
            this.emitNextEvent(request);
        }
    }

    /** Prefills up to one chunk from the queue and returns the duration. */
    private prefillChunk(finished: PrefillPart[]): Milliseconds {
        let remainingTokens = this.profile.chunkTokens;
        let duration = 0;
        while (remainingTokens > 0 && this.prefillQueue.length > 0) {
            const part = this.prefillQueue[0]!;
            const tokens = Math.min(remainingTokens, part.tokens);
            const pairs = part.tokens === 0 ? 0 : part.pairs * tokens / part.tokens;
            duration += tokens / this.profile.readTokensPerSecond * 1_000
                + pairs / pairsPerMillion * this.profile.readTimePerMillionPairs;
            part.tokens -= tokens;
            part.pairs -= pairs;
            remainingTokens -= tokens;
            if (part.tokens <= 0) {
                finished.push(part);
                this.prefillQueue.shift();
            }
        }
        return duration;
    }

    private emitNextEvent(request: ScheduledRequest): void {
        if (!this.runningRequests.includes(request)) {
            return;
        }
        if (!this.hasAllReservations(request)) {
            this.abort(request);
            return;
        }
        request.emittedEventCount++;
        request.emit(request.emittedEventCount);
        if (request.emittedEventCount >= request.eventCount) {
            this.runningRequests = this.runningRequests.filter(other => other !== request);
            this.grantWaitingReservations();
            request.complete();
        }
    }

    private expireReservations(): void {
        const now = this.clock.now();
        for (const [id, { expiresAt }] of this.reservations) {
            if (now >= expiresAt) {
                this.reservations.delete(id);
            }
        }
    }

    /** Grants freed memory to waiting reservations in their order. */
    private grantWaitingReservations(): void {
        for (const reservation of this.reservations.values()) {
            const free = this.profile.memoryTokens - this.memoryUsedTokens;
            if (reservation.state === "waiting" && reservation.tokens <= free) {
                reservation.state = "held";
            }
        }
    }
}
