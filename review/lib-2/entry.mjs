/** Entries as separate processes, started by the `run` line of the deploy file with settings from its template. */
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import http from "node:http";
import path from "node:path";
import { freePort, until } from "./http.mjs";

const root = path.resolve(import.meta.dirname, "../..");
const deployFile = readFileSync(path.join(root, "deploy/system.toml"), "utf8");
const valueOf = key => new RegExp(`^${key} = "(.*)"$`, "m").exec(deployFile)[1];

/** The bounds of the site, as the platform puts them into the settings. */
const bounds = { retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra: 100, cold_overage: 1.5, cold_extra: 5, grace_s: 8 };
const contracts = "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,spans";

const render = (template, fields) =>
    template.replace(/\{\{([^}]+)\}\}/g, (_, key) => {
        const value = key.split(".").reduce((table, name) => table?.[name], fields);
        return value === undefined ? "" : String(value);
    });

/** One entry; its processes follow one another on the same addresses. */
export class Entry {
    #fields;
    #process;
    #starts = 0;

    constructor(name, zone, host, folder) {
        this.name = name;
        this.zone = zone;
        this.host = host;
        this.folder = folder;
    }

    async prepare(storeAddress) {
        const { host } = this;
        this.front = `${host}:${await freePort(host)}`;
        this.ready = `${host}:${await freePort(host)}`;
        this.control = `${host}:${await freePort(host)}`;
        const metrics = await freePort(host);
        this.#fields = {
            node_name: this.name,
            ip: host,
            zone: this.zone,
            limits: { cpu_share: 0.675, memory_mb: 350, max_fds: 4200 },
            contracts,
            listen: { front: this.front, ready: this.ready, control: this.control },
            port_range: [metrics, metrics],
            platform: { address: storeAddress },
            bounds,
        };
    }

    start(seeds) {
        this.#starts++;
        const file = path.join(this.folder, `${this.name}.ini`);
        const text = render(readFileSync(path.join(root, valueOf("template")), "utf8"), {
            ...this.#fields,
            seeds: seeds.join(","),
            bootstrap: this.#starts === 1,
        });
        writeFileSync(file, text);
        const [program, ...words] = valueOf("run").split(" ");
        const log = createWriteStream(path.join(this.folder, `${this.name}.log`), { flags: "a" });
        const child = spawn(program, words, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C", DANDELIONRAMP_SETTINGS: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child.stdout.pipe(log);
        child.stderr.pipe(log);
        this.#process = child;
        this.ended = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
    }

    get pid() {
        return this.#process.pid;
    }

    get isRunning() {
        return this.#process !== undefined && this.#process.exitCode === null && this.#process.signalCode === null; // eslint-disable-line no-restricted-syntax
    }

    signal(name) {
        if (this.isRunning) {
            this.#process.kill(name);
        }
    }

    async end() {
        if (this.isRunning) {
            this.#process.kill("SIGCONT");
            this.#process.kill("SIGKILL");
            await this.ended;
        }
    }

    isReady() {
        return new Promise(resolve => {
            const [host, port] = this.ready.split(":");
            const request = http.get({ host, port, path: "/dandelionramp/readyz", agent: false, timeout: 500 }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.on("timeout", () => request.destroy());
            request.on("error", () => resolve(false));
        });
    }

    untilReady(timeout = 15_000) {
        return until(`${this.name} is ready`, () => this.isReady(), timeout);
    }

    log() {
        return readFileSync(path.join(this.folder, `${this.name}.log`), "utf8");
    }
}
