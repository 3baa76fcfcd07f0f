/** Soaks real processes under planned work with a fixed seed; `npm run soak -- --seeds N` runs more, and longer. */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { afterAll, beforeAll, expect, test } from "vitest";
import { buildProgram } from "../forwarding/support/entryProgram.js";
import { soak } from "./soak.js";

const firstSeed = Number(process.env.SOAK_SEED ?? 1);
const seedCount = Number(process.env.SOAK_SEEDS ?? 2);
const duration = Number(process.env.SOAK_MILLISECONDS ?? 8_000);
const entries = Number(process.env.SOAK_ENTRIES ?? 3);
const hasFaults = process.env.SOAK_FAULTS !== undefined;
/** Start, the last requests and the last stop. */
const timeBesideLoad = 120_000;

const folder = mkdtempSync(path.join(tmpdir(), "dandelionramp-soak-program-"));
const file = process.env.SOAK_PROGRAM ?? path.join(folder, "main.cjs");
const deployFile = readFileSync(path.resolve(import.meta.dirname, "../../deploy/system.toml"), "utf8");
const nodeOptions = /^run = "node (.*) \S+"$/m.exec(deployFile)![1]!.split(" ");

beforeAll(() => {
    if (process.env.SOAK_PROGRAM === undefined) {
        buildProgram(file);
    }
});

afterAll(() => rmSync(folder, { recursive: true }));

const selectedSeeds = Array.from({ length: seedCount }, (...[, index]) => firstSeed + index);

for (const seed of selectedSeeds) {
    // Guards against requests that are lost because their process stops, restarts or reloads, or ends by itself.
    test(`seed ${seed}`, async () => {
        const report = await soak({ seed, duration, entries, program: { file, nodeOptions }, hasFaults });
        if (process.env.SOAK_SEEDS !== undefined) {
            console.log(`seed ${seed}: ${report.violations.length} violations; ${report.summary}`);
        }
        expect(report.violations, `logs in ${report.folder}`).toEqual([]);
    }, duration + timeBesideLoad);
}
