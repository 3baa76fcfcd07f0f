/** The wait of a request of this entry in its own queue. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { Placement, PlacementRequirements } from "../placement/endpointSelector.js";
import { prefillDuration } from "../placement/engineCost.js";
import type { PlacementRequest, WaitTerms } from "../placement/placementClient.js";
import { requestValue } from "../placement/requestValue.js";
import type { QueuedWaiter } from "./waiter.js";
import { canMemoryBecomeFree, isInTimeAfterWait, longestUntriedTime } from "./waitPolicy.js";
import { WaitEnd, type WaitScheduler } from "./waitScheduler.js";

/** Dependencies of {@link LocalWait}. */
export interface LocalWaitDependencies {
    clock: Clock;
    scheduler: WaitScheduler;
    /** Identifier of this entry. */
    entry: string;
    /** Chooses endpoints here without recording the placement. */
    select: (request: PlacementRequest) => Placement | undefined;
    /** Records a placement that was chosen here unless it is postponed. */
    record: (request: PlacementRequest, placement: Placement) => Placement;
    countCandidates: (request: PlacementRequest) => number;
}

/** Result of a try: a placement, or none; undefined while waiting is better. */
type LocalDecision = { placement: Placement | undefined; } | undefined;

/** One request that may wait in this entry's queue. */
export class LocalWait implements QueuedWaiter {
    readonly owner: string;
    readonly requestId: string;
    readonly service: string;
    readonly rank: number;
    readonly customer: string | undefined;
    readonly targetAt: Milliseconds;
    readonly arrivedAt: Milliseconds;
    readonly deadline: Milliseconds;
    readonly value: number;
    readonly engineTime: Milliseconds;
    readonly expiresAt: Milliseconds;
    private readonly startedAt: Milliseconds;
    private finish: (placement: Placement | undefined) => void = () => {};

    constructor(
        private readonly dependencies: LocalWaitDependencies,
        private readonly request: PlacementRequest,
        private readonly terms: WaitTerms,
    ) {
        const { id, arrivedAt, endsBy, requirements: { service, promptTokens, rank = 0, customer } } = request;
        this.owner = dependencies.entry;
        this.requestId = id;
        this.service = service.name;
        this.rank = rank;
        this.customer = customer;
        this.arrivedAt = arrivedAt;
        this.deadline = endsBy;
        this.expiresAt = endsBy;
        this.value = requestValue(promptTokens);
        this.engineTime = service.engine ? prefillDuration(service.engine, promptTokens) : 0;
        this.startedAt = dependencies.clock.now();
        this.targetAt = this.startedAt + request.requirements.targetLeft;
    }

    /** Resolves with the placement; undefined when there is none, or when the request has ended. */
    async run(): Promise<Placement | undefined> {
        const { scheduler } = this.dependencies;
        if (!scheduler.hasEarlier(this)) {
            const decision = this.decide(this.request.requirements);
            if (decision) {
                return decision.placement;
            }
        }
        const { signal, onWaiting } = this.terms;
        if (signal.aborted || !scheduler.add(this)) {
            return undefined;
        }
        onWaiting();
        const end = () => {
            scheduler.withdraw(this.owner, this.requestId);
            this.finish(undefined);
        };
        signal.addEventListener("abort", end, { once: true });
        try {
            return await new Promise<Placement | undefined>(resolve => {
                this.finish = resolve;
            });
        }
        finally {
            signal.removeEventListener("abort", end);
        }
    }

    tryPlace(): boolean {
        const { clock, scheduler } = this.dependencies;
        const elapsed = clock.now() - this.startedAt;
        const { requirements } = this.request;
        const decision = this.decide({
            ...requirements,
            targetLeft: requirements.targetLeft - elapsed,
            patienceLeft: requirements.patienceLeft - elapsed,
            // The endpoints that lacked memory when the wait began may have released it.
            endpointsWithoutMemory: new Set(),
        });
        if (!decision) {
            return false;
        }
        const { placement } = decision;
        scheduler.end(this, placement && !placement.postponed ? WaitEnd.Placed : WaitEnd.GivenUp, {
            endpoint: placement?.endpoint.record.id,
        });
        this.finish(placement);
        return true;
    }

    onExpired(): void {
        this.finish(undefined);
    }

    private decide(requirements: PlacementRequirements): LocalDecision {
        const { select, record, countCandidates } = this.dependencies;
        const request = { ...this.request, requirements };
        const placement = select(request);
        if (
            placement?.postponed && isInTimeAfterWait(placement, requirements.patienceLeft, longestUntriedTime)
        ) {
            return undefined;
        }
        if (placement) {
            return { placement: record(request, placement) };
        }
        return requirements.endpointsWithoutMemory.size === 0
                && canMemoryBecomeFree(requirements, countCandidates(request), longestUntriedTime)
            ? undefined
            : { placement: undefined };
    }
}
