/** The entries of a soak: real processes that start again on their own ports after they have ended, and a balancer before them. */
import { mkdirSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import path from "node:path";
import type { StoreListener } from "../../platform/standins/storeServer.js";
import { splitAddress } from "../../src/utils/address.js";
import { type Milliseconds, systemClock } from "../../src/utils/clock.js";
import { EntryProcess, settingsText } from "../forwarding/support/entryProgram.js";
import type { Site } from "../forwarding/support/site.js";
import { type Checker, Rule } from "./checker.js";
import type { Draw, SignalAt } from "./plan.js";

/** The program that entries run. */
export interface EntryProgram {
    file: string;
    nodeOptions: readonly string[];
}

/** Where an entry listens. */
interface EntryPorts {
    callers: string;
    readiness: string;
    peers: string;
    metrics: string;
}

/** A process of an entry, from its start to its end. */
export interface EntryLife {
    name: string;
    pid: number;
    startedAt: Milliseconds;
    /** When the first signal to stop was sent. */
    stoppedAt: Milliseconds | undefined;
    signals: { signal: NodeJS.Signals; at: Milliseconds; }[];
    end: { code: number | undefined; signal: NodeJS.Signals | undefined; at: Milliseconds; } | undefined;
    peakMegabytes: number;
    process: EntryProcess;
}

const maximumRestartDelay: Milliseconds = 500;
const balancerInterval: Milliseconds = 1_000;
/** The balancer takes an entry out after this many checks in a row without a 200. */
const maximumMissedChecks = 2;
/** The end of a process is noticed within this time. */
const exitNoticeDuration: Milliseconds = 100;
const nanosecondsPerMillisecond = 1e6;
const stopSignals: ReadonlySet<NodeJS.Signals> = new Set<NodeJS.Signals>(["SIGTERM", "SIGINT", "SIGQUIT"]);

/**
 * An address of the loopback network that no other soak and no outgoing connection uses: ports that a process has left stay free
 * until it starts again.
 */
const ownAddress = (index: number): string =>
    `127.${1 + process.pid % 250}.${1 + Math.floor(process.pid / 250) % 250}.${index + 1}`;

const freePort = (host: string): Promise<string> =>
    new Promise((resolve, reject) => {
        const server = net.createServer().once("error", reject).listen(0, host, () => {
            const { port } = server.address() as net.AddressInfo;
            server.close(() => resolve(`${host}:${port}`));
        });
    });

/** For how long a process could have run and got no processor; 0 once it has ended. */
const processorWait = (pid: number): Milliseconds => {
    try {
        const [, wait] = readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ");
        return Number(wait) / nanosecondsPerMillisecond;
    }
    catch {
        return 0;
    }
};

/** What the entries of a site share. */
export interface EntryContext {
    site: Site;
    checker: Checker;
    draw: Draw;
    program: EntryProgram;
    /** Folder of their settings and logs. */
    folder: string;
    graceSeconds: number;
    memoryMegabytes: number;
    contracts: string;
}

/** An entry: one process after another on the same ports. */
export class SoakEntry {
    readonly lives: EntryLife[] = [];
    /** Whether the balancer sends new connections to it. */
    isInRotation = false;
    /** Sent once to the next process, right after its start. */
    signalsAtStart: SignalAt[] = [];
    private missedChecks = 0;
    private settings = "";
    private isClosing = false;

    private constructor(
        private readonly context: EntryContext,
        readonly id: string,
        readonly ports: EntryPorts,
        /** The entry's own way to the store. */
        readonly storeListener: StoreListener,
    ) {}

    static async open(context: EntryContext, index: number): Promise<SoakEntry> {
        const host = ownAddress(index);
        const ports = {
            callers: await freePort(host),
            readiness: await freePort(host),
            peers: await freePort(host),
            metrics: await freePort(host),
        };
        return new SoakEntry(context, `entry-${index + 1}`, ports, await context.site.store.openListener());
    }

    /** The running process; undefined between two of them. */
    get life(): EntryLife | undefined {
        const last = this.lives.at(-1);
        return last?.end === undefined ? last : undefined;
    }

    /** Starts the first process. `seeds`: addresses at which other entries listen. */
    async start(seeds: string[]): Promise<void> {
        const { site, graceSeconds, memoryMegabytes, contracts } = this.context;
        const { host, port } = splitAddress(this.ports.metrics);
        this.settings = await settingsText(site, {
            node_name: this.id,
            ip: host,
            "limits.memory_mb": String(memoryMegabytes),
            contracts,
            "listen.front": this.ports.callers,
            "listen.ready": this.ports.readiness,
            "listen.control": this.ports.peers,
            "port_range.1": String(port),
            seeds: seeds.join(","),
            "platform.address": this.storeListener.address,
            "bounds.grace_s": String(graceSeconds),
        });
        mkdirSync(this.context.folder, { recursive: true });
        this.startProcess();
    }

    /** Changes the settings file at once, as the platform does. */
    changeSettings(extraRetries: number): void {
        this.settings = this.settings.replace(/^extra = \d+$/m, `extra = ${extraRetries}`);
        writeFileSync(`${this.settingsFile}.new`, this.settings);
        renameSync(`${this.settingsFile}.new`, this.settingsFile);
    }

    /** Sends a signal to the running process, if there is one. */
    signal(signal: NodeJS.Signals): void {
        const { life } = this;
        if (!life?.process.child.kill(signal)) {
            return;
        }
        const at = systemClock.now();
        life.signals.push({ signal, at });
        if (stopSignals.has(signal) && life.stoppedAt === undefined) {
            life.stoppedAt = at;
            void this.limitStop(life);
        }
    }

    async signalInSeries(signals: readonly SignalAt[]): Promise<void> {
        const startedAt = systemClock.now();
        for (const { after, signal } of signals) {
            await systemClock.sleep(startedAt + after - systemClock.now());
            this.signal(signal);
        }
    }

    /** Sends the signal to stop again and again until the running process has ended. */
    async signalUntilEnd(interval: Milliseconds): Promise<void> {
        const { life } = this;
        while (life && life.end === undefined) {
            this.signal("SIGTERM");
            await systemClock.sleep(interval);
        }
    }

    /** Asks the process whether it is ready, as the balancer does. */
    async checkReadiness(): Promise<void> {
        const isReady = await isReadyAt(this.ports.readiness);
        this.missedChecks = isReady ? 0 : this.missedChecks + 1;
        if (isReady || this.missedChecks >= maximumMissedChecks) {
            this.isInRotation = isReady;
        }
    }

    /** Stops the process as planned and starts no other. */
    async close(): Promise<void> {
        this.isClosing = true;
        this.signal("SIGTERM");
        await this.lives.at(-1)?.process.exited;
    }

    /** Ends the process at once. */
    kill(): void {
        this.isClosing = true;
        this.life?.process.child.kill("SIGKILL");
    }

    private get settingsFile(): string {
        return path.join(this.context.folder, `${this.id}.ini`);
    }

    private startProcess(): void {
        writeFileSync(this.settingsFile, this.settings);
        const { file, nodeOptions } = this.context.program;
        const entryProcess = new EntryProcess(file, this.settingsFile, nodeOptions);
        const { child } = entryProcess;
        const life: EntryLife = {
            name: `${this.id}.${this.lives.length + 1}`,
            pid: child.pid!,
            startedAt: systemClock.now(),
            stoppedAt: undefined,
            signals: [],
            end: undefined,
            peakMegabytes: 0,
            process: entryProcess,
        };
        this.lives.push(life);
        child.once("exit", (code, signal) => {
            life.end = { code: code ?? undefined, signal: signal ?? undefined, at: systemClock.now() };
        });
        // The output of the last moments arrives after the exit.
        void entryProcess.exited.then(() => this.processEnd(life));
        const signals = this.signalsAtStart;
        this.signalsAtStart = [];
        void this.signalInSeries(signals);
    }

    private async processEnd(life: EntryLife): Promise<void> {
        this.judgeEnd(life);
        await systemClock.sleep(this.context.draw.between(0, maximumRestartDelay));
        if (!this.isClosing) {
            this.startProcess();
        }
    }

    private judgeEnd({ end, signals, stoppedAt, name, process: { output } }: EntryLife): void {
        const { checker } = this.context;
        const { code, signal } = end!;
        checker.count("process ends");
        if (signal === "SIGKILL" && signals.some(sent => sent.signal === "SIGKILL")) {
            return;
        }
        if (signal !== undefined && output === "") {
            // No program can handle a signal that comes before its runtime has loaded it.
            checker.count("process ends before its program has begun");
            return;
        }
        if (stoppedAt === undefined || code !== 0) {
            checker.report(
                Rule.OwnEnd,
                `${name} ended with ${code ?? signal}`,
                this.lives.find(life => life.name === name),
            );
        }
    }

    /** Kills the process when its stop takes longer than the grace period, as the platform does. */
    private async limitStop(life: EntryLife): Promise<void> {
        const { checker, graceSeconds } = this.context;
        const waitedBefore = processorWait(life.pid);
        // What the process has waited for a processor isn't its own time.
        const endsAt = () => life.stoppedAt! + graceSeconds * 1_000 + processorWait(life.pid) - waitedBefore;
        while (life.end === undefined && systemClock.now() < endsAt() + exitNoticeDuration) {
            await Promise.race([systemClock.sleep(exitNoticeDuration), life.process.exited]);
        }
        if (life.end !== undefined) {
            return;
        }
        if (!life.signals.some(({ signal }) => signal === "SIGSTOP")) {
            checker.report(Rule.SlowStop, `${life.name} hasn't ended within its grace period`, life);
        }
        life.signals.push({ signal: "SIGKILL", at: systemClock.now() });
        life.process.child.kill("SIGKILL");
    }
}

const isReadyAt = (address: string): Promise<boolean> =>
    new Promise(resolve => {
        const request = http.get({ ...splitAddress(address), path: "/dandelionramp/readyz", agent: false });
        request.setTimeout(balancerInterval, () => request.destroy());
        request.once("error", () => resolve(false));
        request.once("response", response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
    });

/** Sends the new connections of clients to entries that are ready. */
export class Balancer {
    constructor(private readonly entries: readonly SoakEntry[], private readonly checker: Checker) {}

    /** Checks the entries until `signal` aborts, and the memory of their processes. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const startedAt = systemClock.now();
            await Promise.all(this.entries.map(entry => entry.checkReadiness()));
            this.checkMemory();
            await systemClock.sleep(startedAt + balancerInterval - systemClock.now(), signal);
        }
    }

    /** An entry for a new connection: any one if fewer than half are ready. */
    pick(draw: Draw): SoakEntry {
        const ready = this.entries.filter(({ isInRotation }) => isInRotation);
        return draw.pick(ready.length * 2 < this.entries.length ? this.entries : ready);
    }

    private checkMemory(): void {
        for (const { life } of this.entries) {
            if (life) {
                this.checker.checkMemory(life);
            }
        }
    }
}
