// Runs the fuzz tests over many seeds, or tests the checker itself.
// Usage: npm run fuzz -- --seeds N [--first S] [--no-shrink] | --checker [--without NAME,NAME]
import { parseArgs } from "node:util";
import { startVitest } from "vitest/node";

const { values } = parseArgs({
    options: {
        seeds: { type: "string", default: "50" },
        first: { type: "string", default: "1" },
        "no-shrink": { type: "boolean", default: false },
        checker: { type: "boolean", default: false },
        without: { type: "string" },
    },
});

process.env.FUZZ_SEEDS = values.seeds;
process.env.FUZZ_FIRST = values.first;
if (!values["no-shrink"]) {
    process.env.FUZZ_SHRINK = "1";
}
process.env.FUZZ_TIMELINE = "1";
if (values.without !== undefined) {
    process.env.FUZZ_WITHOUT = values.without;
}
const file = values.checker ? "__tests__/fuzz/checker.hunt.ts" : "__tests__/fuzz/seeds.test.ts";
const vitest = await startVitest("test", [file], { watch: false, include: [file], reporters: ["verbose"] });
await vitest.close();
