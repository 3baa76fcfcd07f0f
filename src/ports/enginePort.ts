/** What the core needs of a model engine. */
import { DandelionrampError, EndpointReport, EngineHolding, Milliseconds } from "../internal.js";

/** Priorities that engines honour; a lower number goes first. */
export enum EnginePriority {
    Short = 0,
    Medium = 1,
    Long = 2,
}

/** One attempt at a generation on one engine, or led by one engine for its gang. */
export interface EngineRequest {
    /** Derived from request id and attempt: sending it twice starts it once. */
    streamId: string;
    attempt: number;
    owner: string;
    ownerIncarnation: string;
    prompt: string;
    promptTokens: number;
    maximumTokens: number;
    /** Answer tokens the caller has already; generation goes on behind them. */
    startOffset: number;
    priority: EnginePriority;
    /** Time left until the caller's deadline. */
    remainingMilliseconds: Milliseconds;
    /** Engines that hold a share of the prompt by reservation, the leader included. */
    gang?: { reservationId: string; size: number; };
}

/** One piece of an answer. */
export type EngineFrame =
    | { type: "Tokens"; streamId: string; attempt: number; offset: number; count: number; text: string; }
    | { type: "End"; streamId: string; attempt: number; tokens: number; finishReason: FinishReason; };

/** Why a generation ended. */
export enum FinishReason {
    Stop = "stop",
    Length = "length",
}

/** Why an engine refused before running anything. */
export enum EngineRefusal {
    Busy = "busy",
    Memory = "memory",
    Leaving = "leaving",
    UnknownStream = "unknownStream",
    Invalid = "invalid",
}

/** The engine answered that it runs nothing of this request. */
export class EngineRefusedError extends DandelionrampError {
    constructor(readonly refusal: EngineRefusal, address: string) {
        super(`${address} refused: ${refusal}`);
    }
}

/** The connection to the engine failed. */
export class EngineLostError extends DandelionrampError {
    /** `written` is false only when no byte of the request left this process. */
    constructor(message: string, readonly written: boolean, options?: ErrorOptions) {
        super(message, options);
    }
}

/** A model engine at an address. Calls but for streams end within a bound. */
export interface EnginePort {
    /** Throws {@link EngineLostError}. */
    report(address: string): Promise<EndpointReport>;
    /**
     * Starts or rejoins a stream and resolves once the engine has accepted it. `opening` ends the wait for that,
     * `signal` the stream itself. Throws {@link EngineRefusedError} or {@link EngineLostError}; the frames throw
     * {@link EngineLostError} when the connection fails.
     */
    generate(
        address: string,
        request: EngineRequest,
        opening: AbortSignal,
        signal: AbortSignal,
    ): Promise<AsyncIterable<EngineFrame>>;
    /** Joins a running stream at `offset` over a new connection. Behaves as `generate` does. */
    resume(
        address: string,
        streamId: string,
        offset: number,
        opening: AbortSignal,
        signal: AbortSignal,
    ): Promise<AsyncIterable<EngineFrame>>;
    /** Ends a stream or a reservation and frees its memory; ending an unknown one succeeds. */
    release(address: string, holdingId: string): Promise<void>;
    /** Sets memory aside. Repeating a reservation is harmless. Throws {@link EngineRefusedError}. */
    reserve(address: string, holding: EngineHolding): Promise<void>;
    holdings(address: string): Promise<EngineHolding[]>;
}
