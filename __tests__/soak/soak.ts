/** Runs one soak: real entries on loopback before stand-ins, clients on kept connections, and planned work drawn from the seed. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { Refusal } from "../../platform/standins/storeServer.js";
import type { EngineProfile } from "../../src/types/routing.js";
import { type Milliseconds, systemClock } from "../../src/utils/clock.js";
import { seededRandom } from "../../src/utils/random.js";
import { callerKey, operatorConfiguration, quickEngine, Site, toPlatformEngine } from "../forwarding/support/site.js";
import { Checker, type Violation } from "./checker.js";
import { SoakClient } from "./client.js";
import { Balancer, type EntryContext, type EntryLife, type EntryProgram, SoakEntry } from "./entries.js";
import { type ConfigurationValues, Draw, drawConfiguration, drawPlan, type PlannedAction } from "./plan.js";
import { SoakReplica } from "./replicas.js";
import { maximumBodyBytes, tokensPerEvent } from "./requests.js";

const replicaCount = 6;
const engineCount = 3;
/** An event takes 80 ms. */
const engineProfile: EngineProfile = { ...quickEngine, slots: 16, stepTime: 20, stepsPerPass: tokensPerEvent };
const replicaSlots = 16;
const clientsPerEntry = 16;
/** Clients run in the process of the checker, whose own pauses must stay short. */
const maximumClients = 48;
/** Keeps the draws of the clients of different seeds apart. */
const drawsPerSeed = 96;
const memoryMegabytes = 350;
const startTimeout: Milliseconds = 20_000;
/** Clients reuse connections that have been idle for up to this share of the limit. */
const idleShare = 0.8;

/** What to soak. */
export interface SoakOptions {
    seed: number;
    duration: Milliseconds;
    entries: number;
    program: EntryProgram;
    /** Whether processes are frozen and killed, replicas silent and the store cut off beside the planned work. */
    hasFaults: boolean;
}

/** What a soak has shown. */
export interface SoakReport {
    violations: string[];
    /** Numbers of requests and processes by how they ended. */
    summary: string;
    /** Folder with the logs of the entries; undefined if no rule was broken. */
    folder: string | undefined;
}

/** One soak. */
class Soak {
    private readonly site = new Site();
    private readonly draw: Draw;
    private readonly folder: string;
    private readonly checker: Checker;
    private readonly entries: SoakEntry[] = [];
    private readonly replicas: SoakReplica[] = [];
    private readonly balancer: Balancer;
    private readonly over = new AbortController();
    private readonly work: Promise<void>[] = [];
    private version = 0;
    private shortestIdleTimeout: Milliseconds = Infinity;

    constructor(private readonly options: SoakOptions) {
        this.draw = new Draw(seededRandom(options.seed));
        this.folder = mkdtempSync(path.join(tmpdir(), `dandelionramp-soak-${options.seed}-`));
        this.checker = new Checker({ graceSeconds: this.graceSeconds, memoryMegabytes });
        this.balancer = new Balancer(this.entries, this.checker);
    }

    /** Runs the soak. Rejects when the entries don't start. */
    async run(): Promise<SoakReport> {
        const balancing = new AbortController();
        const killEntries = () => this.entries.forEach(entry => entry.kill());
        // An interrupted soak leaves no processes behind.
        process.once("exit", killEntries);
        try {
            await this.start();
            const balanced = this.balancer.run(balancing.signal);
            await this.untilReady();
            const clients = this.runClients();
            await this.play();
            this.over.abort();
            await Promise.all(clients);
            balancing.abort();
            await Promise.all([balanced, ...this.work]);
            await Promise.all(this.entries.map(entry => entry.close()));
            await this.checker.settle();
            return this.report();
        }
        finally {
            balancing.abort();
            this.over.abort();
            killEntries();
            process.off("exit", killEntries);
            await this.site.close();
        }
    }

    private get graceSeconds(): number {
        return 5 + this.options.seed % 4;
    }

    private async start(): Promise<void> {
        for (let index = 0; index < replicaCount; index++) {
            await this.startReplica(`i-${index + 1}`, "bookings");
        }
        for (let index = 0; index < engineCount; index++) {
            await this.startReplica(`m-${index + 1}`, "models");
        }
        this.configure(drawConfiguration(this.draw));
        const context: EntryContext = {
            site: this.site,
            checker: this.checker,
            draw: this.draw,
            program: this.options.program,
            folder: this.folder,
            graceSeconds: this.graceSeconds,
            memoryMegabytes,
            contracts: this.draw.chance(0.5) ? "pressure" : "",
        };
        for (let index = 0; index < this.options.entries; index++) {
            this.entries.push(await SoakEntry.open(context, index));
        }
        const seeds = this.entries.slice(0, 3).map(({ ports }) => ports.peers);
        await Promise.all(this.entries.map(entry => entry.start(seeds)));
    }

    private async startReplica(id: string, service: string): Promise<void> {
        const server = await this.site.replica(id, service, "north-a", engineProfile);
        this.site.record(id, { slots: replicaSlots });
        this.replicas.push(new SoakReplica(server, this.checker));
    }

    private async untilReady(): Promise<void> {
        const startedAt = systemClock.now();
        while (!this.entries.every(({ isInRotation }) => isInRotation)) {
            if (systemClock.now() - startedAt > startTimeout) {
                const outputs = this.entries.map(({ lives }) => lives.at(-1)?.process.output ?? "");
                throw new Error(`the entries aren't ready: ${outputs.join("\n")}`);
            }
            await systemClock.sleep(100);
        }
    }

    private runClients(): Promise<void>[] {
        const context = {
            balancer: this.balancer,
            checker: this.checker,
            longestIdle: () => idleShare * this.shortestIdleTimeout,
        };
        const count = Math.min(maximumClients, clientsPerEntry * this.options.entries);
        return Array.from({ length: count }, (...[, index]) => {
            const draw = new Draw(seededRandom(this.options.seed * drawsPerSeed + index));
            return new SoakClient(context, draw).run(this.over.signal);
        });
    }

    private async play(): Promise<void> {
        const { duration, hasFaults, entries, seed } = this.options;
        const plan = drawPlan(seededRandom(seed), { entries, replicas: this.replicas.length }, duration, hasFaults);
        const startedAt = systemClock.now();
        for (const { at, action } of plan) {
            await systemClock.sleep(startedAt + at - systemClock.now());
            this.work.push(this.perform(action));
        }
        await systemClock.sleep(startedAt + duration - systemClock.now());
    }

    private async perform(action: PlannedAction): Promise<void> {
        switch (action.type) {
            case "Signals":
                return this.entries[action.entry]!.signalInSeries(action.signals);
            case "SignalsAtStart":
                this.entries[action.entry]!.signalsAtStart = action.signals;
                return;
            case "SignalsUntilEnd":
                return this.entries[action.entry]!.signalUntilEnd(action.interval);
            case "Configurations":
                for (const configuration of action.configurations) {
                    this.configure(configuration);
                    await systemClock.sleep(action.interval);
                }
                return;
            case "Settings":
                this.entries[action.entry]!.changeSettings(action.extraRetries);
                if (action.isAnnounced) {
                    this.entries[action.entry]!.signal("SIGHUP");
                }
                return;
            case "Freeze":
                return this.freeze(this.entries[action.entry]!, action.duration);
            case "Kill":
                this.checker.recordDisruption(0);
                this.entries[action.entry]!.signal("SIGKILL");
                return;
            case "SilentReplica":
                this.replicas[action.replica]!.beSilent(action.duration);
                return;
            case "RefusingStore":
                return this.refuse(this.entries[action.entry]!, action.refusal, action.duration);
        }
    }

    private async freeze(entry: SoakEntry, duration: Milliseconds): Promise<void> {
        const { life } = entry;
        this.checker.recordDisruption(duration);
        entry.signal("SIGSTOP");
        await systemClock.sleep(duration);
        if (life === entry.life) {
            entry.signal("SIGCONT");
        }
    }

    private async refuse({ storeListener }: SoakEntry, refusal: Refusal, duration: Milliseconds): Promise<void> {
        storeListener.refusal = refusal;
        await systemClock.sleep(duration);
        storeListener.refusal = Refusal.None;
    }

    private configure(values: ConfigurationValues): void {
        this.version += this.draw.count(1, 3);
        this.shortestIdleTimeout = Math.min(this.shortestIdleTimeout, values.idleTimeout);
        this.checker.shortestTimeout = Math.min(this.checker.shortestTimeout, values.timeout);
        const configuration = operatorConfiguration(this.version);
        const others = Array.from({ length: values.customers }, (...[, index]) => ({
            name: `other-${index}`,
            api_keys: [`key-${index}-${this.version}`],
        }));
        this.site.store.model.put("config", "main", {
            ...configuration,
            routes: configuration.routes.map(route => ({ ...route, timeout_ms: values.timeout })),
            services: configuration.services.map(service => ({
                ...service,
                max_connections: values.connections,
                cold_per_s: 0,
                engine: service.name === "models" ? toPlatformEngine(engineProfile) : undefined,
            })),
            limits: {
                max_header_bytes: 4_096,
                max_body_bytes: maximumBodyBytes,
                header_timeout_ms: values.headerTimeout,
                idle_timeout_ms: values.idleTimeout,
            },
            tenants: [{ name: "north", api_keys: [callerKey] }, ...others],
        });
    }

    private report(): SoakReport {
        const { checker } = this;
        const counts = [...checker.counts].sort().map(([name, count]) => `${name} ${count}`).join(", ");
        const lives = this.entries.flatMap(entry => entry.lives);
        const peak = Math.max(...lives.map(({ peakMegabytes }) => peakMegabytes));
        const paused = (100 * checker.pausedShare).toFixed(0);
        const summary = `${counts}, peak memory ${peak.toFixed(0)} MB, checker still for ${paused}% of the time`;
        if (checker.violations.length === 0) {
            rmSync(this.folder, { recursive: true });
            return { violations: [], summary, folder: undefined };
        }
        const violations = checker.violations.map(violation => this.describe(violation));
        for (const life of lives) {
            writeFileSync(path.join(this.folder, `${life.name}.log`), life.process.output);
        }
        writeFileSync(path.join(this.folder, "violations.txt"), `${violations.join("\n")}\n${summary}\n`);
        return { violations, summary, folder: this.folder };
    }

    private describe({ rule, at, detail, life }: Violation): string {
        const story = life ? this.describeLife(life) : "no process";
        return `${rule} seed ${this.options.seed} +${(at / 1_000).toFixed(3)} ${detail} | ${story}`;
    }

    private describeLife({ name, pid, startedAt, signals, end }: EntryLife): string {
        const time = (at: Milliseconds) => `+${((at - this.checker.startedAt) / 1_000).toFixed(3)}`;
        const sent = signals.slice(0, 12).map(({ signal, at }) => `${signal} ${time(at)}`);
        const more = signals.length > sent.length ? `${signals.length - sent.length} more signals` : [];
        const ended = end ? `ended with ${end.code ?? end.signal} ${time(end.at)}` : "runs";
        return [`${name} pid ${pid} started ${time(startedAt)}`, ...sent, more, ended].flat().join(", ");
    }
}

/** Runs the soak of a seed. */
export const soak = (options: SoakOptions): Promise<SoakReport> => new Soak(options).run();
