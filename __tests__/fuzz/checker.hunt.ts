/**
 * Tests the fuzzer itself: with one mechanism disabled, fuzzing must find a violation. Run it with
 * `npm run fuzz -- --checker`.
 */
import { expect, test } from "vitest";
import { Mechanism, switchOff } from "../support/mechanisms.js";
import { fuzz, FuzzFailure } from "./fuzz.js";

const maximumSeed = Number(process.env.FUZZ_SEEDS ?? 20);
const runsPerSeed = 5;
const mechanisms = process.env.FUZZ_WITHOUT?.split(",") ?? Object.keys(switchOff);

const firstFailure = async (without: Mechanism): Promise<{ seed: number; message: string; } | undefined> => {
    for (let seed = 1; seed <= maximumSeed; seed++) {
        try {
            await fuzz({ seed, runs: runsPerSeed, without });
        }
        catch (error) {
            if (error instanceof FuzzFailure) {
                return { seed, message: error.message };
            }
            throw error;
        }
    }
    return undefined;
};

for (const name of mechanisms as Mechanism[]) {
    test(name, async () => {
        const failure = await firstFailure(name);
        const run = /run (\d+)/.exec(failure?.message ?? "")?.[1];
        const violation = failure?.message.split("\n").slice(2).join("; ").slice(0, 160);
        console.log(
            `FOUND ${name} | ${failure ? `seed ${failure.seed}, run ${run}` : "not found"} | ${violation ?? ""}`,
        );
        expect(failure).toBeDefined();
    }, 1_200_000);
}
