/**
 * What one endpoint is believed to do: the passes of its engine, played on from what was placed there.
 *
 * A request waits for the end of the pass that runs, and everything read in a pass holds up all that is in it. Without the
 * passes an endpoint seems free half a second before it is; all entries then send there what comes in that time.
 */
import type { EngineProfile } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import { passTime } from "./engineCost.js";

/** What of a request an endpoint does. */
export enum WorkPart {
    /** All of it, or all but what others read for it. */
    Main = "main",
    /** Reads a part of the prompt for another endpoint. */
    Read = "read",
    /** Reads a part, and holds a part's memory until the request ends. */
    Hold = "hold",
}

/** A request placed at an endpoint. */
export interface PlacedWork {
    /** Names the attempt over all entries. */
    id: string;
    /** The entry that placed it. */
    owner: string;
    endpoint: string;
    /** Memory that it needs here until its end, in tokens; 0 for plain services. */
    contextTokens: number;
    /** Tokens that are read at this endpoint, and the predicted time of reading them. */
    readTokens: number;
    readTime: Milliseconds;
    /** The longest pause that its caller wants; undefined where it doesn't write a stream. */
    targetGap: Milliseconds | undefined;
    /** What is lost when it is late, relative to other work. */
    value: number;
    /** Whether it lets later requests go first, as it is late in any case. */
    yielding: boolean;
    part: WorkPart;
    /** Predicted time to its first event; undefined where that depends on other endpoints too. */
    firstEventIn: Milliseconds | undefined;
    /** When it has ended at the latest. */
    endsBy: Milliseconds;
}

/** Work with what is believed to have become of it. */
export interface EstimatedWork extends PlacedWork {
    placedAt: Milliseconds;
    /** Whether it is believed to write. */
    writing: boolean;
    /** Whether its first event is known to have come. */
    begun: boolean;
    /** Of its read time, what is left as of the last look. */
    readLeft: Milliseconds;
}

/** What a pass reads of one request. */
interface PassRead {
    work: EstimatedWork;
    time: Milliseconds;
}

/** The end of no pass: there is nothing to do. */
const idle: Milliseconds = -Infinity;
/** Less than this is taken as read. */
const readRest: Milliseconds = 0.01;

/** The work of one endpoint, and its engine. */
export class EngineEstimate {
    readonly works = new Map<string, EstimatedWork>();
    /** When a request here last had its first event. */
    progressAt: Milliseconds = -Infinity;
    private passBegan: Milliseconds = idle;
    private passEnds: Milliseconds = idle;
    /** Whether the pass reads for nobody who writes: it can then be broken off at any step. */
    private readsAlone = false;
    private reads: PassRead[] = [];

    /** `engine` is undefined for plain services. */
    constructor(private readonly engine: () => EngineProfile | undefined) {}

    /** Adds work as of `now`. */
    add(work: EstimatedWork, now: Milliseconds): void {
        this.advance(now);
        this.works.set(work.id, work);
        if (this.readsAlone && now < this.passEnds) {
            this.breakOff(now);
        }
        this.advance(now);
    }

    /** Work is over, or was taken back; what is being read for it is broken off. */
    remove(id: string, now: Milliseconds): void {
        this.advance(now);
        this.works.delete(id);
        const read = this.reads.find(({ work }) => work.id === id);
        if (read) {
            this.reads = this.reads.filter(other => other !== read);
            this.passEnds = Math.max(now, this.passEnds - read.time);
            this.advance(now);
        }
    }

    /** The request writes, so what was read for it here is done, and the pass that read it is over. */
    noteRead(id: string, now: Milliseconds): void {
        this.advance(now);
        const work = this.works.get(id);
        if (!work || work.readLeft <= 0) {
            return;
        }
        const inPass = this.reads.some(read => read.work === work);
        work.readLeft = 0;
        if (inPass) {
            this.passEnds = now;
            this.advance(now);
        }
    }

    /** Lets passes go on until `now`. */
    advance(now: Milliseconds): void {
        for (let at = this.passEnds; at <= now;) {
            this.finishPass();
            at = this.beginPass(at === idle ? now : at, now);
        }
    }

    /** Time until the pass that runs is over; 0 where none does. */
    passLeft(now: Milliseconds): Milliseconds {
        return Math.max(0, this.passEnds - now);
    }

    /** What of the work is left to be read once the pass that runs is over. */
    unread(work: EstimatedWork): Milliseconds {
        const inPass = this.reads.find(read => read.work === work)?.time ?? 0;
        return Math.max(0, work.readLeft - inPass);
    }

    private finishPass(): void {
        for (const { work, time } of this.reads) {
            work.readLeft = work.readLeft - time < readRest ? 0 : work.readLeft - time;
            const alone = work.part === WorkPart.Main && work.firstEventIn !== undefined;
            work.writing ||= alone && work.readLeft === 0;
        }
        this.reads = [];
    }

    /** A step has ended; what was read until then counts. */
    private breakOff(now: Milliseconds): void {
        const done = (now - this.passBegan) / (this.passEnds - this.passBegan);
        this.reads = this.reads.map(({ work, time }) => ({ work, time: time * done }));
        this.passEnds = now;
    }

    /** Begins the next pass at `at`, and returns its end; infinity where there is nothing to do. */
    private beginPass(at: Milliseconds, now: Milliseconds): Milliseconds {
        const engine = this.engine();
        const waiting = this.waitingReads();
        const { writers, contextTokens } = this.writing();
        this.passBegan = at;
        if (!engine || (writers === 0 && waiting.length === 0)) {
            this.passEnds = idle;
            return Infinity;
        }
        this.readsAlone = writers === 0;
        if (this.readsAlone) {
            const [work] = waiting;
            this.reads = [{ work: work!, time: work!.readLeft }];
            this.passEnds = at + work!.readLeft + Math.ceil(work!.readTokens / engine.chunkTokens) * engine.stepTime;
            return this.passEnds;
        }
        this.reads = readsOfPass(engine, waiting);
        const writes = passTime(engine, writers, contextTokens);
        // Passes that only write are alike, and many may have gone by since the last look.
        const gone = this.reads.length === 0 ? Math.floor(Math.max(0, now - at) / writes) : 0;
        this.passBegan = at + gone * writes;
        this.passEnds = this.passBegan + writes + this.reads.reduce((sum, { time }) => sum + time, 0);
        return this.passEnds;
    }

    private writing(): { writers: number; contextTokens: number; } {
        let writers = 0;
        let contextTokens = 0;
        for (const work of this.works.values()) {
            const holds = work.part === WorkPart.Hold && work.readLeft <= 0;
            writers += work.writing ? 1 : 0;
            contextTokens += work.writing || holds ? work.contextTokens : 0;
        }
        return { writers, contextTokens };
    }

    /**
     * What waits to be read, in the engine's order: parts for other endpoints, the newest first, then its own prompts as
     * they came. Taken in the order of arrival, a part that later ones overtook would seem done while it holds up
     * everything else for seconds.
     */
    private waitingReads(): EstimatedWork[] {
        const parts: EstimatedWork[] = [];
        const own: EstimatedWork[] = [];
        for (const work of this.works.values()) {
            if (work.readLeft <= 0 || work.writing || work.yielding) {
                continue;
            }
            if (work.part === WorkPart.Main) {
                own.push(work);
            }
            else {
                parts.unshift(work);
            }
        }
        return parts.length === 0 ? own : [...parts, ...own];
    }
}

/** What a pass reads: a chunk in each of its steps. */
const readsOfPass = (engine: EngineProfile, waiting: readonly EstimatedWork[]): PassRead[] => {
    let tokens = engine.chunkTokens * engine.stepsPerPass;
    const reads: PassRead[] = [];
    for (const work of waiting) {
        if (tokens <= 0) {
            break;
        }
        const left = work.readTokens * work.readLeft / work.readTime;
        const taken = Math.min(tokens, left);
        reads.push({ work, time: left > 0 ? work.readLeft * taken / left : work.readLeft });
        tokens -= taken;
    }
    return reads;
};
