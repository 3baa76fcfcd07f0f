/** What arrives in a replay, and when: the same for the same seed. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Milliseconds } from "../utils/clock.js";
import type { Random } from "../utils/random.js";
import type { Pattern, PatternKind } from "./pattern.js";

/** One request of a replay. */
export interface ReplayArrival {
    id: string;
    at: Milliseconds;
    kind: string;
    promptTokens: number;
    answerEvents: number;
    /** What an answer in time is worth, and a late one. */
    worth: number;
    worthLate: number;
}

/** A prompt of no size is worth this part of one of mean size, and none is worth more than so many times as much. */
const worthOfNothing = 0.3;
const worthAtMost = 4;

/** Random numbers of a replay. */
export const replayRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    return { next: () => uniformFloat64(generator) };
};

/** All arrivals of a pattern in the order of their times. */
export const replayArrivals = (pattern: Pattern, seed: number): ReplayArrival[] => {
    const arrivals: ReplayArrival[] = [];
    for (const [index, [name, kind]] of Object.entries(pattern.kind).entries()) {
        arrivals.push(...arrivalsOf(pattern, name, kind, replayRandom(seed * 1_000 + index)));
    }
    return arrivals.sort((left, right) => left.at - right.at);
};

/** A Poisson process at the highest rate of the kind, thinned where the rate is lower. */
const arrivalsOf = (pattern: Pattern, name: string, kind: PatternKind, random: Random): ReplayArrival[] => {
    const bursts = Object.values(pattern.burst).filter(burst => burst.kind === name);
    const highest = kind.rate * Math.max(1, ...bursts.map(({ factor }) => factor));
    const arrivals: ReplayArrival[] = [];
    for (let second = 0;;) {
        second -= Math.log(1 - random.next()) / highest;
        if (second >= pattern.pattern.seconds || highest === 0) {
            return arrivals;
        }
        const now = second;
        const burst = bursts.find(({ at, seconds }) => at <= now && now < at + seconds);
        const promptTokens = sizeOf(kind.promptTokens, kind.promptSpread, kind.promptAtMost, random);
        const answerEvents = sizeOf(kind.answerEvents, kind.answerSpread, kind.answerAtMost, random);
        if (random.next() * highest < kind.rate * (burst?.factor ?? 1)) {
            const size = promptTokens / kind.promptTokens;
            const factor = Math.min(worthAtMost, worthOfNothing + (1 - worthOfNothing) * size);
            arrivals.push({
                id: `${name}-${arrivals.length}`,
                at: second * 1_000,
                kind: name,
                promptTokens,
                answerEvents,
                worth: kind.worth * factor,
                worthLate: kind.worthLate * factor,
            });
        }
    }
};

/** A whole number of at least one, spread log-normally around `mean`. */
const sizeOf = (mean: number, spread: number, atMost: number, random: Random): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    const size = mean * Math.exp(spread * normal - spread * spread / 2);
    return Math.max(1, Math.round(Math.min(atMost, size)));
};
