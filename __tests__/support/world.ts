/**
 * Simulates entries, engines, services and a platform in one process on fake time. The fakes implement the ports with the
 * stand-ins' models and can be partitioned, frozen, stalled and killed. There is no network, and time advances in steps.
 */
import { vi } from "vitest";
import {
    absentVersion,
    ClaimProgress,
    Clock,
    EndpointReport,
    EngineFrame,
    EngineHolding,
    EngineLostError,
    EnginePort,
    EngineRequest,
    EntryNode,
    fingerprint,
    Heartbeat,
    InstanceRecord,
    InstanceRole,
    InstanceState,
    KeyHistory,
    ObjectKind,
    ObjectPage,
    PeerConfiguration,
    PeerLostError,
    PeerPort,
    PermitDecision,
    PermitRequest,
    PlatformError,
    PlatformPort,
    Random,
    seededRandom,
    ServiceLostError,
    ServicePort,
    ServiceRequest,
    ServiceResponse,
    silentLog,
    StoredObject,
    systemClock,
    Timeline,
    WriteOutcome,
} from "../../src/internal.js";
import { defaultEngineShape, EngineModel, EngineShape } from "../../src/standins/engineModel.js";
import { PlatformModel } from "../../src/standins/platformModel.js";
import { ServiceModel } from "../../src/standins/serviceModel.js";

const stepMilliseconds = 5;
const callLatencyMilliseconds = 1;
const peerTimeoutMilliseconds = 800;
const platformTimeoutMilliseconds = 1_000;
const dataCentres = ["north", "east", "south"];
const realImmediate = setImmediate;

/** Installs fake timers. Call it before creating the world. */
export const useFakeTime = (): void => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance", "Date"], now: 1_800_000_000_000 });
};

/** Freezes one process: everything that it awaits stays pending until it is thawed. */
export class Gate {
    private thawed: Promise<void> | undefined;
    private resolveThawed: () => void = () => {};

    get frozen(): boolean {
        return this.thawed !== undefined;
    }

    freeze(): void {
        this.thawed ??= new Promise(resolve => {
            this.resolveThawed = resolve;
        });
    }

    thaw(): void {
        this.thawed = undefined;
        this.resolveThawed();
    }

    async waitUntilThawed(): Promise<void> {
        while (this.thawed) {
            await this.thawed;
        }
    }

    /** Delays the outcome of `work` while the process is frozen. */
    async holdWhileFrozen<Result>(work: Promise<Result>): Promise<Result> {
        try {
            return await work;
        }
        finally {
            await this.waitUntilThawed();
        }
    }
}

/** One engine and the faults of its connections. */
export class FakeEngine {
    readonly model: EngineModel;
    readonly gate = new Gate();
    /** Incremented to stall all open connections; new connections work. */
    stallCount = 0;
    /** Number of next releases that are lost. */
    lostReleases = 0;
    /** Number of next acceptances that are lost after the stream has started. */
    lostAcceptances = 0;
    /** Whether each frame is sent a second time after its successor, as by a delayed connection. */
    repeatsFrames = false;
    /** Request, entry and time of every started run. */
    readonly starts: { requestId: string; entry: string; at: number; }[] = [];

    constructor(readonly record: InstanceRecord, shape: EngineShape, random: Random) {
        this.model = new EngineModel(shape, systemClock, random);
        record.incarnation = this.model.incarnation;
    }
}

/** One replica of the plain service and its faults. */
export class FakeService {
    readonly model: ServiceModel;
    readonly gate = new Gate();
    lostAnswers = 0;
    refusesConnections = false;
    readonly starts: { requestId: string; entry: string; at: number; }[] = [];

    constructor(readonly record: InstanceRecord, random: Random, runs: Map<string, number>) {
        const shape = { workMilliseconds: 10, concurrency: 64 };
        this.model = new ServiceModel(shape, systemClock, random, runs);
    }
}

/** One entry with its gate and its faults. */
export class FakeEntry {
    readonly gate = new Gate();
    readonly timeline: Timeline;
    node: EntryNode;
    alive = true;
    stopped = false;
    platformCut = false;
    /** Set when a planned stop aborts running requests. */
    cutsAtStop = false;
    /** Set by tests that disable deadlines. */
    ignoresDeadlines = false;
    frozenUntil = -Infinity;

    constructor(readonly id: string, world: World, index: number) {
        this.timeline = new Timeline(id, systemClock);
        const gate = this.gate;
        const clock: Clock = {
            now: systemClock.now,
            wallTime: systemClock.wallTime,
            sleep: (duration, signal) => gate.holdWhileFrozen(systemClock.sleep(duration, signal)),
            after: (duration, action) =>
                systemClock.after(duration, () => void gate.holdWhileFrozen(Promise.resolve()).then(action)),
        };
        this.node = new EntryNode(
            { id, dataCentre: dataCentres[index % 3]!, peersAddress: id, seeds: world.seedsOf(id) },
            {
                clock,
                random: seededRandom(world.nextSeed()),
                platform: new FakePlatformPort(world, this),
                engines: new FakeEnginePort(world, this),
                services: new FakeServicePort(world, this),
                peers: new FakePeerPort(world, this),
                log: () => silentLog,
                timeline: this.timeline,
            },
        );
    }
}

class FakePlatformPort implements PlatformPort {
    constructor(private readonly world: World, private readonly entry: FakeEntry) {}

    read(kind: ObjectKind, name: string): Promise<StoredObject | undefined> {
        return this.call(() => this.world.platform.read(kind, name));
    }

    list(kinds: readonly ObjectKind[]): Promise<ObjectPage> {
        return this.call(() => this.world.platform.list(kinds));
    }

    write(kind: ObjectKind, name: string, expectedVersion: number, value: unknown): Promise<WriteOutcome> {
        return this.callWithLostAnswers(() =>
            this.world.platform.write(kind, name, expectedVersion, structuredClone(value))
        );
    }

    remove(kind: ObjectKind, name: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.callWithLostAnswers(() => this.world.platform.write(kind, name, expectedVersion, undefined));
    }

    async watch(kinds: readonly ObjectKind[], revision: number, signal: AbortSignal): Promise<ObjectPage> {
        await this.call(() => undefined);
        const page = await this.entry.gate.holdWhileFrozen(this.world.platform.watch(kinds, revision, 5_000, signal));
        this.checkReachable();
        return structuredClone(page);
    }

    instances(): Promise<InstanceRecord[]> {
        return this.call(() => this.world.platform.instances());
    }

    announce(record: InstanceRecord): Promise<void> {
        return this.call(() => this.world.platform.announce({ ...record }));
    }

    private checkReachable(): void {
        if (this.world.platform.faults.down || this.entry.platformCut) {
            throw new PlatformError("the platform is down", false);
        }
    }

    private call<Result>(work: () => Result): Promise<Result> {
        return this.entry.gate.holdWhileFrozen(this.attempt(work));
    }

    private async attempt<Result>(work: () => Result): Promise<Result> {
        const delayMilliseconds = this.world.platform.faults.slowMilliseconds;
        if (delayMilliseconds >= platformTimeoutMilliseconds) {
            await systemClock.sleep(platformTimeoutMilliseconds);
            // The write takes effect later, after the caller has timed out.
            void systemClock.sleep(delayMilliseconds - platformTimeoutMilliseconds).then(work).catch(() => undefined);
            throw new PlatformError("the platform did not respond in time", true);
        }
        await systemClock.sleep(callLatencyMilliseconds + delayMilliseconds);
        this.checkReachable();
        return structuredClone(work());
    }

    private callWithLostAnswers(work: () => WriteOutcome): Promise<WriteOutcome> {
        return this.call(() => {
            const outcome = work();
            if (this.world.chance(this.world.platform.faults.lostResponseShare)) {
                throw new PlatformError("the response was lost", true);
            }
            return outcome;
        });
    }
}

class FakeEnginePort implements EnginePort {
    constructor(private readonly world: World, private readonly entry: FakeEntry) {}

    report(address: string): Promise<EndpointReport> {
        const service = this.world.services.find(candidate => candidate.record.address === address);
        return service
            ? this.entry.gate.holdWhileFrozen(fetchServiceReport(service))
            : this.call(address, engine => engine.model.report());
    }

    async generate(
        address: string,
        request: EngineRequest,
        ...[, signal]: [AbortSignal, AbortSignal]
    ): Promise<AsyncIterable<EngineFrame>> {
        const engine = this.world.engine(address);
        const at = systemClock.now();
        const frames = await this.call(address, ({ model, starts }) => {
            if (signal.aborted) {
                throw new EngineLostError("the caller has disconnected", true);
            }
            const requestId = request.streamId.split(".")[0]!;
            const before = model.runs.get(requestId) ?? 0;
            const opened = model.open(request);
            if ((model.runs.get(requestId) ?? 0) > before) {
                starts.push({ requestId, entry: this.entry.id, at });
            }
            return opened;
        });
        if (engine.lostAcceptances > 0) {
            engine.lostAcceptances--;
            throw new EngineLostError("the acceptance was lost", true);
        }
        return this.read(engine, frames, signal);
    }

    async resume(
        address: string,
        streamId: string,
        offset: number,
        ...[, signal]: [AbortSignal, AbortSignal]
    ): Promise<AsyncIterable<EngineFrame>> {
        const frames = await this.call(address, engine => engine.model.resume(streamId, offset));
        return this.read(this.world.engine(address), frames, signal);
    }

    release(address: string, holdingId: string): Promise<void> {
        return this.call(address, engine => {
            if (engine.lostReleases > 0) {
                engine.lostReleases--;
                throw new EngineLostError("the release was lost", true);
            }
            engine.model.release(holdingId);
        });
    }

    reserve(address: string, holding: EngineHolding): Promise<void> {
        return this.call(address, engine => engine.model.reserve({ ...holding }));
    }

    holdings(address: string): Promise<EngineHolding[]> {
        return this.call(address, engine => engine.model.holdings());
    }

    private call<Result>(address: string, work: (engine: FakeEngine) => Result): Promise<Result> {
        const engine = this.world.engine(address);
        return this.entry.gate.holdWhileFrozen(
            callProcess(
                engine.gate,
                () => work(engine),
                () => new EngineLostError("the engine did not respond in time", true),
            ),
        );
    }

    private async *read(
        engine: FakeEngine,
        frames: AsyncGenerator<EngineFrame, void>,
        signal: AbortSignal,
    ): AsyncGenerator<EngineFrame, void> {
        const opened = engine.stallCount;
        let earlier: EngineFrame | undefined;
        const aborted = new Promise<undefined>(resolve => signal.addEventListener("abort", () => resolve(undefined)));
        try {
            while (!signal.aborted) {
                const next = await this.entry.gate.holdWhileFrozen(Promise.race([frames.next(), aborted]));
                await engine.gate.waitUntilThawed();
                if (engine.stallCount > opened) {
                    await aborted;
                    return;
                }
                if (!next || next.done) {
                    return;
                }
                yield next.value;
                if (engine.repeatsFrames && earlier) {
                    yield earlier;
                }
                earlier = next.value;
            }
        }
        finally {
            void frames.return();
        }
    }
}

/** Calls a process that may be frozen: the call runs once the process is thawed, but the caller times out before. */
const callProcess = async <Result>(gate: Gate, work: () => Result, timeoutError: () => Error): Promise<Result> => {
    await systemClock.sleep(callLatencyMilliseconds);
    const answer = gate.waitUntilThawed().then(work);
    answer.catch(() => {});
    const timeout = systemClock.sleep(peerTimeoutMilliseconds).then(() => {
        throw timeoutError();
    });
    timeout.catch(() => {});
    return Promise.race([answer, timeout]);
};

const fetchServiceReport = (service: FakeService): Promise<EndpointReport> =>
    callProcess(service.gate, () => {
        if (!service.model.isUp) {
            throw new ServiceLostError("the service is down", false);
        }
        return service.model.report();
    }, () => new ServiceLostError("the service did not respond in time", true));

class FakeServicePort implements ServicePort {
    constructor(private readonly world: World, private readonly entry: FakeEntry) {}

    report(address: string): Promise<EndpointReport> {
        return this.entry.gate.holdWhileFrozen(fetchServiceReport(this.world.service(address)));
    }

    call(address: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse> {
        return this.entry.gate.holdWhileFrozen(this.attempt(this.world.service(address), request, signal));
    }

    private async attempt(
        service: FakeService,
        request: ServiceRequest,
        signal: AbortSignal,
    ): Promise<ServiceResponse> {
        await systemClock.sleep(callLatencyMilliseconds);
        if (signal.aborted) {
            throw new ServiceLostError("aborted before the connection", false);
        }
        if (!service.model.isUp || service.refusesConnections) {
            throw new ServiceLostError("the connection was refused", false);
        }
        const aborted = new Promise<never>((...[, reject]) => {
            signal.addEventListener("abort", () => reject(new ServiceLostError("aborted", true)));
        });
        return Promise.race([this.run(service, request), aborted]);
    }

    private async run(service: FakeService, request: ServiceRequest): Promise<ServiceResponse> {
        const at = systemClock.now();
        await service.gate.waitUntilThawed();
        const { lifetime } = service.model;
        service.starts.push({ requestId: request.requestId, entry: this.entry.id, at });
        const answer = await service.model.call(request);
        if (service.lostAnswers > 0) {
            service.lostAnswers--;
            throw new ServiceLostError("the response was lost", true);
        }
        if (lifetime.aborted) {
            throw new ServiceLostError("the service died", true);
        }
        return answer;
    }
}

class FakePeerPort implements PeerPort {
    constructor(private readonly world: World, private readonly entry: FakeEntry) {}

    heartbeat(address: string, heartbeat: Heartbeat): Promise<Heartbeat> {
        return this.call(address, node => {
            node.applyHeartbeat(heartbeat);
            return node.heartbeat();
        });
    }

    configurationSince(address: string, revision: number): Promise<PeerConfiguration> {
        return this.call(address, node => node.configurationSince(revision));
    }

    requestPermit(address: string, request: PermitRequest): Promise<PermitDecision> {
        return this.call(address, node => node.coldStart.handleRequest(request));
    }

    returnPermit(address: string, request: PermitRequest): Promise<void> {
        return this.call(address, node => node.coldStart.handleReturn(request));
    }

    claimProgress(address: string, ...[, nonce]: [string, string]): Promise<ClaimProgress> {
        return this.call(address, node => node.claims.progress(nonce));
    }

    keyHistory(address: string, claimName: string): Promise<KeyHistory> {
        return this.call(address, node => node.claims.keyHistory(claimName));
    }

    liveHoldings(address: string, holdingIds: string[]): Promise<{ incarnation: string; live: string[]; }> {
        return this.call(
            address,
            node => ({ incarnation: node.incarnation, live: node.holdings.filterLive(holdingIds) }),
        );
    }

    private call<Result>(address: string, work: (node: EntryNode) => Result): Promise<Result> {
        const peer = this.world.entries.find(entry => entry.id === address && entry.alive);
        if (!peer || this.world.isPartitioned(this.entry.id, address)) {
            return this.entry.gate.holdWhileFrozen(Promise.reject(new PeerLostError("the peer is unreachable")));
        }
        const answer = callProcess(
            peer.gate,
            () => structuredClone(work(peer.node)),
            () => new PeerLostError("the peer did not respond in time"),
        );
        return this.entry.gate.holdWhileFrozen(answer);
    }
}

/** The seed and size of a world. */
export interface WorldOptions {
    seed: number;
    entries?: number;
    engines?: number;
    services?: number;
    shape?: Partial<EngineShape>;
    /** Called with each entry before it starts, to disable single mechanisms. */
    prepare?: (entry: FakeEntry) => void;
}

/** Small sizes, so that scenarios reach every limit. */
const smallShape: EngineShape = {
    ...defaultEngineShape,
    memoryTokens: 4_000,
    stepMilliseconds: 10,
    tokensPerStep: 200,
    startWarm: true,
};

const initialObjects: [ObjectKind, string, unknown][] = [
    [ObjectKind.Profile, "models", { shortPromptTokens: 500, longTokensInFlight: 3_000, maximumAnswerTokens: 200 }],
    [ObjectKind.Profile, "bookings", { nonIdempotentRoutes: [{ method: "POST", path: "/places" }] }],
    [ObjectKind.Service, "standin", { kind: "model", profile: "models", gangSize: 2 }],
    [ObjectKind.Service, "bookings", { kind: "plain", profile: "bookings" }],
    [ObjectKind.Customer, "hartwell", { keyHashes: [fingerprint("hartwell")], weight: 1 }],
];

/** The entries, their environment, and the faults between them. */
export class World {
    readonly platform = new PlatformModel(systemClock);
    readonly engines: FakeEngine[] = [];
    readonly services: FakeService[] = [];
    readonly entries: FakeEntry[] = [];
    /** Number of runs of each idempotency key over all replicas of the plain service. */
    readonly runs = new Map<string, number>();
    private readonly random: Random;
    private readonly partitionedPairs = new Set<string>();
    private createdEntryCount = 0;

    constructor(readonly plan: WorldOptions) {
        this.random = seededRandom(plan.seed);
        for (const [kind, name, value] of initialObjects) {
            this.platform.write(kind, name, absentVersion, value);
        }
        for (let index = 0; index < (plan.engines ?? 4); index++) {
            this.addEngine(index);
        }
        for (let index = 0; index < (plan.services ?? 2); index++) {
            this.addService(index);
        }
        for (let index = 0; index < (plan.entries ?? 3); index++) {
            this.addEntry();
        }
    }

    nextSeed(): number {
        return Math.floor(this.random.next() * 2 ** 31);
    }

    chance(share: number): boolean {
        return share > 0 && this.random.next() < share;
    }

    engine(address: string): FakeEngine {
        return this.engines.find(candidate => candidate.record.address === address)!;
    }

    service(address: string): FakeService {
        return this.services.find(candidate => candidate.record.address === address)!;
    }

    /** IDs of the seed peers in an entry's settings. */
    seedsOf(id: string): string[] {
        return this.entries.map(entry => entry.id).filter(other => other !== id);
    }

    /** Starts a new entry, or a new process for the entry with the given ID. */
    addEntry(id = `entry-${++this.createdEntryCount}`): FakeEntry {
        const entry = new FakeEntry(id, this, Number(id.split("-")[1]) - 1);
        const previousIndex = this.entries.findIndex(candidate => candidate.id === id);
        if (previousIndex >= 0) {
            this.entries.splice(previousIndex, 1);
        }
        this.entries.push(entry);
        this.plan.prepare?.(entry);
        entry.node.start();
        return entry;
    }

    /** Kills an entry's process. */
    kill(entry: FakeEntry): void {
        entry.alive = false;
        entry.gate.freeze();
        entry.node.stop();
    }

    freeze(entry: FakeEntry): void {
        entry.gate.freeze();
    }

    thaw(entry: FakeEntry): void {
        entry.frozenUntil = systemClock.now();
        entry.gate.thaw();
    }

    /** Creates or heals a network partition between two entries. */
    setPartitioned(first: string, second: string, isPartitioned: boolean): void {
        for (const pair of [`${first}/${second}`, `${second}/${first}`]) {
            if (isPartitioned) {
                this.partitionedPairs.add(pair);
            }
            else {
                this.partitionedPairs.delete(pair);
            }
        }
    }

    isPartitioned(first: string, second: string): boolean {
        return this.partitionedPairs.has(`${first}/${second}`);
    }

    /** Ends all faults, except for killed entries. */
    heal(): void {
        Object.assign(this.platform.faults, {
            down: false,
            slowMilliseconds: 0,
            lostResponseShare: 0,
            silentWatches: false,
        });
        this.partitionedPairs.clear();
        for (const engine of this.engines) {
            engine.gate.thaw();
            engine.lostReleases = 0;
            engine.model.revive();
        }
        for (const service of this.services) {
            service.gate.thaw();
            service.refusesConnections = false;
            if (!service.model.isUp) {
                service.model.revive();
            }
        }
        for (const entry of this.entries) {
            entry.platformCut = false;
            if (entry.alive && entry.gate.frozen) {
                this.thaw(entry);
            }
        }
    }

    /** Advances fake time in steps. */
    async advance(milliseconds: number): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
            vi.advanceTimersByTime(stepMilliseconds);
            await new Promise(resolve => realImmediate(resolve));
        }
    }

    /** Advances fake time until `condition` holds, by at most `limit` milliseconds; returns whether it holds. */
    async advanceUntil(condition: () => boolean, limit: number): Promise<boolean> {
        for (let passed = 0; passed < limit && !condition(); passed += stepMilliseconds) {
            await this.advance(stepMilliseconds);
        }
        return condition();
    }

    /** Advances fake time until the entries have discovered one another and the endpoints, and homes are assigned. */
    settle(): Promise<void> {
        return this.advance(6_000);
    }

    /** Kills every entry. */
    close(): void {
        for (const entry of this.entries) {
            this.kill(entry);
        }
    }

    private addEngine(index: number): void {
        const record = this.record(`engine-${index + 1}`, InstanceRole.Engine, index, "standin");
        this.engines.push(new FakeEngine(record, { ...smallShape, ...this.plan.shape }, this.random));
        this.platform.announce(record);
    }

    private addService(index: number): void {
        const record = this.record(`bookings-${index + 1}`, InstanceRole.PlainService, index, "bookings");
        this.services.push(new FakeService(record, this.random, this.runs));
        this.platform.announce(record);
    }

    private record(id: string, role: InstanceRole, index: number, service: string): InstanceRecord {
        // Engines are assigned to data centres in pairs, so that each data centre can form a gang.
        const dataCentre = dataCentres[(role === InstanceRole.Engine ? Math.floor(index / 2) : index) % 3]!;
        return { id, role, dataCentre, address: id, incarnation: "", state: InstanceState.Live, service };
    }
}
