// Starts and ends the programs of the local fleet, each a process of its own.
import { spawn } from "node:child_process";
import { mkdirSync, openSync, readdirSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const localFolder = `${root}/examples/local`;
const logs = `${root}/.local`;

const programOf = name => {
    if (name.startsWith("entry-")) {
        return ["dandelionramp-entry.js"];
    }
    if (name.startsWith("engine-")) {
        return ["dandelionramp-standin.js", "engine"];
    }
    return ["dandelionramp-standin.js", name.startsWith("bookings-") ? "service" : "platform"];
};

/** Names of all programs of the fleet: platform first, entries last. */
const fleetNames = folder => {
    const rank = name => name === "platform" ? 0 : name.startsWith("entry-") ? 2 : 1;
    const names = readdirSync(folder).map(file => file.replace(/\.ini$/, ""));
    return names.sort((first, second) => rank(first) - rank(second) || (first < second ? -1 : 1));
};

/** Callers', operators' and control ports by the layout of examples/local. */
export const callersOf = index => `127.0.0.1:${8079 + index}`;
export const operatorsOf = index => `127.0.0.1:${8279 + index}`;
export const engineControl = index => `127.0.0.1:${9099 + 2 * index}`;
export const serviceControl = index => `127.0.0.1:${9199 + 2 * index}`;
export const platformControl = "127.0.0.1:9001";

/** The running processes of a fleet. */
export class LocalFleet {
    children = new Map();
    exits = new Map();

    constructor(folder = localFolder) {
        this.folder = folder;
    }

    start(name) {
        mkdirSync(logs, { recursive: true });
        const [program, ...rest] = programOf(name);
        const log = openSync(`${logs}/${name}.log`, "a");
        const commandLine = [`${root}/bin/${program}`, ...rest, "--settings", `${this.folder}/${name}.ini`];
        const child = spawn(process.execPath, commandLine, { stdio: ["ignore", log, log] });
        this.children.set(name, child);
        this.exits.set(
            name,
            new Promise(resolve => {
                child.on("exit", (code, signal) => {
                    if (this.children.get(name) === child) {
                        this.children.delete(name);
                    }
                    resolve(code ?? signal);
                });
            }),
        );
        return child;
    }

    startAll() {
        for (const name of fleetNames(this.folder)) {
            this.start(name);
        }
    }

    signal(name, signal) {
        this.children.get(name)?.kill(signal);
    }

    /** Ends every process of this fleet and waits for them. */
    async stopAll() {
        for (const child of this.children.values()) {
            child.kill("SIGCONT");
            child.kill("SIGTERM");
        }
        await Promise.all(this.exits.values());
    }
}

export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

export const getJson = async (address, path) => (await fetch(`http://${address}${path}`)).json();

export const setFault = async (address, fault, value = 1) => {
    await fetch(`http://${address}/faults`, { method: "POST", body: JSON.stringify({ fault, value }) });
};

/** Waits until every entry is ready and has a report of every endpoint. */
export const untilReady = async (entries, endpoints = 23) => {
    while (true) {
        const ready = await Promise.all(entries.map(async index => {
            const status = await getJson(operatorsOf(index), "/status").catch(() => undefined);
            return status?.accepting && status.endpoints.length === endpoints
                && status.peers.every(peer => peer.answers);
        }));
        if (ready.every(value => value)) {
            return;
        }
        await sleep(100);
    }
};
