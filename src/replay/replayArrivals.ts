/** What arrives in a replay, and when: the same for the same seed. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Milliseconds } from "../utils/clock.js";
import type { Random } from "../utils/random.js";
import type { Pattern, PatternRequestKind } from "./pattern.js";

/** One request of a replay. */
export interface ReplayArrival {
    id: string;
    at: Milliseconds;
    kind: string;
    /** Whose request it is; undefined where callers need no keys. */
    customer: string | undefined;
    promptTokens: number;
    answerEvents: number;
    /** What an answer in time is worth, and a late one. */
    value: number;
    lateValue: number;
}

/** A prompt of no size is worth this part of one of mean size, and none is worth more than so many times as much. */
const minimumValueFactor = 0.3;
const maximumValueFactor = 4;

/** The name of a customer by its rank. */
export const customerName = (rank: number): string => `customer-${rank}`;

/** Random numbers of a replay. */
export const createReplayRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    return { next: () => uniformFloat64(generator) };
};

/** All arrivals of a pattern in the order of their times. */
export const generateReplayArrivals = (pattern: Pattern, seed: number): ReplayArrival[] => {
    const arrivals: ReplayArrival[] = [];
    for (const [index, [name, kind]] of Object.entries(pattern.kind).entries()) {
        arrivals.push(...generateArrivals(pattern, name, kind, createReplayRandom(seed * 1_000 + index)));
        arrivals.push(...generateRushArrivals(pattern, name, kind, createReplayRandom(seed * 1_000 + 500 + index)));
    }
    const customerRandom = createReplayRandom(seed * 1_000 + 999);
    for (const arrival of arrivals) {
        arrival.customer ??= pickCustomer(pattern.pattern.customers, customerRandom);
    }
    return arrivals.sort((left, right) => left.at - right.at);
};

/** What a customer in a rush sends beyond its usual; without it all else arrives just the same. */
const generateRushArrivals = (
    pattern: Pattern,
    name: string,
    kind: PatternRequestKind,
    random: Random,
): ReplayArrival[] => {
    const arrivals: ReplayArrival[] = [];
    for (const [rushName, { customer, at, seconds, factor }] of Object.entries(pattern.rush)) {
        const rate = kind.rate * customerShare(customer, pattern.pattern.customers) * (factor - 1);
        const rushPattern = { ...pattern, burst: {}, pattern: { ...pattern.pattern, seconds } };
        for (const arrival of generateArrivals(rushPattern, name, { ...kind, rate }, random)) {
            arrivals.push({
                ...arrival,
                id: `${rushName}-${arrival.id}`,
                at: at * 1_000 + arrival.at,
                customer: customerName(customer),
            });
        }
    }
    return arrivals;
};

/** Sizes fall with the rank: the second sends half as much as the first, the third a third. */
const customerShare = (rank: number, customerCount: number): number => {
    let sum = 0;
    for (let otherRank = 1; otherRank <= customerCount; otherRank++) {
        sum += 1 / otherRank;
    }
    return 1 / rank / sum;
};

const pickCustomer = (customerCount: number, random: Random): string | undefined => {
    let remainder = random.next();
    for (let rank = 1; rank <= customerCount; rank++) {
        remainder -= customerShare(rank, customerCount);
        if (remainder < 0 || rank === customerCount) {
            return customerName(rank);
        }
    }
    return undefined;
};

/** A Poisson process at the highest rate of the kind, thinned where the rate is lower. */
const generateArrivals = (
    pattern: Pattern,
    name: string,
    kind: PatternRequestKind,
    random: Random,
): ReplayArrival[] => {
    const bursts = Object.values(pattern.burst).filter(burst => burst.kind === name);
    const maximumRate = kind.rate * Math.max(1, ...bursts.map(({ factor }) => factor));
    const arrivals: ReplayArrival[] = [];
    for (let elapsedSeconds = 0;;) {
        elapsedSeconds -= Math.log(1 - random.next()) / maximumRate;
        if (elapsedSeconds >= pattern.pattern.seconds || maximumRate === 0) {
            return arrivals;
        }
        const now = elapsedSeconds;
        const burst = bursts.find(({ at, seconds }) => at <= now && now < at + seconds);
        const promptTokens = sampleSize(kind.promptTokens, kind.promptSpread, kind.promptAtMost, random);
        const answerEvents = sampleSize(kind.answerEvents, kind.answerSpread, kind.answerAtMost, random);
        if (random.next() * maximumRate < kind.rate * (burst?.factor ?? 1)) {
            const size = promptTokens / kind.promptTokens;
            const valueFactor = Math.min(maximumValueFactor, minimumValueFactor + (1 - minimumValueFactor) * size);
            arrivals.push({
                id: `${name}-${arrivals.length}`,
                at: elapsedSeconds * 1_000,
                kind: name,
                customer: undefined,
                promptTokens,
                answerEvents,
                value: kind.worth * valueFactor,
                lateValue: kind.worthLate * valueFactor,
            });
        }
    }
};

/** A whole number of at least one, spread log-normally around `mean`. */
const sampleSize = (mean: number, spread: number, maximum: number, random: Random): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    const size = mean * Math.exp(spread * normal - spread * spread / 2);
    return Math.max(1, Math.round(Math.min(maximum, size)));
};
