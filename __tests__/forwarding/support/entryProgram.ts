/** The serving program, built for tests that run it as a separate process, and its settings. */
import { buildSync } from "esbuild";
import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import path from "node:path";
import { type Milliseconds, systemClock } from "../../../src/utils/clock.js";
import type { Site } from "./site.js";

const root = path.resolve(import.meta.dirname, "../../..");

/** Builds the program as the file `outfile`. */
export const buildProgram = (outfile: string): void => {
    buildSync({
        entryPoints: [path.join(root, "platform/main.ts")],
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        outfile,
        logLevel: "silent",
        external: ["dtrace-provider", "mv", "moment", "safe-json-stringify", "source-map-support"],
    });
};

/** Addresses that an entry listens at. */
export interface EntryAddresses {
    callers: string;
    readiness: string;
    peers: string;
    metrics: string;
}

const startedMessage = "entry: The entry has started.";
const startPollInterval: Milliseconds = 20;

/** The program as a running process. */
export class EntryProcess {
    readonly child: ChildProcess;
    /** Resolves with the exit code, `undefined` after a signal, once all output has arrived. */
    readonly exited: Promise<number | undefined>;
    output = "";
    hasExited = false;

    /** `nodeOptions`: options of Node before the program. `standardOutput`: a descriptor to write to instead of `output`. */
    constructor(
        program: string,
        settingsFile: string,
        nodeOptions: readonly string[] = [],
        standardOutput: "pipe" | number = "pipe",
    ) {
        this.child = spawn(process.execPath, [...nodeOptions, program], {
            env: { ...process.env, DANDELIONRAMP_SETTINGS: settingsFile },
            stdio: ["pipe", standardOutput, "pipe"],
        });
        const appendOutput = (chunk: Buffer) => {
            this.output += chunk.toString("utf8");
        };
        this.child.stdout?.on("data", appendOutput);
        this.child.stderr!.on("data", appendOutput);
        this.exited = new Promise(resolve =>
            this.child.once("close", code => {
                this.hasExited = true;
                resolve(code ?? undefined);
            })
        );
    }

    /** Waits until the entry has started. Rejects with its output when the process exits instead. */
    async started(): Promise<EntryAddresses> {
        for (;;) {
            const line = this.output.split("\n").slice(0, -1).find(text => text.includes(startedMessage));
            if (line !== undefined) {
                return JSON.parse(line) as EntryAddresses;
            }
            if (this.hasExited) {
                throw new Error(`the process exited before the entry had started: ${this.output}`);
            }
            await systemClock.sleep(startPollInterval);
        }
    }
}

/** The settings of an entry of `site`, as the platform fills them in. The system assigns the ports. */
export const settingsText = async (
    site: Site,
    changes: Record<string, string> = {},
): Promise<string> => {
    const { address } = await site.store.openListener();
    const values: Record<string, string> = {
        node_name: "entry-1",
        zone: "north-a",
        ip: "127.0.0.1",
        "listen.front": "127.0.0.1:0",
        "listen.ready": "127.0.0.1:0",
        "listen.control": "127.0.0.1:0",
        "port_range.1": "0",
        "platform.address": address,
        "bounds.retry_budget_ratio": "0.2",
        "bounds.budget_window_s": "10",
        "bounds.budget_extra": "100",
        "bounds.cold_overage": "1.5",
        "bounds.cold_extra": "5",
        "bounds.grace_s": "4",
        ...changes,
    };
    const template = readFileSync(path.join(root, "platform/entry.ini"), "utf8");
    return template.replace(/\{\{([^}]+)\}\}/g, (...[, name]) => values[name as string] ?? "");
};
