/**
 * Runs generations from placement to the last token. When a connection to an engine fails or stalls, the entry resumes the
 * stream over a new connection. When the engine or the stream is lost, the entry retries on another engine, starting after
 * the tokens that the caller already has.
 */
import {
    Clock,
    Deadline,
    describeError,
    Endpoint,
    EndpointTable,
    EngineFrame,
    EngineLostError,
    EnginePort,
    EnginePriority,
    EngineRefusal,
    EngineRefusedError,
    EngineRequest,
    Execution,
    FailureKind,
    FinishReason,
    Gangs,
    Holdings,
    Lane,
    PartLog,
    RequestFailure,
    RequestScheduler,
    RetryBudget,
    RoutingPolicy,
    Service,
    Suspects,
    TimeLimitError,
    Timeline,
    withTimeout,
    withTimeoutOrUndefined,
    Work,
} from "../internal.js";

/** A stream is abandoned after more than this many consecutive connections without a new token; stalls don't count. */
const maximumIdleResumes = 2;
/** Timeout for an engine to accept a stream. */
const acceptTimeoutMilliseconds = 2_000;
/** The request fails after this many lost attempts. */
const maximumLosses = 6;

/** A generation requested by a caller. */
export interface GenerationRequest {
    work: Work;
    service: Service;
    prompt: string;
    maximumTokens: number;
}

/** A chunk of the response; chunks arrive in order and without gaps. */
export type ResponseChunk =
    | { type: "Text"; text: string; tokens: number; }
    | { type: "End"; finishReason: FinishReason; tokens: number; };

/** Dependencies of {@link Generations}. */
export interface GenerationDependencies {
    clock: Clock;
    engines: EnginePort;
    scheduler: RequestScheduler;
    gangs: Gangs;
    holdings: Holdings;
    table: EndpointTable;
    suspects: Suspects;
    retries: RetryBudget;
    log: PartLog;
    timeline: Timeline;
    self: { instance: string; incarnation: string; };
}

/** The engine or gang that runs one attempt. */
interface AttemptTarget {
    endpoint: Endpoint;
    members: Endpoint[];
    gang?: { reservationId: string; size: number; };
    maySend(): boolean;
    release(): void;
}

/** How one attempt ended. */
type AttemptOutcome =
    | { type: "Finished"; }
    /** Nothing ran: the engine refused the request, or the request was not sent. */
    | { type: "NotRun"; reason: string; }
    /** The engine or the connection failed after the request may have been read. */
    | { type: "Lost"; reason: string; };

/** An open connection to a running stream, or the outcome of an attempt that has none. */
type Connection =
    | { type: "Open"; frames: AsyncIterable<EngineFrame>; }
    | Exclude<AttemptOutcome, { type: "Finished"; }>;

/** How reading from one connection ended. */
type ReadOutcome =
    | { type: "Finished"; }
    | { type: "Silent"; reason: string; }
    | { type: "Cut"; reason: string; };

/** State of one request across its attempts. */
interface RequestProgress {
    attempt: number;
    /** Number of lost attempts. */
    lossCount: number;
    tokensSent: number;
    avoidedEndpoints: Set<string>;
    mayHaveRun: boolean;
}

/** Only the short-first policy has lanes; with the other policies, all requests have the same priority on the engines. */
const enginePriorityOf = ({ lane, profile }: Work): EnginePriority => {
    if (profile.policy !== RoutingPolicy.ShortFirst) {
        return EnginePriority.Medium;
    }
    return lane === Lane.Short ? EnginePriority.Short : EnginePriority.Long;
};

/** Runs generations and retries the attempts that fail. */
export class Generations {
    constructor(private readonly dependencies: GenerationDependencies) {}

    /**
     * Yields the whole response in order.
     *
     * Throws {@link RequestFailure}. A reader that stops early must call `return` on the iterator, which ends the stream
     * on the engine.
     */
    async *run(request: GenerationRequest): AsyncGenerator<ResponseChunk, void> {
        const progress: RequestProgress = {
            attempt: 0,
            lossCount: 0,
            tokensSent: 0,
            avoidedEndpoints: new Set(),
            mayHaveRun: false,
        };
        this.dependencies.retries.recordFirstAttempt(request.work.profile.retryShare);
        while (true) {
            const target = await this.findTarget(request, progress);
            const outcome = yield* this.runAttempt(request, target, progress);
            if (outcome.type === "Finished") {
                this.dependencies.suspects.recordCompletion(request.work.fingerprint);
                return;
            }
            this.recordFailedAttempt(request, target, outcome);
            await this.prepareRetry(request, target, progress, outcome);
        }
    }

    private async findTarget(request: GenerationRequest, progress: RequestProgress): Promise<AttemptTarget> {
        try {
            return this.dependencies.gangs.isNeededFor(request.work)
                ? await this.placeOnGang(request, progress)
                : await this.placeOnEndpoint(request, progress);
        }
        catch (error) {
            if (error instanceof RequestFailure && progress.mayHaveRun) {
                // An earlier attempt may have run, so the failure must not claim `not-run`.
                throw new RequestFailure(error.kind, Execution.Ran, error.message, error.retryAfterSeconds);
            }
            throw error;
        }
    }

    private async placeOnEndpoint(request: GenerationRequest, progress: RequestProgress): Promise<AttemptTarget> {
        const placement = await this.dependencies.scheduler.place(request.work, progress.avoidedEndpoints);
        return { ...placement, members: [placement.endpoint] };
    }

    private async placeOnGang(request: GenerationRequest, progress: RequestProgress): Promise<AttemptTarget> {
        const gang = await this.dependencies.gangs.place(request.work, request.service, progress.avoidedEndpoints);
        return {
            endpoint: gang.leader,
            members: gang.members,
            gang: { reservationId: gang.reservationId, size: gang.members.length },
            maySend: gang.maySend,
            release: () => {
                void gang.release();
            },
        };
    }

    private async *runAttempt(
        request: GenerationRequest,
        target: AttemptTarget,
        progress: RequestProgress,
    ): AsyncGenerator<ResponseChunk, AttemptOutcome> {
        const { work } = request;
        const streamId = `${work.requestId}.${progress.attempt}`;
        const attemptController = new AbortController();
        const abortAttempt = () => attemptController.abort();
        work.signal.addEventListener("abort", abortAttempt, { once: true });
        let isFinished = false;
        this.dependencies.holdings.register(streamId);
        this.dependencies.timeline.record(
            "generation",
            "attempt",
            work.requestId,
            `${streamId} on ${target.endpoint.id}`,
        );
        try {
            const outcome = yield* this.readStream(request, target, progress, streamId, attemptController.signal);
            isFinished = outcome.type === "Finished";
            return outcome;
        }
        finally {
            attemptController.abort();
            work.signal.removeEventListener("abort", abortAttempt);
            this.dependencies.holdings.unregister(streamId);
            if (!isFinished) {
                void this.dependencies.holdings.release(target.endpoint.record.address, streamId);
            }
            target.release();
        }
    }

    /** Reads the stream and resumes it over a new connection whenever one fails or stalls. */
    private async *readStream(
        request: GenerationRequest,
        target: AttemptTarget,
        progress: RequestProgress,
        streamId: string,
        signal: AbortSignal,
    ): AsyncGenerator<ResponseChunk, AttemptOutcome> {
        const { work } = request;
        let connection = await this.openStream(request, target, progress, streamId, signal);
        let idleConnectionCount = 0;
        while (true) {
            if (connection.type !== "Open") {
                return connection;
            }
            const tokensSentBefore = progress.tokensSent;
            const readOutcome = yield* this.readConnection(connection.frames, work, progress, streamId);
            if (readOutcome.type === "Finished") {
                return readOutcome;
            }
            this.checkDeadline(work, progress);
            idleConnectionCount = progress.tokensSent > tokensSentBefore || readOutcome.type === "Silent"
                ? 0
                : idleConnectionCount + 1;
            if (idleConnectionCount > maximumIdleResumes) {
                return { type: "Lost", reason: readOutcome.reason };
            }
            this.dependencies.timeline.record(
                "generation",
                "resume",
                work.requestId,
                `${streamId}: ${readOutcome.reason}`,
            );
            connection = await this.resumeStream(target, progress, streamId, work.deadline, signal);
        }
    }

    private async openStream(
        request: GenerationRequest,
        target: AttemptTarget,
        progress: RequestProgress,
        streamId: string,
        signal: AbortSignal,
    ): Promise<Connection> {
        if (!target.maySend()) {
            return { type: "NotRun", reason: "the endpoint's state changed between placement and send" };
        }
        const engineRequest = this.buildEngineRequest(request, target, progress, streamId);
        const address = target.endpoint.record.address;
        const limit = request.work.deadline.bounded(acceptTimeoutMilliseconds + request.prompt.length / 1_000);
        try {
            const frames = await withTimeout(
                this.dependencies.clock,
                limit,
                "an engine's acceptance",
                openingSignal => this.dependencies.engines.generate(address, engineRequest, openingSignal, signal),
            );
            progress.mayHaveRun = true;
            return { type: "Open", frames };
        }
        catch (error) {
            return this.handleOpenFailure(error, target, progress, request.work.deadline, streamId, signal);
        }
    }

    private async handleOpenFailure(
        error: unknown,
        target: AttemptTarget,
        progress: RequestProgress,
        deadline: Deadline,
        streamId: string,
        signal: AbortSignal,
    ): Promise<Connection> {
        if (error instanceof EngineRefusedError) {
            if (error.refusal === EngineRefusal.Busy) {
                this.dependencies.table.suspect(target.endpoint, "it refused work as busy");
            }
            return { type: "NotRun", reason: error.message };
        }
        if (error instanceof EngineLostError && !error.written) {
            this.dependencies.table.suspect(target.endpoint, "it can't be connected to");
            return { type: "NotRun", reason: error.message };
        }
        if (error instanceof EngineLostError || error instanceof TimeLimitError) {
            // The engine may have read the request, so resume the stream instead of starting another one.
            progress.mayHaveRun = true;
            return this.resumeStream(target, progress, streamId, deadline, signal);
        }
        throw error;
    }

    private async resumeStream(
        target: AttemptTarget,
        progress: RequestProgress,
        streamId: string,
        deadline: Deadline,
        signal: AbortSignal,
    ): Promise<Connection> {
        const address = target.endpoint.record.address;
        try {
            const limit = deadline.bounded(acceptTimeoutMilliseconds);
            const frames = await withTimeout(
                this.dependencies.clock,
                limit,
                "an engine's acceptance",
                openingSignal =>
                    this.dependencies.engines.resume(address, streamId, progress.tokensSent, openingSignal, signal),
            );
            return { type: "Open", frames };
        }
        catch (error) {
            const isExpected = error instanceof EngineRefusedError || error instanceof EngineLostError
                || error instanceof TimeLimitError;
            if (isExpected) {
                return { type: "Lost", reason: describeError(error) };
            }
            throw error;
        }
    }

    private async *readConnection(
        frames: AsyncIterable<EngineFrame>,
        work: Work,
        progress: RequestProgress,
        streamId: string,
    ): AsyncGenerator<ResponseChunk, ReadOutcome> {
        const { clock } = this.dependencies;
        const iterator = frames[Symbol.asyncIterator]();
        // Dropped frames bring the response no further, so they don't interrupt the silence.
        let lastProgressAt = clock.now();
        try {
            while (true) {
                const silence = clock.now() - lastProgressAt;
                const limit = work.deadline.bounded(work.profile.silenceMilliseconds - silence);
                if (limit <= 0) {
                    return { type: "Silent", reason: "the stream made no progress" };
                }
                const nextFrame = await withTimeout(
                    clock,
                    limit,
                    "the next frame",
                    () => iterator.next(),
                );
                if (nextFrame.done) {
                    return { type: "Cut", reason: "the stream ended without its end marker" };
                }
                const chunk = this.acceptFrame(nextFrame.value, progress, streamId);
                if (chunk === "Gap") {
                    return { type: "Cut", reason: "a part of the response is missing" };
                }
                if (chunk !== "Drop") {
                    yield chunk;
                    if (chunk.type === "End") {
                        return { type: "Finished" };
                    }
                    lastProgressAt = clock.now();
                }
            }
        }
        catch (error) {
            if (error instanceof TimeLimitError) {
                return { type: "Silent", reason: error.message };
            }
            if (error instanceof EngineLostError) {
                return { type: "Cut", reason: error.message };
            }
            throw error;
        }
        finally {
            // Not awaited, because closing a stalled connection may never settle.
            void iterator.return?.()?.catch(() => {});
        }
    }

    /** Accepts a frame only if it belongs to this stream and attempt and continues at the next offset. */
    private acceptFrame(
        frame: EngineFrame,
        progress: RequestProgress,
        streamId: string,
    ): ResponseChunk | "Drop" | "Gap" {
        if (frame.streamId !== streamId || frame.attempt !== progress.attempt) {
            return "Drop";
        }
        if (frame.type === "End") {
            return frame.tokens === progress.tokensSent
                ? { type: "End", finishReason: frame.finishReason, tokens: frame.tokens }
                : "Gap";
        }
        if (frame.offset + frame.count <= progress.tokensSent) {
            return "Drop";
        }
        if (frame.offset !== progress.tokensSent) {
            return "Gap";
        }
        progress.tokensSent += frame.count;
        return { type: "Text", text: frame.text, tokens: frame.count };
    }

    private buildEngineRequest(
        request: GenerationRequest,
        target: AttemptTarget,
        progress: RequestProgress,
        streamId: string,
    ): EngineRequest {
        return {
            streamId,
            attempt: progress.attempt,
            owner: this.dependencies.self.instance,
            ownerIncarnation: this.dependencies.self.incarnation,
            prompt: request.prompt,
            promptTokens: request.work.promptTokens,
            maximumTokens: request.maximumTokens,
            startOffset: progress.tokensSent,
            priority: enginePriorityOf(request.work),
            remainingMilliseconds: request.work.deadline.remaining(),
            gang: target.gang,
        };
    }

    private recordFailedAttempt(request: GenerationRequest, target: AttemptTarget, outcome: AttemptOutcome): void {
        const reason = outcome.type === "Finished" ? "" : outcome.reason;
        this.dependencies.log.warn("An attempt failed.", {
            requestId: request.work.requestId,
            endpoint: target.endpoint.id,
            reason,
        });
        this.dependencies.timeline.record("generation", "attempt-failed", request.work.requestId, reason);
    }

    private async prepareRetry(
        request: GenerationRequest,
        target: AttemptTarget,
        progress: RequestProgress,
        outcome: AttemptOutcome,
    ): Promise<void> {
        const { work } = request;
        if (outcome.type === "Lost") {
            const limit = work.deadline.remaining();
            await withTimeoutOrUndefined(
                this.dependencies.clock,
                limit,
                "an endpoint's report",
                () => this.recordCrashes(work, target),
            );
        }
        this.checkDeadline(work, progress);
        progress.attempt++;
        for (const member of target.members) {
            progress.avoidedEndpoints.add(member.id);
        }
        if (outcome.type === "NotRun") {
            // The delay keeps refusals from causing a busy loop until the endpoint's next report.
            await this.dependencies.clock.sleep(work.deadline.bounded(20), work.signal);
            return;
        }
        progress.lossCount++;
        if (progress.lossCount >= maximumLosses || !this.dependencies.retries.tryTakeRetry()) {
            const execution = progress.mayHaveRun ? Execution.Ran : Execution.NotRun;
            const detail = "the attempts failed, and the retry limit or the retry budget is exhausted";
            throw new RequestFailure(FailureKind.RetriesExhausted, execution, detail, 2);
        }
    }

    /** Closes the target's endpoints and records a crash for each that died while it ran this request. */
    private async recordCrashes(work: Work, target: AttemptTarget): Promise<void> {
        for (const member of target.members) {
            const incarnation = member.report?.incarnation;
            this.dependencies.table.suspect(member, "a stream on it was lost");
            if (incarnation !== undefined && await this.hasCrashed(member, incarnation)) {
                this.dependencies.suspects.recordCrash(work.fingerprint, incarnation);
            }
        }
    }

    /** Only a refused connection or a new incarnation proves a crash; a missing response doesn't. */
    private async hasCrashed(endpoint: Endpoint, incarnation: string): Promise<boolean> {
        try {
            const report = await this.dependencies.engines.report(endpoint.record.address);
            return report.incarnation !== incarnation;
        }
        catch (error) {
            return error instanceof EngineLostError && !error.written;
        }
    }

    private checkDeadline(work: Work, progress: RequestProgress): void {
        const execution = progress.mayHaveRun ? Execution.Ran : Execution.NotRun;
        if (work.signal.aborted) {
            throw new RequestFailure(FailureKind.DeadlineExceeded, execution, "the caller has left");
        }
        if (work.deadline.expired) {
            throw new RequestFailure(FailureKind.DeadlineExceeded, execution, "the deadline has expired", 1);
        }
    }
}
