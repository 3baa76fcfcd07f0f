/** Dependency rules between folders. */
import { readdirSync, readFileSync, statSync } from "node:fs";
import path from "node:path";
import { expect, test } from "vitest";
import * as names from "../../platform/names.js";

const root = path.resolve(import.meta.dirname, "../..");

const filesBelow = (folder: string): string[] =>
    readdirSync(folder).flatMap(name => {
        const file = path.join(folder, name);
        return statSync(file).isDirectory() ? filesBelow(file) : [file];
    });

/** Names that only the platform's folder may contain: its headers, paths, environment variables and stored fields. */
const platformNames = [
    ...Object.values(names.header).filter(name => name.toLowerCase().startsWith("dandelionramp-")),
    names.objectsPath,
    names.settingsVariable,
    ..."path_prefix traffic_split target_latency_ms target_gap_ms api_keys cold_per_s cold_remaining_ms".split(" "),
    ..."max_header_bytes max_body_bytes kv_capacity context_per_k pairs_per_m current_rev evacuations".split(" "),
];

test("names of the platform stand in its folder only", () => {
    const found = filesBelow(path.join(root, "src")).flatMap(file => {
        const text = readFileSync(file, "utf8").toLowerCase();
        return platformNames.filter(name => text.includes(name.toLowerCase())).map(name => `${file}: ${name}`);
    });
    expect(found).toEqual([]);
});

/** Files of the project and packages that `file` imports, directly or transitively. */
const loadedBy = (file: string, seen = new Set<string>()): Set<string> => {
    if (seen.has(file)) {
        return seen;
    }
    seen.add(file);
    const imports = readFileSync(file, "utf8").matchAll(
        /^(?:import|export)\s+(?!type\b)(?:[^;]*?from\s+)?"([^"]+)";/gms,
    );
    for (const [, target] of imports) {
        if (target!.startsWith(".")) {
            loadedBy(path.resolve(path.dirname(file), target!.replace(/\.js$/, ".ts")), seen);
        }
        else {
            seen.add(target!);
        }
    }
    return seen;
};

test("serving program loads no stand-in, load tool or command line", () => {
    const loaded = [...loadedBy(path.join(root, "platform/main.ts"))].map(file => path.relative(root, file));
    expect(loaded.length).toBeGreaterThan(20);
    expect(loaded.filter(file => /standins|src\/load|src\/commands|internal\.ts|oclif/.test(file))).toEqual([]);
});
