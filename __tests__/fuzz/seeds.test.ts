/** Checks the ten guarantees under random faults with a fixed set of seeds; `npm run fuzz -- --seeds N` runs more. */
import { test } from "vitest";
import { fuzz } from "./fuzz.js";

const firstSeed = Number(process.env.FUZZ_FIRST ?? 1);
const seedCount = Number(process.env.FUZZ_SEEDS ?? 6);
const runsPerSeed = 5;
/**
 * Seeds that failed in the past: 231 for a delayed bring-in order, 315 for a home that resumed with a stale report, 877 for
 * a resumed entry that took a peer's state for newer than its own, 878 and 921 for requests to unresponsive homes beyond
 * the deadline, 1051 for a replaced process that lacked its predecessor's state.
 */
const failedSeeds = [231, 300, 315, 409, 413, 507, 517, 524, 877, 878, 921, 1051];

const selectedSeeds = Array.from({ length: seedCount }, (...[, index]) => firstSeed + index);
const regressionSeeds = firstSeed === 1 ? failedSeeds : [];

for (const seed of [...selectedSeeds, ...regressionSeeds]) {
    test(
        `seed ${seed}`,
        () => fuzz({ seed, runs: runsPerSeed, shrink: process.env.FUZZ_SHRINK !== undefined }),
        600_000,
    );
}
