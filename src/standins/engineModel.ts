/** The stand-in engine: continuous batching in virtual work units over limited memory. */
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
import { answerLength, answerSeed, answerToken, isCrashing } from "./answer.js";

/** Size and speed of an engine. */
export interface EngineShape {
    memoryTokens: number;
    stepMilliseconds: Milliseconds;
    /** Prompt and answer tokens that one step works on. */
    tokensPerStep: number;
    /** Streams that a cold engine bears. */
    coldConcurrency: number;
    /** Streams that a cold engine must finish to be warm. */
    warmAfter: number;
    /** Share of its speed that a cold engine has. */
    coldSpeed: number;
    /** How far its report lags. */
    reportLagMilliseconds: Milliseconds;
    /** Time after an unannounced fall into cold start in which arrivals aren't counted against the callers. */
    coldNoticeMilliseconds: Milliseconds;
    restartMilliseconds: Milliseconds;
    startWarm: boolean;
    enforceFences: boolean;
}

/** An engine of the usual size. */
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

/** An order to the engine. */
export interface EngineOrder {
    fence: number;
    /** What should be loaded or which role taken: absolute, so that a repeat is harmless. */
    wanted: Record<string, string>;
}

/** One late piece of news about cached prefixes. */
export interface CacheEvent {
    sequence: number;
    prefix: number;
    stored: boolean;
}

interface Stream {
    request: EngineRequest;
    seed: number;
    length: { tokens: number; finishReason: FinishReason; };
    memoryTokens: number;
    prefilled: number;
    /** Answer tokens generated, counted from the answer's start. */
    generated: number;
    /** Answer tokens that some reader has taken. */
    read: number;
    done: boolean;
    changed: ChangeSignal;
}

const unreadTokensAtMost = 64;
const endedStreamsKept = 512;
const decodeStreamsAtMost = 256;
const lostCacheEventShare = 0.2;
const cacheEventsKept = 1_000;
const cachePrefixCharacters = 4_000;
const reportsKept = 200;

/** An engine in memory. */
export class EngineModel {
    incarnation: string;
    /** Arrivals that a cold engine could not bear. */
    coldOverloads = 0;
    crashes = 0;
    /** Streams started, by request id. */
    readonly runs = new Map<string, number>();
    wanted: Record<string, string> = {};
    private up = true;
    private leaving = false;
    private temperature: EndpointTemperature;
    private coldSince: Milliseconds = -Infinity;
    private finishedWhileCold = 0;
    private streams = new Map<string, Stream>();
    private ended = new Map<string, Stream>();
    private reservations = new Map<string, EngineHolding>();
    private exported = new Map<string, EngineHolding>();
    private cacheEvents: CacheEvent[] = [];
    private cacheSequence = 0;
    private reports: { at: Milliseconds; report: EndpointReport; }[] = [];
    private fence = 0;
    private stepping = false;
    /** Aborts when the process dies: every connection of it is cut. */
    private life = sharedAbortController();

    constructor(
        readonly shape: EngineShape,
        private readonly clock: Clock,
        private readonly random: Random,
    ) {
        this.incarnation = randomIdentifier(random);
        this.temperature = shape.startWarm ? EndpointTemperature.Warm : EndpointTemperature.Cold;
        this.noteReport();
    }

    get isUp(): boolean {
        return this.up;
    }

    /** Aborts at the engine's next death. */
    get lifetime(): AbortSignal {
        return this.life.signal;
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
        for (const held of [...this.reservations.values(), ...this.exported.values()]) {
            used += held.tokens;
        }
        return used;
    }

    get running(): number {
        return this.streams.size;
    }

    /** The report as it was a while ago. */
    report(): EndpointReport {
        this.checkUp();
        this.noteReport();
        const at = this.clock.now() - this.shape.reportLagMilliseconds;
        let shown = this.reports[0]!;
        for (const candidate of this.reports) {
            if (candidate.at <= at) {
                shown = candidate;
            }
        }
        this.reports = this.reports.filter(candidate => candidate.at >= shown.at);
        return { ...shown.report, incarnation: this.incarnation };
    }

    /** Accepts a stream, or joins it where it exists. Throws {@link EngineRefusedError}. */
    open(request: EngineRequest): AsyncGenerator<EngineFrame, void> {
        this.checkUp();
        const known = this.streams.get(request.streamId) ?? this.ended.get(request.streamId);
        if (known) {
            return this.frames(known, request.startOffset);
        }
        const memoryTokens = this.checkAdmission(request);
        this.checkCold();
        const seed = answerSeed(request.prompt);
        const stream: Stream = {
            request,
            seed,
            length: answerLength(request.prompt, seed, request.maximumTokens),
            memoryTokens,
            prefilled: 0,
            generated: request.startOffset,
            read: request.startOffset,
            done: false,
            changed: new ChangeSignal(),
        };
        this.streams.set(request.streamId, stream);
        const requestId = request.streamId.split(".")[0]!;
        this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
        this.noteReport();
        void this.step();
        return this.frames(stream, request.startOffset);
    }

    /** Joins a stream at an offset. Throws {@link EngineRefusedError} for one it doesn't know. */
    resume(streamId: string, offset: number): AsyncGenerator<EngineFrame, void> {
        this.checkUp();
        const stream = this.streams.get(streamId) ?? this.ended.get(streamId);
        if (!stream) {
            throw new EngineRefusedError(EngineRefusal.UnknownStream, "engine");
        }
        return this.frames(stream, offset);
    }

    /** Ends a stream, a reservation or an exported block. */
    release(id: string): void {
        this.checkUp();
        const stream = this.streams.get(id);
        if (stream) {
            stream.done = true;
            this.streams.delete(id);
            stream.changed.notify();
        }
        this.reservations.delete(id);
        this.exported.delete(id);
        this.noteReport();
    }

    /** Sets memory aside. Throws {@link EngineRefusedError}. */
    reserve(holding: EngineHolding): void {
        this.checkUp();
        if (this.reservations.has(holding.id)) {
            return;
        }
        if (this.leaving) {
            throw new EngineRefusedError(EngineRefusal.Leaving, "engine");
        }
        if (this.memoryUsedTokens + holding.tokens > this.shape.memoryTokens) {
            throw new EngineRefusedError(EngineRefusal.Memory, "engine");
        }
        this.reservations.set(holding.id, holding);
        this.noteReport();
    }

    /** Everything that holds memory. */
    holdings(): EngineHolding[] {
        this.checkUp();
        const streams = [...this.streams.values()].map(({ request, memoryTokens }): EngineHolding => ({
            id: request.streamId,
            kind: "stream",
            owner: request.owner,
            ownerIncarnation: request.ownerIncarnation,
            tokens: memoryTokens,
        }));
        return [...streams, ...this.reservations.values(), ...this.exported.values()];
    }

    /** Copies a stream's cache out; the block holds memory until it is released. */
    exportCache(streamId: string): { blockId: string; tokens: number; seed: number; } {
        const stream = this.streams.get(streamId);
        if (!stream) {
            throw new EngineRefusedError(EngineRefusal.UnknownStream, "engine");
        }
        const blockId = `kv-${streamId}`;
        const { owner, ownerIncarnation } = stream.request;
        const tokens = stream.prefilled;
        this.exported.set(blockId, { id: blockId, kind: "reservation", owner, ownerIncarnation, tokens });
        return { blockId, tokens, seed: stream.seed };
    }

    /** Takes a block in: a later stream over the same prompt skips that much prefill. */
    importCache(prefix: number): void {
        this.noteCached(prefix, true);
    }

    /** News of cached prefixes, late and with gaps. */
    cacheEventsFrom(sequence: number): CacheEvent[] {
        return this.cacheEvents.filter(event => event.sequence >= sequence);
    }

    /** Takes an order. Where fences are enforced, one with an old number is refused. */
    order(order: EngineOrder): boolean {
        if (this.shape.enforceFences && order.fence < this.fence) {
            return false;
        }
        this.fence = Math.max(this.fence, order.fence);
        this.wanted = { ...order.wanted };
        return true;
    }

    /** Falls back into cold start without a word. */
    goCold(): void {
        this.temperature = EndpointTemperature.Cold;
        this.coldSince = this.clock.now();
        this.finishedWhileCold = 0;
        this.noteReport();
    }

    /** Refuses new work from now on. */
    leave(): void {
        this.leaving = true;
    }

    /** Dies and comes back cold after the restart time. */
    async crash(): Promise<void> {
        this.crashes++;
        this.die();
        await this.clock.sleep(this.shape.restartMilliseconds);
        this.revive();
    }

    /** Dies until {@link revive}. */
    die(): void {
        this.up = false;
        for (const stream of this.streams.values()) {
            stream.changed.notify();
        }
        this.streams = new Map();
        this.ended = new Map();
        this.reservations = new Map();
        this.exported = new Map();
        this.life.abort();
        this.life = sharedAbortController();
    }

    /** Starts again, cold and empty. */
    revive(): void {
        if (this.up) {
            return;
        }
        this.up = true;
        this.incarnation = randomIdentifier(this.random);
        this.temperature = EndpointTemperature.Cold;
        this.coldSince = -Infinity;
        this.finishedWhileCold = 0;
        this.reports = [];
        this.noteReport();
    }

    private checkUp(): void {
        if (!this.up) {
            throw new EngineLostError("the engine is down", false);
        }
    }

    private checkAdmission(request: EngineRequest): number {
        if (this.leaving) {
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

    /** A cold engine falls over when it gets more than it bears. */
    private checkCold(): void {
        if (!this.isCold || this.streams.size < this.shape.coldConcurrency) {
            return;
        }
        if (this.clock.now() - this.coldSince < this.shape.coldNoticeMilliseconds) {
            throw new EngineRefusedError(EngineRefusal.Busy, "engine");
        }
        this.coldOverloads++;
        void this.crash();
        throw new EngineLostError("the engine fell over", true);
    }

    private async step(): Promise<void> {
        if (this.stepping) {
            return;
        }
        this.stepping = true;
        const { signal } = this.life;
        while (this.streams.size > 0 && !signal.aborted) {
            await this.clock.sleep(this.shape.stepMilliseconds, signal);
            if (!signal.aborted) {
                this.work();
            }
        }
        this.stepping = false;
        if (this.streams.size > 0) {
            void this.step();
        }
    }

    private work(): void {
        let budget = this.shape.tokensPerStep * (this.isCold ? this.shape.coldSpeed : 1);
        let decoding = 0;
        for (const stream of this.streams.values()) {
            const ready = stream.prefilled >= stream.request.promptTokens;
            if (ready && decoding < decodeStreamsAtMost && stream.generated - stream.read < unreadTokensAtMost) {
                decoding++;
                budget--;
                this.decode(stream);
            }
        }
        const waiting = [...this.streams.values()].filter(stream => stream.prefilled < stream.request.promptTokens);
        waiting.sort((first, second) => first.request.priority - second.request.priority);
        for (const stream of waiting) {
            if (budget <= 0) {
                break;
            }
            budget -= this.prefill(stream, budget);
        }
        this.noteReport();
    }

    /** Works on a prompt and returns the budget it took. A gang's engines share the work. */
    private prefill(stream: Stream, budget: number): number {
        const speed = stream.request.gang?.size ?? 1;
        const tokens = Math.min(stream.request.promptTokens - stream.prefilled, Math.floor(budget * speed));
        stream.prefilled += tokens;
        if (stream.prefilled >= stream.request.promptTokens) {
            this.noteCached(answerSeed(stream.request.prompt.slice(0, cachePrefixCharacters)), true);
            if (isCrashing(stream.request.prompt)) {
                void this.crash();
            }
        }
        return tokens / speed;
    }

    private decode(stream: Stream): void {
        stream.generated++;
        if (stream.generated >= stream.length.tokens) {
            this.finish(stream);
        }
        stream.changed.notify();
    }

    private finish(stream: Stream): void {
        stream.done = true;
        this.streams.delete(stream.request.streamId);
        this.ended.set(stream.request.streamId, stream);
        if (this.ended.size > endedStreamsKept) {
            this.ended.delete(this.ended.keys().next().value!);
        }
        if (!this.isCold) {
            return;
        }
        this.finishedWhileCold++;
        if (this.finishedWhileCold >= this.shape.warmAfter) {
            this.temperature = EndpointTemperature.Warm;
        }
    }

    private async *frames(stream: Stream, from: number): AsyncGenerator<EngineFrame, void> {
        const { signal } = this.life;
        const { streamId, attempt } = stream.request;
        let offset = from;
        while (true) {
            if (signal.aborted) {
                throw new EngineLostError("the engine died", true);
            }
            const end = Math.min(stream.generated, stream.length.tokens);
            if (offset < end) {
                let text = "";
                for (let index = offset; index < end; index++) {
                    text += answerToken(stream.seed, index);
                }
                yield { type: "Tokens", streamId, attempt, offset, count: end - offset, text };
                offset = end;
                stream.read = Math.max(stream.read, offset);
                continue;
            }
            if (stream.done) {
                // A stream that was released ends without its end marker.
                if (offset >= stream.length.tokens) {
                    const { tokens, finishReason } = stream.length;
                    yield { type: "End", streamId, attempt, tokens, finishReason };
                }
                return;
            }
            await stream.changed.next(signal);
        }
    }

    private noteReport(): void {
        this.reports.push({ at: this.clock.now(), report: this.currentReport() });
        if (this.reports.length > reportsKept) {
            this.reports.shift();
        }
    }

    private currentReport(): EndpointReport {
        let waitingPromptTokens = 0;
        for (const stream of this.streams.values()) {
            waitingPromptTokens += stream.request.promptTokens - stream.prefilled;
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

    private noteCached(prefix: number, stored: boolean): void {
        const sequence = this.cacheSequence++;
        if (this.random.next() >= lostCacheEventShare) {
            this.cacheEvents.push({ sequence, prefix, stored });
        }
        if (this.cacheEvents.length > cacheEventsKept) {
            this.cacheEvents.shift();
        }
    }
}
