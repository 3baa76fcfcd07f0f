/** Plans the requests of an experiment and their arrival times. The same seed gives the same plan. */
import { Milliseconds, Random, seededRandom } from "../internal.js";

/** One class of prompts in a mix, with its relative frequency. */
export interface PromptClass {
    promptTokens: number;
    weight: number;
}

/** Number, rate and sizes of the requests of an experiment. */
export interface ArrivalPlan {
    requests: number;
    /** Mean arrivals per second of the Poisson process; 0 sends all requests at once. */
    ratePerSecond: number;
    mix: readonly PromptClass[];
    /** Whether the weights are exact counts, in which case `requests` is ignored. */
    exact: boolean;
    answerTokens: number;
    seed: number;
}

/** One request of an experiment. */
export interface Arrival {
    index: number;
    at: Milliseconds;
    promptTokens: number;
    prompt: string;
}

const charactersPerToken = 4;
const fillerText = "tents and crews and lakes and forms ";

const createPrompt = (seed: number, index: number, promptTokens: number, answerTokens: number): string => {
    const head = `request ${seed}-${index} [[tokens=${answerTokens}]] `;
    const characters = promptTokens * charactersPerToken;
    return (head + fillerText.repeat(Math.ceil(Math.max(0, characters - head.length) / fillerText.length))).slice(
        0,
        characters,
    );
};

const pickLength = (mix: readonly PromptClass[], random: Random): number => {
    const total = mix.reduce((sum, part) => sum + part.weight, 0);
    let remainder = random.next() * total;
    for (const part of mix) {
        remainder -= part.weight;
        if (remainder < 0) {
            return part.promptTokens;
        }
    }
    return mix.at(-1)!.promptTokens;
};

/** Lists each prompt length as often as its weight says, in random order. */
const exactLengths = (mix: readonly PromptClass[], random: Random): number[] => {
    const lengths = mix.flatMap(part => Array.from({ length: part.weight }, () => part.promptTokens));
    for (let index = lengths.length - 1; index > 0; index--) {
        const otherIndex = Math.floor(random.next() * (index + 1));
        [lengths[index], lengths[otherIndex]] = [lengths[otherIndex]!, lengths[index]!];
    }
    return lengths;
};

const planLengths = (plan: ArrivalPlan): number[] => {
    const random = seededRandom(plan.seed + 1);
    return plan.exact
        ? exactLengths(plan.mix, random)
        : Array.from({ length: plan.requests }, () => pickLength(plan.mix, random));
};

/** Generates all arrivals of a plan in order. Prompts are created on demand, as a million tokens take four megabytes. */
export function* planArrivals(plan: ArrivalPlan): Generator<Arrival, void> {
    const random = seededRandom(plan.seed);
    let at = 0;
    for (const [index, promptTokens] of planLengths(plan).entries()) {
        at += plan.ratePerSecond === 0 ? 0 : -Math.log(1 - random.next()) / plan.ratePerSecond * 1_000;
        yield { index, at, promptTokens, prompt: createPrompt(plan.seed, index, promptTokens, plan.answerTokens) };
    }
}
