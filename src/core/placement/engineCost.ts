/** What work costs a model engine, from its published speeds. */
import type { EngineProfile } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";

const tokensPerThousand = 1_000;
const pairsPerMillion = 1_000_000;

/** Time to read a prompt alone on an engine. The pairs make long prompts cost more than their length. */
export const readTime = (engine: EngineProfile, promptTokens: number): Milliseconds => {
    const pairs = promptTokens * promptTokens / 2;
    return promptTokens / engine.readTokensPerSecond * 1_000
        + pairs / pairsPerMillion * engine.readTimePerMillionPairs;
};

/** Time of a pass in which `writers` requests with `contextTokens` in all write, without any reading. */
export const passTime = (engine: EngineProfile, writers: number, contextTokens: number): Milliseconds =>
    engine.stepsPerPass
    * (engine.stepTime + writers * engine.stepTimePerRequest
        + contextTokens / tokensPerThousand * engine.stepTimePerThousandTokens);

/** Time to write an answer of `answerTokens` beside `writers` others, without any reading. */
export const writeTime = (
    engine: EngineProfile,
    answerTokens: number,
    writers: number,
    contextTokens: number,
): Milliseconds => Math.ceil(answerTokens / engine.stepsPerPass) * passTime(engine, writers + 1, contextTokens);

/** The most that reading adds to one pass with writers: a chunk in each step. */
export const readTimePerPassAtMost = (engine: EngineProfile): Milliseconds =>
    engine.stepsPerPass * engine.chunkTokens / engine.readTokensPerSecond * 1_000;
