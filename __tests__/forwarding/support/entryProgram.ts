/** The serving program, built for tests that run it as a separate process, and its settings. */
import { buildSync } from "esbuild";
import { readFileSync } from "node:fs";
import net from "node:net";
import path from "node:path";
import type { Site } from "./site.js";

const root = path.resolve(import.meta.dirname, "../../..");

const freePort = (): Promise<number> =>
    new Promise(resolve => {
        const server = net.createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address() as net.AddressInfo;
            server.close(() => resolve(port));
        });
    });

/** Returns free ports for callers, readiness, peers and metrics. */
export const freePorts = (): Promise<number[]> => Promise.all([freePort(), freePort(), freePort(), freePort()]);

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

/** The settings of an entry of `site`, as the platform fills them in. */
export const settingsText = async (
    site: Site,
    ports: readonly number[],
    changes: Record<string, string> = {},
): Promise<string> => {
    const { address } = await site.store.openListener();
    const values: Record<string, string> = {
        node_name: "entry-1",
        zone: "north-a",
        ip: "127.0.0.1",
        "listen.front": `127.0.0.1:${ports[0]}`,
        "listen.ready": `127.0.0.1:${ports[1]}`,
        "listen.control": `127.0.0.1:${ports[2]}`,
        "port_range.1": String(ports[3]),
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
