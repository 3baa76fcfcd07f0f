/** Creates and connects the components of one entry, runs its background tasks, and drains it on a planned stop. */
import {
    Claims,
    Clock,
    ColdStart,
    Configuration,
    ConfigurationReaderDependencies,
    describeError,
    Endpoint,
    EndpointReport,
    EndpointTable,
    EnginePort,
    Gangs,
    Generations,
    Heartbeat,
    Holdings,
    Homes,
    InstanceRecord,
    InstanceRole,
    InstanceState,
    listConfiguration,
    Membership,
    Metrics,
    Milliseconds,
    nextOfAny,
    Operations,
    PartLog,
    PauseGuard,
    PeerConfiguration,
    PeerPort,
    PlatformHealth,
    PlatformPort,
    Random,
    randomIdentifier,
    relistConfiguration,
    RequestScheduler,
    Restrictions,
    RetryBudget,
    Router,
    ServiceCalls,
    ServicePort,
    sharedAbortController,
    Suspects,
    Timeline,
    watchConfiguration,
} from "../internal.js";

/** How long a stopping entry at least keeps serving requests, because a load balancer notices the stop with a delay. */
export const lameDuckDurationMilliseconds = 2_000;
const drainPollIntervalMilliseconds = 50;

/** Ports and utilities that the process provides to an entry. */
export interface EntryPorts {
    clock: Clock;
    random: Random;
    platform: PlatformPort;
    engines: EnginePort;
    services: ServicePort;
    peers: PeerPort;
    /** Creates a log whose lines begin with the part's name. */
    log: (part: string) => PartLog;
    timeline: Timeline;
}

/** Identity and addresses of an entry. */
export interface EntryIdentity {
    id: string;
    dataCentre: string;
    /** Address at which this entry serves its peers. */
    peersAddress: string;
    /** Addresses of peers to contact if the platform is unavailable at start. */
    seeds: readonly string[];
}

/** The core of one entry: all its components except the servers for callers, peers and operators. */
export class EntryNode {
    readonly incarnation: string;
    readonly configuration: Configuration;
    readonly restrictions: Restrictions;
    readonly health: PlatformHealth;
    readonly membership: Membership;
    readonly table: EndpointTable;
    readonly homes: Homes;
    readonly coldStart: ColdStart;
    readonly suspects: Suspects;
    readonly scheduler: RequestScheduler;
    readonly holdings: Holdings;
    readonly generations: Generations;
    readonly claims: Claims;
    readonly serviceCalls: ServiceCalls;
    readonly operations: Operations;
    readonly guard: PauseGuard;
    readonly metrics = new Metrics();
    /** Number of callers' requests in progress. */
    activeRequests = 0;
    private state = InstanceState.Live;
    private readonly self: { instance: string; incarnation: string; };
    private readonly retries: RetryBudget;
    private readonly stopping = sharedAbortController();
    private readonly log: PartLog;

    constructor(readonly identity: EntryIdentity, readonly ports: EntryPorts) {
        this.log = ports.log("entry");
        this.incarnation = randomIdentifier(ports.random);
        this.self = { instance: identity.id, incarnation: this.incarnation };
        this.health = new PlatformHealth(ports.clock);
        this.guard = new PauseGuard({ ...ports, log: this.log, refresh: since => this.refresh(since) });
        this.configuration = this.createConfiguration();
        this.restrictions = new Restrictions(this.configuration);
        this.membership = this.createMembership();
        this.table = this.createTable();
        this.homes = this.createHomes();
        this.coldStart = this.createColdStart();
        this.suspects = new Suspects(ports.clock);
        this.scheduler = this.createScheduler();
        this.holdings = this.createHoldings();
        this.retries = new RetryBudget(ports.clock);
        this.generations = this.createGenerations();
        this.claims = this.createClaims();
        this.serviceCalls = this.createServiceCalls();
        this.operations = this.createOperations();
    }

    /** Whether this entry has a complete configuration and an instance list. */
    get isReady(): boolean {
        return this.configuration.loaded && this.membership.instances().length > 0;
    }

    /** Whether load balancers should send requests to this entry: it is ready and not stopping. */
    get isAccepting(): boolean {
        return this.isReady && this.state === InstanceState.Live;
    }

    /** Starts the background tasks. */
    start(): void {
        const { signal } = this.stopping;
        const reader = this.readerDependencies();
        const { timeline } = this.ports;
        this.runTask("configuration list", relistConfiguration(reader, signal));
        this.runTask("configuration watch", watchConfiguration(reader, signal));
        this.runTask("instance list", this.membership.pollList(signal));
        this.runTask("endpoint table", this.followInstances(signal));
        this.runTask("restriction changes", this.followRestrictions(signal));
        this.runTask("home table", this.homes.maintain(signal));
        this.runTask("holding reclamation", this.holdings.reclaim(signal));
        this.runTask("expired claims", this.claims.collectExpired(signal));
        this.runTask("pause guard", this.guard.monitor(signal));
        this.runTask("placement queue", this.scheduler.wakeOnChange(signal));
        this.runTask("provisional outs", this.operations.writeProvisional(signal));
        timeline.record("entry", "started", undefined, `${this.identity.id}/${this.incarnation}`);
    }

    /**
     * Drains this entry for a planned stop: announces to the peers and the platform that it is leaving, leaves the home
     * table, and then waits until no request or claim is in progress. Resolves when all tasks have been stopped.
     */
    async drain(): Promise<void> {
        this.state = InstanceState.Leaving;
        this.ports.timeline.record("entry", "draining");
        this.membership.sendHeartbeatsNow();
        await this.announceLeaving();
        const lameDuckUntil = this.ports.clock.now() + lameDuckDurationMilliseconds;
        while (this.activeRequests > 0 || this.claims.runningCount > 0 || this.ports.clock.now() < lameDuckUntil) {
            await this.ports.clock.sleep(drainPollIntervalMilliseconds);
        }
        this.stop();
        this.ports.timeline.record("entry", "drained");
    }

    /** Stops all tasks at once, without draining. */
    stop(): void {
        this.stopping.abort();
        this.table.stop();
    }

    /** The heartbeat that this entry sends to its peers. */
    heartbeat(): Heartbeat {
        return {
            instance: this.identity.id,
            incarnation: this.incarnation,
            state: this.state,
            configurationRevision: this.configuration.loaded ? this.configuration.revision : 0,
            provisionalOuts: this.restrictions.pending(),
            suspects: this.suspects.collectUpdates(),
            homesVersion: this.homes.tableVersion,
            platformDown: this.health.isDown,
        };
    }

    /** Applies a heartbeat that a peer returned, and fetches the peer's configuration if it has a higher revision. */
    async syncFromPeer(address: string, heartbeat: Heartbeat): Promise<void> {
        this.applyHeartbeat(heartbeat);
        if (heartbeat.configurationRevision <= this.configuration.revision) {
            return;
        }
        const held = this.configuration.loaded ? this.configuration.revision : 0;
        const { page, loaded, instances } = await this.ports.peers.configurationSince(address, held);
        this.configuration.mergePeer(page, loaded);
        if (this.membership.instances().length === 0) {
            this.membership.applyList(instances);
        }
    }

    /** Applies the provisional outs and the suspects of a peer's heartbeat. */
    applyHeartbeat(heartbeat: Heartbeat): void {
        this.operations.applyOuts(heartbeat.provisionalOuts);
        this.suspects.merge(heartbeat.suspects);
    }

    /** The configuration changes after `revision` and the instance list, for a peer. */
    configurationSince(revision: number): PeerConfiguration {
        return {
            page: this.configuration.changesSince(revision),
            loaded: this.configuration.loaded,
            instances: this.membership.instances(),
        };
    }

    /** This entry's record for the instance list. */
    record(): InstanceRecord {
        return {
            id: this.identity.id,
            role: InstanceRole.Entry,
            dataCentre: this.identity.dataCentre,
            address: this.identity.peersAddress,
            incarnation: this.incarnation,
            state: this.state,
        };
    }

    /** The time on this entry's monotonic clock, for adapters. */
    now(): Milliseconds {
        return this.ports.clock.now();
    }

    private createConfiguration(): Configuration {
        const log = this.ports.log("configuration");
        return new Configuration((object, reason) =>
            log.error("A stored object is invalid and was ignored.", { name: object.name, reason })
        );
    }

    private createMembership(): Membership {
        return new Membership({
            ...this.ports,
            health: this.health,
            log: this.ports.log("membership"),
            self: () => this.record(),
            ownHeartbeat: () => this.heartbeat(),
            onHeartbeat: (address, heartbeat) => this.syncFromPeer(address, heartbeat),
            seeds: this.identity.seeds,
        });
    }

    private createTable(): EndpointTable {
        return new EndpointTable({
            ...this.ports,
            restrictions: this.restrictions,
            fetchReport: record => this.fetchReport(record),
            log: this.ports.log("endpoints"),
        });
    }

    private createHomes(): Homes {
        const { health, membership, self } = this;
        const isServing = () => this.isAccepting;
        return new Homes({ ...this.ports, health, membership, self, isServing, log: this.ports.log("homes") });
    }

    private createColdStart(): ColdStart {
        return new ColdStart({
            ...this.ports,
            homes: this.homes,
            membership: this.membership,
            self: this.identity.id,
            findEndpoint: id => this.table.get(id),
            profileFor: endpoint => this.profileFor(endpoint),
            isStateFresh: () => this.guard.isFresh(),
        });
    }

    private createScheduler(): RequestScheduler {
        const { table, coldStart, suspects, guard } = this;
        const router = new Router(this.ports.random);
        return new RequestScheduler({
            ...this.ports,
            table,
            coldStart,
            suspects,
            guard,
            router,
            mayReceiveWork: this.mayReceiveWork,
        });
    }

    private createHoldings(): Holdings {
        const { membership, table, self } = this;
        return new Holdings({ ...this.ports, membership, table, self, log: this.ports.log("holdings") });
    }

    private createGenerations(): Generations {
        const { scheduler, holdings, table, suspects, retries, guard, self } = this;
        const gangs = new Gangs({ ...this.ports, table, holdings, guard, self, mayReceiveWork: this.mayReceiveWork });
        const log = this.ports.log("generation");
        return new Generations({
            ...this.ports,
            scheduler,
            gangs,
            holdings,
            table,
            suspects,
            retries,
            self,
            log,
        });
    }

    private createClaims(): Claims {
        const { health, membership, self } = this;
        return new Claims({ ...this.ports, health, membership, self, log: this.ports.log("claims") });
    }

    private createServiceCalls(): ServiceCalls {
        const { scheduler, claims, retries, table } = this;
        return new ServiceCalls({ ...this.ports, scheduler, claims, retries, table });
    }

    private createOperations(): Operations {
        const { health, configuration, restrictions, membership } = this;
        const log = this.ports.log("operations");
        return new Operations({ ...this.ports, health, configuration, restrictions, membership, log });
    }

    private readonly mayReceiveWork = (endpoint: Endpoint): boolean => !this.restrictions.forbids(endpoint.record);

    /** Fetches the current state from the platform and the peers. Returns false if none of them responds. */
    private async refresh(since: Milliseconds): Promise<boolean> {
        const listed = listConfiguration(this.readerDependencies()).then(() => true, () => false);
        const [platformAnswered, peersAnswered] = await Promise.all([
            listed,
            this.membership.exchangeHeartbeats(since),
        ]);
        this.table.changed.notify();
        // Without peers, no other entry can have received an operator's order in the meantime.
        return platformAnswered || peersAnswered > 0 || this.membership.peers().length === 0;
    }

    private readerDependencies(): ConfigurationReaderDependencies {
        const { clock, random, platform, timeline } = this.ports;
        return {
            clock,
            random,
            platform,
            health: this.health,
            configuration: this.configuration,
            log: this.ports.log("configuration"),
            timeline,
        };
    }

    private runTask(task: string, work: Promise<void>): void {
        work.catch((error: unknown) => {
            this.log.error("A background task failed.", { task, reason: describeError(error) });
            this.ports.timeline.record("entry", "task-failed", undefined, `${task}: ${describeError(error)}`);
        });
    }

    private fetchReport(record: InstanceRecord): Promise<EndpointReport> {
        const { engines, services } = this.ports;
        return record.role === InstanceRole.Engine ? engines.report(record.address) : services.report(record.address);
    }

    private profileFor(endpoint: Endpoint) {
        const service = endpoint.record.service;
        return this.configuration.profileOf(service === undefined ? undefined : this.configuration.service(service));
    }

    private async followInstances(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.membership.changed.next(signal);
            this.table.applyInstanceList(this.membership.instances());
        }
    }

    private async followRestrictions(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await nextOfAny([this.restrictions.changed, this.configuration.changed], signal);
            this.table.changed.notify();
        }
    }

    private async announceLeaving(): Promise<void> {
        try {
            await this.ports.platform.announce(this.record());
            await this.homes.leave();
        }
        catch (error) {
            // The peers are informed of the stop by heartbeats, and they remove unresponsive members from the home table.
            this.log.warn("The stop could not be announced to the platform.", { reason: describeError(error) });
        }
    }
}
