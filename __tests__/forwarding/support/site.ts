/** A small site on loopback for tests: the store, replicas and entries in one process. */
import http from "node:http";
import net from "node:net";
import { announcesSlowReaders } from "../../../platform/contracts.js";
import { CrashObjects } from "../../../platform/crashObjects.js";
import { platformWire } from "../../../platform/forwardingWire.js";
import { QuarantineObjects } from "../../../platform/quarantineObjects.js";
import { ReplicaOrders } from "../../../platform/replicaOrders.js";
import { ReplicaServer } from "../../../platform/standins/replicaServer.js";
import { Refusal, type StoreListener, StoreServer } from "../../../platform/standins/storeServer.js";
import { StoreClient } from "../../../platform/storeClient.js";
import type { ForwardingSettings } from "../../../src/adapters/forwarding/entrySettings.js";
import { ForwardingEntry } from "../../../src/adapters/forwarding/forwardingEntry.js";
import { defaultSchedulingSettings } from "../../../src/core/scheduling/schedulingPolicy.js";
import type { EndpointPort } from "../../../src/ports/forwardingPorts.js";
import { StateKind } from "../../../src/ports/statePort.js";
import { PassEngine } from "../../../src/standins/passEngine.js";
import { type EngineProfile, PlacementPolicy } from "../../../src/types/routing.js";
import { splitAddress } from "../../../src/utils/address.js";
import { systemClock } from "../../../src/utils/clock.js";
import { LogLevel, type PartLog } from "../../../src/utils/log.js";
import { seededRandom } from "../../../src/utils/random.js";

/** A fast engine for tests: a pass with one sequence takes 4 ms. */
export const quickEngine: EngineProfile = {
    slots: 4,
    memoryTokens: 100_000,
    stepTime: 1,
    stepTimePerRequest: 0.05,
    stepTimePerThousandTokens: 0.01,
    readTokensPerSecond: 1_000_000,
    readTimePerMillionPairs: 0.01,
    chunkTokens: 2_048,
    stepsPerPass: 4,
    hopTime: 0.1,
    usual: undefined,
};

/** An engine in the format of the platform. */
export const toPlatformEngine = (engine: EngineProfile) => ({
    slots: engine.slots,
    kv_capacity: engine.memoryTokens,
    step_ms: engine.stepTime,
    per_seq_ms: engine.stepTimePerRequest,
    context_per_k: engine.stepTimePerThousandTokens,
    read_per_s: engine.readTokensPerSecond,
    pairs_per_m: engine.readTimePerMillionPairs,
    chunk: engine.chunkTokens,
    stride: engine.stepsPerPass,
    hop_ms: engine.hopTime,
});

export const callerKey = "key-of-north";

/** Configuration of the default site in the format of the platform; `changes` override fields of the named route. */
export const operatorConfiguration = (version: number, changes: Record<string, object> = {}) => {
    const route = (name: string, fields: object) => ({
        name,
        hostname: "desk.example",
        timeout_ms: 2_000,
        target_latency_ms: 300,
        priority: 1,
        attempts: 2,
        public: false,
        ...fields,
        ...changes[name],
    });
    return {
        version,
        routes: [
            route("lookups", { path_prefix: "/lookups/", kind: "idempotent", service: "bookings" }),
            route("places", { path_prefix: "/places/", kind: "non_idempotent", service: "bookings", attempts: 1 }),
            route("pairs", { path_prefix: "/pairs/", kind: "non_idempotent", service: "bookings" }),
            route("replies", {
                path_prefix: "/replies/",
                kind: "streaming",
                service: "models",
                resumable: true,
                target_gap_ms: 200,
            }),
            route("once", { path_prefix: "/once/", kind: "streaming", service: "models", target_gap_ms: 200 }),
        ],
        services: [
            { name: "bookings", health_path: "/healthz", max_connections: 96, cold_per_s: 0 },
            {
                name: "models",
                health_path: "/healthz",
                max_connections: 96,
                cold_per_s: 20,
                engine: toPlatformEngine(quickEngine),
            },
        ],
        limits: { max_header_bytes: 4_096, max_body_bytes: 20_000, header_timeout_ms: 500, idle_timeout_ms: 5_000 },
        tenants: [{ name: "north", api_keys: [callerKey] }],
    };
};

/** A line that an entry logged. */
export interface LoggedLine {
    entry: string;
    message: string;
    fields: Record<string, unknown>;
}

/** A running entry of the site, and its addresses. */
export interface SiteEntry {
    entry: ForwardingEntry;
    door: StoreListener;
    callers: string;
    readiness: string;
    metrics: string;
    peers: string;
}

/** Options for starting an entry. */
export interface StartOptions {
    /** How the store fails its calls from the start. */
    refusal?: Refusal;
    /** Delay of the store's responses to it, in milliseconds. */
    delay?: number;
    /** Address for messages of other entries. */
    peers?: string;
    /** Seed entries in its settings. */
    seeds?: string[];
    /** Whether the whole site starts for the first time. */
    firstStart?: boolean;
    /** Grace period of a planned stop. */
    graceSeconds?: number;
    /** Connects to replicas. */
    endpointPort?: EndpointPort;
    /** Memory of its instance. */
    memoryMegabytes?: number;
    /** Contracts that the platform lists in its settings. */
    contracts?: string[];
    /** Whether it finds no other entries, so that it hears none. */
    isAlone?: boolean;
}

/** A client of the store that finds no entries. */
class StoreClientWithoutEntries extends StoreClient {
    override list: StoreClient["list"] = async (kind, signal) => {
        const snapshot = await super.list(kind, signal);
        return kind === StateKind.Entries ? { ...snapshot, items: [] } : snapshot;
    };
}

/** The site: one store with its replicas and entries. */
export class Site {
    readonly store = new StoreServer(systemClock);
    readonly replicas = new Map<string, ReplicaServer>();
    readonly engines = new Map<string, PassEngine>();
    readonly entries: SiteEntry[] = [];
    readonly lines: LoggedLine[] = [];

    /** Starts a replica and lists it as ready. */
    async replica(
        id: string,
        service: string,
        dataCentre = "north-a",
        engineProfile = quickEngine,
    ): Promise<ReplicaServer> {
        const engine = service === "models" ? new PassEngine(engineProfile, systemClock) : undefined;
        const replica = new ReplicaServer(id, engine, address => this.engineAt(address));
        await replica.start();
        if (engine) {
            this.engines.set(id, engine);
        }
        this.replicas.set(id, replica);
        this.record(id, { service, zone: dataCentre });
        return replica;
    }

    /** Writes the record of a replica to the store. */
    record(id: string, fields: object): void {
        const present = this.store.model.get("servers", id)?.value as object | undefined;
        this.store.model.put("servers", id, {
            address: this.replicas.get(id)?.address,
            version: "v1",
            slots: 6,
            state: "ready",
            cold_remaining_ms: 0,
            sequence: 1,
            born: 1,
            ...present,
            ...fields,
        });
    }

    configure(version: number, changes: Record<string, object> = {}): void {
        this.store.model.put("config", "main", operatorConfiguration(version, changes));
    }

    /** Starts an entry; waits until it is ready unless `wait` is false. */
    async start(id: string, wait = true, options: StartOptions = {}): Promise<SiteEntry> {
        const door = await this.store.openListener();
        door.refusal = options.refusal ?? Refusal.None;
        door.delay = options.delay ?? 0;
        const settings: ForwardingSettings = {
            instance: {
                id,
                dataCentre: "north-a",
                processors: 1,
                memoryMegabytes: options.memoryMegabytes ?? 0,
                maximumDescriptors: 4_200,
            },
            contracts: { names: options.contracts ?? [] },
            listen: {
                callers: "127.0.0.1:0",
                readiness: "127.0.0.1:0",
                peers: options.peers ?? "127.0.0.1:0",
                metrics: "127.0.0.1:0",
            },
            peers: { seeds: options.seeds ?? [], firstStart: options.firstStart ?? false },
            store: { address: door.address },
            repeats: { share: 0.2, windowSeconds: 10, extra: 100 },
            cold: { factor: 1.5, extra: 5 },
            placement: { policy: PlacementPolicy.Predicted, shared: true },
            scheduling: defaultSchedulingSettings,
            stop: { graceSeconds: options.graceSeconds ?? 4 },
            log: { level: LogLevel.Info },
        };
        const entry = new ForwardingEntry(settings, {
            clock: systemClock,
            random: seededRandom(1),
            store: new (options.isAlone ? StoreClientWithoutEntries : StoreClient)(door.address, systemClock),
            crashStore: new CrashObjects(door.address, systemClock),
            quarantineStore: new QuarantineObjects(door.address, systemClock),
            memory: new ReplicaOrders(systemClock, this.partLog(id, "memory")),
            wire: platformWire,
            expectsSlowReaders: announcesSlowReaders,
            endpointPort: options.endpointPort,
            log: part => this.partLog(id, part),
        });
        const running = { entry, door, ...await entry.start() };
        this.entries.push(running);
        if (wait) {
            await until(() => entry.isReady);
        }
        return running;
    }

    async close(): Promise<void> {
        await Promise.all(this.entries.map(({ entry }) => entry.close()));
        await Promise.all([...this.replicas.values()].map(replica => replica.close()));
        await this.store.close();
    }

    /** Number of runs of a request, over all replicas. */
    runs(requestId: string): number {
        return [...this.replicas.values()].reduce((sum, replica) => sum + (replica.runs.get(requestId) ?? 0), 0);
    }

    private engineAt(address: string): PassEngine | undefined {
        for (const [id, replica] of this.replicas) {
            if (replica.address === address) {
                return this.engines.get(id);
            }
        }
        return undefined;
    }

    private partLog(entry: string, part: string): PartLog {
        const recordLine = (message: string, fields: Record<string, unknown> = {}) => {
            this.lines.push({ entry, message: `${part}: ${message}`, fields });
        };
        return { info: recordLine, warn: recordLine, error: recordLine };
    }
}

/** Waits until `holds` returns true, for at most five seconds. */
export const until = async (holds: () => boolean): Promise<void> => {
    const timeout = 5_000;
    for (const startedAt = Date.now(); !holds();) {
        if (Date.now() - startedAt > timeout) {
            throw new Error("the condition did not hold within five seconds");
        }
        await systemClock.sleep(5);
    }
};

/** A response as a caller receives it. */
export interface CallerResponse {
    status: number;
    headers: http.IncomingHttpHeaders;
    body: string;
    /** Whether the response was complete by its framing. */
    whole: boolean;
    took: number;
}

let nextRequest = 0;

/** Options of a request. */
export interface CallerOptions {
    id?: string;
    host?: string;
    method?: string;
    headers?: Record<string, string>;
    body?: string;
    signal?: AbortSignal;
}

/** Sends a request as a caller does. Rejects only when no response starts. */
export const call = (address: string, target: string, options: CallerOptions = {}): Promise<CallerResponse> =>
    new Promise((resolve, reject) => {
        const startedAt = Date.now();
        const request = http.request({
            ...splitAddress(address),
            method: options.method ?? "POST",
            path: target,
            agent: false,
            signal: options.signal,
            headers: {
                host: options.host ?? "desk.example",
                "dandelionramp-request-id": options.id ?? `request-${nextRequest++}`,
                authorization: `Bearer ${callerKey}`,
                "dandelionramp-deadline-ms": "2000",
                ...options.headers,
            },
        });
        request.on("error", reject);
        request.on("response", response => {
            const chunks: Buffer[] = [];
            const finish = (whole: boolean) =>
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString("utf8"),
                    whole,
                    took: Date.now() - startedAt,
                });
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("end", () => finish(true));
            response.on("error", () => finish(false));
        });
        request.end(options.body ?? "");
    });

/** Sends raw bytes and resolves with everything received until the connection closes. */
export const sendRaw = (address: string, bytes: string, closeAfter = 2_500): Promise<string> =>
    new Promise(resolve => {
        const { host, port } = splitAddress(address);
        const socket = net.connect(port, host);
        let text = "";
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
        });
        socket.on("error", () => {});
        socket.on("close", () => resolve(text));
        socket.write(bytes, "latin1");
        setTimeout(() => socket.destroy(), closeAfter).unref();
    });

/** Request headers of a generation. */
export const generation = (promptTokens: number, answerTokens: number): Record<string, string> => ({
    "dandelionramp-token-count": `${promptTokens},${answerTokens}`,
    "dandelionramp-model": "m",
});

/** Identifiers of the events in the body of a stream. */
export const eventIds = (body: string): number[] => [...body.matchAll(/^id: (\d+)$/gm)].map(found => Number(found[1]));
