/** The port through which the core calls model engines. */
import { DandelionrampError, EndpointReport, EngineHolding, Milliseconds } from "../internal.js";

/** Request priorities on engines; engines schedule a lower number first. */
export enum EnginePriority {
    Short = 0,
    Medium = 1,
    Long = 2,
}

/** One attempt of a generation, on one engine or on a gang through its leader. */
export interface EngineRequest {
    /** Derived from the request id and the attempt number, so that a repeated request doesn't start a second stream. */
    streamId: string;
    attempt: number;
    owner: string;
    ownerIncarnation: string;
    prompt: string;
    promptTokens: number;
    maximumTokens: number;
    /** Number of output tokens that the caller already has; the generation continues after them. */
    startOffset: number;
    priority: EnginePriority;
    /** Time left before the caller's deadline. */
    remainingMilliseconds: Milliseconds;
    /** The gang's reservation and its number of engines, including the leader; undefined for a single engine. */
    gang?: { reservationId: string; size: number; };
}

/** A part of a response stream. */
export type EngineFrame =
    | { type: "Tokens"; streamId: string; attempt: number; offset: number; count: number; text: string; }
    | { type: "End"; streamId: string; attempt: number; tokens: number; finishReason: FinishReason; };

/** Why a generation ended. */
export enum FinishReason {
    Stop = "stop",
    Length = "length",
}

/** Why an engine refused a request before running it. */
export enum EngineRefusal {
    Busy = "busy",
    Memory = "memory",
    Leaving = "leaving",
    UnknownStream = "unknownStream",
    Invalid = "invalid",
}

/** The engine refused the request and runs no part of it. */
export class EngineRefusedError extends DandelionrampError {
    constructor(readonly refusal: EngineRefusal, address: string) {
        super(`${address} refused: ${refusal}`);
    }
}

/** The connection to the engine failed. */
export class EngineLostError extends DandelionrampError {
    /** `written` is false only if no byte of the request was sent. */
    constructor(message: string, readonly written: boolean, options?: ErrorOptions) {
        super(message, options);
    }
}

/** Calls to the model engine at an address. All calls except streams have a timeout. */
export interface EnginePort {
    /** Throws {@link EngineLostError}. */
    report(address: string): Promise<EndpointReport>;
    /**
     * Starts or rejoins a stream and resolves once the engine has accepted it. `opening` aborts the wait for acceptance,
     * `signal` the stream itself. Throws {@link EngineRefusedError} or {@link EngineLostError}; reading the frames throws
     * {@link EngineLostError} when the connection fails.
     */
    generate(
        address: string,
        request: EngineRequest,
        opening: AbortSignal,
        signal: AbortSignal,
    ): Promise<AsyncIterable<EngineFrame>>;
    /** Resumes a running stream at `offset` over a new connection, with the signals and errors of `generate`. */
    resume(
        address: string,
        streamId: string,
        offset: number,
        opening: AbortSignal,
        signal: AbortSignal,
    ): Promise<AsyncIterable<EngineFrame>>;
    /** Ends a stream or a reservation and frees its memory; succeeds if the engine doesn't hold it. */
    release(address: string, holdingId: string): Promise<void>;
    /** Reserves memory; idempotent. Throws {@link EngineRefusedError}. */
    reserve(address: string, holding: EngineHolding): Promise<void>;
    holdings(address: string): Promise<EngineHolding[]>;
}
