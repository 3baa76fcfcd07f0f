/** A caller of a replay: asks, comes back when told to, goes on where its stream was cut, and judges what it gets. */
import type { EntryCore } from "../core/entryCore.js";
import { Execution, type RequestFailure } from "../core/failures.js";
import type { CallerExchange, RequestHead, ResponseHead } from "../ports/forwardingPorts.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import { abortQuietly } from "../utils/signal.js";
import type { PatternKind } from "./pattern.js";
import type { ReplayArrival } from "./replayArrivals.js";
import type { SimulatedFleet } from "./simulatedFleet.js";

/** How a request ended, as its caller sees it. */
export enum CallerOutcome {
    InTime = "in time",
    Late = "late",
    Refused = "refused",
    Failed = "failed",
}

/** What a caller got. */
export interface CallerRecord {
    arrival: ReplayArrival;
    outcome: CallerOutcome;
    /** Since the arrival; undefined where no event came. */
    firstEvent: Milliseconds | undefined;
    longestPause: Milliseconds;
    /** Identifiers of its tries, as the entries log them. */
    requestIds: string[];
}

/** Callers come back once after a failure. */
const triesAtMost = 2;
/** They come back after at most this part of the time that is left. */
const waitPart = 1 / 3;
/** They wait for an event for the longest of: a time, so many targets, so many pauses. */
const patienceAtLeast: Milliseconds = 2_000;
const patienceTargets = 4;
const patienceGaps = 8;

/** Callers allow answers of so many times the mean length. */
const allowedAnswers = 2;

/** How one try ended. */
type TryEnd = { type: "Whole" | "Cut" | "Left"; } | { type: "Failed"; failure: RequestFailure; };

/** What callers work with. */
export interface CallerParts {
    clock: Clock;
    fleet: SimulatedFleet;
    /** The entry that the balancer picks for the next try. */
    pickEntry: () => EntryCore;
}

/** Runs one caller to its end. */
export const callOnce = async (
    parts: CallerParts,
    arrival: ReplayArrival,
    kind: PatternKind,
): Promise<CallerRecord> => {
    const caller = new SimulatedCaller(parts, arrival, kind);
    return await caller.run();
};

class SimulatedCaller {
    private readonly startedAt: Milliseconds;
    private firstEvent: Milliseconds | undefined;
    private lastEventAt: Milliseconds;
    private longestPause: Milliseconds = 0;
    private lastEvent = 0;
    private readonly requestIds: string[] = [];

    constructor(
        private readonly parts: CallerParts,
        private readonly arrival: ReplayArrival,
        private readonly kind: PatternKind,
    ) {
        this.startedAt = parts.clock.now();
        this.lastEventAt = this.startedAt;
    }

    async run(): Promise<CallerRecord> {
        let refused = false;
        for (let tries = 0; tries < triesAtMost && this.timeLeft > 0; tries++) {
            const end = await this.ask(`${this.arrival.id}.${tries}`);
            if (end.type === "Whole") {
                return this.record(this.inTime ? CallerOutcome.InTime : CallerOutcome.Late);
            }
            if (end.type === "Left") {
                return this.record(CallerOutcome.Failed);
            }
            refused = end.type === "Failed" && end.failure.execution === Execution.NotRun;
            const comeBack = end.type === "Failed" ? (end.failure.retryAfterSeconds ?? 0) * 1_000 : 0;
            await this.parts.clock.sleep(Math.min(comeBack, this.timeLeft * waitPart));
        }
        return this.record(refused ? CallerOutcome.Refused : CallerOutcome.Failed);
    }

    private get timeLeft(): Milliseconds {
        return this.startedAt + this.kind.timeout - this.parts.clock.now();
    }

    private get inTime(): boolean {
        return (this.firstEvent ?? Infinity) <= this.kind.target && this.longestPause <= this.kind.targetGap;
    }

    private async ask(id: string): Promise<TryEnd> {
        const { clock, fleet, pickEntry } = this.parts;
        this.requestIds.push(id);
        fleet.expect(id, this.arrival.answerEvents);
        const exchange = new SimulatedExchange(this.head(id), () => this.take());
        const { target, targetGap } = this.kind;
        const patience = Math.max(patienceAtLeast, patienceTargets * target, patienceGaps * targetGap);
        const ended = pickEntry().forwarder.serve(exchange);
        while (exchange.result === undefined) {
            const due = Math.min(this.lastEventAt + patience, this.startedAt + this.kind.timeout);
            if (clock.now() >= due) {
                exchange.leave();
                return { type: "Left" };
            }
            let stopTimer = () => {};
            const timeUp = new Promise<void>(resolve => {
                stopTimer = clock.after(due - clock.now(), resolve);
            });
            await Promise.race([ended, exchange.changed(), timeUp]);
            stopTimer();
        }
        return exchange.result;
    }

    private take(): void {
        const now = this.parts.clock.now();
        if (this.firstEvent === undefined) {
            this.firstEvent = now - this.startedAt;
        }
        else {
            this.longestPause = Math.max(this.longestPause, now - this.lastEventAt);
        }
        this.lastEventAt = now;
        this.lastEvent++;
    }

    private head(id: string): RequestHead {
        const { answerAtMost, answerEvents } = this.kind;
        const { stepsPerPass } = this.parts.fleet.profile;
        return {
            id,
            method: "POST",
            target: `/${this.arrival.kind}/`,
            host: "replay",
            headers: [],
            apiKey: this.arrival.customer,
            callerTimeout: this.timeLeft,
            arrivedAt: this.parts.clock.now(),
            lastEventId: this.lastEvent > 0 ? String(this.lastEvent) : undefined,
            size: {
                promptTokens: this.arrival.promptTokens,
                maximumAnswerTokens: Math.min(answerAtMost, allowedAnswers * answerEvents) * stepsPerPass,
            },
        };
    }

    private record(outcome: CallerOutcome): CallerRecord {
        const { arrival, firstEvent, longestPause, requestIds } = this;
        return { arrival, outcome, firstEvent, longestPause, requestIds };
    }
}

/** The entry's side of one try. */
class SimulatedExchange implements CallerExchange {
    result: TryEnd | undefined;
    private readonly leaving = new AbortController();
    private wake: () => void = () => {};

    constructor(readonly head: RequestHead, private readonly take: () => void) {}

    get disconnected(): AbortSignal {
        return this.leaving.signal;
    }

    /** Resolves with the next event, or the end. */
    changed(): Promise<void> {
        return new Promise(resolve => {
            this.wake = resolve;
        });
    }

    leave(): void {
        this.result = { type: "Left" };
        abortQuietly(this.leaving);
    }

    readBody(): Promise<Buffer> {
        return Promise.resolve(Buffer.alloc(0));
    }

    respond(): void {
        this.finish({ type: "Cut" });
    }

    beginStream(head: ResponseHead): void {
        void head;
    }

    write(): Promise<void> {
        this.take();
        this.wake();
        return Promise.resolve();
    }

    endStream(): void {
        this.finish({ type: "Whole" });
    }

    abortStream(): void {
        this.finish({ type: "Cut" });
    }

    fail(failure: RequestFailure): void {
        this.finish({ type: "Failed", failure });
    }

    private finish(end: TryEnd): void {
        this.result ??= end;
        this.wake();
    }
}
