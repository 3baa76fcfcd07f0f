/**
 * What is believed to be in progress at each endpoint: this entry's own requests, and those that other entries told of.
 *
 * The belief decays by itself: work ends by its deadline at the latest, and engines go on by their published speeds.
 */
import type { EngineProfile } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { EngineEstimate, type EstimatedWork, type PlacedWork, WorkPart } from "./engineEstimate.js";

/** Work in progress as one entry tells it to another that has just started: times as what is left of them. */
export type WorkInProgress = Omit<PlacedWork, "endsBy"> & { endsIn: Milliseconds; writing: boolean; };

/** Work that was found to be over. */
export interface EndedWork {
    endpoint: string;
    id: string;
}

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
    /** Time until the pass that runs is over. */
    passLeft: Milliseconds;
    /** Time to read what waits for a later pass. */
    readBacklog: Milliseconds;
    /**
     * How much longer than predicted the oldest request here has waited without any other's first event. It tells of what no
     * prediction knows: an engine that is slow, or stalls, or was given work by somebody who can't be heard.
     */
    overdue: Milliseconds;
    /** Who reads and who writes here, as far as they mind waiting. */
    reading: WaitingRequest[];
    writing: WaitingRequest[];
}

/** Time until all that an endpoint reads now, and all that waits to be read, is done. */
export const readWait = (load: EndpointLoad): Milliseconds => load.passLeft + load.readBacklog;

/** A request that waits for its next event. */
export interface WaitingRequest {
    /** The longest pause that its caller wants. */
    targetGap: Milliseconds;
    value: number;
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
    passLeft: 0,
    readBacklog: 0,
    overdue: 0,
    reading: [],
    writing: [],
};

/** Work in progress by endpoint. */
export class LoadEstimator {
    private readonly beliefs = new Map<string, EngineEstimate>();
    /** Where the parts of work are placed. */
    private readonly endpointsOf = new Map<string, string[]>();
    /** When work ended that wasn't known, by endpoint and work. */
    private readonly ends = new Map<string, Milliseconds>();

    /** `engineOf` gives the speeds of an endpoint's engine; undefined for plain services. */
    constructor(
        private readonly clock: Clock,
        private readonly engineOf: (endpoint: string) => EngineProfile | undefined,
    ) {}

    /** Notes that work was placed. */
    place(work: PlacedWork): void {
        const now = this.clock.now();
        const { id, endpoint } = work;
        if (now - (this.ends.get(endKey(endpoint, id)) ?? -Infinity) < endRemembered) {
            return;
        }
        let belief = this.beliefs.get(endpoint);
        if (!belief) {
            belief = new EngineEstimate(() => this.engineOf(endpoint));
            this.beliefs.set(endpoint, belief);
        }
        if (belief.works.has(id)) {
            // Told twice; counted again it would seem to read behind itself.
            return;
        }
        belief.add({ ...work, placedAt: now, writing: false, begun: false, readLeft: work.readTime }, now);
        this.endpointsOf.set(id, [...this.endpointsOf.get(id) ?? [], endpoint]);
    }

    /** Notes that work writes now; its reading is done, and so are the parts that others read for it. */
    writes(endpoint: string, id: string): void {
        const belief = this.beliefs.get(endpoint);
        const work = belief?.works.get(id);
        if (!belief || !work) {
            return;
        }
        const now = this.clock.now();
        for (const place of this.endpointsOf.get(id) ?? []) {
            this.beliefs.get(place)?.noteRead(id, now);
        }
        work.writing = true;
        work.begun = true;
        belief.progressAt = now;
        belief.advance(now);
    }

    /** Notes that work has ended. */
    end(endpoint: string, id: string): void {
        if (this.beliefs.get(endpoint)?.works.has(id)) {
            this.remove(endpoint, id);
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
        for (const belief of this.beliefs.values()) {
            belief.advance(now);
            for (const { placedAt, readLeft, begun, endsBy, ...work } of belief.works.values()) {
                if (now < endsBy && placedAt <= now) {
                    all.push({
                        ...work,
                        ...restOf(work, readLeft),
                        writing: begun || work.writing,
                        endsIn: endsBy - now,
                    });
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

    /** Drops what `owner` placed before `before` and doesn't name in `inProgress`; returns what it drops. */
    keepOnly(owner: string, inProgress: ReadonlySet<string>, before: Milliseconds): EndedWork[] {
        const ended: EndedWork[] = [];
        for (const [endpoint, { works }] of this.beliefs) {
            for (const work of works.values()) {
                if (work.owner === owner && work.placedAt <= before && !inProgress.has(work.id)) {
                    this.remove(endpoint, work.id);
                    ended.push({ endpoint, id: work.id });
                }
            }
        }
        return ended;
    }

    /** What is in progress at `endpoint` now. */
    load(endpoint: string): EndpointLoad {
        const belief = this.beliefs.get(endpoint);
        if (!belief || belief.works.size === 0) {
            return idle;
        }
        const now = this.clock.now();
        belief.advance(now);
        const load: EndpointLoad = { ...idle, reading: [], writing: [], passLeft: belief.passLeft(now) };
        for (const work of belief.works.values()) {
            if (now >= work.endsBy || (work.part === WorkPart.Read && work.readLeft <= 0)) {
                this.remove(endpoint, work.id);
                continue;
            }
            addWork(load, work, belief.unread(work));
            load.overdue = Math.max(load.overdue, overdueOf(work, belief.progressAt, now));
        }
        return load;
    }

    private remove(endpoint: string, id: string): void {
        this.beliefs.get(endpoint)?.remove(id, this.clock.now());
        const places = this.endpointsOf.get(id)?.filter(place => place !== endpoint) ?? [];
        if (places.length > 0) {
            this.endpointsOf.set(id, places);
        }
        else {
            this.endpointsOf.delete(id);
        }
    }
}

/** Work that was read in part goes on as shorter work. */
const restOf = (work: Omit<PlacedWork, "endsBy">, readLeft: Milliseconds) => ({
    readTime: readLeft,
    readTokens: work.readTime > 0 ? work.readTokens * readLeft / work.readTime : 0,
});

/** The work waits for its first event, or for the word of it, although it must be there by now. */
const overdueOf = (work: EstimatedWork, progressAt: Milliseconds, now: Milliseconds): Milliseconds =>
    work.firstEventIn === undefined || work.yielding || work.begun
        ? 0
        : now - Math.max(work.placedAt + work.firstEventIn, progressAt);

const noteWaiting = (list: WaitingRequest[], { targetGap, value }: EstimatedWork): void => {
    if (targetGap !== undefined) {
        list.push({ targetGap, value });
    }
};

const endKey = (endpoint: string, id: string): string => `${endpoint} ${id}`;

const addWork = (load: EndpointLoad, work: EstimatedWork, unread: Milliseconds): void => {
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
        load.readBacklog += unread;
        noteWaiting(load.reading, work);
        return;
    }
    load.writers++;
    load.contextTokens += work.contextTokens;
    noteWaiting(load.writing, work);
};
