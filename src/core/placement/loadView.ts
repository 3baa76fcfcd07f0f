/**
 * What is believed to be in progress at each endpoint: this entry's own requests, and those that other entries told of.
 *
 * The belief decays by itself: work ends by its deadline at the latest, and reads go on in the engine's own order and at its
 * published speed.
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
    /** Of its read time, what is left as of the last look. */
    readLeft: Milliseconds;
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

/** The work of one endpoint. */
class EndpointWorks {
    readonly works = new Map<string, Work>();
    private readAt: Milliseconds;

    constructor(now: Milliseconds) {
        this.readAt = now;
    }

    /** Lets the reads go on until `now`. */
    advance(now: Milliseconds): void {
        let time = now - this.readAt;
        this.readAt = now;
        while (time > 0) {
            const next = this.nextRead();
            if (!next) {
                return;
            }
            const done = Math.min(time, next.readLeft);
            next.readLeft -= done;
            time -= done;
        }
    }

    /**
     * What the engine reads now: the newest part for another endpoint, else its own oldest prompt. Taken in the order of
     * arrival, a part that later ones overtook would seem done while it holds up everything else for seconds.
     */
    private nextRead(): Work | undefined {
        let part: Work | undefined;
        let own: Work | undefined;
        for (const work of this.works.values()) {
            if (work.readLeft <= 0 || work.writing || work.yielding) {
                continue;
            }
            if (work.part === WorkPart.Main) {
                own ??= work;
            }
            else {
                part = work;
            }
        }
        return part ?? own;
    }
}

/** Work in progress by endpoint. */
export class LoadView {
    private readonly byEndpoint = new Map<string, EndpointWorks>();
    /** Where the parts of work are placed. */
    private readonly endpointsOf = new Map<string, string[]>();
    /** When work ended that wasn't known, by endpoint and work. */
    private readonly ends = new Map<string, Milliseconds>();

    constructor(private readonly clock: Clock) {}

    /** Notes that work was placed. */
    place(work: PlacedWork): void {
        const now = this.clock.now();
        if (now - (this.ends.get(endKey(work.endpoint, work.id)) ?? -Infinity) < endRemembered) {
            return;
        }
        let present = this.byEndpoint.get(work.endpoint);
        if (!present) {
            present = new EndpointWorks(now);
            this.byEndpoint.set(work.endpoint, present);
        }
        if (present.works.has(work.id)) {
            // Told twice; counted again it would seem to read behind itself.
            return;
        }
        present.advance(now);
        present.works.set(work.id, { ...work, placedAt: now, writing: false, readLeft: work.readTime });
        const places = this.endpointsOf.get(work.id);
        if (places) {
            places.push(work.endpoint);
        }
        else {
            this.endpointsOf.set(work.id, [work.endpoint]);
        }
    }

    /** Notes that work writes now; its reading is done, and so are the parts that others read for it. */
    writes(endpoint: string, id: string): void {
        const work = this.byEndpoint.get(endpoint)?.works.get(id);
        if (!work) {
            return;
        }
        const now = this.clock.now();
        for (const place of this.endpointsOf.get(id) ?? []) {
            const present = this.byEndpoint.get(place);
            const part = present?.works.get(id);
            if (present && part) {
                present.advance(now);
                part.readLeft = 0;
            }
        }
        work.writing = true;
    }

    /** Notes that work has ended. */
    end(endpoint: string, id: string): void {
        const now = this.clock.now();
        const present = this.byEndpoint.get(endpoint);
        if (present?.works.has(id)) {
            present.advance(now);
            this.remove(endpoint, id);
            return;
        }
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
        for (const present of this.byEndpoint.values()) {
            present.advance(now);
            for (const { placedAt, readLeft, endsBy, ...work } of present.works.values()) {
                if (now < endsBy && placedAt <= now) {
                    all.push({ ...work, readTime: readLeft, endsIn: endsBy - now });
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
        for (const [endpoint, { works }] of this.byEndpoint) {
            for (const work of works.values()) {
                if (work.owner === owner && work.placedAt <= before && !inProgress.has(work.id)) {
                    this.remove(endpoint, work.id);
                }
            }
        }
    }

    /** What is in progress at `endpoint` now. */
    load(endpoint: string): EndpointLoad {
        const present = this.byEndpoint.get(endpoint);
        if (!present || present.works.size === 0) {
            return idle;
        }
        const now = this.clock.now();
        present.advance(now);
        const load: EndpointLoad = { ...idle, tolerances: [] };
        for (const work of present.works.values()) {
            if (now >= work.endsBy || (work.part === WorkPart.Read && work.readLeft <= 0)) {
                this.remove(endpoint, work.id);
                continue;
            }
            addWork(load, work);
        }
        return load;
    }

    private remove(endpoint: string, id: string): void {
        this.byEndpoint.get(endpoint)?.works.delete(id);
        const places = this.endpointsOf.get(id)?.filter(place => place !== endpoint) ?? [];
        if (places.length > 0) {
            this.endpointsOf.set(id, places);
        }
        else {
            this.endpointsOf.delete(id);
        }
    }
}

const endKey = (endpoint: string, id: string): string => `${endpoint} ${id}`;

const addWork = (load: EndpointLoad, work: Work): void => {
    if (work.part === WorkPart.Hold) {
        load.memoryTokens += work.contextTokens;
        if (work.readLeft <= 0) {
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
        load.readBacklog += work.readLeft;
        load.readingValue += work.value;
        return;
    }
    load.writers++;
    load.contextTokens += work.contextTokens;
    if (work.targetGap !== undefined) {
        load.tolerances.push({ targetGap: work.targetGap, value: work.value });
    }
};
