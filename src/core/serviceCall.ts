/**
 * Runs calls to plain services: places them on a replica and retries them while a retry is safe. A non-idempotent call with
 * an idempotency key is claimed first, so that it runs at most once over all entries.
 */
import {
    Claims,
    Clock,
    describeError,
    EndpointTable,
    Execution,
    FailureKind,
    fingerprint,
    HeldClaim,
    Placement,
    RequestFailure,
    RequestScheduler,
    RetryBudget,
    ServiceLostError,
    ServicePort,
    ServiceRefusedError,
    ServiceRequest,
    ServiceResponse,
    TimeLimitError,
    Timeline,
    withTimeout,
    Work,
} from "../internal.js";

/** The call fails after this many lost attempts. */
const maximumLosses = 5;
/** Delay before the next attempt after an attempt that wasn't run. */
const notRunRetryDelayMilliseconds = 20;

/** A call requested by a caller. */
export interface ServiceCall {
    work: Work;
    request: ServiceRequest;
    /** Whether the profile lists the call's route as non-idempotent. */
    nonIdempotent: boolean;
}

/** The response, and whether it was stored by an earlier call with the same idempotency key. */
export interface ServiceCallResult {
    response: ServiceResponse;
    replayed: boolean;
}

/** Dependencies of {@link ServiceCalls}. */
export interface ServiceCallDependencies {
    clock: Clock;
    services: ServicePort;
    scheduler: RequestScheduler;
    claims: Claims;
    retries: RetryBudget;
    table: EndpointTable;
    timeline: Timeline;
}

/** How one attempt ended. */
type SendOutcome =
    | { type: "Answered"; response: ServiceResponse; }
    | { type: "NotRun"; reason: string; }
    | { type: "Lost"; reason: string; };

/** Runs calls to plain services. */
export class ServiceCalls {
    constructor(private readonly dependencies: ServiceCallDependencies) {}

    /** Resolves with the service's own response. Throws {@link RequestFailure}. */
    async run(call: ServiceCall): Promise<ServiceCallResult> {
        const idempotencyKey = call.request.idempotencyKey;
        if (!call.nonIdempotent || idempotencyKey === undefined) {
            return { response: await this.sendWithRetries(call, () => true), replayed: false };
        }
        const { method, path, body } = call.request;
        const bodyFingerprint = fingerprint(call.work.service, method, path, body);
        const claimOutcome = await this.dependencies.claims.claim(
            call.work.customer,
            idempotencyKey,
            bodyFingerprint,
            call.work.deadline,
        );
        if (claimOutcome.type === "Answered") {
            return { response: claimOutcome.answer, replayed: true };
        }
        return { response: await this.runClaimed(call, claimOutcome.claim), replayed: false };
    }

    private async runClaimed(call: ServiceCall, claim: HeldClaim): Promise<ServiceResponse> {
        try {
            const response = await this.sendWithRetries(call, () => this.dependencies.claims.maySend(claim));
            await this.dependencies.claims.storeOutcome(claim, response);
            return response;
        }
        catch (error) {
            if (error instanceof RequestFailure && error.execution === Execution.NotRun) {
                await this.dependencies.claims.releaseUnsent(claim);
            }
            else {
                await this.dependencies.claims.storeOutcome(claim, undefined);
            }
            throw error;
        }
    }

    private async sendWithRetries(call: ServiceCall, mayStillSend: () => boolean): Promise<ServiceResponse> {
        const { work } = call;
        const avoidedEndpoints = new Set<string>();
        let mayHaveRun = false;
        this.dependencies.retries.recordFirstAttempt(work.profile.retryShare);
        for (let lossCount = 0; lossCount < maximumLosses;) {
            const placement = await this.placeAttempt(work, avoidedEndpoints, mayHaveRun);
            const outcome = await this.sendOnce(call, placement, mayStillSend);
            placement.release();
            this.dependencies.timeline.record("service", outcome.type, work.requestId, placement.endpoint.id);
            if (outcome.type === "Answered") {
                return outcome.response;
            }
            avoidedEndpoints.add(placement.endpoint.id);
            if (outcome.type === "NotRun") {
                // The delay prevents a busy loop on refusals; the scheduler rejects the call once its deadline has expired.
                await this.dependencies.clock.sleep(work.deadline.bounded(notRunRetryDelayMilliseconds), work.signal);
                continue;
            }
            lossCount++;
            if (outcome.type === "Lost") {
                mayHaveRun = true;
                this.dependencies.table.suspect(placement.endpoint, outcome.reason);
                this.checkRepeatable(work, outcome.reason);
            }
        }
        const execution = mayHaveRun ? Execution.Ran : Execution.NotRun;
        throw new RequestFailure(FailureKind.RetriesExhausted, execution, "all attempts failed", 2);
    }

    private async placeAttempt(
        work: Work,
        avoidedEndpoints: ReadonlySet<string>,
        mayHaveRun: boolean,
    ): Promise<Placement> {
        try {
            return await this.dependencies.scheduler.place(work, avoidedEndpoints);
        }
        catch (error) {
            if (error instanceof RequestFailure && mayHaveRun) {
                throw new RequestFailure(error.kind, Execution.Unknown, error.message, error.retryAfterSeconds);
            }
            throw error;
        }
    }

    private checkRepeatable(work: Work, reason: string): void {
        if (!work.idempotent) {
            const detail = `the call was sent and its response was lost: ${reason}`;
            throw new RequestFailure(FailureKind.OutcomeUnknown, Execution.Unknown, detail);
        }
        if (work.deadline.expired) {
            throw new RequestFailure(FailureKind.DeadlineExceeded, Execution.Unknown, "the deadline has expired", 1);
        }
        if (!this.dependencies.retries.tryTakeRetry()) {
            const detail = "the call failed and the retry budget is exhausted";
            throw new RequestFailure(FailureKind.RetriesExhausted, Execution.Unknown, detail, 2);
        }
    }

    private async sendOnce(call: ServiceCall, placement: Placement, mayStillSend: () => boolean): Promise<SendOutcome> {
        const { work } = call;
        // No await between this check and the send: a process that was paused in between could send after its claim expired.
        if (!mayStillSend() || !placement.maySend() || work.deadline.expired) {
            return { type: "NotRun", reason: "the claim, the placement or the deadline no longer allowed the send" };
        }
        const address = placement.endpoint.record.address;
        try {
            const response = await withTimeout(
                this.dependencies.clock,
                work.deadline.remaining(),
                "the service's response",
                signal => this.dependencies.services.call(address, call.request, signal),
                work.idempotent ? work.signal : undefined,
            );
            return { type: "Answered", response };
        }
        catch (error) {
            return this.classifyFailure(error);
        }
    }

    private classifyFailure(error: unknown): SendOutcome {
        const notWritten = error instanceof ServiceLostError && !error.written;
        if (notWritten || error instanceof ServiceRefusedError) {
            return { type: "NotRun", reason: describeError(error) };
        }
        if (error instanceof ServiceLostError || error instanceof TimeLimitError) {
            return { type: "Lost", reason: describeError(error) };
        }
        throw error;
    }
}
