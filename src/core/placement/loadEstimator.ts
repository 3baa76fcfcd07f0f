/**
 * Estimates the work in progress at each endpoint from this entry's own requests and the updates of other entries.
 *
 * The estimates are soft state: work ends by its deadline at the latest, and engines are assumed to progress at their
 * published speeds.
 */
import type { EngineProfile } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { EngineEstimate, type EstimatedWork, type PlacedWork, WorkPart } from "./engineEstimate.js";

/** Work in progress as sent to an entry that has just started, with remaining durations instead of points in time. */
export type WorkInProgress = Omit<PlacedWork, "endsBy"> & { endsIn: Milliseconds; writing: boolean; };

/** Work that is no longer in progress. */
export interface EndedWork {
    endpoint: string;
    id: string;
}

/** Estimated load of one endpoint. */
export interface EndpointLoad {
    /** Requests in any phase, without parts for other endpoints. */
    requestCount: number;
    /** Requests among them that wait and yield, so that a new request may overtake them. */
    yieldingCount: number;
    /** Requests in prefill, including parts for other endpoints. */
    prefillCount: number;
    decodeCount: number;
    /** Context that each step processes, in tokens: of decoding requests, and of parts held for other endpoints. */
    contextTokens: number;
    /** Memory in use by all work in progress, in tokens. */
    memoryTokens: number;
    /** Time until the running pass ends. */
    remainingPassTime: Milliseconds;
    /** Time to prefill the prompts that wait for a later pass. */
    prefillBacklog: Milliseconds;
    /**
     * Time by which the oldest request has exceeded its predicted first event while no other request had one. It reveals
     * what no prediction covers: an engine that is slow or stalls, or work placed by an unreachable entry.
     */
    overdueTime: Milliseconds;
    /** Requests in prefill and in decode whose callers have a target gap. */
    prefilling: WaitingRequest[];
    decoding: WaitingRequest[];
}

/** Time until an endpoint has finished its running pass and its prefill backlog. */
export const prefillWait = (load: EndpointLoad): Milliseconds => load.remainingPassTime + load.prefillBacklog;

/** A request that waits for its next event. */
export interface WaitingRequest {
    /** The longest gap between events that its caller accepts. */
    targetGap: Milliseconds;
    value: number;
}

/**
 * How long ends of unknown work are remembered. Messages can arrive out of order; without this memory, work whose end
 * arrives first would seem to run until its deadline on an idle endpoint.
 */
const endRetention: Milliseconds = 1_000;

const idleLoad: EndpointLoad = {
    requestCount: 0,
    yieldingCount: 0,
    prefillCount: 0,
    decodeCount: 0,
    contextTokens: 0,
    memoryTokens: 0,
    remainingPassTime: 0,
    prefillBacklog: 0,
    overdueTime: 0,
    prefilling: [],
    decoding: [],
};

/** Estimates work in progress by endpoint. */
export class LoadEstimator {
    private readonly estimateByEndpoint = new Map<string, EngineEstimate>();
    /** Ids of the endpoints that have parts of a work, by work id. */
    private readonly endpointsByWork = new Map<string, string[]>();
    /** Ids of the work in progress that each entry placed, so that a heartbeat costs no search over all work. */
    private readonly workIdsByOwner = new Map<string, Set<string>>();
    /** End times of work that was unknown when its end arrived, by endpoint and work id. */
    private readonly endTimes = new Map<string, Milliseconds>();

    /** `engineOf` returns the speeds of an endpoint's engine; undefined for plain services. */
    constructor(
        private readonly clock: Clock,
        private readonly engineOf: (endpoint: string) => EngineProfile | undefined,
    ) {}

    /** Records that work was placed. */
    recordPlaced(work: PlacedWork): void {
        const now = this.clock.now();
        const { id, endpoint } = work;
        if (now - (this.endTimes.get(endKey(endpoint, id)) ?? -Infinity) < endRetention) {
            return;
        }
        let estimate = this.estimateByEndpoint.get(endpoint);
        if (!estimate) {
            estimate = new EngineEstimate(() => this.engineOf(endpoint));
            this.estimateByEndpoint.set(endpoint, estimate);
        }
        if (estimate.workById.has(id)) {
            // A duplicate update; counting the work twice would make it wait behind itself.
            return;
        }
        estimate.add(
            { ...work, placedAt: now, writing: false, hasFirstEvent: false, remainingReadTime: work.readTime },
            now,
        );
        this.endpointsByWork.set(id, [...this.endpointsByWork.get(id) ?? [], endpoint]);
        this.workIdsByOwner.set(work.owner, (this.workIdsByOwner.get(work.owner) ?? new Set()).add(id));
    }

    /** Records that work has started to decode, so its prefill and the parts of its helpers are complete. */
    recordWriting(endpoint: string, id: string): void {
        const estimate = this.estimateByEndpoint.get(endpoint);
        const work = estimate?.workById.get(id);
        if (!estimate || !work) {
            return;
        }
        const now = this.clock.now();
        for (const partEndpoint of this.endpointsByWork.get(id) ?? []) {
            this.estimateByEndpoint.get(partEndpoint)?.completePrefill(id, now);
        }
        work.writing = true;
        work.hasFirstEvent = true;
        estimate.lastFirstEventAt = now;
        estimate.advance(now);
    }

    /** Records that work has ended. */
    recordEnded(endpoint: string, id: string): void {
        if (this.estimateByEndpoint.get(endpoint)?.workById.has(id)) {
            this.remove(endpoint, id);
            return;
        }
        const now = this.clock.now();
        this.endTimes.set(endKey(endpoint, id), now);
        for (const [key, endedAt] of this.endTimes) {
            if (now - endedAt < endRetention) {
                break;
            }
            this.endTimes.delete(key);
        }
    }

    /** Returns all work in progress, for an entry that has just started. */
    inProgress(): WorkInProgress[] {
        const now = this.clock.now();
        const workInProgress: WorkInProgress[] = [];
        for (const estimate of this.estimateByEndpoint.values()) {
            estimate.advance(now);
            for (const { placedAt, remainingReadTime, hasFirstEvent, endsBy, ...work } of estimate.workById.values()) {
                if (now < endsBy && placedAt <= now) {
                    workInProgress.push({
                        ...work,
                        ...remainingPrefill(work, remainingReadTime),
                        writing: hasFirstEvent || work.writing,
                        endsIn: endsBy - now,
                    });
                }
            }
        }
        return workInProgress;
    }

    /** Merges work in progress that another entry sent; work that is already known stays unchanged. */
    merge(works: readonly WorkInProgress[]): void {
        const now = this.clock.now();
        for (const { endsIn, writing, ...work } of works) {
            this.recordPlaced({ ...work, endsBy: now + endsIn });
            if (writing) {
                this.recordWriting(work.endpoint, work.id);
            }
        }
    }

    /** Removes work that `owner` placed before `before` and that is not in `inProgress`; returns the removed work. */
    retainOnly(owner: string, inProgress: ReadonlySet<string>, before: Milliseconds): EndedWork[] {
        const ended: EndedWork[] = [];
        for (const id of this.workIdsByOwner.get(owner) ?? []) {
            if (inProgress.has(id)) {
                continue;
            }
            for (const endpoint of this.endpointsByWork.get(id) ?? []) {
                const work = this.estimateByEndpoint.get(endpoint)?.workById.get(id);
                if (work?.owner === owner && work.placedAt <= before) {
                    this.remove(endpoint, id);
                    ended.push({ endpoint, id });
                }
            }
        }
        return ended;
    }

    /** Returns the estimated load of `endpoint` now. */
    loadOf(endpoint: string): EndpointLoad {
        const estimate = this.estimateByEndpoint.get(endpoint);
        if (!estimate || estimate.workById.size === 0) {
            return idleLoad;
        }
        const now = this.clock.now();
        estimate.advance(now);
        const load: EndpointLoad = {
            ...idleLoad,
            prefilling: [],
            decoding: [],
            remainingPassTime: estimate.remainingPassTime(now),
        };
        for (const work of estimate.workById.values()) {
            if (now >= work.endsBy || (work.part === WorkPart.Read && work.remainingReadTime <= 0)) {
                this.remove(endpoint, work.id);
                continue;
            }
            addToLoad(load, work, estimate.prefillAfterPass(work));
            load.overdueTime = Math.max(load.overdueTime, overdueDuration(work, estimate.lastFirstEventAt, now));
        }
        return load;
    }

    private remove(endpoint: string, id: string): void {
        const estimate = this.estimateByEndpoint.get(endpoint);
        const owner = estimate?.workById.get(id)?.owner;
        estimate?.remove(id, this.clock.now());
        const remainingEndpoints = this.endpointsByWork.get(id)?.filter(partEndpoint => partEndpoint !== endpoint)
            ?? [];
        if (remainingEndpoints.length > 0) {
            this.endpointsByWork.set(id, remainingEndpoints);
        }
        else {
            this.endpointsByWork.delete(id);
            this.forgetWorkOf(owner, id);
        }
    }

    private forgetWorkOf(owner: string | undefined, id: string): void {
        const workIds = owner === undefined ? undefined : this.workIdsByOwner.get(owner);
        workIds?.delete(id);
        if (workIds?.size === 0) {
            this.workIdsByOwner.delete(owner!);
        }
    }
}

/** Work with a partial prefill continues as work with a shorter prefill. */
const remainingPrefill = (work: Omit<PlacedWork, "endsBy">, remainingReadTime: Milliseconds) => ({
    readTime: remainingReadTime,
    readTokens: work.readTime > 0 ? work.readTokens * remainingReadTime / work.readTime : 0,
});

/** Time by which the work's first event, or the update about it, is later than predicted. */
const overdueDuration = (work: EstimatedWork, lastFirstEventAt: Milliseconds, now: Milliseconds): Milliseconds =>
    work.firstEventIn === undefined || work.yielding || work.hasFirstEvent
        ? 0
        : now - Math.max(work.placedAt + work.firstEventIn, lastFirstEventAt);

const addWaitingRequest = (waitingRequests: WaitingRequest[], { targetGap, value }: EstimatedWork): void => {
    if (targetGap !== undefined) {
        waitingRequests.push({ targetGap, value });
    }
};

const endKey = (endpoint: string, id: string): string => `${endpoint} ${id}`;

const addToLoad = (load: EndpointLoad, work: EstimatedWork, prefillAfterPass: Milliseconds): void => {
    if (work.part === WorkPart.Hold) {
        load.memoryTokens += work.contextTokens;
        if (work.remainingReadTime <= 0) {
            load.contextTokens += work.contextTokens;
            return;
        }
    }
    else if (work.part === WorkPart.Main) {
        load.requestCount++;
        load.memoryTokens += work.contextTokens;
    }
    if (!work.writing) {
        if (work.yielding) {
            load.yieldingCount++;
            return;
        }
        load.prefillCount++;
        load.prefillBacklog += prefillAfterPass;
        addWaitingRequest(load.prefilling, work);
        return;
    }
    load.decodeCount++;
    load.contextTokens += work.contextTokens;
    addWaitingRequest(load.decoding, work);
};
