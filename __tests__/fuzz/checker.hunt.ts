/** Checks the checker: with one mechanism switched off the fuzzing must find it. Run by `npm run fuzz -- --checker`. */
import { expect, test } from "vitest";
import { Mechanism, switchOff } from "../support/mechanisms.js";
import { fuzz, FuzzFailure } from "./fuzz.js";

const seedsAtMost = Number(process.env.FUZZ_SEEDS ?? 20);
const runsPerSeed = 5;
const chosen = process.env.FUZZ_WITHOUT?.split(",") ?? Object.keys(switchOff);

const firstFailure = async (without: Mechanism): Promise<{ seed: number; message: string; } | undefined> => {
    for (let seed = 1; seed <= seedsAtMost; seed++) {
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

for (const name of chosen as Mechanism[]) {
    test(name, async () => {
        const found = await firstFailure(name);
        const run = /run (\d+)/.exec(found?.message ?? "")?.[1];
        const violation = found?.message.split("\n").slice(2).join("; ").slice(0, 160);
        console.log(`FOUND ${name} | ${found ? `seed ${found.seed}, run ${run}` : "not found"} | ${violation ?? ""}`);
        expect(found).toBeDefined();
    }, 1_200_000);
}
