/** The ten promises under random faults, with a fixed set of seeds. `npm run fuzz -- --seeds N` hunts for more. */
import { test } from "vitest";
import { fuzz } from "./fuzz.js";

const firstSeed = Number(process.env.FUZZ_FIRST ?? 1);
const seeds = Number(process.env.FUZZ_SEEDS ?? 6);
const runsPerSeed = 5;
/** Seeds that once failed: 231 for a late order in, 315 for a home that woke with an old report,
 * 877 for a woken entry that believed a peer newer than itself, 878 and 921 for silent homes asked past the deadline,
 * 1051 for a replaced process that did not know what its predecessor knew. */
const failedSeeds = [231, 300, 315, 409, 413, 507, 517, 524, 877, 878, 921, 1051];

const chosen = Array.from({ length: seeds }, (...[, index]) => firstSeed + index);
const regressions = firstSeed === 1 ? failedSeeds : [];

for (const seed of [...chosen, ...regressions]) {
    test(
        `seed ${seed}`,
        () => fuzz({ seed, runs: runsPerSeed, shrink: process.env.FUZZ_SHRINK !== undefined }),
        600_000,
    );
}
