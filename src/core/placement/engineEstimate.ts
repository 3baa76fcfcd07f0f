/**
 * Simulates the passes of one endpoint's engine from the work placed there.
 *
 * A request waits for the end of the running pass, and each prefill in a pass delays all requests in that pass. An
 * estimate without passes shows an endpoint as free half a second too early, and all entries then send it the requests of
 * that half second.
 */
import type { EngineProfile } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import { passDuration } from "./engineCost.js";

/** Which part of a request an endpoint executes. */
export enum WorkPart {
    /** The whole request, or everything but the prefill parts of its helpers. */
    Main = "main",
    /** Prefills a part of the prompt for another endpoint. */
    Read = "read",
    /** Prefills a part, and holds its memory until the request ends. */
    Hold = "hold",
}

/** A request, or a part of one, placed at an endpoint. */
export interface PlacedWork {
    /** Identifies the attempt across all entries. */
    id: string;
    /** The entry that placed the work. */
    owner: string;
    endpoint: string;
    /** Memory in use at this endpoint until the work ends, in tokens; 0 for plain services. */
    contextTokens: number;
    /** Tokens to prefill at this endpoint, and the predicted prefill time. */
    readTokens: number;
    readTime: Milliseconds;
    /** The longest gap between events that the caller accepts; undefined where the response is no stream. */
    targetGap: Milliseconds | undefined;
    /** Value that is lost when the work is late, relative to other work. */
    value: number;
    /** Whether later requests may overtake the work, as it will be late even without them. */
    yielding: boolean;
    part: WorkPart;
    /** Predicted time to the first event; undefined where it depends on other endpoints too. */
    firstEventIn: Milliseconds | undefined;
    /** Customer that sent the request. Missing where callers need no keys, and in messages of earlier versions. */
    customer?: string;
    /** Time by which the work has ended at the latest. */
    endsBy: Milliseconds;
}

/** Placed work with its estimated progress. */
export interface EstimatedWork extends PlacedWork {
    placedAt: Milliseconds;
    /** Whether the work is estimated to decode. */
    writing: boolean;
    /** Whether the first event was reported. */
    hasFirstEvent: boolean;
    /** Remaining part of `readTime`, as of the last advance. */
    remainingReadTime: Milliseconds;
}

/** The prefill of one request within a pass. */
interface PassPrefill {
    work: EstimatedWork;
    time: Milliseconds;
}

/** End time of the pass while there is none. */
const noPassEnd: Milliseconds = -Infinity;
/** A remainder below this counts as complete, against rounding errors. */
const negligiblePrefillTime: Milliseconds = 0.01;

/** The estimated work of one endpoint, and the running pass of its engine. */
export class EngineEstimate {
    readonly workById = new Map<string, EstimatedWork>();
    /** When a request at this endpoint last had its first event. */
    lastFirstEventAt: Milliseconds = -Infinity;
    private passStartedAt: Milliseconds = noPassEnd;
    private passEndsAt: Milliseconds = noPassEnd;
    /** Whether the pass contains no decoding requests; the engine can then end it after any step. */
    private isPrefillOnlyPass = false;
    private passPrefills: PassPrefill[] = [];

    /** `engine` returns undefined for plain services. */
    constructor(private readonly engine: () => EngineProfile | undefined) {}

    /** Adds work as of `now`. */
    add(work: EstimatedWork, now: Milliseconds): void {
        this.advance(now);
        this.workById.set(work.id, work);
        if (this.isPrefillOnlyPass && now < this.passEndsAt) {
            this.truncatePass(now);
        }
        this.advance(now);
    }

    /** Removes work that has ended or was cancelled, and cuts its prefill out of the running pass. */
    remove(id: string, now: Milliseconds): void {
        this.advance(now);
        this.workById.delete(id);
        const prefill = this.passPrefills.find(({ work }) => work.id === id);
        if (prefill) {
            this.passPrefills = this.passPrefills.filter(other => other !== prefill);
            this.passEndsAt = Math.max(now, this.passEndsAt - prefill.time);
            this.advance(now);
        }
    }

    /** Completes the prefill of a request that decodes now, and ends the pass that contains the prefill. */
    completePrefill(id: string, now: Milliseconds): void {
        this.advance(now);
        const work = this.workById.get(id);
        if (!work || work.remainingReadTime <= 0) {
            return;
        }
        const isInPass = this.passPrefills.some(prefill => prefill.work === work);
        work.remainingReadTime = 0;
        if (isInPass) {
            this.passEndsAt = now;
            this.advance(now);
        }
    }

    /** Simulates passes until `now`. */
    advance(now: Milliseconds): void {
        for (let nextPassAt = this.passEndsAt; nextPassAt <= now;) {
            this.finishPass();
            nextPassAt = this.beginPass(nextPassAt === noPassEnd ? now : nextPassAt, now);
        }
    }

    /** Time until the running pass ends; 0 where none runs. */
    remainingPassTime(now: Milliseconds): Milliseconds {
        return Math.max(0, this.passEndsAt - now);
    }

    /** Prefill time of the work that remains after the running pass. */
    prefillAfterPass(work: EstimatedWork): Milliseconds {
        const timeInPass = this.passPrefills.find(prefill => prefill.work === work)?.time ?? 0;
        return Math.max(0, work.remainingReadTime - timeInPass);
    }

    private finishPass(): void {
        for (const { work, time } of this.passPrefills) {
            work.remainingReadTime = work.remainingReadTime - time < negligiblePrefillTime
                ? 0
                : work.remainingReadTime - time;
            const isWithoutHelpers = work.part === WorkPart.Main && work.firstEventIn !== undefined;
            work.writing ||= isWithoutHelpers && work.remainingReadTime === 0;
        }
        this.passPrefills = [];
    }

    /** Ends the running pass at a step boundary, and counts the prefill up to there. */
    private truncatePass(now: Milliseconds): void {
        const completedShare = (now - this.passStartedAt) / (this.passEndsAt - this.passStartedAt);
        this.passPrefills = this.passPrefills.map(({ work, time }) => ({ work, time: time * completedShare }));
        this.passEndsAt = now;
    }

    /** Begins the next pass at `startsAt` and returns its end; infinity where there is no work. */
    private beginPass(startsAt: Milliseconds, now: Milliseconds): Milliseconds {
        const engine = this.engine();
        const pending = this.pendingPrefills();
        const { decodeCount, contextTokens } = this.decodeLoad();
        this.passStartedAt = startsAt;
        if (!engine || (decodeCount === 0 && pending.length === 0)) {
            this.passEndsAt = noPassEnd;
            return Infinity;
        }
        this.isPrefillOnlyPass = decodeCount === 0;
        if (this.isPrefillOnlyPass) {
            const [work] = pending;
            this.passPrefills = [{ work: work!, time: work!.remainingReadTime }];
            this.passEndsAt = startsAt + work!.remainingReadTime
                + Math.ceil(work!.readTokens / engine.chunkTokens) * engine.stepTime;
            return this.passEndsAt;
        }
        this.passPrefills = planPassPrefills(engine, pending);
        const decodeTime = passDuration(engine, decodeCount, contextTokens);
        // Decode-only passes are alike; skips the passes that have ended since the last advance.
        const endedPassCount = this.passPrefills.length === 0
            ? Math.floor(Math.max(0, now - startsAt) / decodeTime)
            : 0;
        this.passStartedAt = startsAt + endedPassCount * decodeTime;
        this.passEndsAt = this.passStartedAt + decodeTime + this.passPrefills.reduce((sum, { time }) => sum + time, 0);
        return this.passEndsAt;
    }

    private decodeLoad(): { decodeCount: number; contextTokens: number; } {
        let decodeCount = 0;
        let contextTokens = 0;
        for (const work of this.workById.values()) {
            const holdsMemory = work.part === WorkPart.Hold && work.remainingReadTime <= 0;
            decodeCount += work.writing ? 1 : 0;
            contextTokens += work.writing || holdsMemory ? work.contextTokens : 0;
        }
        return { decodeCount, contextTokens };
    }

    /**
     * Pending prefills in the engine's order: parts for other endpoints, the newest first, then the endpoint's own
     * prompts by arrival. In plain order of arrival, a part that later parts overtook would seem complete while it still
     * delays all other work for seconds.
     */
    private pendingPrefills(): EstimatedWork[] {
        const helperPrefills: EstimatedWork[] = [];
        const ownPrompts: EstimatedWork[] = [];
        for (const work of this.workById.values()) {
            if (work.remainingReadTime <= 0 || work.writing || work.yielding) {
                continue;
            }
            if (work.part === WorkPart.Main) {
                ownPrompts.push(work);
            }
            else {
                helperPrefills.unshift(work);
            }
        }
        return helperPrefills.length === 0 ? ownPrompts : [...helperPrefills, ...ownPrompts];
    }
}

/** Fills a pass with pending prefills, one chunk per step. */
const planPassPrefills = (engine: EngineProfile, pending: readonly EstimatedWork[]): PassPrefill[] => {
    let remainingPassTokens = engine.chunkTokens * engine.stepsPerPass;
    const prefills: PassPrefill[] = [];
    for (const work of pending) {
        if (remainingPassTokens <= 0) {
            break;
        }
        const remainingTokens = work.readTokens * work.remainingReadTime / work.readTime;
        const prefilledTokens = Math.min(remainingPassTokens, remainingTokens);
        prefills.push({
            work,
            time: remainingTokens > 0
                ? work.remainingReadTime * prefilledTokens / remainingTokens
                : work.remainingReadTime,
        });
        remainingPassTokens -= prefilledTokens;
    }
    return prefills;
};
