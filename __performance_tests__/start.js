// Start-up of the forwarding program: time and processor time until the program is ready, and its memory at that point.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { StoreServer } from "../target/platform/standins/storeServer.js";
import { systemClock } from "../target/src/utils/clock.js";
import { markdownTable, median, usageOf, writeResult } from "./shared.js";

const root = fileURLToPath(new URL("..", import.meta.url));
const runs = 9;
const routeCounts = [10, 500];
const readinessPollMilliseconds = 2;

const configuration = routes => ({
    version: 1,
    routes: Array.from({ length: routes }, (unused, index) => ({
        name: `route-${index}`,
        hostname: `host-${index % 20}.example`,
        path_prefix: `/route-${index}/`,
        kind: "idempotent",
        timeout_ms: 1_000,
        target_latency_ms: 300,
        service: "bookings",
    })),
    services: [{ name: "bookings" }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
});

const settingsText = (store, port) =>
    readFileSync(`${root}/platform/entry.ini`, "utf8")
        .replace("{{platform.address}}", store)
        .replace("{{listen.front}}", `127.0.0.1:${port}`)
        .replace("{{listen.ready}}", `127.0.0.1:${port + 1}`)
        .replace("{{listen.control}}", `127.0.0.1:${port + 2}`)
        .replace("{{ip}}:{{port_range.1}}", `127.0.0.1:${port + 3}`)
        .replace(/\{\{node_name\}\}|\{\{zone\}\}/g, "bench")
        .replace(/\{\{bounds[^}]*\}\}/g, "1")
        .replace(/\{\{(seeds|bootstrap)\}\}/g, "");

const isReady = port =>
    new Promise(resolve => {
        http.get(`http://127.0.0.1:${port}/`, response => {
            response.resume();
            resolve(response.statusCode === 200);
        }).on("error", () => resolve(false));
    });

const startOnce = async (store, port) => {
    const file = join(mkdtempSync(join(tmpdir(), "dandelionramp-start-")), "entry.ini");
    writeFileSync(file, settingsText(store, port));
    const startedAt = performance.now();
    const child = spawn(process.execPath, ["--max-old-space-size=160", `${root}/target/main.cjs`], {
        stdio: "ignore",
        env: { ...process.env, DANDELIONRAMP_SETTINGS: file },
    });
    while (!await isReady(port + 1)) {
        await systemClock.sleep(readinessPollMilliseconds);
    }
    const duration = performance.now() - startedAt;
    const { milliseconds, megabytes } = usageOf(child.pid);
    const exited = new Promise(resolve => child.once("exit", resolve));
    child.kill("SIGKILL");
    await exited;
    return { duration, milliseconds, megabytes };
};

/** Measures the start-up with few and with many routes. */
export const measureStart = async () => {
    const store = new StoreServer(systemClock);
    const { address } = await store.openListener();
    const result = [];
    for (const routes of routeCounts) {
        store.model.put("config", "main", configuration(routes));
        const samples = [];
        for (let run = 0; run < runs; run++) {
            samples.push(await startOnce(address, 21_000 + run * 10));
        }
        const medianOf = key => Math.round(median(samples.map(sample => sample[key])) * 10) / 10;
        result.push({
            routes,
            runs,
            ready: medianOf("duration"),
            processor: medianOf("milliseconds"),
            megabytes: medianOf("megabytes"),
        });
    }
    await store.close();
    const headings = ["routes", "ms to ready", "processor ms", "MB resident"];
    const rows = result.map(({ routes, ready, processor, megabytes }) => [routes, ready, processor, megabytes]);
    writeResult(
        "start",
        result,
        `# Start-up of the forwarding program\n\nMedians of ${runs} starts, with the stand-in store on the same machine.\n\n${
            markdownTable(headings, rows)
        }`,
    );
};
