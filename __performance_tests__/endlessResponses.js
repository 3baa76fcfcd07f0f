// What responses without end cost: requests beside one endpoint that sends them, through entries as programs of their own.
//
// node __performance_tests__/endlessResponses.js [--scenario stream,lookup] [--match TEXT] [--pace fast,drip] [--requests 6,60]
//     [--entries 1,7]
//
// Prints a row of a Markdown table for each probe. Times are in milliseconds from the first request, memory and bytes in MB.
import { buildSync } from "esbuild";
import { execFileSync, fork, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";

const root = fileURLToPath(new URL("..", import.meta.url));
const deadlineMilliseconds = 2_000;
/** Requests that have no response by then are given up. */
const patienceMilliseconds = 60_000;
const otherIntervalMilliseconds = 20;
/** Time in which requests to the other service run before those of the probe, so that the entries' code is compiled. */
const warmUpMilliseconds = 1_500;
/** Shortest time in which the other requests are measured. */
const minimumMilliseconds = 1_000;
/** Time for the entries to settle before a probe, and to close connections after it. */
const settlingMilliseconds = 500;
const ticksPerSecond = 100;
const megabyte = 1_024 * 1_024;
const eventCount = 25;
const tokensPerEvent = 4;
const shortPrompt = 1_000;
/** Exceeds the memory of one engine. */
const longPrompt = 150_000;
const callerKey = "key-of-north";

const { values: options } = parseArgs({
    options: {
        scenario: { type: "string" },
        match: { type: "string", default: "" },
        pace: { type: "string", default: "fast,drip" },
        requests: { type: "string", default: "6" },
        entries: { type: "string", default: "1" },
    },
});

const folder = mkdtempSync(join(tmpdir(), "dandelionramp-endless-"));
const standInsFile = join(folder, "standIns.cjs");
const entryFile = join(root, "target/main.cjs");

const build = () => {
    execFileSync("npm", ["run", "--silent", "build:platform"], { cwd: root, stdio: "inherit" });
    buildSync({
        entryPoints: [join(root, "__performance_tests__/endlessStandIns.js")],
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        outfile: standInsFile,
        logLevel: "error",
        external: ["dtrace-provider", "mv", "moment", "safe-json-stringify", "source-map-support"],
    });
};

/** Running processes, which end with this one. */
const children = new Set();

const keepUntilExit = child => {
    children.add(child);
    child.once("exit", () => children.delete(child));
    return child;
};

/** The process with the store and the replicas. */
class StandIns {
    child = keepUntilExit(fork(standInsFile));

    async ask(command, commandOptions) {
        const answer = once(this.child, "message");
        this.child.send({ command, options: commandOptions });
        const [message] = await answer;
        return message;
    }

    stop() {
        this.child.kill("SIGKILL");
    }
}

const settingsOf = (number, store, seeds) => {
    const values = {
        node_name: `entry-${number}`,
        zone: "north-a",
        ip: "127.0.0.1",
        "listen.front": "127.0.0.1:0",
        "listen.ready": "127.0.0.1:0",
        "listen.control": "127.0.0.1:0",
        "port_range.1": "0",
        "platform.address": store,
        "bounds.retry_budget_ratio": "0.2",
        "bounds.budget_window_s": "10",
        "bounds.budget_extra": "100",
        "bounds.cold_overage": "1.5",
        "bounds.cold_extra": "5",
        "bounds.grace_s": "4",
        seeds,
    };
    const template = readFileSync(join(root, "platform/entry.ini"), "utf8");
    return template.replace(/\{\{([^}]+)\}\}/g, (_, name) => values[name] ?? "");
};

/** An entry as a process of its own. */
class Entry {
    output = "";
    hasExited = false;

    constructor(number, store, seeds) {
        const settingsFile = join(folder, `entry-${number}.ini`);
        writeFileSync(settingsFile, settingsOf(number, store, seeds));
        this.child = keepUntilExit(spawn(process.execPath, [entryFile], {
            env: { ...process.env, DANDELIONRAMP_SETTINGS: settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        }));
        this.child.once("close", () => {
            this.hasExited = true;
        });
        for (const stream of [this.child.stdout, this.child.stderr]) {
            stream.on("data", bytes => {
                this.output += bytes;
            });
        }
    }

    async start() {
        for (;;) {
            const line = this.output.split("\n").slice(0, -1).find(text => text.includes("The entry has started."));
            if (line !== undefined) {
                this.addresses = JSON.parse(line);
                return;
            }
            if (this.hasExited) {
                throw new Error(`the entry exited: ${this.output}`);
            }
            await sleep(20);
        }
    }

    async untilReady() {
        while ((await call(this.addresses.readiness, "/", { method: "GET" })).status !== 200) {
            await sleep(20);
        }
    }

    /** Processor time in milliseconds, and peak of the resident memory in bytes. */
    get usage() {
        const { pid } = this.child;
        const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
        const peak = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))[1];
        return {
            processor: (Number(fields[11]) + Number(fields[12])) * 1_000 / ticksPerSecond,
            memory: Number(peak) * 1_024,
        };
    }

    stop() {
        this.child.kill("SIGKILL");
    }
}

let nextRequest = 1;

/** Resolves with the response, or with status 0 and the error's code. */
const call = (address, path, { method = "POST", headers = {}, body = "" } = {}) =>
    new Promise(resolve => {
        const startedAt = performance.now();
        const chunks = [];
        const finish = (status, whole, error) =>
            resolve({
                status,
                whole,
                error,
                body: Buffer.concat(chunks).toString("latin1"),
                took: performance.now() - startedAt,
            });
        const [host, port] = address.split(":");
        const request = http.request({
            host,
            port,
            path,
            method,
            agent: false,
            signal: AbortSignal.timeout(patienceMilliseconds),
            headers: {
                host: "desk.example",
                authorization: `Bearer ${callerKey}`,
                "dandelionramp-request-id": `probe-${nextRequest++}`,
                "dandelionramp-deadline-ms": String(deadlineMilliseconds),
                ...headers,
            },
        }, response => {
            response.on("data", bytes => chunks.push(bytes));
            response.on("end", () => finish(response.statusCode, true));
            response.on("error", error => finish(response.statusCode, false, error.code));
        });
        request.on("error", error => finish(0, false, error.code ?? error.name));
        request.end(body);
    });

const generationOf = (promptTokens, answerTokens = eventCount * tokensPerEvent) => ({
    headers: {
        "dandelionramp-token-count": `${promptTokens},${answerTokens}`,
        "dandelionramp-model": "m",
    },
});

const senders = {
    stream: address => call(address, "/replies/a", generationOf(shortPrompt)),
    events: address => call(address, "/replies/a", generationOf(shortPrompt)),
    lookup: address => call(address, "/lookups/a", { body: "a bunk" }),
    booking: address => call(address, "/pairs/a", { body: "a bunk" }),
    order: address => call(address, "/replies/a", generationOf(longPrompt)),
};

/** One event: the engine of the other service has to keep up with one request per {@link otherIntervalMilliseconds}. */
const sendShortGeneration = address => call(address, "/replies/a", generationOf(shortPrompt, tokensPerEvent));

const wholeStream = /^(?:id: (\d+)\ndata: \S+ \1\n\n)*$/;
const isStream = { stream: true, events: true, lookup: false, booking: false, order: true };

/** What became of a request, for counting. */
const outcomeOf = (scenario, { status, whole, error, body }) => {
    if (status !== 200) {
        return status === 0 ? `no response (${error})` : String(status);
    }
    if (!whole) {
        return "200 cut";
    }
    if (!isStream[scenario]) {
        return body.includes("\"echo\":\"a bunk\"") ? "whole" : "200 junk";
    }
    const identifiers = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    const hasAllEvents = identifiers.length === eventCount && identifiers.every((id, index) => id === index + 1);
    return !wholeStream.test(body) ? "200 junk" : hasAllEvents ? "whole" : "200 events missing";
};

const countOutcomes = outcomes => {
    const counts = {};
    for (const outcome of outcomes) {
        counts[outcome] = (counts[outcome] ?? 0) + 1;
    }
    return Object.entries(counts).sort().map(([outcome, count]) => `${count} ${outcome}`).join(", ");
};

const quantile = (values, share) =>
    values.length === 0
        ? NaN
        : values.slice().sort((first, second) =>
            first - second
        )[Math.min(values.length - 1, Math.floor(values.length * share))];

/** Sends a request to another service at regular times until `stop` is called, which resolves with their responses. */
const sendOthers = (entries, service) => {
    const pending = [];
    let index = 0;
    const send = service === "models" ? senders.lookup : sendShortGeneration;
    const timer = setInterval(() => {
        pending.push(send(entries[index++ % entries.length].addresses.callers));
    }, otherIntervalMilliseconds);
    return async () => {
        clearInterval(timer);
        return await Promise.all(pending);
    };
};

const startEntries = async stores => {
    const entries = [];
    for (const [index, store] of stores.entries()) {
        const entry = new Entry(index + 1, store, entries[0]?.addresses.peers ?? "");
        entries.push(entry);
        await entry.start();
    }
    await Promise.all(entries.map(entry => entry.untilReady()));
    await sleep(settlingMilliseconds * 2);
    return entries;
};

const probe = async ({ scenario, name, pace, requests, entryCount }) => {
    const standIns = new StandIns();
    let entries = [];
    try {
        const { service, stores } = await standIns.ask("start", { scenario, name, pace, entries: entryCount });
        entries = await startEntries(stores);
        const stopWarmUp = sendOthers(entries, service);
        await sleep(warmUpMilliseconds);
        await stopWarmUp();
        const before = entries.map(entry => entry.usage);
        const stopOthers = sendOthers(entries, service);
        const startedAt = performance.now();
        const responses = await Promise.all(
            Array.from(
                { length: requests },
                (_, index) => senders[scenario](entries[index % entryCount].addresses.callers),
            ),
        );
        const lastEnd = performance.now() - startedAt;
        await sleep(Math.max(0, minimumMilliseconds - lastEnd));
        const others = await stopOthers();
        await sleep(settlingMilliseconds);
        const after = entries.map(entry => entry.usage);
        const { connections, open, written, mostWritten, longest } = await standIns.ask("report");
        const failedOthers = others.filter(({ status, whole }) => status !== 200 || !whole);
        const growth = kind => after.map((usage, index) => usage[kind] - before[index][kind]);
        return [
            scenario,
            name,
            pace,
            requests,
            entryCount,
            countOutcomes(responses.map(response => outcomeOf(scenario, response))),
            lastEnd.toFixed(0),
            quantile(others.map(({ took }) => took), 0.95).toFixed(0),
            `${countOutcomes(failedOthers.map(({ status }) => status)) || 0} of ${others.length}`,
            Math.max(...growth("processor")).toFixed(0),
            (Math.max(...growth("memory")) / megabyte).toFixed(0),
            (written / megabyte).toFixed(1),
            (mostWritten / megabyte).toFixed(1),
            `${open} of ${connections}`,
            // Infinity of an open connection becomes undefined on its way between the processes.
            Number.isFinite(longest) ? longest.toFixed(0) : "-",
        ];
    }
    finally {
        for (const entry of entries) {
            entry.stop();
        }
        standIns.stop();
    }
};

const headings = [
    "scenario",
    "without end",
    "pace",
    "requests",
    "entries",
    "outcomes",
    "last end",
    "others p95",
    "others failed",
    "processor",
    "memory",
    "written",
    "most on one",
    "open",
    "longest",
];
const printRow = cells => process.stdout.write(`| ${cells.join(" | ")} |\n`);
const listOf = text => text.split(",").map(item => item.trim());

const listProbes = async () => {
    const standIns = new StandIns();
    try {
        return await standIns.ask("list");
    }
    finally {
        standIns.stop();
    }
};

const run = async () => {
    build();
    const wantedScenarios = options.scenario === undefined ? undefined : listOf(options.scenario);
    const wanted = (await listProbes()).filter(({ scenario, name }) =>
        (wantedScenarios?.includes(scenario) ?? true) && `${scenario}: ${name}`.includes(options.match)
    );
    printRow(headings);
    printRow(headings.map(() => "---"));
    for (const { scenario, name } of wanted) {
        for (const pace of listOf(options.pace)) {
            for (const requests of listOf(options.requests).map(Number)) {
                for (const entryCount of listOf(options.entries).map(Number)) {
                    printRow(await probe({ scenario, name, pace, requests, entryCount }));
                }
            }
        }
    }
};

process.once("exit", () => {
    for (const child of children) {
        child.kill("SIGKILL");
    }
    rmSync(folder, { recursive: true });
});
for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => process.exit(1));
}

await run();
