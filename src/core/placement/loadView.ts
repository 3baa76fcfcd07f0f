/**
 * What is believed to be in progress at each endpoint: this entry's own requests, and those that other entries told of.
 *
 * The belief decays by itself: work ends by its deadline at the latest, and reading is taken as done when its predicted
 * time has passed.
 */
import type { Clock, Milliseconds } from "../../utils/clock.js";

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
    /** Predicted time of reading it at this endpoint. */
    readTime: Milliseconds;
    /** The longest pause that its caller wants; undefined where it doesn't write a stream. */
    targetGap: Milliseconds | undefined;
    /** What is lost when it is late, relative to other work. */
    value: number;
    /** Whether it lets later requests go first, as it is late in any case. */
    yielding: boolean;
    part: WorkPart;
    /** When it has ended at the latest. */
    endsBy: Milliseconds;
}

interface Work extends PlacedWork {
    placedAt: Milliseconds;
    writing: boolean;
    /** When its reading is predicted to end. */
    readUntil: Milliseconds;
}

/** Work in progress as one entry tells it to another that has just started: times as what is left of them. */
export type WorkInProgress = Omit<PlacedWork, "endsBy"> & { endsIn: Milliseconds; writing: boolean; };

/** What is in progress at one endpoint. */
export interface EndpointLoad {
    /** Requests of all phases, without parts for other endpoints. */
    requests: number;
    /** Those of them that a new request may overtake: they wait and yield. */
    overtakable: number;
    /** Requests that read, parts for other endpoints included. */
    readers: number;
    writers: number;
    /** Context that each step goes through, in tokens: of the writers, and of parts held for other endpoints. */
    contextTokens: number;
    /** Memory taken by all that is in progress, in tokens. */
    memoryTokens: number;
    /** Time until all reading is done. */
    readBacklog: Milliseconds;
    /** Sum of the values of what reads. */
    readingValue: number;
    /** Sum of the writers' values, by the pause they tolerate. */
    tolerances: { targetGap: Milliseconds; value: number; }[];
}

/**
 * An end is remembered for so long. Messages overtake one another, and work whose end came first would otherwise seem to
 * go on until its deadline, on an endpoint that is idle.
 */
const endRemembered: Milliseconds = 1_000;

const idle: EndpointLoad = {
    requests: 0,
    overtakable: 0,
    readers: 0,
    writers: 0,
    contextTokens: 0,
    memoryTokens: 0,
    readBacklog: 0,
    readingValue: 0,
    tolerances: [],
};

/** Work in progress by endpoint. */
export class LoadView {
    private readonly byEndpoint = new Map<string, Map<string, Work>>();
    /** When work ended that wasn't known, by endpoint and work. */
    private readonly ends = new Map<string, Milliseconds>();

    constructor(private readonly clock: Clock) {}

    /** Notes that work was placed. */
    place(work: PlacedWork): void {
        const now = this.clock.now();
        if (now - (this.ends.get(endKey(work.endpoint, work.id)) ?? -Infinity) < endRemembered) {
            return;
        }
        let works = this.byEndpoint.get(work.endpoint);
        if (!works) {
            works = new Map();
            this.byEndpoint.set(work.endpoint, works);
        }
        if (works.has(work.id)) {
            // Told twice; counted again it would seem to read behind itself.
            return;
        }
        let freeAt = now;
        for (const other of works.values()) {
            freeAt = Math.max(freeAt, other.writing || other.yielding ? 0 : other.readUntil);
        }
        works.set(work.id, { ...work, placedAt: now, writing: false, readUntil: freeAt + work.readTime });
    }

    /** Notes that work writes now; its reading, and a helper's part of it, are done. */
    writes(endpoint: string, id: string): void {
        const work = this.byEndpoint.get(endpoint)?.get(id);
        if (work) {
            work.writing = true;
        }
    }

    /** Notes that work has ended. */
    end(endpoint: string, id: string): void {
        if (this.byEndpoint.get(endpoint)?.delete(id)) {
            return;
        }
        const now = this.clock.now();
        this.ends.set(endKey(endpoint, id), now);
        for (const [key, at] of this.ends) {
            if (now - at < endRemembered) {
                break;
            }
            this.ends.delete(key);
        }
    }

    /** All work in progress, for an entry that has just started. */
    inProgress(): WorkInProgress[] {
        const now = this.clock.now();
        const all: WorkInProgress[] = [];
        for (const works of this.byEndpoint.values()) {
            for (const { placedAt, readUntil, endsBy, ...work } of works.values()) {
                if (now < endsBy && placedAt <= now) {
                    all.push({ ...work, readTime: Math.max(0, readUntil - now), endsIn: endsBy - now });
                }
            }
        }
        return all;
    }

    /** Takes what another entry knows to be in progress; what is known here already stays as it is. */
    learn(works: readonly WorkInProgress[]): void {
        const now = this.clock.now();
        for (const { endsIn, writing, ...work } of works) {
            this.place({ ...work, endsBy: now + endsIn });
            if (writing) {
                this.writes(work.endpoint, work.id);
            }
        }
    }

    /** Drops what `owner` placed before `before` and doesn't name in `inProgress`. */
    keepOnly(owner: string, inProgress: ReadonlySet<string>, before: Milliseconds): void {
        for (const works of this.byEndpoint.values()) {
            for (const work of works.values()) {
                if (work.owner === owner && work.placedAt <= before && !inProgress.has(work.id)) {
                    works.delete(work.id);
                }
            }
        }
    }

    /** What is in progress at `endpoint` now. */
    load(endpoint: string): EndpointLoad {
        const works = this.byEndpoint.get(endpoint);
        if (!works || works.size === 0) {
            return idle;
        }
        const now = this.clock.now();
        const load: EndpointLoad = { ...idle, tolerances: [] };
        for (const work of works.values()) {
            if (now >= work.endsBy || (work.part === WorkPart.Read && now >= work.readUntil)) {
                works.delete(work.id);
                continue;
            }
            addWork(load, work, now);
        }
        return load;
    }
}

const endKey = (endpoint: string, id: string): string => `${endpoint} ${id}`;

const addWork = (load: EndpointLoad, work: Work, now: Milliseconds): void => {
    if (work.part === WorkPart.Hold) {
        load.memoryTokens += work.contextTokens;
        if (now >= work.readUntil) {
            load.contextTokens += work.contextTokens;
            return;
        }
    }
    else if (work.part === WorkPart.Main) {
        load.requests++;
        load.memoryTokens += work.contextTokens;
    }
    if (!work.writing) {
        if (work.yielding) {
            load.overtakable++;
            return;
        }
        load.readers++;
        load.readBacklog = Math.max(load.readBacklog, work.readUntil - now);
        load.readingValue += work.value;
        return;
    }
    load.writers++;
    load.contextTokens += work.contextTokens;
    if (work.targetGap !== undefined) {
        load.tolerances.push({ targetGap: work.targetGap, value: work.value });
    }
};
