/**
 * Simulates one caller of a replay. The caller sends a request, retries after the delay that a rejection names, resumes a
 * stream where it was cut, and records whether the response met its targets.
 */
import type { EntryCore } from "../core/entryCore.js";
import { Execution, type RequestFailure } from "../core/failures.js";
import type { CallerExchange, RequestHead, ResponseHead } from "../ports/forwardingPorts.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import { abortQuietly } from "../utils/signal.js";
import type { PatternRequestKind } from "./pattern.js";
import type { ReplayArrival } from "./replayArrivals.js";
import type { SimulatedFleet } from "./simulatedFleet.js";

/** Outcome of a request, as its caller sees it. */
export enum CallerOutcome {
    InTime = "in time",
    Late = "late",
    Refused = "refused",
    Failed = "failed",
}

/** Outcome and timing of one caller's request. */
export interface CallerRecord {
    arrival: ReplayArrival;
    outcome: CallerOutcome;
    /** Time from the arrival to the first event; undefined if no event arrived. */
    firstEvent: Milliseconds | undefined;
    longestPause: Milliseconds;
    /** Request ids of the tries, as the entries log them. */
    requestIds: string[];
    /** The first try; undefined if none was sent. */
    firstTry: FirstTry | undefined;
    /** How each try ended. */
    tries: CallerTry[];
    /** Identifiers of all received events. */
    eventIds: number[];
}

/** One try of a caller, and its end as the caller sees it. */
export interface CallerTry {
    requestId: string;
    result: TryResult;
    /** Number of events that this try brought. */
    eventCount: number;
    /** Whether its end was at the caller's deadline. */
    hasTimedOut: boolean;
}

/** The first try of a caller. */
export interface FirstTry {
    entry: string;
    /** Whether the response was complete. */
    isServed: boolean;
}

/** Callers retry once after a failure. */
const maximumTries = 2;
/** Upper bound of the delay before a retry, as a fraction of the remaining time. */
const maximumRetryDelayRatio = 1 / 3;
/** Callers wait for the next event for the longest of a fixed time and multiples of the target latency and the target gap. */
const minimumPatience: Milliseconds = 2_000;
const patiencePerTarget = 4;
const patiencePerTargetGap = 8;

/** Upper bound of the response length that callers request, relative to the mean length. */
const maximumAnswerFactor = 2;

/** Result of one try: complete, ended in the middle, given up by the caller, or without a response. */
export type TryResult = { type: "Whole" | "Cut" | "Left"; } | { type: "Failed"; failure: RequestFailure; };

/** Dependencies of the simulated callers. */
export interface CallerDependencies {
    clock: Clock;
    fleet: SimulatedFleet;
    /** Picks the entry for the next try, as a load balancer does. */
    pickEntry: (isFirstTry: boolean) => EntryCore;
}

/** Simulates one caller until its request has ended. */
export const simulateCaller = async (
    dependencies: CallerDependencies,
    arrival: ReplayArrival,
    kind: PatternRequestKind,
): Promise<CallerRecord> => {
    const caller = new SimulatedCaller(dependencies, arrival, kind);
    return await caller.run();
};

class SimulatedCaller {
    private readonly startedAt: Milliseconds;
    private firstEvent: Milliseconds | undefined;
    private lastEventAt: Milliseconds;
    private longestPause: Milliseconds = 0;
    private readonly eventIds: number[] = [];
    private readonly tries: CallerTry[] = [];
    private readonly requestIds: string[] = [];
    private firstTry: FirstTry | undefined;

    constructor(
        private readonly dependencies: CallerDependencies,
        private readonly arrival: ReplayArrival,
        private readonly kind: PatternRequestKind,
    ) {
        this.startedAt = dependencies.clock.now();
        this.lastEventAt = this.startedAt;
    }

    async run(): Promise<CallerRecord> {
        let wasRefused = false;
        for (let tryIndex = 0; tryIndex < maximumTries && this.remainingTime > 0; tryIndex++) {
            const requestId = `${this.arrival.id}.${tryIndex}`;
            const eventCountBefore = this.eventIds.length;
            const result = await this.sendRequest(requestId);
            this.tries.push({
                requestId,
                result,
                eventCount: this.eventIds.length - eventCountBefore,
                hasTimedOut: this.remainingTime <= 0,
            });
            if (result.type === "Whole") {
                this.firstTry!.isServed = tryIndex === 0;
                return this.createRecord(this.isInTime ? CallerOutcome.InTime : CallerOutcome.Late);
            }
            if (result.type === "Left") {
                return this.createRecord(CallerOutcome.Failed);
            }
            wasRefused = result.type === "Failed" && result.failure.execution === Execution.NotRun;
            const retryDelay = result.type === "Failed" ? (result.failure.retryAfterSeconds ?? 0) * 1_000 : 0;
            await this.dependencies.clock.sleep(Math.min(retryDelay, this.remainingTime * maximumRetryDelayRatio));
        }
        return this.createRecord(wasRefused ? CallerOutcome.Refused : CallerOutcome.Failed);
    }

    private get remainingTime(): Milliseconds {
        return this.startedAt + this.kind.timeout - this.dependencies.clock.now();
    }

    private get isInTime(): boolean {
        return (this.firstEvent ?? Infinity) <= this.kind.target && this.longestPause <= this.kind.targetGap;
    }

    private async sendRequest(id: string): Promise<TryResult> {
        const { clock, fleet, pickEntry } = this.dependencies;
        this.requestIds.push(id);
        fleet.setEventCount(id, this.arrival.answerEvents);
        const { at: arrivedAt, crashes } = this.arrival;
        if (crashes) {
            const offset = this.startedAt - arrivedAt;
            fleet.markCrashing(id, { from: crashes.from + offset, until: crashes.until + offset });
        }
        const body = Buffer.from(this.arrival.content);
        const exchange = new SimulatedExchange(this.createHead(id), body, event => this.recordEvent(event));
        const { target, targetGap } = this.kind;
        const patience = Math.max(minimumPatience, patiencePerTarget * target, patiencePerTargetGap * targetGap);
        const entry = pickEntry(this.firstTry === undefined);
        this.firstTry ??= { entry: entry.id, isServed: false };
        const served = entry.forwarder.serve(exchange);
        while (exchange.result === undefined) {
            const deadline = Math.min(this.lastEventAt + patience, this.startedAt + this.kind.timeout);
            if (clock.now() >= deadline) {
                exchange.disconnect();
                return { type: "Left" };
            }
            let stopTimer = () => {};
            const deadlinePassed = new Promise<void>(resolve => {
                stopTimer = clock.after(deadline - clock.now(), resolve);
            });
            await Promise.race([served, exchange.waitForChange(), deadlinePassed]);
            stopTimer();
        }
        return exchange.result;
    }

    private recordEvent(event: number): void {
        const now = this.dependencies.clock.now();
        if (this.firstEvent === undefined) {
            this.firstEvent = now - this.startedAt;
        }
        else {
            this.longestPause = Math.max(this.longestPause, now - this.lastEventAt);
        }
        this.lastEventAt = now;
        this.eventIds.push(event);
    }

    private createHead(id: string): RequestHead {
        const { answerAtMost, answerEvents } = this.kind;
        const { stepsPerPass } = this.dependencies.fleet.profile;
        return {
            id,
            method: "POST",
            target: `/${this.arrival.kind}/${this.arrival.content}`,
            host: "replay",
            headers: [],
            apiKey: this.arrival.customer,
            callerTimeout: this.remainingTime,
            arrivedAt: this.dependencies.clock.now(),
            sharedParts: this.arrival.parts,
            lastEventId: this.eventIds.at(-1)?.toString(),
            size: {
                promptTokens: this.arrival.promptTokens,
                maximumAnswerTokens: Math.min(answerAtMost, maximumAnswerFactor * answerEvents) * stepsPerPass,
            },
        };
    }

    private createRecord(outcome: CallerOutcome): CallerRecord {
        const { arrival, firstEvent, longestPause, requestIds, firstTry, tries, eventIds } = this;
        return { arrival, outcome, firstEvent, longestPause, requestIds, firstTry, tries, eventIds };
    }
}

/** The exchange that an entry serves for one try. */
class SimulatedExchange implements CallerExchange {
    result: TryResult | undefined;
    private readonly disconnectController = new AbortController();
    private notifyWaiter: () => void = () => {};

    constructor(
        readonly head: RequestHead,
        private readonly body: Buffer,
        private readonly onEvent: (event: number) => void,
    ) {}

    get disconnected(): AbortSignal {
        return this.disconnectController.signal;
    }

    /** Resolves at the next event or at the end of the exchange. */
    waitForChange(): Promise<void> {
        return new Promise(resolve => {
            this.notifyWaiter = resolve;
        });
    }

    disconnect(): void {
        this.result = { type: "Left" };
        abortQuietly(this.disconnectController);
    }

    readBody(): Promise<Buffer> {
        return Promise.resolve(this.body);
    }

    respond(): void {
        this.finish({ type: "Cut" });
    }

    beginStream(head: ResponseHead): void {
        void head;
    }

    write(bytes: Buffer): Promise<void> {
        this.onEvent(Number(bytes.toString()));
        this.notifyWaiter();
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

    private finish(result: TryResult): void {
        this.result ??= result;
        this.notifyWaiter();
    }
}
