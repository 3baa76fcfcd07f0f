// Starts and stops the programs of the local fleet, each in its own process, and addresses their ports.
import { spawn } from "node:child_process";
import { mkdirSync, openSync, readdirSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const localFolder = `${root}/examples/local`;
const logFolder = `${root}/.local`;

const programArguments = name => {
    if (name.startsWith("entry-")) {
        return ["dandelionramp-entry.js"];
    }
    if (name.startsWith("engine-")) {
        return ["dandelionramp-standin.js", "engine"];
    }
    return ["dandelionramp-standin.js", name.startsWith("bookings-") ? "service" : "platform"];
};

/** Returns the names of all programs of the fleet in start order: the platform first, the entries last. */
const fleetNames = folder => {
    const startOrder = name => name === "platform" ? 0 : name.startsWith("entry-") ? 2 : 1;
    const names = readdirSync(folder).map(file => file.replace(/\.ini$/, ""));
    return names.sort((first, second) => startOrder(first) - startOrder(second) || (first < second ? -1 : 1));
};

/** Addresses of the callers', operators' and control ports, as laid out in examples/local. */
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
        mkdirSync(logFolder, { recursive: true });
        const [program, ...subcommand] = programArguments(name);
        const log = openSync(`${logFolder}/${name}.log`, "a");
        const commandLine = [`${root}/bin/${program}`, ...subcommand, "--settings", `${this.folder}/${name}.ini`];
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

    /** Terminates all processes of this fleet and waits until they have exited. Paused processes are resumed first. */
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

/** Waits until every entry accepts requests, knows all endpoints and gets responses from all its peers. */
export const untilReady = async (entries, endpointCount = 23) => {
    while (true) {
        const ready = await Promise.all(entries.map(async index => {
            const status = await getJson(operatorsOf(index), "/status").catch(() => undefined);
            return status?.accepting && status.endpoints.length === endpointCount
                && status.peers.every(peer => peer.answers);
        }));
        if (ready.every(value => value)) {
            return;
        }
        await sleep(100);
    }
};
