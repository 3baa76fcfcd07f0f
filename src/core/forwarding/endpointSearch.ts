/**
 * Finds an endpoint for one request. Postpones the request while waiting gives a better placement, and rejects it when no
 * endpoint can serve it in time.
 */
import type { Milliseconds } from "../../utils/clock.js";
import { FailureKind } from "../failures.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import type { Placement } from "../placement/endpointSelector.js";
import type { PlacementRequest, WaitTerms } from "../placement/placementClient.js";
import { canMemoryBecomeFree, isInTimeAfterWait, mayHaveToWait } from "../waiting/waitPolicy.js";
import {
    busyRetrySeconds,
    type ExpectedDuration,
    type Rejection,
    rejectLateFirstEvent,
    rejectUnfinishedAtStop,
    rejectWithoutEndpoint,
} from "./overload.js";
import type { QuarantineGate } from "./quarantineGate.js";
import { maximumMemoryRetryDelay, type RequestProgress } from "./requestProgress.js";

/** The search for the endpoints of one request. */
export class EndpointSearch {
    private wasPostponed = false;
    private readonly waitTerms: WaitTerms;

    constructor(private readonly progress: RequestProgress, private readonly quarantineGate: QuarantineGate) {
        this.waitTerms = { signal: progress.ended, onWaiting: () => this.recordPostponed(undefined) };
    }

    /** Resolves with the placement of the next attempt. Throws a {@link RequestFailure} when there is none. */
    async nextPlacement(): Promise<Placement> {
        for (;;) {
            this.progress.throwIfEnded();
            await this.quarantineGate.pass();
            const placement = await this.choosePlacement();
            if (placement && !(placement.postponed && this.canPostpone(placement))) {
                return placement;
            }
            await this.postpone(placement?.firstEvent);
        }
    }

    /**
     * Resolves with a placement for an attempt beside the one at `running`; undefined where no other endpoint would respond
     * before the caller gives up. A stream that has started takes any endpoint: many that fall silent at once meet at the few
     * that are left, and each would find its place taken.
     */
    async findPlacementBeside(running: KnownEndpoint): Promise<Placement | undefined> {
        const { placementClient } = this.progress.dependencies;
        const request = this.placementRequestBeside(running);
        const placement = await this.choose(request);
        const isUseful = placement && !placement.postponed && !this.progress.ended.aborted
            && (this.progress.relay.hasStarted || this.respondsInTime(placement));
        if (placement && !isUseful) {
            placementClient.release(placement, request.id);
            return undefined;
        }
        return placement;
    }

    /**
     * Whether an endpoint that hasn't failed this request would respond before the caller gives up. A caller that stays with its
     * stream beyond its patience is served late rather than never.
     */
    respondsInTime({ endpoint, firstEvent }: Placement): boolean {
        const { attempts, relay, patienceLeft, timeLeft } = this.progress;
        const limit = relay.hasStarted && patienceLeft <= 0 ? timeLeft : patienceLeft;
        return !attempts.brokenEndpoints.has(endpoint.record.id) && firstEvent < limit;
    }

    /** The request with its current requirements, as the placement client expects it. */
    get placementRequest(): PlacementRequest {
        const { route, service, customer, deadline } = this.progress.admission;
        const { schedulingPolicy } = this.progress.dependencies;
        const requirements = {
            service,
            promptTokens: this.progress.request.size?.promptTokens ?? 0,
            answerTokens: this.progress.request.size?.maximumAnswerTokens ?? 0,
            targetLatency: route.targetLatency,
            targetGap: route.targetGap,
            targetLeft: this.targetLeft,
            patienceLeft: this.progress.patienceLeft,
            rank: schedulingPolicy.rankOf(route, service.name),
            customer: customer?.name,
            dataCentre: this.progress.dependencies.dataCentre,
            failedEndpoints: this.progress.attempts.brokenEndpoints,
            rejectedEndpoints: this.progress.attempts.refusedEndpoints,
            endpointsWithoutMemory: this.progress.attempts.endpointsWithoutMemory,
        };
        const { id, arrivedAt } = this.progress.request;
        const mayWait = schedulingPolicy.usesWaitQueue(service.name) && mayHaveToWait(requirements);
        return { id, requirements, arrivedAt, endsBy: deadline, wait: mayWait ? this.waitTerms : undefined };
    }

    /** The request as it is placed beside the attempt at `running`. */
    placementRequestBeside(running: KnownEndpoint): PlacementRequest {
        const request = this.placementRequest;
        const { requirements } = request;
        return {
            ...request,
            wait: undefined,
            requirements: {
                ...requirements,
                targetLeft: requirements.patienceLeft,
                rejectedEndpoints: new Set([...requirements.rejectedEndpoints, running.record.id]),
            },
        };
    }

    /**
     * A request that has run may be past its target, and still has to be served while its caller waits: at the lowest priority,
     * behind all others, it would come too late.
     */
    private get targetLeft(): Milliseconds {
        const { admission, attempts, patienceLeft, timeSinceArrival } = this.progress;
        return attempts.mayHaveRun ? patienceLeft : admission.route.targetLatency - timeSinceArrival;
    }

    /** When the caller of a request that an endpoint refused should return. */
    get retryDelaySeconds(): number {
        const hasCandidates = this.progress.dependencies.placementClient.candidates(this.placementRequest).length > 0;
        return hasCandidates ? busyRetrySeconds : this.rejectWithoutEndpoint().retryAfterSeconds;
    }

    private rejectWithoutEndpoint(): Rejection {
        const { placementClient, random } = this.progress.dependencies;
        const timeUntilCapacity = placementClient.timeUntilCapacity(this.placementRequest);
        return rejectWithoutEndpoint(this.progress.admission.service.name, timeUntilCapacity, random);
    }

    /** Chooses among all endpoints, or, when the attempts of the route are used up, among those of cancelled hedges. */
    private async choose(request: PlacementRequest): Promise<Placement | undefined> {
        const { attempts, admission, dependencies: { placementClient } } = this.progress;
        return attempts.countedAttempts < admission.route.attempts
            ? await placementClient.choose(request)
            : placementClient.chooseAmong(request, attempts.cancelledEndpoints);
    }

    /** Resolves with undefined when no endpoint has enough free memory now but some may become free soon. */
    private async choosePlacement(): Promise<Placement | undefined> {
        const request = this.placementRequest;
        const placement = await this.choose(request);
        if (!placement && request.wait) {
            this.progress.throwIfEnded();
        }
        if (!placement && this.progress.attempts.endpointsWithoutMemory.size > 0 && !this.progress.ended.aborted) {
            this.progress.attempts.clearMemoryShortages();
            return await this.choosePlacement();
        }
        if (!placement && this.canMemoryBecomeFree()) {
            return undefined;
        }
        if (!placement) {
            const { detail, retryAfterSeconds } = this.rejectWithoutEndpoint();
            throw this.progress.createFailure(FailureKind.NoEndpoint, detail, retryAfterSeconds);
        }
        return this.acceptOrReject(placement);
    }

    private canMemoryBecomeFree(): boolean {
        const request = this.placementRequest;
        const candidates = this.progress.dependencies.placementClient.candidates(request)
            .filter(({ record }) => !this.progress.attempts.refusedEndpoints.has(record.id));
        return canMemoryBecomeFree(request.requirements, candidates.length, maximumMemoryRetryDelay);
    }

    /** Returns the placement, or releases it and throws when the request can't end in time. */
    private acceptOrReject(placement: Placement): Placement {
        const rejection = this.findRejection(placement);
        if (!rejection && !this.progress.ended.aborted) {
            return placement;
        }
        this.progress.dependencies.placementClient.release(placement, this.progress.request.id);
        this.progress.throwIfEnded();
        throw this.progress.createFailure(rejection!.kind, rejection!.detail, rejection!.retryAfterSeconds);
    }

    /**
     * Returns why the request is rejected, if it is. A stream that has started is never rejected, since it could only be cut.
     */
    private findRejection({ whole, firstEvent }: Placement): Rejection | undefined {
        const { attempts, relay, dependencies, admission, patienceLeft } = this.progress;
        if (relay.hasStarted) {
            return undefined;
        }
        const stop = attempts.countedAttempts === 0 ? dependencies.plannedStop() : undefined;
        return (stop && rejectUnfinishedAtStop(this.expectDuration(whole), dependencies.clock.now(), stop))
            ?? rejectLateFirstEvent(admission.route, firstEvent, patienceLeft);
    }

    private expectDuration(predicted: Milliseconds): ExpectedDuration {
        const { dependencies, admission: { route, service }, timeLeft } = this.progress;
        return service.engine
            ? { type: "Predicted", duration: predicted }
            : {
                type: "Observed",
                target: predicted,
                longest: dependencies.answerDurations.longest(route.name),
                timeLeft,
            };
    }

    /**
     * Whether the first event would still arrive within the patience of the caller if the request were sent after one more
     * delay.
     */
    private canPostpone(placement: Placement): boolean {
        return isInTimeAfterWait(placement, this.progress.patienceLeft, maximumMemoryRetryDelay);
    }

    private async postpone(firstEvent: Milliseconds | undefined): Promise<void> {
        this.recordPostponed(firstEvent);
        await this.progress.waitBeforeMemoryRetry();
    }

    private recordPostponed(firstEvent: Milliseconds | undefined): void {
        if (!this.wasPostponed) {
            this.wasPostponed = true;
            this.progress.dependencies.metrics.count("postponed_total");
            this.progress.log("Postponed.", undefined, {
                promptTokens: this.progress.request.size?.promptTokens,
                predicted: firstEvent && Math.round(firstEvent),
            });
        }
    }
}
