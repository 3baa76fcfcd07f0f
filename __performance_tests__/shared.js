// Helpers of the measurements: a fleet in a temporary folder, medians, processor time and result files.
import { mkdirSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { LocalFleet } from "../scripts/fleet.js";
import { writeFleet } from "../scripts/makeExamples.js";

const root = fileURLToPath(new URL("..", import.meta.url));
const resultsFolder = `${root}/docs/measurements`;
const ticksPerSecond = 100;

/** Creates a fleet with its settings in a temporary folder. `change` can modify the stored objects. */
export const makeFleet = (plan, change = objects => objects) => {
    const folder = mkdtempSync(join(tmpdir(), "dandelionramp-bench-"));
    const objects = change(JSON.parse(readFileSync(`${root}/examples/objects.json`, "utf8")));
    const settings = join(folder, "settings");
    writeFleet({ folder: settings, objects: "../objects.json", ...plan });
    writeFileSync(join(folder, "objects.json"), JSON.stringify(objects));
    return new LocalFleet(settings);
};

export const median = values => values.slice().sort((first, second) => first - second)[Math.floor(values.length / 2)];

/** Returns the processor time of a process so far, in milliseconds, and its resident memory, in megabytes. */
export const usageOf = pid => {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const pages = Number(fields[21]);
    return { milliseconds: ticks * 1_000 / ticksPerSecond, megabytes: pages * 4 / 1_024 };
};

/** Writes a result as JSON and its page as Markdown to docs/measurements, and prints the page. */
export const writeResult = (name, result, text) => {
    mkdirSync(resultsFolder, { recursive: true });
    writeFileSync(`${resultsFolder}/${name}.json`, `${JSON.stringify(result, undefined, 4)}\n`);
    writeFileSync(`${resultsFolder}/${name}.md`, text);
    process.stdout.write(text);
};

export const markdownTable = (headings, rows) =>
    [headings, headings.map(() => "---"), ...rows].map(row => `| ${row.join(" | ")} |`).join("\n") + "\n";
