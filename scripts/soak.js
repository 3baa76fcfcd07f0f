// Soaks the program of the deploy file as real processes under planned work.
// Usage: npm run soak -- [--seeds N] [--seed S] [--minutes M] [--entries N] [--program FILE] [--faults]
import os from "node:os";
import path from "node:path";
import { parseArgs } from "node:util";
import { startVitest } from "vitest/node";

const maximumEntries = 91;
/** Memory that a busy entry uses, stand-ins and clients included. */
const megabytesPerEntry = 170;
const bytesPerMegabyte = 1024 * 1024;

const { values } = parseArgs({
    options: {
        seeds: { type: "string", default: "1" },
        seed: { type: "string", default: "1" },
        minutes: { type: "string", default: "0.5" },
        entries: { type: "string", default: "3" },
        program: { type: "string", default: "target/main.cjs" },
        faults: { type: "boolean", default: false },
    },
});

/** Parses a number of a flag. Exits with an error that names the flag if it isn't from `low` to `high`. */
const number = (name, low, high) => {
    const value = Number(values[name]);
    if (!(value >= low && value <= high)) {
        console.error(`soak: --${name}: expected a number from ${low} to ${high}, not ${values[name]}`);
        process.exit(2);
    }
    return value;
};

const entriesInHalfOfMemory = Math.floor(os.totalmem() / 2 / bytesPerMegabyte / megabytesPerEntry);
process.env.SOAK_SEEDS = String(number("seeds", 1, 100_000));
process.env.SOAK_SEED = String(number("seed", 1, 1_000_000));
process.env.SOAK_MILLISECONDS = String(number("minutes", 0.1, 600) * 60_000);
process.env.SOAK_ENTRIES = String(number("entries", 1, Math.min(maximumEntries, entriesInHalfOfMemory)));
if (values.faults) {
    process.env.SOAK_FAULTS = "1";
}
process.env.SOAK_PROGRAM = path.resolve(values.program);

const file = "__tests__/soak/seeds.test.ts";
const vitest = await startVitest("test", [file], { watch: false, include: [file], reporters: ["verbose"] });
await vitest.close();
