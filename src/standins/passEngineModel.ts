/**
 * A model engine that works in passes: each step of a pass writes a token for every request that writes, and reads a
 * chunk of the prompts that wait. Reading and writing share the steps, so a long read stretches the pauses of writers.
 */
import type { EngineProfile } from "../types/routing.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import { DandelionrampError } from "../utils/errors.js";
import { ChangeSignal } from "../utils/signal.js";

const pairsPerMillion = 1_000_000;
const tokensPerThousand = 1_000;
/** Requests that wait beyond the slots before the engine refuses. */
const queueAtMost = 32;
const reservationsAtMost = 64;

/** The engine takes no more. */
export class EngineFullError extends DandelionrampError {}

/** A reservation ran out, or the engine died. */
export class EngineCutError extends DandelionrampError {}

/** An engine that was to read a part has died; the request hadn't begun, and the refusal names it. */
export class HelperLostError extends EngineFullError {
    constructor(readonly helper: PassEngine) {
        super("an engine that reads a part has died");
    }
}

/** A request to the engine. */
export interface EngineWork {
    id: string;
    promptTokens: number;
    /** Events of its whole answer. */
    events: number;
    /** Events that the caller has already. */
    from: number;
    /** 0 goes first. */
    priority: number;
    /** Engines that read parts of the prompt, with the reservation to fill; the engine itself may be the first. */
    helpers: readonly { engine: PassEngine; ticket: string | undefined; }[];
}

interface Part {
    owner: Running;
    tokens: number;
    /** Share of the whole prompt's pairs that this part computes. */
    pairs: number;
}

interface Running extends EngineWork {
    memoryTokens: number;
    /** Parts of its prompt that aren't read yet, here and at its helpers. */
    partsLeft: number;
    written: number;
    emit: (event: number) => void;
    fail: (error: Error) => void;
    end: () => void;
    /** Lets the engine that runs it go on, when a helper was the last to read. */
    wakeEngine: () => void;
}

/** Memory set aside. */
export interface Reservation {
    id: string;
    tokens: number;
    state: "waiting" | "held" | "used";
    expiresAt: Milliseconds;
}

/** The engine in memory. */
export class PassEngine {
    readonly reservations = new Map<string, Reservation>();
    private waiting: Running[] = [];
    private running: Running[] = [];
    private parts: Part[] = [];
    private busy = false;
    private readonly woken = new ChangeSignal();

    /** Factor on the time of every pass. */
    slowness = 1;
    private dead = false;

    constructor(
        readonly profile: EngineProfile,
        private readonly clock: Clock,
        /** How long work that depends on a dead engine stalls before it is cut off. */
        private readonly stallTime: Milliseconds = 0,
    ) {}

    get active(): number {
        return this.running.length;
    }

    get queued(): number {
        return this.waiting.length;
    }

    /** Whether it has died. */
    get isDead(): boolean {
        return this.dead;
    }

    /** Memory in use and set aside, in tokens. */
    get memoryUsed(): number {
        this.expire();
        let used = this.running.reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
        for (const { tokens, state } of this.reservations.values()) {
            used += state === "waiting" ? 0 : tokens;
        }
        return used;
    }

    /** Takes a request; resolves when its last event is out. Throws {@link EngineFullError}. */
    run(work: EngineWork, emit: (event: number) => void, signal: AbortSignal): Promise<void> {
        const inTickets = work.helpers.reduce((sum, { engine, ticket }) => sum + engine.ticketTokens(ticket), 0);
        const memoryTokens = Math.max(0, work.promptTokens - inTickets);
        if (this.dead || memoryTokens > this.profile.memoryTokens || this.waiting.length >= queueAtMost) {
            throw new EngineFullError("the engine is full");
        }
        return new Promise((resolve, reject) => {
            const entry: Running = {
                ...work,
                memoryTokens,
                partsLeft: 1,
                written: work.from,
                emit,
                fail: reject,
                end: resolve,
                wakeEngine: () => this.wake(),
            };
            signal.addEventListener("abort", () => this.drop(entry), { once: true });
            this.waiting.push(entry);
            this.wake();
        });
    }

    /** Reads a part of a prompt for another engine, before all others. */
    private readPart(part: Part, ticket: string | undefined): void {
        this.use(ticket);
        this.parts.unshift(part);
        this.wake();
    }

    /** Sets memory aside, or renews it; undefined when it isn't free and the caller doesn't wait. */
    reserve(id: string, tokens: number, hold: Milliseconds, wait: boolean): Reservation | undefined {
        this.expire();
        const expiresAt = this.clock.now() + hold;
        const present = this.reservations.get(id);
        if (present) {
            present.expiresAt = expiresAt;
            return present;
        }
        const free = this.profile.memoryTokens - this.memoryUsed;
        if (this.reservations.size >= reservationsAtMost || (tokens > free && !wait)) {
            return undefined;
        }
        const reservation: Reservation = { id, tokens, state: tokens > free ? "waiting" : "held", expiresAt };
        this.reservations.set(id, reservation);
        return reservation;
    }

    release(id: string): void {
        this.reservations.delete(id);
        this.grant();
        this.wake();
    }

    /** Cuts everything off, as a crash does. */
    crash(): void {
        const owners = new Set(this.parts.map(({ owner }) => owner));
        const own = [...this.running, ...this.waiting];
        this.dead = true;
        this.running = [];
        this.waiting = [];
        this.parts = [];
        this.reservations.clear();
        for (const entry of own) {
            owners.delete(entry);
            this.dropParts(entry);
            entry.fail(new EngineCutError("the engine died"));
        }
        for (const owner of owners) {
            this.clock.after(this.stallTime, () => owner.fail(new HelperLostError(this)));
        }
    }

    /** Starts anew, with nothing of before. */
    revive(): void {
        this.dead = false;
    }

    private use(ticket: string | undefined): void {
        if (ticket === undefined) {
            return;
        }
        const reservation = this.reservations.get(ticket);
        if (reservation?.state !== "held") {
            throw new EngineFullError(`no reservation ${ticket}`);
        }
        reservation.state = "used";
    }

    /** Whether all memory that was set aside for a request is still there. */
    private holdsMemory({ helpers }: Running): boolean {
        return helpers.every(({ engine, ticket }) => {
            engine.expire();
            return ticket === undefined || engine.reservations.has(ticket);
        });
    }

    private ticketTokens(ticket: string | undefined): number {
        return ticket === undefined ? 0 : this.reservations.get(ticket)?.tokens ?? 0;
    }

    private drop(entry: Running): void {
        this.waiting = this.waiting.filter(other => other !== entry);
        this.running = this.running.filter(other => other !== entry);
        this.dropParts(entry);
        this.grant();
        entry.fail(new EngineCutError("cancelled"));
    }

    /** Nobody reads on for a request that is over. */
    private dropParts(entry: Running): void {
        for (const engine of [this, ...entry.helpers.map(helper => helper.engine)]) {
            engine.parts = engine.parts.filter(({ owner }) => owner !== entry);
        }
    }

    private wake(): void {
        this.woken.notify();
        if (!this.busy) {
            this.busy = true;
            void this.work();
        }
    }

    private async work(): Promise<void> {
        while (this.admit() || this.hasWork) {
            await this.pass();
        }
        this.busy = false;
    }

    /** Whether there is anything to read or write now; a prompt whose parts others still read is neither. */
    private get hasWork(): boolean {
        return this.parts.length > 0 || this.running.some(({ partsLeft }) => partsLeft === 0);
    }

    /** Lets waiting requests in while slots and memory last, the most urgent first. */
    private admit(): boolean {
        this.waiting.sort((left, right) => left.priority - right.priority);
        const waitsForMemory = [...this.reservations.values()].some(({ state }) => state === "waiting");
        let admitted = false;
        while (this.waiting.length > 0 && this.running.length < this.profile.slots && !waitsForMemory) {
            const next = this.waiting[0]!;
            if (this.memoryUsed + next.memoryTokens > this.profile.memoryTokens) {
                break;
            }
            this.waiting.shift();
            this.running.push(next);
            this.startReading(next);
            admitted = true;
        }
        return admitted;
    }

    private startReading(entry: Running): void {
        const helpers = entry.helpers.filter(({ engine }) => engine !== this);
        const lost = helpers.find(({ engine }) => engine.isDead);
        if (lost) {
            this.clock.after(this.stallTime, () => entry.fail(new HelperLostError(lost.engine)));
            return;
        }
        const readers = helpers.length + 1;
        const tokens = entry.promptTokens / readers;
        const pairs = entry.promptTokens * entry.promptTokens / 2 / readers;
        entry.partsLeft = readers;
        this.parts.push({ owner: entry, tokens, pairs });
        this.use(entry.helpers.find(({ engine }) => engine === this)?.ticket);
        for (const { engine, ticket } of helpers) {
            engine.readPart({ owner: entry, tokens, pairs }, ticket);
        }
    }

    private async pass(): Promise<void> {
        const writers = this.running.filter(({ partsLeft }) => partsLeft === 0);
        const { stepsPerPass, stepTime, stepTimePerRequest, stepTimePerThousandTokens } = this.profile;
        const steps = writers.length > 0 ? stepsPerPass : 1;
        const context = writers.reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
        const step = stepTime + writers.length * stepTimePerRequest
            + context / tokensPerThousand * stepTimePerThousandTokens;
        let duration = 0;
        const finished: Part[] = [];
        // Reading takes the steps one by one; an engine without writers stops behind the last chunk.
        for (let index = 0; index < steps; index++) {
            duration += step + this.readChunk(finished);
        }
        await this.clock.sleep(duration * this.slowness);
        if (this.dead) {
            return;
        }
        for (const { owner } of finished) {
            owner.partsLeft--;
            owner.wakeEngine();
        }
        // A prompt that was read in this pass has written its first tokens in the rest of it.
        for (const writer of this.running.filter(({ partsLeft }) => partsLeft === 0)) {
            this.write(writer);
        }
    }

    /** Reads up to a chunk of the parts in turn and returns the time it takes. */
    private readChunk(finished: Part[]): Milliseconds {
        let left = this.profile.chunkTokens;
        let duration = 0;
        while (left > 0 && this.parts.length > 0) {
            const part = this.parts[0]!;
            const tokens = Math.min(left, part.tokens);
            const pairs = part.tokens === 0 ? 0 : part.pairs * tokens / part.tokens;
            duration += tokens / this.profile.readTokensPerSecond * 1_000
                + pairs / pairsPerMillion * this.profile.readTimePerMillionPairs;
            part.tokens -= tokens;
            part.pairs -= pairs;
            left -= tokens;
            if (part.tokens <= 0) {
                finished.push(part);
                this.parts.shift();
            }
        }
        return duration;
    }

    private write(writer: Running): void {
        if (!this.running.includes(writer)) {
            return;
        }
        if (!this.holdsMemory(writer)) {
            this.drop(writer);
            return;
        }
        writer.written++;
        writer.emit(writer.written);
        if (writer.written >= writer.events) {
            this.running = this.running.filter(other => other !== writer);
            this.grant();
            writer.end();
        }
    }

    private expire(): void {
        const now = this.clock.now();
        for (const [id, { expiresAt }] of this.reservations) {
            if (now >= expiresAt) {
                this.reservations.delete(id);
            }
        }
    }

    /** Gives freed memory to reservations that wait, in their order. */
    private grant(): void {
        for (const reservation of this.reservations.values()) {
            const free = this.profile.memoryTokens - this.memoryUsed;
            if (reservation.state === "waiting" && reservation.tokens <= free) {
                reservation.state = "held";
            }
        }
    }
}
