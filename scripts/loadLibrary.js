// The load tool's functions, from the build.
import { systemClock } from "../dist/index.js";
import { EngineClient } from "../dist/internal.js";
import { expectedResponse } from "../dist/standins/expectedResponse.js";
export { seededRandom, systemClock } from "../dist/index.js";
export { runExperiment } from "../dist/load/experiment.js";
export { summarize } from "../dist/load/report.js";
export { bookOnce } from "../dist/load/booker.js";
export { callOnce } from "../dist/load/caller.js";
export { defaultEngineShape } from "../dist/standins/engineModel.js";
export { startEngine } from "../dist/standins/engineServer.js";

const client = new EngineClient(systemClock);
/** Talks to an engine without any entry between. */
export const engineClient = client;

/** A prompt of a thousand tokens that asks for an answer of `answerTokens`. */
export const randomPrompt = (index, answerTokens) =>
    `bench ${index} [[tokens=${answerTokens}]] `.padEnd(4_000, "tents and crews ");

/** Throws when an answer isn't the one that the stand-in engine makes of the prompt. */
export const expectWhole = (prompt, text, answerTokens) => {
    if (text !== expectedResponse(prompt, answerTokens)) {
        throw new Error("an answer was not whole");
    }
};
