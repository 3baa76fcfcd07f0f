/** Finds an endpoint for one request, puts it off while that is better, and turns it away when none can serve it. */
import type { Milliseconds } from "../../utils/clock.js";
import { FailureKind } from "../failures.js";
import { exceedsOneEngine, type Placement } from "../placement/endpointSelector.js";
import type { PlacementRequest } from "../placement/placementClient.js";
import { rejectBeforeStop, rejectHopeless, type Rejection, rejectWithoutEndpoint } from "./overload.js";
import { memoryPauseAtMost, type RequestProgress } from "./requestProgress.js";

/** A prompt that is larger than an engine's memory, and lacks it for longer, would not be read any more. */
const memoryPatience: Milliseconds = 1_500;
/** Factor on the prediction of a first event that was put off: predictions are off while much is asked for. */
const postponedCaution = 1.5;

/** The search. */
export class EndpointSearch {
    private wasPostponed = false;

    constructor(private readonly progress: RequestProgress) {}

    /** The next endpoint to send to. Throws a failure when there is none. */
    async next(): Promise<Placement> {
        for (;;) {
            this.progress.checkTime();
            const placement = await this.choose();
            if (placement && !(placement.postponed && this.canWait(placement))) {
                return placement;
            }
            await this.postpone(placement?.firstEvent);
        }
    }

    /** The request as it looks for an endpoint now. */
    get placementRequest(): PlacementRequest {
        const { route, service, deadline } = this.progress.admission;
        const need = {
            service,
            promptTokens: this.progress.request.size?.promptTokens ?? 0,
            answerTokens: this.progress.request.size?.answerTokensAtMost ?? 0,
            targetLatency: route.targetLatency,
            targetGap: route.targetGap,
            targetLeft: route.targetLatency - this.progress.waited,
            patienceLeft: this.progress.patienceLeft,
            dataCentre: this.progress.parts.dataCentre,
            failedEndpoints: this.progress.attempts.broken,
            rejectedEndpoints: this.progress.attempts.refused,
            endpointsWithoutMemory: this.progress.attempts.lacking,
        };
        return { id: this.progress.request.id, requirements: need, endsBy: deadline };
    }

    /** Undefined where all endpoints together lack the memory now, and some of it may be free soon. */
    private async choose(): Promise<Placement | undefined> {
        const { service } = this.progress.admission;
        const placement = await this.progress.parts.placing.choose(this.placementRequest);
        if (!placement && this.progress.attempts.lacking.size > 0 && !this.progress.ended.aborted) {
            this.progress.attempts.forgetLacking();
            return await this.choose();
        }
        if (!placement && this.mayFindMemory()) {
            return undefined;
        }
        if (!placement) {
            const { detail, retryAfterSeconds } = rejectWithoutEndpoint(
                service.name,
                this.progress.parts.placing.timeUntilCapacity(this.placementRequest),
            );
            throw this.progress.failure(FailureKind.NoEndpoint, detail, retryAfterSeconds);
        }
        return this.worthSending(placement);
    }

    private mayFindMemory(): boolean {
        const request = this.placementRequest;
        const { service: { engine }, promptTokens, answerTokens } = request.requirements;
        const candidates = this.progress.parts.placing.candidates(request)
            .filter(({ record }) => !this.progress.attempts.refused.has(record.id));
        return engine !== undefined && exceedsOneEngine(request.requirements)
            && promptTokens + answerTokens <= engine.memoryTokens * candidates.length
            && this.progress.patienceLeft > memoryPatience;
    }

    /** Turns a request away that can't end in time. */
    private worthSending(placement: Placement): Placement {
        const rejection = this.rejectionOf(placement);
        if (!rejection && !this.progress.ended.aborted) {
            return placement;
        }
        this.progress.parts.placing.release(placement, this.progress.request.id);
        this.progress.checkTime();
        throw this.progress.failure(rejection!.kind, rejection!.detail, rejection!.retryAfterSeconds);
    }

    /** Why the request is turned away at once. A stream that has begun can't be, it could only be cut. */
    private rejectionOf({ whole, firstEvent }: Placement): Rejection | undefined {
        const { attempts, relay, parts, admission, patienceLeft } = this.progress;
        if (relay.begun) {
            return undefined;
        }
        const stop = attempts.taken === 0 ? parts.stop() : undefined;
        return (stop && rejectBeforeStop(whole, parts.clock.now(), stop))
            ?? rejectHopeless(admission.route, firstEvent, patienceLeft);
    }

    /** Whether its first event would still come before the caller gives up, if it were sent after a pause. */
    private canWait({ firstEvent }: Placement): boolean {
        return postponedCaution * firstEvent + memoryPauseAtMost < this.progress.patienceLeft;
    }

    private async postpone(firstEvent: Milliseconds | undefined): Promise<void> {
        if (!this.wasPostponed) {
            this.wasPostponed = true;
            this.progress.parts.metrics.count("postponed_total");
            this.progress.note("Postponed.", undefined, {
                promptTokens: this.progress.request.size?.promptTokens,
                predicted: firstEvent && Math.round(firstEvent),
            });
        }
        await this.progress.pauseForMemory();
    }
}
