/**
 * In-memory model of an engine that batches continuously: each step decodes one token of every running stream and spends
 * the rest of its token budget on prefill. Models limited memory, cold start, reservations, fencing and delayed reports.
 */
import {
    ChangeSignal,
    Clock,
    EndpointReport,
    EndpointTemperature,
    EngineFrame,
    EngineHolding,
    EngineLostError,
    EngineRefusal,
    EngineRefusedError,
    EngineRequest,
    FinishReason,
    Milliseconds,
    Random,
    randomIdentifier,
    sharedAbortController,
} from "../internal.js";
import { hasCrashMarker, responseLength, responseSeed, responseToken } from "./expectedResponse.js";

/** Size and speed of an engine. */
export interface EngineShape {
    memoryTokens: number;
    stepMilliseconds: Milliseconds;
    /** Prompt and response tokens that one step processes. */
    tokensPerStep: number;
    /** Concurrent streams that a cold engine can run; one more crashes the engine. */
    coldConcurrency: number;
    /** Streams that a cold engine must finish to become warm. */
    warmAfter: number;
    /** Fraction of the token budget of a step that a cold engine has. */
    coldSpeed: number;
    /** Delay with which the report shows the state of the engine. */
    reportLagMilliseconds: Milliseconds;
    /**
     * Time after an unannounced fall into cold start in which excess streams are refused instead of crashing the engine,
     * because the callers can't know of the cold start yet.
     */
    coldNoticeMilliseconds: Milliseconds;
    restartMilliseconds: Milliseconds;
    startWarm: boolean;
    enforceFences: boolean;
}

/** Default parameters of an engine. */
export const defaultEngineShape: EngineShape = {
    memoryTokens: 400_000,
    stepMilliseconds: 10,
    tokensPerStep: 2_000,
    coldConcurrency: 2,
    warmAfter: 4,
    coldSpeed: 0.4,
    reportLagMilliseconds: 200,
    coldNoticeMilliseconds: 1_500,
    restartMilliseconds: 1_000,
    startWarm: false,
    enforceFences: true,
};

/** An order to the engine, with a fence number that rejects outdated orders. */
export interface EngineOrder {
    fence: number;
    /** The model to load or the role to take. The value is absolute, so applying an order twice is harmless. */
    wanted: Record<string, string>;
}

/** A delayed notification that a prefix was cached or evicted. */
export interface CacheEvent {
    sequence: number;
    prefix: number;
    stored: boolean;
}

interface EngineStream {
    request: EngineRequest;
    seed: number;
    responseLength: { tokens: number; finishReason: FinishReason; };
    memoryTokens: number;
    prefilledTokens: number;
    /** Response tokens generated, counted from the start of the response. */
    generatedTokens: number;
    /** Response tokens that at least one reader has received. */
    deliveredTokens: number;
    hasEnded: boolean;
    changeSignal: ChangeSignal;
}

const maximumUndeliveredTokens = 64;
const maximumEndedStreams = 512;
const maximumDecodingStreams = 256;
const lostCacheEventShare = 0.2;
const maximumCacheEvents = 1_000;
const cachePrefixCharacters = 4_000;
const maximumReports = 200;

/** Model of one engine. */
export class EngineModel {
    incarnation: string;
    /** Streams that exceeded `coldConcurrency` and crashed the cold engine. */
    coldOverloads = 0;
    crashCount = 0;
    /** Number of streams started, by request identifier. */
    readonly runs = new Map<string, number>();
    wanted: Record<string, string> = {};
    private up = true;
    private isLeaving = false;
    private temperature: EndpointTemperature;
    private coldSince: Milliseconds = -Infinity;
    private streamsFinishedWhileCold = 0;
    private streams = new Map<string, EngineStream>();
    private endedStreams = new Map<string, EngineStream>();
    private reservations = new Map<string, EngineHolding>();
    private exportedBlocks = new Map<string, EngineHolding>();
    private cacheEvents: CacheEvent[] = [];
    private cacheSequence = 0;
    private reports: { at: Milliseconds; report: EndpointReport; }[] = [];
    private highestFence = 0;
    private isStepping = false;
    /** Aborts when the modelled process dies, which cuts all its connections. */
    private lifetimeController = sharedAbortController();

    constructor(
        readonly shape: EngineShape,
        private readonly clock: Clock,
        private readonly random: Random,
    ) {
        this.incarnation = randomIdentifier(random);
        this.temperature = shape.startWarm ? EndpointTemperature.Warm : EndpointTemperature.Cold;
        this.recordReport();
    }

    get isUp(): boolean {
        return this.up;
    }

    /** Aborts when the modelled process dies the next time. */
    get lifetime(): AbortSignal {
        return this.lifetimeController.signal;
    }

    get isCold(): boolean {
        return this.temperature === EndpointTemperature.Cold;
    }

    /** Memory in use, in tokens. */
    get memoryUsedTokens(): number {
        let used = 0;
        for (const stream of this.streams.values()) {
            used += stream.memoryTokens;
        }
        for (const holding of [...this.reservations.values(), ...this.exportedBlocks.values()]) {
            used += holding.tokens;
        }
        return used;
    }

    get runningStreamCount(): number {
        return this.streams.size;
    }

    /** Returns the report as of `reportLagMilliseconds` ago. */
    report(): EndpointReport {
        this.checkUp();
        this.recordReport();
        const at = this.clock.now() - this.shape.reportLagMilliseconds;
        let visible = this.reports[0]!;
        for (const candidate of this.reports) {
            if (candidate.at <= at) {
                visible = candidate;
            }
        }
        this.reports = this.reports.filter(candidate => candidate.at >= visible.at);
        return { ...visible.report, incarnation: this.incarnation };
    }

    /** Starts a stream, or joins the stream if it already exists. Throws {@link EngineRefusedError}. */
    open(request: EngineRequest): AsyncGenerator<EngineFrame, void> {
        this.checkUp();
        const existing = this.streams.get(request.streamId) ?? this.endedStreams.get(request.streamId);
        if (existing) {
            return this.readFrames(existing, request.startOffset);
        }
        const memoryTokens = this.checkAdmission(request);
        this.checkColdConcurrency();
        const seed = responseSeed(request.prompt);
        const stream: EngineStream = {
            request,
            seed,
            responseLength: responseLength(request.prompt, seed, request.maximumTokens),
            memoryTokens,
            prefilledTokens: 0,
            generatedTokens: request.startOffset,
            deliveredTokens: request.startOffset,
            hasEnded: false,
            changeSignal: new ChangeSignal(),
        };
        this.streams.set(request.streamId, stream);
        const requestId = request.streamId.split(".")[0]!;
        this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
        this.recordReport();
        void this.runSteps();
        return this.readFrames(stream, request.startOffset);
    }

    /** Joins a stream at an offset. Throws {@link EngineRefusedError} if no such stream exists. */
    resume(streamId: string, offset: number): AsyncGenerator<EngineFrame, void> {
        this.checkUp();
        const stream = this.streams.get(streamId) ?? this.endedStreams.get(streamId);
        if (!stream) {
            throw new EngineRefusedError(EngineRefusal.UnknownStream, "engine");
        }
        return this.readFrames(stream, offset);
    }

    /** Frees a stream, a reservation or an exported block. */
    release(id: string): void {
        this.checkUp();
        const stream = this.streams.get(id);
        if (stream) {
            stream.hasEnded = true;
            this.streams.delete(id);
            stream.changeSignal.notify();
        }
        this.reservations.delete(id);
        this.exportedBlocks.delete(id);
        this.recordReport();
    }

    /** Reserves memory. Throws {@link EngineRefusedError}. */
    reserve(holding: EngineHolding): void {
        this.checkUp();
        if (this.reservations.has(holding.id)) {
            return;
        }
        if (this.isLeaving) {
            throw new EngineRefusedError(EngineRefusal.Leaving, "engine");
        }
        if (this.memoryUsedTokens + holding.tokens > this.shape.memoryTokens) {
            throw new EngineRefusedError(EngineRefusal.Memory, "engine");
        }
        this.reservations.set(holding.id, holding);
        this.recordReport();
    }

    /** Returns all streams, reservations and exported blocks that hold memory. */
    holdings(): EngineHolding[] {
        this.checkUp();
        const streams = [...this.streams.values()].map(({ request, memoryTokens }): EngineHolding => ({
            id: request.streamId,
            kind: "stream",
            owner: request.owner,
            ownerIncarnation: request.ownerIncarnation,
            tokens: memoryTokens,
        }));
        return [...streams, ...this.reservations.values(), ...this.exportedBlocks.values()];
    }

    /** Exports the cache of a stream. The block holds memory until it is released. */
    exportCache(streamId: string): { blockId: string; tokens: number; seed: number; } {
        const stream = this.streams.get(streamId);
        if (!stream) {
            throw new EngineRefusedError(EngineRefusal.UnknownStream, "engine");
        }
        const blockId = `kv-${streamId}`;
        const { owner, ownerIncarnation } = stream.request;
        const tokens = stream.prefilledTokens;
        this.exportedBlocks.set(blockId, { id: blockId, kind: "reservation", owner, ownerIncarnation, tokens });
        return { blockId, tokens, seed: stream.seed };
    }

    /** Imports a cached block. The model only records the cache event for the prefix. */
    importCache(prefix: number): void {
        this.recordCacheEvent(prefix, true);
    }

    /** Returns the cache events from `sequence` on. Some sequence numbers are missing, as if their events were lost. */
    cacheEventsFrom(sequence: number): CacheEvent[] {
        return this.cacheEvents.filter(event => event.sequence >= sequence);
    }

    /** Applies an order. While fences are enforced, an order with an outdated fence number is rejected and returns false. */
    applyOrder(order: EngineOrder): boolean {
        if (this.shape.enforceFences && order.fence < this.highestFence) {
            return false;
        }
        this.highestFence = Math.max(this.highestFence, order.fence);
        this.wanted = { ...order.wanted };
        return true;
    }

    /** Falls back into cold start without announcing the change. */
    fallIntoColdStart(): void {
        this.temperature = EndpointTemperature.Cold;
        this.coldSince = this.clock.now();
        this.streamsFinishedWhileCold = 0;
        this.recordReport();
    }

    /** Refuses new streams and reservations from now on. */
    startLeaving(): void {
        this.isLeaving = true;
    }

    /** Dies and restarts cold after `restartMilliseconds`. */
    async crash(): Promise<void> {
        this.crashCount++;
        this.die();
        await this.clock.sleep(this.shape.restartMilliseconds);
        this.revive();
    }

    /** Stops the modelled process until {@link revive}. */
    die(): void {
        this.up = false;
        for (const stream of this.streams.values()) {
            stream.changeSignal.notify();
        }
        this.streams = new Map();
        this.endedStreams = new Map();
        this.reservations = new Map();
        this.exportedBlocks = new Map();
        this.lifetimeController.abort();
        this.lifetimeController = sharedAbortController();
    }

    /** Starts the modelled process again, cold and without streams or reservations. */
    revive(): void {
        if (this.up) {
            return;
        }
        this.up = true;
        this.incarnation = randomIdentifier(this.random);
        this.temperature = EndpointTemperature.Cold;
        this.coldSince = -Infinity;
        this.streamsFinishedWhileCold = 0;
        this.reports = [];
        this.recordReport();
    }

    private checkUp(): void {
        if (!this.up) {
            throw new EngineLostError("the engine is down", false);
        }
    }

    private checkAdmission(request: EngineRequest): number {
        if (this.isLeaving) {
            throw new EngineRefusedError(EngineRefusal.Leaving, "engine");
        }
        if (request.gang) {
            if (!this.reservations.has(request.gang.reservationId)) {
                throw new EngineRefusedError(EngineRefusal.Memory, "engine");
            }
            return 0;
        }
        const memoryTokens = request.promptTokens + request.maximumTokens;
        if (this.memoryUsedTokens + memoryTokens > this.shape.memoryTokens) {
            throw new EngineRefusedError(EngineRefusal.Memory, "engine");
        }
        return memoryTokens;
    }

    /** Crashes a cold engine that gets more than `coldConcurrency` streams. */
    private checkColdConcurrency(): void {
        if (!this.isCold || this.streams.size < this.shape.coldConcurrency) {
            return;
        }
        if (this.clock.now() - this.coldSince < this.shape.coldNoticeMilliseconds) {
            throw new EngineRefusedError(EngineRefusal.Busy, "engine");
        }
        this.coldOverloads++;
        void this.crash();
        throw new EngineLostError("the cold engine was overloaded and crashed", true);
    }

    private async runSteps(): Promise<void> {
        if (this.isStepping) {
            return;
        }
        this.isStepping = true;
        const { signal } = this.lifetimeController;
        while (this.streams.size > 0 && !signal.aborted) {
            await this.clock.sleep(this.shape.stepMilliseconds, signal);
            if (!signal.aborted) {
                this.runStep();
            }
        }
        this.isStepping = false;
        if (this.streams.size > 0) {
            void this.runSteps();
        }
    }

    private runStep(): void {
        let budget = this.shape.tokensPerStep * (this.isCold ? this.shape.coldSpeed : 1);
        let decodingCount = 0;
        for (const stream of this.streams.values()) {
            const isPrefilled = stream.prefilledTokens >= stream.request.promptTokens;
            if (
                isPrefilled && decodingCount < maximumDecodingStreams
                && stream.generatedTokens - stream.deliveredTokens < maximumUndeliveredTokens
            ) {
                decodingCount++;
                budget--;
                this.decode(stream);
            }
        }
        const prefilling = [...this.streams.values()].filter(stream =>
            stream.prefilledTokens < stream.request.promptTokens
        );
        prefilling.sort((first, second) => first.request.priority - second.request.priority);
        for (const stream of prefilling) {
            if (budget <= 0) {
                break;
            }
            budget -= this.prefill(stream, budget);
        }
        this.recordReport();
    }

    /** Prefills a prompt and returns the budget spent. The engines of a gang share the prefill. */
    private prefill(stream: EngineStream, budget: number): number {
        const speed = stream.request.gang?.size ?? 1;
        const tokens = Math.min(stream.request.promptTokens - stream.prefilledTokens, Math.floor(budget * speed));
        stream.prefilledTokens += tokens;
        if (stream.prefilledTokens >= stream.request.promptTokens) {
            this.recordCacheEvent(responseSeed(stream.request.prompt.slice(0, cachePrefixCharacters)), true);
            if (hasCrashMarker(stream.request.prompt)) {
                void this.crash();
            }
        }
        return tokens / speed;
    }

    private decode(stream: EngineStream): void {
        stream.generatedTokens++;
        if (stream.generatedTokens >= stream.responseLength.tokens) {
            this.finish(stream);
        }
        stream.changeSignal.notify();
    }

    private finish(stream: EngineStream): void {
        stream.hasEnded = true;
        this.streams.delete(stream.request.streamId);
        this.endedStreams.set(stream.request.streamId, stream);
        if (this.endedStreams.size > maximumEndedStreams) {
            this.endedStreams.delete(this.endedStreams.keys().next().value!);
        }
        if (!this.isCold) {
            return;
        }
        this.streamsFinishedWhileCold++;
        if (this.streamsFinishedWhileCold >= this.shape.warmAfter) {
            this.temperature = EndpointTemperature.Warm;
        }
    }

    private async *readFrames(stream: EngineStream, from: number): AsyncGenerator<EngineFrame, void> {
        const { signal } = this.lifetimeController;
        const { streamId, attempt } = stream.request;
        let offset = from;
        while (true) {
            if (signal.aborted) {
                throw new EngineLostError("the engine died", true);
            }
            const end = Math.min(stream.generatedTokens, stream.responseLength.tokens);
            if (offset < end) {
                let text = "";
                for (let index = offset; index < end; index++) {
                    text += responseToken(stream.seed, index);
                }
                yield { type: "Tokens", streamId, attempt, offset, count: end - offset, text };
                offset = end;
                stream.deliveredTokens = Math.max(stream.deliveredTokens, offset);
                continue;
            }
            if (stream.hasEnded) {
                // A released stream ends without an End frame.
                if (offset >= stream.responseLength.tokens) {
                    const { tokens, finishReason } = stream.responseLength;
                    yield { type: "End", streamId, attempt, tokens, finishReason };
                }
                return;
            }
            await stream.changeSignal.next(signal);
        }
    }

    private recordReport(): void {
        this.reports.push({ at: this.clock.now(), report: this.currentReport() });
        if (this.reports.length > maximumReports) {
            this.reports.shift();
        }
    }

    private currentReport(): EndpointReport {
        let waitingPromptTokens = 0;
        for (const stream of this.streams.values()) {
            waitingPromptTokens += stream.request.promptTokens - stream.prefilledTokens;
        }
        const { memoryTokens, tokensPerStep, stepMilliseconds, coldSpeed } = this.shape;
        return {
            incarnation: this.incarnation,
            temperature: this.temperature,
            running: this.streams.size,
            memoryCapacityTokens: memoryTokens,
            memoryUsedTokens: this.memoryUsedTokens,
            waitingPromptTokens,
            prefillTokensPerSecond: tokensPerStep / stepMilliseconds * 1_000 * (this.isCold ? coldSpeed : 1),
            decodeStepMilliseconds: stepMilliseconds,
        };
    }

    private recordCacheEvent(prefix: number, stored: boolean): void {
        const sequence = this.cacheSequence++;
        if (this.random.next() >= lostCacheEventShare) {
            this.cacheEvents.push({ sequence, prefix, stored });
        }
        if (this.cacheEvents.length > maximumCacheEvents) {
            this.cacheEvents.shift();
        }
    }
}
