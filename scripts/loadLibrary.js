// Functions of the load tool and the stand-ins, imported from the build.
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
/** Client that sends requests to an engine directly, without an entry. */
export const engineClient = client;

/** Returns a prompt of a thousand tokens that requests a response of `answerTokens` tokens. */
export const benchPrompt = (index, answerTokens) =>
    `bench ${index} [[tokens=${answerTokens}]] `.padEnd(4_000, "tents and crews ");

/** Throws if a response differs from the one that the stand-in engine generates for the prompt. */
export const expectExactResponse = (prompt, text, answerTokens) => {
    if (text !== expectedResponse(prompt, answerTokens)) {
        throw new Error("the response differs from the expected response to its prompt");
    }
};
