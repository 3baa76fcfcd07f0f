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

/**
 * What reading a part adds to one pass with writers, behind a backlog. A pass reads a chunk in each step, and each token
 * of a long prompt takes longer, so one part of a long prompt may stretch a single pass by seconds.
 */
export const readTimeInPass = (
    engine: EngineProfile,
    part: Milliseconds,
    partTokens: number,
    backlog: Milliseconds,
): Milliseconds => {
    const tokensInPass = engine.stepsPerPass * engine.chunkTokens;
    return partTokens === 0 ? 0 : Math.min(backlog + part, part * tokensInPass / partTokens);
};
