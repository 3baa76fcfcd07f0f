/** Random numbers from a replaceable source. Tests and experiments use a seed, so that they can be replayed. */

/** Source of random numbers. */
export interface Random {
    /** A number from 0 up to but not including 1. */
    next(): number;
}

/** Unseeded random numbers of this process. */
export const systemRandom: Random = { next: () => Math.random() };

/** Returns the items in random order. */
export const shuffle = <Item>(items: readonly Item[], random: Random): Item[] =>
    items.map(item => ({ item, order: random.next() }))
        .sort((left, right) => left.order - right.order)
        .map(({ item }) => item);

/** Seeded pseudorandom number generator (mulberry32). */
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

/** Creates an identifier of 16 hexadecimal digits. */
export const randomIdentifier = (random: Random): string => {
    const nextHalf = () => Math.floor(random.next() * 4_294_967_296).toString(16).padStart(8, "0");
    return nextHalf() + nextHalf();
};

/** Exponential delay with full jitter: uniform between 0 and `base * 2 ** attempt`, but at most `ceiling`. */
export const fullJitter = (random: Random, base: number, attempt: number, ceiling: number): number =>
    random.next() * Math.min(ceiling, base * 2 ** attempt);
