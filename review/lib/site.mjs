/** Starts a small deployment: the store, entries as separate processes, and processes of stand-ins. */
import { fork, spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { queueLimit } from "./replica.mjs";
import { Store } from "./store.mjs";

export const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = duration => new Promise(resolve => setTimeout(resolve, duration));
export const hasTrouble = process.env.TROUBLE !== "0";

const maximumStarts = 3;
/** Shorter than the time after which an entry gives up a new connection, 100 ms at least. */
const lossDuration = 85;

/** Bounds of the sheets, as the platform renders them into the settings. */
const bounds = {
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    budget_extra: 100,
    cold_overage: 1.5,
    cold_extra: 5,
    grace_s: 8,
};

const defaultContracts = ["base", "drain", "config", "cost", "retry", "recover", "stream", "tenants", "platform", "spans"];

export const host = "app.example";
export const key = "n2ctnfzs989anu6wsjnb";

/** A service with a route for look-ups, which may be repeated, and one for bookings, which may not. */
const defaultConfiguration = {
    version: 1,
    routes: [
        {
            name: "lookup",
            hostname: host,
            path_prefix: "/lookup/",
            kind: "idempotent",
            timeout_ms: 5_000,
            target_latency_ms: 150,
            attempts: 2,
            priority: 2,
            service: "app",
        },
        {
            name: "booking",
            hostname: host,
            path_prefix: "/booking/",
            kind: "non_idempotent",
            timeout_ms: 5_000,
            target_latency_ms: 150,
            attempts: 1,
            priority: 2,
            service: "app",
        },
    ],
    services: [{ name: "app", health_path: "/healthz", max_connections: 96 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "hule930", api_keys: [key] }],
};

/** Writes what was sent, answered and run to `record.txt` in the folder of the case, with milliseconds since the start. */
export class Recorder {
    #lines = [];
    #startedAt = performance.now();

    constructor(folder) {
        this.file = path.join(folder, "record.txt");
    }

    get now() {
        return performance.now() - this.#startedAt;
    }

    add(text) {
        this.#lines.push(`${this.now.toFixed(1).padStart(9)} ${text}`);
    }

    save() {
        writeFileSync(this.file, `${this.#lines.join("\n")}\n`);
    }
}

export const freePort = () =>
    new Promise((resolve, reject) => {
        const server = net.createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });

/** The command of the deploy file. */
const runCommand = () => /^run = "(.*)"$/m.exec(readFileSync(path.join(root, "deploy/system.toml"), "utf8"))[1].split(" ");

/** Renders `platform/entry.ini` as the platform does: lists are joined by commas, a missing value is empty. */
const render = fields =>
    readFileSync(path.join(root, "platform/entry.ini"), "utf8").replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
        const value = name.split(".").reduce((parent, key) => parent?.[key], fields);
        return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });

/** A deployment with its processes and files. */
export class Site {
    store = new Store();
    entries = [];
    #children = [];
    #folder = mkdtempSync(path.join(os.tmpdir(), "review-"));

    constructor(recorder) {
        this.recorder = recorder;
    }

    /** Starts the store and the entries, and waits until all entries are ready. `configuration` is written before. */
    async start({ entryCount, zones, replicas, contracts = defaultContracts, configuration = defaultConfiguration }) {
        await this.store.start();
        this.store.put("config", "main", configuration);
        for (const { id, record } of replicas) {
            this.store.put("servers", id, record);
        }
        for (let attempt = 1; attempt <= maximumStarts; attempt++) {
            await this.#chooseAddresses(entryCount, zones);
            for (const entry of this.entries) {
                entry.settings = this.#writeSettings(entry, contracts, true);
                this.startEntry(entry);
            }
            try {
                await this.untilReady(this.entries);
                break;
            }
            catch (error) {
                // Another program of the machine may have taken a port meanwhile.
                if (attempt === maximumStarts) {
                    throw error;
                }
                this.recorder.add(`${error.message}; all entries start again`);
                this.entries.forEach(({ process }) => process.kill("SIGKILL"));
            }
        }
        for (const entry of this.entries) {
            this.#writeSettings(entry, contracts, false);
        }
    }

    async #chooseAddresses(entryCount, zones) {
        this.entries = [];
        for (let index = 0; index < entryCount; index++) {
            const ports = [];
            for (let count = 0; count < 4; count++) {
                ports.push(await freePort());
            }
            const [front, ready, control, metrics] = ports;
            const zone = zones[index % zones.length];
            this.entries.push({ name: `entry-${index + 1}`, zone, front, ready, control, metrics });
        }
    }

    /** `isFirstStart`: whether the whole system starts for the first time. */
    #writeSettings(entry, contracts, isFirstStart) {
        const file = path.join(this.#folder, `${entry.name}.ini`);
        const fields = {
            node_name: entry.name,
            zone: entry.zone,
            limits: { cpu_share: 1, memory_mb: 350 },
            contracts,
            listen: {
                front: `127.0.0.1:${entry.front}`,
                ready: `127.0.0.1:${entry.ready}`,
                control: `127.0.0.1:${entry.control}`,
            },
            ip: "127.0.0.1",
            port_range: [entry.metrics, entry.metrics],
            seeds: this.entries.slice(0, 3).map(({ control }) => `127.0.0.1:${control}`),
            bootstrap: isFirstStart,
            platform: { address: this.store.address },
            bounds,
        };
        writeFileSync(file, render(fields));
        return file;
    }

    /** Starts the process of an entry with the command of the deploy file. */
    startEntry(entry) {
        const [program, ...words] = runCommand();
        const log = openSync(path.join(this.#folder, `${entry.name}.log`), "a");
        entry.logFile = path.join(this.#folder, `${entry.name}.log`);
        entry.process = spawn(program, words, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, DANDELIONRAMP_SETTINGS: entry.settings },
            stdio: ["ignore", log, log],
        });
        this.#children.push(entry.process);
        entry.exitCodeWhileRunning = entry.process.exitCode;
        entry.process.once("exit", (code, signal) => this.recorder.add(`process of ${entry.name} ended: ${signal ?? code}`));
        this.recorder.add(`process of ${entry.name} started`);
    }

    /**
     * Starts a replica; resolves once it listens. Its events are recorded and passed to `onEvent`. `garblesEach`: it garbles each
     * of its answers with a number that this divides.
     */
    async startReplica(id, zone, { onEvent = () => {}, garblesEach } = {}) {
        const port = await freePort();
        const process = fork(
            path.join(root, "review/lib/replica.mjs"),
            [id, port, garblesEach].filter(word => word !== undefined).map(String),
            { stdio: "inherit" },
        );
        this.#children.push(process);
        await new Promise(resolve => {
            process.on("message", message => {
                this.recorder.add(`replica ${id}: ${JSON.stringify(message)}`);
                if (message.event === "listening") {
                    resolve();
                }
                onEvent(message);
            });
        });
        const record = {
            service: "app",
            address: `127.0.0.1:${port}`,
            zone,
            version: 1,
            slots: 6,
            state: "ready",
            cold_remaining_ms: 0,
            sequence: 1,
            born: Date.now(),
        };
        return { id, port, process, record };
    }

    /**
     * Plays `action` while one packet is lost on the way from an entry to these replicas: the first one of a new connection. Each
     * replica has a short queue of new connections, and the system drops the packet while that is full.
     */
    async loseOnePacket(replicas, action) {
        const fillers = [];
        for (const { process, port } of replicas) {
            process.kill("SIGSTOP");
            for (let count = 0; count <= queueLimit; count++) {
                const socket = net.connect(port, "127.0.0.1");
                socket.on("error", () => {});
                fillers.push(socket);
            }
        }
        await sleep(20);
        const result = action();
        await sleep(lossDuration);
        for (const { process } of replicas) {
            process.kill("SIGCONT");
        }
        await sleep(10);
        fillers.forEach(socket => socket.destroy());
        return result;
    }

    async untilReady(entries, timeout = 20_000) {
        const endsAt = performance.now() + timeout;
        for (const entry of entries) {
            while (!await isReady(entry)) {
                if (performance.now() > endsAt || entry.process.exitCode !== entry.exitCodeWhileRunning) {
                    throw new Error(`${entry.name} is not ready`);
                }
                await sleep(50);
            }
            this.recorder.add(`${entry.name} is ready`);
        }
    }

    log(entry) {
        return readFileSync(entry.logFile, "utf8");
    }

    /** Ends all processes and removes all files. */
    async stop() {
        for (const child of this.#children) {
            child.kill("SIGKILL");
        }
        await Promise.all(this.#children.map(child =>
            (child.exitCode ?? child.signalCode ?? undefined) !== undefined ? undefined : new Promise(resolve => {
                child.once("exit", resolve);
                setTimeout(resolve, 1_000);
            })
        ));
        this.store.stop();
        if (process.env.KEEP === "1") {
            process.stderr.write(`kept: ${this.#folder}\n`);
            return;
        }
        rmSync(this.#folder, { recursive: true, force: true });
    }
}

const isReady = ({ ready }) =>
    new Promise(resolve => {
        const request = http.get({ host: "127.0.0.1", port: ready, path: "/dandelionramp/readyz", agent: false }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.setTimeout(500, () => request.destroy());
        request.once("error", () => resolve(false));
    });

/** Exit code for a broken rule. `run.sh` turns it into 1: Node itself exits with 1 where a program fails. */
const brokenCode = 10;

/** Runs a case and exits: {@link brokenCode} where the rule was broken, 0 where it held, 2 where the case couldn't run. */
export const runCase = async (folder, play) => {
    const recorder = new Recorder(folder);
    const site = new Site(recorder);
    let code = 2;
    const watchdog = setTimeout(() => {
        recorder.add("the case took too long");
        void site.stop().finally(() => process.exit(2));
    }, 110_000);
    try {
        code = await play(site, recorder) ? brokenCode : 0;
    }
    catch (error) {
        recorder.add(`the case could not run: ${error.stack}`);
        process.stderr.write(`${error.stack}\n`);
    }
    await site.stop();
    clearTimeout(watchdog);
    recorder.add(`exit ${code === brokenCode ? 1 : code}`);
    recorder.save();
    process.exit(code);
};
