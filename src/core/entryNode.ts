/** One entry: its parts wired together, its tasks, and its planned stop. */
import {
    Claims,
    Clock,
    ColdStart,
    Configuration,
    ConfigurationReaderParts,
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

/** How long a stopping entry still takes what a lagging balancer sends. */
export const lameDuckMilliseconds = 2_000;
const drainLookMilliseconds = 50;

/** What the world outside gives an entry. */
export interface EntryPorts {
    clock: Clock;
    random: Random;
    platform: PlatformPort;
    engines: EnginePort;
    services: ServicePort;
    peers: PeerPort;
    /** A log whose lines begin with the part's name. */
    log: (part: string) => PartLog;
    timeline: Timeline;
}

/** Who an entry is. */
export interface EntryIdentity {
    id: string;
    dataCentre: string;
    /** Address of its peer port. */
    peersAddress: string;
    /** Peers to learn from when the platform is down at start. */
    seeds: readonly string[];
}

/** The core of one entry. */
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
    readonly placer: RequestScheduler;
    readonly holdings: Holdings;
    readonly generations: Generations;
    readonly claims: Claims;
    readonly serviceCalls: ServiceCalls;
    readonly operations: Operations;
    readonly guard: PauseGuard;
    readonly metrics = new Metrics();
    /** Requests of callers that are being served. */
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
        this.configuration = this.newConfiguration();
        this.restrictions = new Restrictions(this.configuration);
        this.membership = this.newMembership();
        this.table = this.newTable();
        this.homes = this.newHomes();
        this.coldStart = this.newColdStart();
        this.suspects = new Suspects(ports.clock);
        this.placer = this.newPlacer();
        this.holdings = this.newHoldings();
        this.retries = new RetryBudget(ports.clock);
        this.generations = this.newGenerations();
        this.claims = this.newClaims();
        this.serviceCalls = this.newServiceCalls();
        this.operations = this.newOperations();
    }

    /** Whether this entry knows a whole configuration and an instance list. */
    get ready(): boolean {
        return this.configuration.loaded && this.membership.instances().length > 0;
    }

    /** Whether callers should be sent here: ready and not stopping. */
    get accepting(): boolean {
        return this.ready && this.state === InstanceState.Live;
    }

    /** Starts every task. */
    start(): void {
        const { signal } = this.stopping;
        const reader = this.readerParts();
        const { timeline } = this.ports;
        this.run("the list of the configuration", relistConfiguration(reader, signal));
        this.run("the watch of the configuration", watchConfiguration(reader, signal));
        this.run("the instance list", this.membership.followList(signal));
        this.run("following the list", this.followList(signal));
        this.run("following the outs", this.followRestrictions(signal));
        this.run("the home table", this.homes.follow(signal));
        this.run("reclaiming", this.holdings.reclaim(signal));
        this.run("collecting claims", this.claims.collect(signal));
        this.run("the pause guard", this.guard.watch(signal));
        this.run("waking", this.placer.wakeOnChange(signal));
        this.run("provisional outs", this.operations.writeProvisional(signal));
        timeline.record("entry", "started", undefined, `${this.identity.id}/${this.incarnation}`);
    }

    /**
     * Stops as planned: off the balancer's and the peers' lists first, then out of the home table, then as long as
     * requests run. Resolves when none is left.
     */
    async drain(): Promise<void> {
        this.state = InstanceState.Leaving;
        this.ports.timeline.record("entry", "draining");
        this.membership.hurry();
        await this.announceLeaving();
        const lameDuckUntil = this.ports.clock.now() + lameDuckMilliseconds;
        while (this.activeRequests > 0 || this.claims.count > 0 || this.ports.clock.now() < lameDuckUntil) {
            await this.ports.clock.sleep(drainLookMilliseconds);
        }
        this.stop();
        this.ports.timeline.record("entry", "drained");
    }

    /** Ends every task at once, as a death would. */
    stop(): void {
        this.stopping.abort();
        this.table.stop();
    }

    /** What this entry tells its peers. */
    heartbeat(): Heartbeat {
        return {
            instance: this.identity.id,
            incarnation: this.incarnation,
            state: this.state,
            configurationRevision: this.configuration.loaded ? this.configuration.revision : 0,
            provisionalOuts: this.restrictions.pending(),
            suspects: this.suspects.collectUpdates(),
            homesVersion: this.homes.tableVersion,
            platformDown: this.health.down,
        };
    }

    /** Takes in what a peer said, and fetches what it knows better. */
    async heard(address: string, heartbeat: Heartbeat): Promise<void> {
        this.heardFrom(heartbeat);
        if (heartbeat.configurationRevision <= this.configuration.revision) {
            return;
        }
        const held = this.configuration.loaded ? this.configuration.revision : 0;
        const { page, loaded, instances } = await this.ports.peers.configurationSince(address, held);
        this.configuration.mergePeer(page, loaded);
        if (this.membership.instances().length === 0) {
            this.membership.takeList(instances);
        }
    }

    /** Takes the news out of a heartbeat that a peer sent by itself. */
    heardFrom(heartbeat: Heartbeat): void {
        this.operations.spread(heartbeat.provisionalOuts);
        this.suspects.merge(heartbeat.suspects);
    }

    /** What a peer lacks beyond `revision`. */
    configurationSince(revision: number): PeerConfiguration {
        return {
            page: this.configuration.since(revision),
            loaded: this.configuration.loaded,
            instances: this.membership.instances(),
        };
    }

    /** This entry's line of the instance list. */
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

    /** Milliseconds on this entry's clock, for adapters. */
    now(): Milliseconds {
        return this.ports.clock.now();
    }

    private newConfiguration(): Configuration {
        const log = this.ports.log("configuration");
        return new Configuration((object, reason) =>
            log.error("A stored object is invalid and not in force.", { name: object.name, reason })
        );
    }

    private newMembership(): Membership {
        return new Membership({
            ...this.ports,
            health: this.health,
            log: this.ports.log("membership"),
            self: () => this.record(),
            ownHeartbeat: () => this.heartbeat(),
            heard: (address, heartbeat) => this.heard(address, heartbeat),
            seeds: this.identity.seeds,
        });
    }

    private newTable(): EndpointTable {
        return new EndpointTable({
            ...this.ports,
            restrictions: this.restrictions,
            fetchReport: record => this.report(record),
            log: this.ports.log("endpoints"),
        });
    }

    private newHomes(): Homes {
        const { health, membership, self } = this;
        const serving = () => this.accepting;
        return new Homes({ ...this.ports, health, membership, self, serving, log: this.ports.log("homes") });
    }

    private newColdStart(): ColdStart {
        return new ColdStart({
            ...this.ports,
            homes: this.homes,
            membership: this.membership,
            self: this.identity.id,
            findEndpoint: id => this.table.get(id),
            profileFor: endpoint => this.profileFor(endpoint),
            isStateFresh: () => this.guard.fresh(),
        });
    }

    private newPlacer(): RequestScheduler {
        const { table, coldStart, suspects, guard } = this;
        const router = new Router(this.ports.random);
        return new RequestScheduler({
            ...this.ports,
            table,
            coldStart,
            suspects,
            guard,
            router,
            mayReceiveWork: this.allowed,
        });
    }

    private newHoldings(): Holdings {
        const { membership, table, self } = this;
        return new Holdings({ ...this.ports, membership, table, self, log: this.ports.log("holdings") });
    }

    private newGenerations(): Generations {
        const { placer, holdings, table, suspects, retries, guard, self } = this;
        const gangs = new Gangs({ ...this.ports, table, holdings, guard, self, mayReceiveWork: this.allowed });
        const log = this.ports.log("generation");
        return new Generations({
            ...this.ports,
            scheduler: placer,
            gangs,
            holdings,
            table,
            suspects,
            retries,
            self,
            log,
        });
    }

    private newClaims(): Claims {
        const { health, membership, self } = this;
        return new Claims({ ...this.ports, health, membership, self, log: this.ports.log("claims") });
    }

    private newServiceCalls(): ServiceCalls {
        const { placer, claims, retries, table } = this;
        return new ServiceCalls({ ...this.ports, scheduler: placer, claims, retries, table });
    }

    private newOperations(): Operations {
        const { health, configuration, restrictions, membership } = this;
        const log = this.ports.log("operations");
        return new Operations({ ...this.ports, health, configuration, restrictions, membership, log });
    }

    private readonly allowed = (endpoint: Endpoint): boolean => !this.restrictions.forbids(endpoint.record);

    /** Learns what peers and platform know now; false while none of them answers. */
    private async refresh(since: Milliseconds): Promise<boolean> {
        const listed = listConfiguration(this.readerParts()).then(() => true, () => false);
        const [platformAnswered, peersAnswered] = await Promise.all([listed, this.membership.askPeers(since)]);
        this.table.changed.notify();
        // Without peers no other entry can have taken an order meanwhile.
        return platformAnswered || peersAnswered > 0 || this.membership.peers().length === 0;
    }

    private readerParts(): ConfigurationReaderParts {
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

    private run(task: string, work: Promise<void>): void {
        work.catch((error: unknown) => {
            this.log.error("A task ended with an error.", { task, reason: describeError(error) });
            this.ports.timeline.record("entry", "task-failed", undefined, `${task}: ${describeError(error)}`);
        });
    }

    private report(record: InstanceRecord): Promise<EndpointReport> {
        const { engines, services } = this.ports;
        return record.role === InstanceRole.Engine ? engines.report(record.address) : services.report(record.address);
    }

    private profileFor(endpoint: Endpoint) {
        const service = endpoint.record.service;
        return this.configuration.profileOf(service === undefined ? undefined : this.configuration.service(service));
    }

    private async followList(signal: AbortSignal): Promise<void> {
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
            // The peers learn it by heartbeat, and the table drops a silent member by itself.
            this.log.warn("The platform was not told of the stop.", { reason: describeError(error) });
        }
    }
}
