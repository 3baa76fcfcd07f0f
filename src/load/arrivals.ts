/** Which requests an experiment sends, and when: the same for the same seed. */
import { Milliseconds, Random, seededRandom } from "../internal.js";

/** One class of prompts in a mix. */
export interface MixPart {
    promptTokens: number;
    weight: number;
}

/** What an experiment sends. */
export interface ArrivalPlan {
    requests: number;
    /** Mean arrivals a second of the Poisson process; 0 sends everything at once. */
    ratePerSecond: number;
    mix: readonly MixPart[];
    /** Whether the weights are exact counts; `requests` is not used then. */
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
const filler = "tents and crews and lakes and forms ";

const promptOf = (seed: number, index: number, promptTokens: number, answerTokens: number): string => {
    const head = `request ${seed}-${index} [[tokens=${answerTokens}]] `;
    const characters = promptTokens * charactersPerToken;
    return (head + filler.repeat(Math.ceil(Math.max(0, characters - head.length) / filler.length))).slice(
        0,
        characters,
    );
};

const pick = (mix: readonly MixPart[], random: Random): number => {
    const total = mix.reduce((sum, part) => sum + part.weight, 0);
    let rest = random.next() * total;
    for (const part of mix) {
        rest -= part.weight;
        if (rest < 0) {
            return part.promptTokens;
        }
    }
    return mix.at(-1)!.promptTokens;
};

/** As many lengths as the mix's weights say, shuffled by the seed. */
const exactLengths = (mix: readonly MixPart[], random: Random): number[] => {
    const lengths = mix.flatMap(part => Array.from({ length: part.weight }, () => part.promptTokens));
    for (let index = lengths.length - 1; index > 0; index--) {
        const other = Math.floor(random.next() * (index + 1));
        [lengths[index], lengths[other]] = [lengths[other]!, lengths[index]!];
    }
    return lengths;
};

const lengthsOf = (plan: ArrivalPlan): number[] => {
    const random = seededRandom(plan.seed + 1);
    return plan.exact
        ? exactLengths(plan.mix, random)
        : Array.from({ length: plan.requests }, () => pick(plan.mix, random));
};

/** All arrivals of a plan, in order. Prompts are made on demand: a million tokens are four megabytes. */
export function* planArrivals(plan: ArrivalPlan): Generator<Arrival, void> {
    const random = seededRandom(plan.seed);
    let at = 0;
    for (const [index, promptTokens] of lengthsOf(plan).entries()) {
        at += plan.ratePerSecond === 0 ? 0 : -Math.log(1 - random.next()) / plan.ratePerSecond * 1_000;
        yield { index, at, promptTokens, prompt: promptOf(plan.seed, index, promptTokens, plan.answerTokens) };
    }
}
