// What the measurements share: a fleet of their own in a temporary folder, medians, processor time, result files.
import { mkdirSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { LocalFleet } from "../scripts/fleet.js";
import { writeFleet } from "../scripts/makeExamples.js";

const root = fileURLToPath(new URL("..", import.meta.url));
const results = `${root}/docs/measurements`;
const ticksPerSecond = 100;

/** A fleet with its settings in a temporary folder. */
export const makeFleet = (plan, change = objects => objects) => {
    const folder = mkdtempSync(join(tmpdir(), "dandelionramp-bench-"));
    const objects = change(JSON.parse(readFileSync(`${root}/examples/objects.json`, "utf8")));
    const settings = join(folder, "settings");
    writeFleet({ folder: settings, objects: "../objects.json", ...plan });
    writeFileSync(join(folder, "objects.json"), JSON.stringify(objects));
    return new LocalFleet(settings);
};

export const median = values => values.slice().sort((first, second) => first - second)[Math.floor(values.length / 2)];

/** Processor time of a process so far, in milliseconds, and its resident memory in megabytes. */
export const usageOf = pid => {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const pages = Number(fields[21]);
    return { milliseconds: ticks * 1_000 / ticksPerSecond, megabytes: pages * 4 / 1_024 };
};

/** Writes a result as JSON and its table as Markdown into docs/measurements. */
export const keep = (name, result, text) => {
    mkdirSync(results, { recursive: true });
    writeFileSync(`${results}/${name}.json`, `${JSON.stringify(result, undefined, 4)}\n`);
    writeFileSync(`${results}/${name}.md`, text);
    process.stdout.write(text);
};

export const table = (heads, rows) =>
    [heads, heads.map(() => "---"), ...rows].map(row => `| ${row.join(" | ")} |`).join("\n") + "\n";
