/** Generates the requests of a replay and their arrival times. The same seed gives the same requests. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Milliseconds } from "../utils/clock.js";
import type { Random } from "../utils/random.js";
import type { Pattern, PatternRequestKind } from "./pattern.js";

/** A period, from the start of traffic. */
export interface CrashPeriod {
    from: Milliseconds;
    until: Milliseconds;
    /** Whether the endpoints lose power, so that connections hang. */
    isSilent?: boolean;
}

/** One request of a replay. */
export interface ReplayArrival {
    id: string;
    /** Path and body, which are the same when a caller sends the request again. */
    content: string;
    at: Milliseconds;
    kind: string;
    /** The customer that sends the request; undefined if callers need no keys. */
    customer: string | undefined;
    promptTokens: number;
    answerEvents: number;
    /** Parts of the prompt that other requests share. */
    parts: readonly string[];
    /** When the request crashes each engine that begins to write an answer to it; undefined where it never does. */
    crashes: CrashPeriod | undefined;
    /** Value of a response in time, and of a late one. */
    value: number;
    lateValue: number;
}

/** Bounds of a request's value, relative to that of a request with a prompt of mean length. */
const minimumValueFactor = 0.3;
const maximumValueFactor = 4;

/** Name of the customer with this rank. */
export const customerName = (rank: number): string => `customer-${rank}`;

/** Creates the seeded random number generator of a replay. */
export const createReplayRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    return { next: () => uniformFloat64(generator) };
};

/** Generates all arrivals of a pattern, ordered by time. */
export const generateReplayArrivals = (pattern: Pattern, seed: number): ReplayArrival[] => {
    const arrivals: ReplayArrival[] = [];
    for (const [index, [name, kind]] of Object.entries(pattern.kind).entries()) {
        arrivals.push(...generateArrivals(pattern, name, kind, createReplayRandom(seed * 1_000 + index)));
        arrivals.push(...generateRushArrivals(pattern, name, kind, createReplayRandom(seed * 1_000 + 500 + index)));
    }
    assignParts(pattern, arrivals, createReplayRandom(seed * 1_000 + 998));
    for (const [index, [name, part]] of Object.entries(pattern.crashingPart).entries()) {
        arrivals.push(...generateCrashingArrivals(pattern, name, part, createReplayRandom(seed * 1_000 + 800 + index)));
    }
    const customerRandom = createReplayRandom(seed * 1_000 + 999);
    for (const arrival of arrivals) {
        arrival.customer ??= pickCustomer(pattern.pattern.customers, customerRandom);
    }
    return arrivals.sort((left, right) => left.at - right.at);
};

/** Gives the requests their shared parts; those without the parts of their kind have one of their own. */
const assignParts = (pattern: Pattern, arrivals: ReplayArrival[], random: Random): void => {
    for (const arrival of arrivals) {
        const { parts, partsShare } = pattern.kind[arrival.kind]!;
        if (parts.length > 0) {
            arrival.parts = random.next() < partsShare ? parts : [`part-of-${arrival.id}`];
        }
    }
};

/** Generates the requests with a part that crashes engines. */
const generateCrashingArrivals = (
    pattern: Pattern,
    name: string,
    { kind, at, seconds, rate, parts, apartShare, part, crashesFrom, crashesFor, customer }:
        Pattern["crashingPart"][string],
    random: Random,
): ReplayArrival[] => {
    const ownPattern = { ...pattern, burst: {}, pattern: { ...pattern.pattern, seconds } };
    return generateArrivals(ownPattern, kind, { ...pattern.kind[kind]!, rate }, random).map(arrival => ({
        ...arrival,
        id: `${name}-${arrival.id}`,
        content: `${name}-${arrival.content}`,
        at: at * 1_000 + arrival.at,
        customer: pattern.pattern.customers === 0 ? undefined : customerName(customer),
        parts: random.next() < apartShare ? [`part-of-${name}-${arrival.id}`, part] : parts,
        crashes: { from: (at + crashesFrom) * 1_000, until: (at + crashesFrom + crashesFor) * 1_000 },
        value: 0,
        lateValue: 0,
    }));
};

/**
 * Generates the requests that a customer sends beyond its usual rate. They have their own random numbers, so that all other
 * arrivals are the same with and without the rush.
 */
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
                content: `${rushName}-${arrival.content}`,
                at: at * 1_000 + arrival.at,
                customer: customerName(customer),
            });
        }
    }
    return arrivals;
};

/** A customer's share of the requests, by Zipf's law: the second sends half as much as the first, the third a third. */
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

/** Generates a Poisson process at the highest rate of the kind, thinned where the rate is lower. */
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
            const id = `${name}-${arrivals.length}`;
            arrivals.push({
                id,
                content: id,
                at: elapsedSeconds * 1_000,
                kind: name,
                customer: undefined,
                promptTokens,
                answerEvents,
                parts: [],
                crashes: undefined,
                value: kind.worth * valueFactor,
                lateValue: kind.worthLate * valueFactor,
            });
        }
    }
};

/** Samples a whole number of at least 1 from a log-normal distribution with mean `mean`. */
const sampleSize = (mean: number, spread: number, maximum: number, random: Random): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    const size = mean * Math.exp(spread * normal - spread * spread / 2);
    return Math.max(1, Math.round(Math.min(maximum, size)));
};
