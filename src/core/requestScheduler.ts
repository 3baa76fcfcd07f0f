/**
 * Selects an endpoint for each request: a warm endpoint by the routing policy, a cold endpoint by permit. A request that
 * fits on no endpoint waits in its service's fair queue, and one that can't meet its deadline is rejected at once.
 */
import {
    Clock,
    ColdStart,
    Endpoint,
    EndpointTable,
    Execution,
    FailureKind,
    FairQueue,
    hasCapacity,
    Lane,
    PauseGuard,
    Permit,
    predictTimeToFirstToken,
    Random,
    randomIdentifier,
    RequestFailure,
    Router,
    Suspects,
    Waiter,
    withTimeoutOrUndefined,
    Work,
} from "../internal.js";

/** A queued request retries after this interval, even if no change wakes it. */
const recheckIntervalMilliseconds = 250;
/** Longest wait of a request whose service has no eligible endpoint. */
const noEndpointTimeoutMilliseconds = 3_000;
const noEndpointRetryAfterSeconds = 5;
/** Permit requests to homes that one request may make in one scheduling round. */
const maximumHomeRequestsPerRound = 3;

/** A slot for one attempt on an endpoint; its holder must release it exactly once. */
export interface Placement {
    endpoint: Endpoint;
    attemptId: string;
    permit: Permit | undefined;
    /** Whether the attempt may still be sent. Call it in the same synchronous step as the send. */
    maySend(): boolean;
    release(): void;
}

/** Dependencies of {@link RequestScheduler}. */
export interface RequestSchedulerDependencies {
    clock: Clock;
    random: Random;
    table: EndpointTable;
    coldStart: ColdStart;
    suspects: Suspects;
    router: Router;
    /** Whether the endpoint may receive new work: it is neither taken out of service nor draining. */
    mayReceiveWork: (endpoint: Endpoint) => boolean;
    guard: PauseGuard;
}

/** Schedules the requests of one entry onto endpoints, with one queue for each service. */
export class RequestScheduler {
    private readonly queueByService = new Map<string, FairQueue>();

    constructor(private readonly dependencies: RequestSchedulerDependencies) {}

    /** Wakes queued requests whenever the endpoint table changes, until `signal` aborts. */
    async wakeOnChange(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.dependencies.table.changed.next(signal);
            for (const queue of this.queueByService.values()) {
                queue.wake();
            }
        }
    }

    /** Number of requests in all queues. */
    waitingCount(): number {
        let count = 0;
        for (const queue of this.queueByService.values()) {
            count += queue.length;
        }
        return count;
    }

    /**
     * Resolves with a placement. `avoidedEndpoints` holds the endpoints that have already failed this request; they are
     * used only when no other endpoint is eligible.
     *
     * Throws {@link RequestFailure} with `not-run` when the request can't meet its deadline, has crashed too many
     * endpoints, or its caller has disconnected.
     */
    async place(work: Work, avoidedEndpoints: ReadonlySet<string>): Promise<Placement> {
        const queue = this.queueOf(work.service);
        const waiter = queue.createWaiter(work);
        const startedAt = this.dependencies.clock.now();
        let isFirstRound = true;
        while (true) {
            this.rejectIfUnservable(work, isFirstRound ? queue.predictWait() : 0, startedAt);
            if (!isFirstRound || !queue.hasWaiterAhead(work.lane)) {
                const placement = this.tryPlaceLocally(work, avoidedEndpoints)
                    ?? await this.requestPermitBeforeDeadline(work, avoidedEndpoints);
                if (placement) {
                    queue.recordServed(waiter);
                    queue.recordDrained(work.promptTokens, this.dependencies.clock.now());
                    return placement;
                }
            }
            isFirstRound = false;
            await this.waitForTurn(queue, waiter);
        }
    }

    private queueOf(service: string): FairQueue {
        let queue = this.queueByService.get(service);
        if (!queue) {
            queue = new FairQueue();
            this.queueByService.set(service, queue);
        }
        return queue;
    }

    private async waitForTurn(queue: FairQueue, waiter: Waiter): Promise<void> {
        const waitController = new AbortController();
        const endWait = () => waitController.abort();
        waiter.work.signal.addEventListener("abort", endWait, { once: true });
        const limit = waiter.work.deadline.bounded(recheckIntervalMilliseconds);
        const timer = this.dependencies.clock.sleep(limit, waitController.signal).then(endWait);
        await queue.wait(waiter, waitController.signal);
        waitController.abort();
        await timer;
        waiter.work.signal.removeEventListener("abort", endWait);
    }

    /** Rejects a request that can't be served before its deadline, with the time after which to retry. */
    private rejectIfUnservable(work: Work, predictedQueueWait: number, startedAt: number): void {
        if (work.signal.aborted) {
            throw new RequestFailure(FailureKind.DeadlineExceeded, Execution.NotRun, "the caller has left");
        }
        if (this.dependencies.suspects.isRejected(work.fingerprint)) {
            throw new RequestFailure(
                FailureKind.Poison,
                Execution.NotRun,
                "this request was running at two endpoint crashes and is rejected for now",
                this.dependencies.suspects.retryAfterSeconds(work.fingerprint),
            );
        }
        const endpoints = this.dependencies.table.eligible(work.service);
        const waitedMilliseconds = this.dependencies.clock.now() - startedAt;
        if (endpoints.length === 0 && (waitedMilliseconds >= noEndpointTimeoutMilliseconds || work.deadline.expired)) {
            const detail = `the service ${work.service} has no endpoint that may receive new work`;
            throw new RequestFailure(FailureKind.NoEndpoint, Execution.NotRun, detail, noEndpointRetryAfterSeconds);
        }
        const predictedFirstToken = predictedQueueWait + this.predictBestFirstToken(work, endpoints);
        if (predictedFirstToken < work.deadline.remaining()) {
            return;
        }
        const retryAfter = Math.max(1, Math.ceil((predictedFirstToken - work.deadline.remaining()) / 1_000));
        const detail = `the first token is predicted after ${
            Math.round(predictedFirstToken)
        } ms, later than the deadline`;
        throw new RequestFailure(FailureKind.Overloaded, Execution.NotRun, detail, retryAfter);
    }

    private predictBestFirstToken(work: Work, endpoints: readonly Endpoint[]): number {
        let bestFirstToken = Infinity;
        for (const endpoint of endpoints) {
            if (endpoint.report) {
                bestFirstToken = Math.min(bestFirstToken, predictTimeToFirstToken(endpoint, work));
            }
        }
        return bestFirstToken === Infinity ? 0 : bestFirstToken;
    }

    private findCandidates(work: Work, avoidedEndpoints: ReadonlySet<string>): Endpoint[] {
        const eligible = this.dependencies.table.eligible(work.service);
        const untried = eligible.filter(endpoint => !avoidedEndpoints.has(endpoint.id));
        return this.preferOtherDataCentres(untried.length > 0 ? untried : eligible, avoidedEndpoints);
    }

    /** Keeps the warm endpoints in data centres where the request hasn't failed yet; all endpoints if there are none. */
    private preferOtherDataCentres(endpoints: Endpoint[], avoidedEndpoints: ReadonlySet<string>): Endpoint[] {
        const failedIn = new Set<string>();
        for (const id of avoidedEndpoints) {
            const endpoint = this.dependencies.table.get(id);
            if (endpoint) {
                failedIn.add(endpoint.record.dataCentre);
            }
        }
        const inOtherDataCentres = endpoints.filter(endpoint =>
            !failedIn.has(endpoint.record.dataCentre) && this.dependencies.table.trust(endpoint).type === "Warm"
        );
        return inOtherDataCentres.length > 0 ? inOtherDataCentres : endpoints;
    }

    private tryPlaceLocally(work: Work, avoidedEndpoints: ReadonlySet<string>): Placement | undefined {
        if (!this.dependencies.guard.isFresh()) {
            return undefined;
        }
        const candidates = this.findCandidates(work, avoidedEndpoints);
        const isSuspect = this.dependencies.suspects.isSuspect(work.fingerprint);
        const warmEndpoints: Endpoint[] = [];
        for (const endpoint of candidates) {
            if (this.dependencies.table.trust(endpoint).type === "Warm" && hasCapacity(endpoint, work, isSuspect)) {
                warmEndpoints.push(endpoint);
            }
        }
        if (isSuspect) {
            return this.placeSuspect(work, warmEndpoints);
        }
        const probe = this.placeProbe(work, warmEndpoints.length > 0);
        if (probe) {
            return probe;
        }
        const endpoint = this.dependencies.router.choose(work, warmEndpoints);
        return endpoint && this.createPlacement(work, endpoint, isSuspect, undefined);
    }

    /**
     * Places short, idempotent requests on cold endpoints whose home is this entry. Without these probes, cold
     * endpoints would stay cold as long as the warm ones suffice and couldn't take over when the warm ones fail.
     */
    private placeProbe(work: Work, hasWarmEndpoint: boolean): Placement | undefined {
        const isSafeToProbe = work.lane === Lane.Short && work.idempotent;
        if (hasWarmEndpoint && !isSafeToProbe) {
            return undefined;
        }
        for (const endpoint of this.dependencies.table.eligible(work.service)) {
            if (!this.isCold(endpoint) || !hasCapacity(endpoint, work, false)) {
                continue;
            }
            const permit = this.dependencies.coldStart.grantLocally(
                endpoint,
                randomIdentifier(this.dependencies.random),
                false,
            );
            if (permit) {
                return this.createPlacement(work, endpoint, false, permit);
            }
        }
        return undefined;
    }

    /**
     * Places a suspect with a permit from the endpoint's home, even on a warm endpoint. Without the permit, two entries
     * could run two suspects on one endpoint, and the harmless one would be blamed for the next crash as well.
     */
    private placeSuspect(work: Work, warmEndpoints: readonly Endpoint[]): Placement | undefined {
        for (const endpoint of warmEndpoints) {
            const permit = this.dependencies.coldStart.grantLocally(
                endpoint,
                randomIdentifier(this.dependencies.random),
                true,
            );
            if (permit) {
                return this.createPlacement(work, endpoint, true, permit);
            }
        }
        return undefined;
    }

    /** Requests permits within the deadline: unresponsive homes, asked in sequence, would otherwise exceed it. */
    private requestPermitBeforeDeadline(
        work: Work,
        avoidedEndpoints: ReadonlySet<string>,
    ): Promise<Placement | undefined> {
        const limit = work.deadline.remaining();
        return withTimeoutOrUndefined(
            this.dependencies.clock,
            limit,
            "a permit request",
            () => this.requestPermitFromHomes(work, avoidedEndpoints),
        );
    }

    private async requestPermitFromHomes(
        work: Work,
        avoidedEndpoints: ReadonlySet<string>,
    ): Promise<Placement | undefined> {
        if (!this.dependencies.guard.isFresh()) {
            return undefined;
        }
        const candidates = this.findCandidates(work, avoidedEndpoints);
        const isSuspect = this.dependencies.suspects.isSuspect(work.fingerprint);
        const warmEndpoints = candidates.filter(endpoint => this.dependencies.table.trust(endpoint).type === "Warm");
        if (warmEndpoints.length > 0 && !isSuspect) {
            return undefined;
        }
        const targets = warmEndpoints.length > 0 ? warmEndpoints : candidates.filter(endpoint => this.isCold(endpoint));
        const available = targets.filter(endpoint => hasCapacity(endpoint, work, isSuspect));
        const startIndex = Math.floor(this.dependencies.random.next() * available.length);
        for (let index = 0; index < Math.min(maximumHomeRequestsPerRound, available.length); index++) {
            const endpoint = available[(startIndex + index) % available.length]!;
            const permit = await this.dependencies.coldStart.requestFromHome(
                endpoint,
                randomIdentifier(this.dependencies.random),
                isSuspect,
            );
            if (permit && work.deadline.expired) {
                // The request has expired, so the permit is returned unused.
                void this.dependencies.coldStart.release(permit);
                return undefined;
            }
            if (permit) {
                return this.createPlacement(work, endpoint, isSuspect, permit);
            }
        }
        return undefined;
    }

    private isCold(endpoint: Endpoint): boolean {
        return this.dependencies.table.trust(endpoint).type === "Cold";
    }

    private createPlacement(work: Work, endpoint: Endpoint, isSuspect: boolean, permit: Permit | undefined): Placement {
        const attemptId = randomIdentifier(this.dependencies.random);
        endpoint.inFlight.set(attemptId, {
            attemptId,
            promptTokens: work.promptTokens,
            memoryTokens: work.memoryTokens,
            isLong: work.lane === Lane.Long,
            isSuspect,
            fingerprint: work.fingerprint,
            startedAt: this.dependencies.clock.now(),
        });
        return {
            endpoint,
            attemptId,
            permit,
            maySend: () => this.maySend(endpoint, permit),
            release: () => {
                endpoint.inFlight.delete(attemptId);
                if (permit) {
                    void this.dependencies.coldStart.release(permit);
                }
                this.dependencies.table.changed.notify();
            },
        };
    }

    private maySend(endpoint: Endpoint, permit: Permit | undefined): boolean {
        if (!this.dependencies.guard.isFresh() || !this.dependencies.mayReceiveWork(endpoint)) {
            return false;
        }
        // The process may have been paused after the placement, and the endpoint may have become cold meanwhile.
        const trust = this.dependencies.table.trust(endpoint).type;
        if (!permit) {
            return trust === "Warm";
        }
        const isTrusted = permit.cold ? trust !== "Closed" : trust === "Warm";
        return isTrusted && this.dependencies.coldStart.isUsable(permit);
    }
}
