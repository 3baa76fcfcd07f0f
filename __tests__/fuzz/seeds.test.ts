/** The ten promises under random faults, with a fixed set of seeds. `npm run fuzz -- --seeds N` hunts for more. */
import { test } from "vitest";
import { fuzz } from "./fuzz.js";

const firstSeed = Number(process.env.FUZZ_FIRST ?? 1);
const seeds = Number(process.env.FUZZ_SEEDS ?? 6);
const runsPerSeed = 5;

for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
    test(
        `seed ${seed}`,
        () => fuzz({ seed, runs: runsPerSeed, shrink: process.env.FUZZ_SHRINK !== undefined }),
        600_000,
    );
}
