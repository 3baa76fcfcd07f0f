/** Computes durations of model engine work from the engine's published speeds. */
import type { EngineProfile } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";

const tokensPerThousand = 1_000;
const pairsPerMillion = 1_000_000;

/**
 * Time to prefill a prompt on an idle engine. The attention over token pairs makes the time grow faster than the prompt's
 * length.
 */
export const prefillDuration = (engine: EngineProfile, promptTokens: number): Milliseconds => {
    const pairs = promptTokens * promptTokens / 2;
    return promptTokens / engine.readTokensPerSecond * 1_000
        + pairs / pairsPerMillion * engine.readTimePerMillionPairs;
};

/** Time of a decode-only pass with `decodeCount` requests and `contextTokens` tokens of context in total. */
export const passDuration = (engine: EngineProfile, decodeCount: number, contextTokens: number): Milliseconds =>
    engine.stepsPerPass
    * (engine.stepTime + decodeCount * engine.stepTimePerRequest
        + contextTokens / tokensPerThousand * engine.stepTimePerThousandTokens);

/** Time to decode `answerTokens` tokens beside `decodeCount` other requests, without any prefill. */
export const decodeDuration = (
    engine: EngineProfile,
    answerTokens: number,
    decodeCount: number,
    contextTokens: number,
): Milliseconds => Math.ceil(answerTokens / engine.stepsPerPass) * passDuration(engine, decodeCount + 1, contextTokens);

/**
 * Time that prefilling a part, behind a backlog, adds to one pass with decoding requests. A pass prefills one chunk per
 * step, and tokens of a long prompt take longer, so one part of a long prompt may lengthen a single pass by seconds.
 */
export const prefillDurationInPass = (
    engine: EngineProfile,
    partDuration: Milliseconds,
    partTokens: number,
    backlog: Milliseconds,
): Milliseconds => {
    const tokensInPass = engine.stepsPerPass * engine.chunkTokens;
    return partTokens === 0 ? 0 : Math.min(backlog + partDuration, partDuration * tokensInPass / partTokens);
};
