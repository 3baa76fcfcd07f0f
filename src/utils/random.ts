/** Seedable randomness, so that every test and experiment can be replayed. */

/** Source of random numbers. */
export interface Random {
    /** A number from 0 up to but not including 1. */
    next(): number;
}

/** The process's own randomness. */
export const systemRandom: Random = { next: () => Math.random() };

/** A generator that gives the same sequence for the same seed (mulberry32). */
export const seededRandom = (seed: number): Random => {
    let state = seed >>> 0;
    return {
        next: () => {
            state = (state + 0x6d2b79f5) >>> 0;
            let mixed = Math.imul(state ^ (state >>> 15), state | 1);
            mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
            return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
        },
    };
};

/** An identifier of 16 hexadecimal digits. */
export const randomIdentifier = (random: Random): string => {
    const half = () => Math.floor(random.next() * 4_294_967_296).toString(16).padStart(8, "0");
    return half() + half();
};

/** A wait of full jitter: uniform between 0 and an exponentially growing ceiling. */
export const fullJitter = (random: Random, base: number, attempt: number, ceiling: number): number =>
    random.next() * Math.min(ceiling, base * 2 ** attempt);
