/** Calls of plain services: placed, sent as often as is safe, and claimed where they must not be repeated. */
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
    Placer,
    RequestFailure,
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

const lossesAtMost = 5;
const notRunPauseMilliseconds = 20;

/** A call as a caller made it. */
export interface ServiceCall {
    work: Work;
    request: ServiceRequest;
    /** Whether the profile says that the call must not be repeated. */
    nonIdempotent: boolean;
}

/** The answer, and whether it is the kept answer of an earlier call. */
export interface ServiceCallAnswer {
    answer: ServiceResponse;
    replayed: boolean;
}

/** What service calls work with. */
export interface ServiceCallParts {
    clock: Clock;
    services: ServicePort;
    placer: Placer;
    claims: Claims;
    retries: RetryBudget;
    table: EndpointTable;
    timeline: Timeline;
}

/** How one send ended. */
type SendOutcome =
    | { type: "Answered"; answer: ServiceResponse; }
    | { type: "NotRun"; reason: string; }
    | { type: "Lost"; reason: string; };

/** Runs calls of plain services. */
export class ServiceCalls {
    constructor(private readonly parts: ServiceCallParts) {}

    /** Resolves with the service's own answer. Throws {@link RequestFailure}. */
    async run(call: ServiceCall): Promise<ServiceCallAnswer> {
        const key = call.request.idempotencyKey;
        if (!call.nonIdempotent || key === undefined) {
            return { answer: await this.send(call, () => true), replayed: false };
        }
        const { method, path, body } = call.request;
        const bodyFingerprint = fingerprint(call.work.service, method, path, body);
        const claimed = await this.parts.claims.claim(call.work.customer, key, bodyFingerprint, call.work.deadline);
        if (claimed.type === "Answered") {
            return { answer: claimed.answer, replayed: true };
        }
        return { answer: await this.runClaimed(call, claimed.claim), replayed: false };
    }

    private async runClaimed(call: ServiceCall, claim: HeldClaim): Promise<ServiceResponse> {
        try {
            const answer = await this.send(call, () => this.parts.claims.maySend(claim));
            await this.parts.claims.keep(claim, answer);
            return answer;
        }
        catch (error) {
            if (error instanceof RequestFailure && error.execution === Execution.NotRun) {
                await this.parts.claims.giveUp(claim);
            }
            else {
                await this.parts.claims.keep(claim, undefined);
            }
            throw error;
        }
    }

    private async send(call: ServiceCall, mayStillSend: () => boolean): Promise<ServiceResponse> {
        const { work } = call;
        const avoid = new Set<string>();
        let ran = false;
        this.parts.retries.firstAttempt(work.profile.retryShare);
        for (let losses = 0; losses < lossesAtMost;) {
            const placement = await this.place(work, avoid, ran);
            const outcome = await this.sendOnce(call, placement, mayStillSend);
            placement.release();
            this.parts.timeline.record("service", outcome.type, work.requestId, placement.endpoint.id);
            if (outcome.type === "Answered") {
                return outcome.answer;
            }
            avoid.add(placement.endpoint.id);
            if (outcome.type === "NotRun") {
                // A refusal must not spin; placing refuses once the deadline has passed.
                await this.parts.clock.sleep(work.deadline.bounded(notRunPauseMilliseconds), work.signal);
                continue;
            }
            losses++;
            if (outcome.type === "Lost") {
                ran = true;
                this.parts.table.suspect(placement.endpoint, outcome.reason);
                this.checkRepeatable(work, outcome.reason);
            }
        }
        const execution = ran ? Execution.Ran : Execution.NotRun;
        throw new RequestFailure(FailureKind.RetriesExhausted, execution, "every attempt failed", 2);
    }

    private async place(work: Work, avoid: ReadonlySet<string>, ran: boolean): Promise<Placement> {
        try {
            return await this.parts.placer.place(work, avoid);
        }
        catch (error) {
            if (error instanceof RequestFailure && ran) {
                throw new RequestFailure(error.kind, Execution.Unknown, error.message, error.retryAfterSeconds);
            }
            throw error;
        }
    }

    private checkRepeatable(work: Work, reason: string): void {
        if (!work.idempotent) {
            const detail = `the call was sent and its answer was lost: ${reason}`;
            throw new RequestFailure(FailureKind.OutcomeUnknown, Execution.Unknown, detail);
        }
        if (work.deadline.expired) {
            throw new RequestFailure(FailureKind.DeadlineExceeded, Execution.Unknown, "the deadline passed", 1);
        }
        if (!this.parts.retries.takeRetry()) {
            const detail = "the call failed and the budget for retries is spent";
            throw new RequestFailure(FailureKind.RetriesExhausted, Execution.Unknown, detail, 2);
        }
    }

    private async sendOnce(call: ServiceCall, placement: Placement, mayStillSend: () => boolean): Promise<SendOutcome> {
        const { work } = call;
        // From this check to the send there is no await: a process paused before it must not send on waking.
        if (!mayStillSend() || !placement.sendAllowed() || work.deadline.expired) {
            return { type: "NotRun", reason: "it was too late to send" };
        }
        const address = placement.endpoint.record.address;
        try {
            const answer = await withTimeout(
                this.parts.clock,
                work.deadline.remaining(),
                "the service's answer",
                signal => this.parts.services.call(address, call.request, signal),
                work.idempotent ? work.signal : undefined,
            );
            return { type: "Answered", answer };
        }
        catch (error) {
            return this.failureOf(error);
        }
    }

    private failureOf(error: unknown): SendOutcome {
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
