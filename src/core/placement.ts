/** Finds each request its endpoint: warm ones by policy, cold ones by permit, else a place in the queue. */
import {
    Clock,
    ColdStart,
    Endpoint,
    EndpointTable,
    Execution,
    FailureKind,
    FairQueue,
    hasRoom,
    Lane,
    PauseGuard,
    Permit,
    predictFirstToken,
    Random,
    randomIdentifier,
    RequestFailure,
    Router,
    Suspects,
    Waiter,
    withTimeoutOrUndefined,
    Work,
} from "../internal.js";

/** The longest wait before a queued request looks again by itself. */
const recheckMilliseconds = 250;
/** How long a request waits for a service that has no endpoint at all. */
const noEndpointMilliseconds = 3_000;
const noEndpointRetrySeconds = 5;
/** Homes of cold endpoints that one request asks in one round. */
const homesAskedPerRound = 3;

/** A request's place on an endpoint; must be released exactly once. */
export interface Placement {
    endpoint: Endpoint;
    attemptId: string;
    permit: Permit | undefined;
    /** Whether the send may still happen. Ask in the same synchronous step as the send. */
    sendAllowed(): boolean;
    release(): void;
}

/** What placing works with. */
export interface PlacerParts {
    clock: Clock;
    random: Random;
    table: EndpointTable;
    coldStart: ColdStart;
    suspects: Suspects;
    router: Router;
    /** Whether new work may go to the endpoint: not taken out, not leaving. */
    allowed: (endpoint: Endpoint) => boolean;
    guard: PauseGuard;
}

/** Places requests of one entry. */
export class Placer {
    private readonly queues = new Map<string, FairQueue>();

    constructor(private readonly parts: PlacerParts) {}

    /** Wakes waiting requests until `signal` aborts. */
    async wakeOnChange(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.parts.table.changed.next(signal);
            for (const queue of this.queues.values()) {
                queue.wake();
            }
        }
    }

    /** Requests that wait for a place. */
    waiting(): number {
        let count = 0;
        for (const queue of this.queues.values()) {
            count += queue.length;
        }
        return count;
    }

    /**
     * Resolves with a place. `avoid` lists endpoints that have failed this request already; they are used only when
     * nothing else is left.
     *
     * Throws {@link RequestFailure} with `not-run` when the request can't make its deadline, is refused as one that
     * crashes endpoints, or its caller went away.
     */
    async place(work: Work, avoid: ReadonlySet<string>): Promise<Placement> {
        const queue = this.queueOf(work.service);
        const waiter = queue.enter(work);
        const startedAt = this.parts.clock.now();
        let first = true;
        while (true) {
            this.check(work, first ? queue.predictWait() : 0, startedAt);
            if (!first || !queue.isBlocked(work.lane)) {
                const placement = this.tryPlace(work, avoid) ?? await this.askHomesInTime(work, avoid);
                if (placement) {
                    queue.served(waiter);
                    queue.drained(work.promptTokens, this.parts.clock.now());
                    return placement;
                }
            }
            first = false;
            await this.waitForTurn(queue, waiter);
        }
    }

    private queueOf(service: string): FairQueue {
        let queue = this.queues.get(service);
        if (!queue) {
            queue = new FairQueue();
            this.queues.set(service, queue);
        }
        return queue;
    }

    private async waitForTurn(queue: FairQueue, waiter: Waiter): Promise<void> {
        const stop = new AbortController();
        const end = () => stop.abort();
        waiter.work.signal.addEventListener("abort", end, { once: true });
        const limit = waiter.work.deadline.bounded(recheckMilliseconds);
        const timer = this.parts.clock.sleep(limit, stop.signal).then(end);
        await queue.wait(waiter, stop.signal);
        stop.abort();
        await timer;
        waiter.work.signal.removeEventListener("abort", end);
    }

    /** Refuses at once what can't be served in time, with the time to come back. */
    private check(work: Work, queueWait: number, startedAt: number): void {
        if (work.signal.aborted) {
            throw new RequestFailure(FailureKind.DeadlineExceeded, Execution.NotRun, "the caller went away");
        }
        if (this.parts.suspects.isRefused(work.fingerprint)) {
            throw new RequestFailure(
                FailureKind.Poison,
                Execution.NotRun,
                "this request was present at two crashes of endpoints and is refused for now",
                this.parts.suspects.retryAfterSeconds(work.fingerprint),
            );
        }
        const endpoints = this.parts.table.eligible(work.service);
        const waited = this.parts.clock.now() - startedAt;
        if (endpoints.length === 0 && (waited >= noEndpointMilliseconds || work.deadline.expired)) {
            const detail = `the service ${work.service} has no endpoint that may get new work`;
            throw new RequestFailure(FailureKind.NoEndpoint, Execution.NotRun, detail, noEndpointRetrySeconds);
        }
        const predicted = queueWait + this.bestFirstToken(work, endpoints);
        if (predicted < work.deadline.remaining()) {
            return;
        }
        const retryAfter = Math.max(1, Math.ceil((predicted - work.deadline.remaining()) / 1_000));
        const detail = `the first token would come after ${Math.round(predicted)} ms, later than the deadline`;
        throw new RequestFailure(FailureKind.Overloaded, Execution.NotRun, detail, retryAfter);
    }

    private bestFirstToken(work: Work, endpoints: readonly Endpoint[]): number {
        let best = Infinity;
        for (const endpoint of endpoints) {
            if (endpoint.report) {
                best = Math.min(best, predictFirstToken(endpoint, work));
            }
        }
        return best === Infinity ? 0 : best;
    }

    private candidates(work: Work, avoid: ReadonlySet<string>): Endpoint[] {
        const eligible = this.parts.table.eligible(work.service);
        const fresh = eligible.filter(endpoint => !avoid.has(endpoint.id));
        return this.elsewhere(fresh.length > 0 ? fresh : eligible, avoid);
    }

    /** Prefers data centres in which the request hasn't failed yet. */
    private elsewhere(endpoints: Endpoint[], avoid: ReadonlySet<string>): Endpoint[] {
        const failedIn = new Set<string>();
        for (const id of avoid) {
            const endpoint = this.parts.table.get(id);
            if (endpoint) {
                failedIn.add(endpoint.record.dataCentre);
            }
        }
        const others = endpoints.filter(endpoint =>
            !failedIn.has(endpoint.record.dataCentre) && this.parts.table.trust(endpoint).type === "Warm"
        );
        return others.length > 0 ? others : endpoints;
    }

    private tryPlace(work: Work, avoid: ReadonlySet<string>): Placement | undefined {
        if (!this.parts.guard.fresh()) {
            return undefined;
        }
        const candidates = this.candidates(work, avoid);
        const suspect = this.parts.suspects.isSuspect(work.fingerprint);
        const warm: Endpoint[] = [];
        for (const endpoint of candidates) {
            if (this.parts.table.trust(endpoint).type === "Warm" && hasRoom(endpoint, work, suspect)) {
                warm.push(endpoint);
            }
        }
        if (suspect) {
            return this.placeSuspect(work, warm);
        }
        const probe = this.probe(work, warm.length > 0);
        if (probe) {
            return probe;
        }
        const endpoint = this.parts.router.choose(work, warm);
        return endpoint && this.commit(work, endpoint, suspect, undefined);
    }

    /**
     * Sends short work to cold endpoints that this entry is home of. Without it they would stay cold as long as warm
     * ones suffice, and be of no use when these fail.
     */
    private probe(work: Work, warmAvailable: boolean): Placement | undefined {
        const expendable = work.lane === Lane.Short && work.idempotent;
        if (warmAvailable && !expendable) {
            return undefined;
        }
        for (const endpoint of this.parts.table.eligible(work.service)) {
            if (!this.isCold(endpoint) || !hasRoom(endpoint, work, false)) {
                continue;
            }
            const permit = this.parts.coldStart.takeOwn(endpoint, randomIdentifier(this.parts.random), false);
            if (permit) {
                return this.commit(work, endpoint, false, permit);
            }
        }
        return undefined;
    }

    /**
     * A suspect needs its endpoint's home's permit, also on a warm one: two suspects from two entries would else meet,
     * and the innocent one of them would be taken for the cause of the next crash.
     */
    private placeSuspect(work: Work, warm: readonly Endpoint[]): Placement | undefined {
        for (const endpoint of warm) {
            const permit = this.parts.coldStart.takeOwn(endpoint, randomIdentifier(this.parts.random), true);
            if (permit) {
                return this.commit(work, endpoint, true, permit);
            }
        }
        return undefined;
    }

    /** Several homes that are silent, asked one after the other, must not carry a request past its deadline. */
    private askHomesInTime(work: Work, avoid: ReadonlySet<string>): Promise<Placement | undefined> {
        const limit = work.deadline.remaining();
        return withTimeoutOrUndefined(this.parts.clock, limit, "a permit", () => this.askHomes(work, avoid));
    }

    private async askHomes(work: Work, avoid: ReadonlySet<string>): Promise<Placement | undefined> {
        if (!this.parts.guard.fresh()) {
            return undefined;
        }
        const candidates = this.candidates(work, avoid);
        const suspect = this.parts.suspects.isSuspect(work.fingerprint);
        const warm = candidates.filter(endpoint => this.parts.table.trust(endpoint).type === "Warm");
        if (warm.length > 0 && !suspect) {
            return undefined;
        }
        const askable = warm.length > 0 ? warm : candidates.filter(endpoint => this.isCold(endpoint));
        const open = askable.filter(endpoint => hasRoom(endpoint, work, suspect));
        const start = Math.floor(this.parts.random.next() * open.length);
        for (let index = 0; index < Math.min(homesAskedPerRound, open.length); index++) {
            const endpoint = open[(start + index) % open.length]!;
            const permit = await this.parts.coldStart.ask(endpoint, randomIdentifier(this.parts.random), suspect);
            if (permit && work.deadline.expired) {
                // Nobody waits for this place any more.
                void this.parts.coldStart.giveBack(permit);
                return undefined;
            }
            if (permit) {
                return this.commit(work, endpoint, suspect, permit);
            }
        }
        return undefined;
    }

    private isCold(endpoint: Endpoint): boolean {
        return this.parts.table.trust(endpoint).type === "Cold";
    }

    private commit(work: Work, endpoint: Endpoint, suspect: boolean, permit: Permit | undefined): Placement {
        const attemptId = randomIdentifier(this.parts.random);
        endpoint.inFlight.set(attemptId, {
            attemptId,
            promptTokens: work.promptTokens,
            memoryTokens: work.memoryTokens,
            long: work.lane === Lane.Long,
            suspect,
            fingerprint: work.fingerprint,
            startedAt: this.parts.clock.now(),
        });
        return {
            endpoint,
            attemptId,
            permit,
            sendAllowed: () => this.sendAllowed(endpoint, permit),
            release: () => {
                endpoint.inFlight.delete(attemptId);
                if (permit) {
                    void this.parts.coldStart.giveBack(permit);
                }
                this.parts.table.changed.notify();
            },
        };
    }

    private sendAllowed(endpoint: Endpoint, permit: Permit | undefined): boolean {
        if (!this.parts.guard.fresh() || !this.parts.allowed(endpoint)) {
            return false;
        }
        // Between placing and sending this process may have been paused, and the endpoint fallen cold.
        const trust = this.parts.table.trust(endpoint).type;
        if (!permit) {
            return trust === "Warm";
        }
        const trusted = permit.cold ? trust !== "Closed" : trust === "Warm";
        return trusted && this.parts.coldStart.usable(permit);
    }
}
