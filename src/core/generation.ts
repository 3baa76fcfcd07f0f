/** One generation, from its place on an engine to the last token: silence, resuming, and running again. */
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
    Placer,
    RequestFailure,
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

/** A stream is given up after this many new connections in a row that bring nothing. */
const idleResumes = 2;
/** Time an engine gets to accept a stream. */
const acceptMilliseconds = 2_000;
/** Attempts that may fail on endpoints before the request itself fails. */
const lossesAtMost = 6;

/** A generation as a caller asked for it. */
export interface GenerationRequest {
    work: Work;
    service: Service;
    prompt: string;
    maximumTokens: number;
}

/** A piece of the answer, in order and without gaps. */
export type ResponseChunk =
    | { type: "Text"; text: string; tokens: number; }
    | { type: "End"; finishReason: FinishReason; tokens: number; };

/** What generations work with. */
export interface GenerationParts {
    clock: Clock;
    engines: EnginePort;
    placer: Placer;
    gangs: Gangs;
    holdings: Holdings;
    table: EndpointTable;
    suspects: Suspects;
    retries: RetryBudget;
    log: PartLog;
    timeline: Timeline;
    self: { instance: string; incarnation: string; };
}

/** Where one attempt runs, on one engine or on a gang. */
interface AttemptPlace {
    endpoint: Endpoint;
    members: Endpoint[];
    gang?: { reservationId: string; size: number; };
    sendAllowed(): boolean;
    release(): void;
}

/** How one attempt ended. */
type AttemptOutcome =
    | { type: "Finished"; }
    /** Nothing ran: the engine refused, or nothing was sent. */
    | { type: "NotRun"; reason: string; }
    /** The engine or its answer was lost on the way. */
    | { type: "Lost"; reason: string; };

/** A connection to a running stream, or why there is none. */
type Connection =
    | { type: "Open"; frames: AsyncIterable<EngineFrame>; }
    | Exclude<AttemptOutcome, { type: "Finished"; }>;

/** How reading one connection ended. */
type Reading =
    | { type: "Finished"; }
    | { type: "Silent"; reason: string; }
    | { type: "Cut"; reason: string; };

/** State of one request over its attempts. */
interface Progress {
    attempt: number;
    /** Attempts that were lost on their endpoints. */
    losses: number;
    tokensSent: number;
    avoid: Set<string>;
    ran: boolean;
}

/** The baselines know no lanes: they leave the engines' order to the engines. */
const priorityOf = ({ lane, profile }: Work): EnginePriority => {
    if (profile.policy !== RoutingPolicy.ShortFirst) {
        return EnginePriority.Medium;
    }
    return lane === Lane.Short ? EnginePriority.Short : EnginePriority.Long;
};

/** Runs generations. */
export class Generations {
    constructor(private readonly parts: GenerationParts) {}

    /**
     * Yields the whole answer in order.
     *
     * Throws {@link RequestFailure}. Whoever stops reading early must call `return` on the iterator: that ends the
     * stream on the engine.
     */
    async *run(request: GenerationRequest): AsyncGenerator<ResponseChunk, void> {
        const progress: Progress = { attempt: 0, losses: 0, tokensSent: 0, avoid: new Set(), ran: false };
        this.parts.retries.firstAttempt(request.work.profile.retryShare);
        while (true) {
            const place = await this.findPlace(request, progress);
            const outcome = yield* this.runAttempt(request, place, progress);
            if (outcome.type === "Finished") {
                this.parts.suspects.clear(request.work.fingerprint);
                return;
            }
            this.note(request, place, outcome);
            await this.prepareRetry(request, place, progress, outcome);
        }
    }

    private async findPlace(request: GenerationRequest, progress: Progress): Promise<AttemptPlace> {
        try {
            return this.parts.gangs.needed(request.work)
                ? await this.findGang(request, progress)
                : await this.findEndpoint(request, progress);
        }
        catch (error) {
            if (error instanceof RequestFailure && progress.ran) {
                // An earlier attempt ran, so "not run" would no longer be true.
                throw new RequestFailure(error.kind, Execution.Ran, error.message, error.retryAfterSeconds);
            }
            throw error;
        }
    }

    private async findEndpoint(request: GenerationRequest, progress: Progress): Promise<AttemptPlace> {
        const placement = await this.parts.placer.place(request.work, progress.avoid);
        return { ...placement, members: [placement.endpoint] };
    }

    private async findGang(request: GenerationRequest, progress: Progress): Promise<AttemptPlace> {
        const gang = await this.parts.gangs.place(request.work, request.service, progress.avoid);
        return {
            endpoint: gang.leader,
            members: gang.members,
            gang: { reservationId: gang.reservationId, size: gang.members.length },
            sendAllowed: gang.sendAllowed,
            release: () => {
                void gang.release();
            },
        };
    }

    private async *runAttempt(
        request: GenerationRequest,
        place: AttemptPlace,
        progress: Progress,
    ): AsyncGenerator<ResponseChunk, AttemptOutcome> {
        const { work } = request;
        const streamId = `${work.requestId}.${progress.attempt}`;
        const stop = new AbortController();
        const end = () => stop.abort();
        work.signal.addEventListener("abort", end, { once: true });
        let finished = false;
        this.parts.holdings.claim(streamId);
        this.parts.timeline.record("generation", "attempt", work.requestId, `${streamId} on ${place.endpoint.id}`);
        try {
            const outcome = yield* this.follow(request, place, progress, streamId, stop.signal);
            finished = outcome.type === "Finished";
            return outcome;
        }
        finally {
            stop.abort();
            work.signal.removeEventListener("abort", end);
            this.parts.holdings.ended(streamId);
            if (!finished) {
                void this.parts.holdings.release(place.endpoint.record.address, streamId);
            }
            place.release();
        }
    }

    /** Reads the stream, over new connections where an old one fails or goes silent. */
    private async *follow(
        request: GenerationRequest,
        place: AttemptPlace,
        progress: Progress,
        streamId: string,
        signal: AbortSignal,
    ): AsyncGenerator<ResponseChunk, AttemptOutcome> {
        const { work } = request;
        let connection = await this.open(request, place, progress, streamId, signal);
        let idle = 0;
        while (true) {
            if (connection.type !== "Open") {
                return connection;
            }
            const before = progress.tokensSent;
            const reading = yield* this.read(connection.frames, work, progress, streamId);
            if (reading.type === "Finished") {
                return reading;
            }
            this.checkDeadline(work, progress);
            idle = progress.tokensSent > before || reading.type === "Silent" ? 0 : idle + 1;
            if (idle > idleResumes) {
                return { type: "Lost", reason: reading.reason };
            }
            this.parts.timeline.record("generation", "resume", work.requestId, `${streamId}: ${reading.reason}`);
            connection = await this.reopen(place, progress, streamId, work.deadline, signal);
        }
    }

    private async open(
        request: GenerationRequest,
        place: AttemptPlace,
        progress: Progress,
        streamId: string,
        signal: AbortSignal,
    ): Promise<Connection> {
        if (!place.sendAllowed()) {
            return { type: "NotRun", reason: "the endpoint's state changed before the send" };
        }
        const engineRequest = this.engineRequest(request, place, progress, streamId);
        const address = place.endpoint.record.address;
        const limit = request.work.deadline.bounded(acceptMilliseconds + request.prompt.length / 1_000);
        try {
            const frames = await withTimeout(
                this.parts.clock,
                limit,
                "an engine's acceptance",
                inner => this.parts.engines.generate(address, engineRequest, inner, signal),
            );
            progress.ran = true;
            return { type: "Open", frames };
        }
        catch (error) {
            return this.notOpened(error, place, progress, request.work.deadline, streamId, signal);
        }
    }

    private async notOpened(
        error: unknown,
        place: AttemptPlace,
        progress: Progress,
        deadline: Deadline,
        streamId: string,
        signal: AbortSignal,
    ): Promise<Connection> {
        if (error instanceof EngineRefusedError) {
            if (error.refusal === EngineRefusal.Busy) {
                this.parts.table.suspect(place.endpoint, "it refused work");
            }
            return { type: "NotRun", reason: error.message };
        }
        if (error instanceof EngineLostError && !error.written) {
            this.parts.table.suspect(place.endpoint, "no connection");
            return { type: "NotRun", reason: error.message };
        }
        if (error instanceof EngineLostError || error instanceof TimeLimitError) {
            // The request may have been read: only the engine knows whether the stream exists.
            progress.ran = true;
            return this.reopen(place, progress, streamId, deadline, signal);
        }
        throw error;
    }

    private async reopen(
        place: AttemptPlace,
        progress: Progress,
        streamId: string,
        deadline: Deadline,
        signal: AbortSignal,
    ): Promise<Connection> {
        const address = place.endpoint.record.address;
        try {
            const limit = deadline.bounded(acceptMilliseconds);
            const frames = await withTimeout(
                this.parts.clock,
                limit,
                "an engine's acceptance",
                inner => this.parts.engines.resume(address, streamId, progress.tokensSent, inner, signal),
            );
            return { type: "Open", frames };
        }
        catch (error) {
            const known = error instanceof EngineRefusedError || error instanceof EngineLostError
                || error instanceof TimeLimitError;
            if (known) {
                return { type: "Lost", reason: describeError(error) };
            }
            throw error;
        }
    }

    private async *read(
        frames: AsyncIterable<EngineFrame>,
        work: Work,
        progress: Progress,
        streamId: string,
    ): AsyncGenerator<ResponseChunk, Reading> {
        const iterator = frames[Symbol.asyncIterator]();
        try {
            while (true) {
                const limit = work.deadline.bounded(work.profile.silenceMilliseconds);
                const next = await withTimeout(this.parts.clock, limit, "the next frame", () => iterator.next());
                if (next.done) {
                    return { type: "Cut", reason: "the stream ended without its end marker" };
                }
                const piece = this.accept(next.value, progress, streamId);
                if (piece === "Gap") {
                    return { type: "Cut", reason: "a piece of the answer is missing" };
                }
                if (piece !== "Drop") {
                    yield piece;
                    if (piece.type === "End") {
                        return { type: "Finished" };
                    }
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
            // Not awaited: ending a silent connection may never settle.
            void iterator.return?.()?.catch(() => {});
        }
    }

    /** Takes a frame only where it belongs: same stream, same attempt, next offset. */
    private accept(frame: EngineFrame, progress: Progress, streamId: string): ResponseChunk | "Drop" | "Gap" {
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

    private engineRequest(
        request: GenerationRequest,
        place: AttemptPlace,
        progress: Progress,
        streamId: string,
    ): EngineRequest {
        return {
            streamId,
            attempt: progress.attempt,
            owner: this.parts.self.instance,
            ownerIncarnation: this.parts.self.incarnation,
            prompt: request.prompt,
            promptTokens: request.work.promptTokens,
            maximumTokens: request.maximumTokens,
            startOffset: progress.tokensSent,
            priority: priorityOf(request.work),
            remainingMilliseconds: request.work.deadline.remaining(),
            gang: place.gang,
        };
    }

    private note(request: GenerationRequest, place: AttemptPlace, outcome: AttemptOutcome): void {
        const reason = outcome.type === "Finished" ? "" : outcome.reason;
        this.parts.log.warn("An attempt failed.", {
            requestId: request.work.requestId,
            endpoint: place.endpoint.id,
            reason,
        });
        this.parts.timeline.record("generation", "attempt-failed", request.work.requestId, reason);
    }

    private async prepareRetry(
        request: GenerationRequest,
        place: AttemptPlace,
        progress: Progress,
        outcome: AttemptOutcome,
    ): Promise<void> {
        const { work } = request;
        if (outcome.type === "Lost") {
            const limit = work.deadline.remaining();
            await withTimeoutOrUndefined(
                this.parts.clock,
                limit,
                "an endpoint's report",
                () => this.judgeLoss(work, place),
            );
        }
        this.checkDeadline(work, progress);
        progress.attempt++;
        for (const member of place.members) {
            progress.avoid.add(member.id);
        }
        if (outcome.type === "NotRun") {
            // Refusals must not spin: the endpoint's next report decides.
            await this.parts.clock.sleep(work.deadline.bounded(20), work.signal);
            return;
        }
        progress.losses++;
        if (progress.losses >= lossesAtMost || !this.parts.retries.takeRetry()) {
            const execution = progress.ran ? Execution.Ran : Execution.NotRun;
            const detail = "the request failed on its endpoints and the budget for retries is spent";
            throw new RequestFailure(FailureKind.RetriesExhausted, execution, detail, 2);
        }
    }

    /** Finds out whether the endpoint died with this request on it. */
    private async judgeLoss(work: Work, place: AttemptPlace): Promise<void> {
        for (const member of place.members) {
            const incarnation = member.report?.incarnation;
            this.parts.table.suspect(member, "a stream was lost on it");
            if (incarnation !== undefined && await this.hasDied(member, incarnation)) {
                this.parts.suspects.crashed(work.fingerprint, incarnation);
            }
        }
    }

    /** A refused connection or a new process proves a death; mere silence doesn't. */
    private async hasDied(endpoint: Endpoint, incarnation: string): Promise<boolean> {
        try {
            const report = await this.parts.engines.report(endpoint.record.address);
            return report.incarnation !== incarnation;
        }
        catch (error) {
            return error instanceof EngineLostError && !error.written;
        }
    }

    private checkDeadline(work: Work, progress: Progress): void {
        const execution = progress.ran ? Execution.Ran : Execution.NotRun;
        if (work.signal.aborted) {
            throw new RequestFailure(FailureKind.DeadlineExceeded, execution, "the caller went away");
        }
        if (work.deadline.expired) {
            throw new RequestFailure(FailureKind.DeadlineExceeded, execution, "the deadline passed", 1);
        }
    }
}
