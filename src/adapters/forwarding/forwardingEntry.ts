/**
 * An entry that forwards the requests of callers by routes. Connects its components, runs its background tasks and performs the
 * planned stop.
 */
import { setMaxListeners } from "node:events";
import type { ActiveConfiguration } from "../../core/configuration/activeConfiguration.js";
import { StateFollower } from "../../core/configuration/stateFollower.js";
import { type DescriptorBudget, divideDescriptors } from "../../core/connectionBounds/descriptorBudget.js";
import { EntryCore } from "../../core/entryCore.js";
import type { PlannedStop } from "../../core/forwarding/forwardingDependencies.js";
import type { EndpointDirectory } from "../../core/membership/endpointDirectory.js";
import { EntryDiscovery } from "../../core/membership/entryDiscovery.js";
import { PeerState } from "../../core/membership/peerState.js";
import { ReceivedBodies } from "../../core/memoryBounds/receivedBodies.js";
import type { EndpointLoad } from "../../core/placement/loadEstimator.js";
import type { CrashStorePort } from "../../ports/crashStore.js";
import type { EndpointPort } from "../../ports/forwardingPorts.js";
import type { MemoryPort } from "../../ports/memoryPort.js";
import type { KnownRevisions, PeerIdentity, ReadAges } from "../../ports/peerChannelPort.js";
import type { QuarantineStorePort } from "../../ports/quarantineStore.js";
import { StateKind, type StatePort, type StateSink } from "../../ports/statePort.js";
import type { RoutingConfiguration } from "../../types/routing.js";
import { keepRunning } from "../../utils/backgroundTask.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import type { Listener } from "../../utils/httpServer.js";
import type { PartLog } from "../../utils/log.js";
import { type Random, randomIdentifier } from "../../utils/random.js";
import { listenOnSamePort } from "../../utils/samePort.js";
import { boundServer } from "./boundedServer.js";
import { CallerPort } from "./callerPort.js";
import { EndpointClient } from "./endpointClient.js";
import type { ForwardingSettings } from "./entrySettings.js";
import type { ForwardingWire } from "./forwardingWire.js";
import { serveMetrics } from "./metricsPort.js";
import { PeerSocket } from "./peerSocket.js";
import { PeerStateClient, type PeerStateSource, servePeerState } from "./peerStateServer.js";
import { serveReadiness } from "./readinessPort.js";
import { serveRelay } from "./relayServer.js";

/**
 * How long a stopping entry keeps accepting requests. The balancer removes it after two failed health checks one second apart;
 * closing earlier would cut requests in flight.
 */
const minimumDrainDuration: Milliseconds = 2_600;
/** Reserved from the grace period for cutting the remaining requests and ending the process. */
const stopMargin: Milliseconds = 600;
const drainPollInterval: Milliseconds = 50;
/** How long the callers of requests that are still in progress at the end of a stop get to receive their failures. */
const lastAnswersDuration: Milliseconds = 250;
/** How long before the end of a stop no more connections are accepted, so that requests on them are answered before it. */
const finalDuration: Milliseconds = 300;
/**
 * How long an entry waits for its peers before it queries the store, when the whole site starts for the first time. No
 * caller is waiting yet, and the longer wait avoids calls to the store.
 */
const firstStartPeerTimeout: Milliseconds = 2_000;
/** The same wait at any other start. Callers are waiting, and running entries respond within a few milliseconds. */
const restartPeerTimeout: Milliseconds = 20;

/** Maximum number of peers that an entry asks for the work in progress, and the timeout for each; some may have failed. */
const maximumWorkQueries = 3;
const workQueryTimeout: Milliseconds = 300;
/** Timeout for a placer's list of the living entries. */
const memberListTimeout: Milliseconds = 400;
/** Timeout for telling another entry of an endpoint's pause. */
const pauseAnnouncementTimeout: Milliseconds = 300;
/** How often an entry checks whether it has become a placer: at short intervals during startup, at longer ones afterwards. */
const startupDuration: Milliseconds = 3_000;
const startupPollInterval: Milliseconds = 20;
const placerPollInterval: Milliseconds = 250;
/** Minimum time that the seed entries get to respond before the list of entries is read from the store. */
const minimumSeedTimeout: Milliseconds = 300;

const bytesPerMegabyte = 1024 * 1024;

/** Dependencies of {@link ForwardingEntry}. */
export interface ForwardingEntryDependencies {
    clock: Clock;
    random: Random;
    store: StatePort;
    memory: MemoryPort;
    quarantineStore: QuarantineStorePort;
    crashStore: CrashStorePort;
    wire: ForwardingWire;
    /** Connects to endpoints; an {@link EndpointClient} by default. */
    endpointPort?: EndpointPort;
    log: (part: string) => PartLog;
    /** Whether contracts that the platform lists mean that callers and endpoints may read slowly. */
    expectsSlowReaders?: (contracts: readonly string[]) => boolean;
    /** Additional gauges of the surrounding program. */
    gauges?: () => Record<string, number>;
}

type FollowedKind = Exclude<StateKind, StateKind.Entries>;
type Followers = { readonly [Kind in FollowedKind]: StateFollower<Kind>; };

/** A forwarding entry. */
export class ForwardingEntry {
    private readonly core: EntryCore;
    private readonly callerPort: CallerPort;
    private readonly self: PeerIdentity;
    private readonly peerSocket: PeerSocket;
    private readonly log: PartLog;
    private readonly descriptors: DescriptorBudget;
    private readonly closeController = new AbortController();
    private readinessListener: Listener | undefined;
    private metricsListener: Listener | undefined;
    /** Serves the state queries of other entries. */
    private peerStateListener: Listener | undefined;
    private resetCarriedConnections = () => {};
    private readonly followers: Followers;
    private readonly peerStateClient: PeerStateClient;
    private entryDiscovery: EntryDiscovery | undefined;
    private plannedStop: PlannedStop | undefined;

    constructor(private settings: ForwardingSettings, private readonly dependencies: ForwardingEntryDependencies) {
        // Each background task waits for this signal; Node would warn of a memory leak at more than ten.
        setMaxListeners(0, this.closeController.signal);
        const { clock, random, wire, log } = dependencies;
        this.log = log("entry");
        this.descriptors = divideDescriptors(settings.instance.maximumDescriptors);
        const { instance, listen } = settings;
        const { dataCentre } = instance;
        this.self = { id: instance.id, address: listen.peers, incarnation: randomIdentifier(random) };
        this.peerSocket = new PeerSocket(log("peers"), packet => this.core.peers.receive(packet));
        this.core = new EntryCore({
            clock,
            random,
            log,
            self: this.self,
            dataCentre,
            channel: this.peerSocket,
            endpointPort: dependencies.endpointPort ?? new EndpointClient(wire, clock, this.createReceivedBodies()),
            memoryPort: dependencies.memory,
            quarantineStore: dependencies.quarantineStore,
            crashStore: dependencies.crashStore,
            policy: settings.placement.policy,
            publishesPlacements: settings.placement.shared,
            scheduling: () => this.settings.scheduling,
            processors: instance.processors,
            maximumCarriedConnections: this.descriptors.carried,
            memory: {
                limitBytes: instance.memoryMegabytes * bytesPerMegabyte,
                residentBytes: () => process.memoryUsage.rss(),
            },
            expectsSlowReaders: () => dependencies.expectsSlowReaders?.(this.settings.contracts.names) ?? false,
            retryLimits: () => {
                const { share, windowSeconds, extra } = this.settings.repeats;
                return { share, window: windowSeconds * 1_000, extra };
            },
            coldLimits: () => this.settings.cold,
            knownRevisions: () => this.knownRevisions(),
            readAges: () => this.readAges(),
            isFirstStart: settings.peers.firstStart,
            isStoreReachable: () => Object.values(this.followers).every(({ isStoreReachable }) => isStoreReachable),
            plannedStop: () => this.plannedStop,
            fetchMembers: (address, scope) => this.peerStateClient.fetchMembers(address, scope, memberListTimeout),
            announcePause: ({ address }, { id, incarnation }, duration) => {
                const pause = { endpoint: id, incarnation, duration };
                void this.peerStateClient.announcePause(address, pause, pauseAnnouncementTimeout);
            },
        });
        const { peers, membership } = this.core;
        this.peerStateClient = new PeerStateClient(clock, log("peers"));
        const peerState = new PeerState(peers, this.peerStateClient, membership, dataCentre, random);
        const peerWaitTimeout = this.peerTimeout();
        const followerDependencies = {
            store: dependencies.store,
            peers: peerState,
            clock,
            random,
            log: log("store"),
            peerWaitTimeout,
        };
        const { Configuration, Endpoints, DataCentresOut } = StateKind;
        this.followers = {
            [Configuration]: new StateFollower(followerDependencies, Configuration, this.configurationSink()),
            [Endpoints]: new StateFollower(followerDependencies, Endpoints, this.core.directory),
            [DataCentresOut]: new StateFollower(
                followerDependencies,
                DataCentresOut,
                this.core.directory.excludedDataCentres,
            ),
        };
        peers.onStateDelta = change => {
            if (change.kind !== StateKind.Entries) {
                this.followers[change.kind].applyDelta(change);
            }
        };
        this.callerPort = new CallerPort({
            wire,
            clock,
            log: log("callers"),
            serve: exchange => this.core.forwarder.serve(exchange),
            routes: () => this.configuration.routes,
            memoryGuard: this.core.memoryGuard,
            queuesUnreadResponses: this.core.queuesUnreadResponses,
            memoryBytes: instance.memoryMegabytes * bytesPerMegabyte,
            maximumConnections: this.descriptors.callers,
            isStopping: () => this.plannedStop !== undefined,
        });
        this.configuration.onChange(routes => this.callerPort.applyLimits(routes));
    }

    get configuration(): ActiveConfiguration {
        return this.core.configuration;
    }

    get directory(): EndpointDirectory {
        return this.core.directory;
    }

    /** Whether this entry should receive callers. */
    get isReady(): boolean {
        return this.core.forwarder.isReady && this.plannedStop === undefined;
    }

    /** Number of living entries, this one included. */
    get livingCount(): number {
        return this.core.peers.livingCount;
    }

    /** Number of endpoints that have asked this entry for a pause that lasts. */
    get pausedCount(): number {
        return this.core.pauses.count;
    }

    private createReceivedBodies(): ReceivedBodies {
        const { clock, log } = this.dependencies;
        return new ReceivedBodies({
            clock,
            log: log("buffers"),
            onGivenUp: () => this.core.metrics.count("response_bodies_given_up_total"),
            memoryBytes: this.settings.instance.memoryMegabytes * bytesPerMegabyte,
        });
    }

    /** Estimated load of an endpoint. */
    loadOf(endpoint: string): EndpointLoad {
        return this.core.loads.loadOf(endpoint);
    }

    /** Starts listening and following the store; resolves with the actual addresses. */
    async start(): Promise<{ callers: string; readiness: string; peers: string; metrics: string; }> {
        const { listen, instance } = this.settings;
        const { descriptors } = this;
        this.readinessListener = await serveReadiness(listen.readiness, () => this.isReady);
        boundServer(this.readinessListener.server, descriptors.readiness);
        this.metricsListener = await serveMetrics(listen.metrics, () => this.core.metrics.text(this.gauges()));
        boundServer(this.metricsListener.server, descriptors.metrics);
        this.peerStateListener = await listenOnSamePort(
            listen.peers,
            address =>
                servePeerState(address, this.peerStateSource, this.dependencies.clock, this.dependencies.log("peers")),
            address => this.peerSocket.listen(address),
        );
        boundServer(this.peerStateListener.server, descriptors.peers);
        this.self.address = this.peerStateListener.address;
        this.resetCarriedConnections = serveRelay(this.peerStateListener.server, {
            clock: this.dependencies.clock,
            guard: this.core.relayGuard,
            onCarried: () => this.core.metrics.count("carried_connections_total"),
            onConnected: endpoint => this.core.links.recordConnected(endpoint),
        });
        this.keepRunning("the heartbeat", signal => this.core.peers.runHeartbeats(signal));
        this.keepRunning("probing lost links", signal => this.core.links.run(signal));
        this.runTask("keeping quarantined requests", this.core.quarantineKeeper.run(this.closeController.signal));
        this.runTask("exchanging crashes", this.core.crashExchange.run(this.closeController.signal));
        this.runTask("discovering entries", this.discoverPeers());
        for (const follower of Object.values(this.followers)) {
            this.runTask("following the store", follower.run(this.closeController.signal));
        }
        const callers = await this.callerPort.listen(listen.callers);
        const addresses = {
            callers,
            readiness: this.readinessListener.address,
            peers: this.self.address,
            metrics: this.metricsListener.address,
        };
        this.log.info("The entry has started.", { instance: instance.id, ...addresses });
        return addresses;
    }

    /** Applies changed settings. Listen addresses change only at the next start. */
    reload(settings: ForwardingSettings): void {
        this.settings = settings;
        this.log.info("The settings were read again.", {
            repeats: settings.repeats,
            cold: settings.cold,
            stop: settings.stop,
        });
    }

    /**
     * Stops the entry as planned. It reports that it is not ready at once, keeps serving until the balancer has noticed, then
     * drains until the last request has ended or the grace period is over. What is then still in progress fails. Resolves when
     * everything is closed.
     */
    async stop(): Promise<void> {
        const { clock } = this.dependencies;
        const startedAt = clock.now();
        const endsAt = startedAt + this.settings.stop.graceSeconds * 1_000 - stopMargin;
        this.plannedStop = { startedAt, endsAt };
        this.runTask("announcing the stop", this.announceStop());
        if (this.entryDiscovery) {
            this.runTask("leaving the list of entries", this.entryDiscovery.withdraw(this.closeController.signal));
        }
        this.log.info("The entry is stopping.", { active: this.core.forwarder.activeCount });
        await clock.sleep(Math.min(minimumDrainDuration, endsAt - startedAt));
        await this.drain(endsAt);
        const { forwarder } = this.core;
        this.log.info("The entry has stopped.", {
            active: forwarder.activeCount,
            took: clock.now() - startedAt,
        });
        forwarder.endAtStop();
        await this.drain(endsAt + lastAnswersDuration);
        this.callerPort.logUnread();
        await this.close();
    }

    /** Resolves when no connection is open any more, at `endsAt` at the latest. */
    private async drain(endsAt: Milliseconds): Promise<void> {
        const { clock } = this.dependencies;
        while (clock.now() < endsAt) {
            this.callerPort.closeIdleConnections();
            if (this.isDrained || clock.now() >= endsAt - finalDuration) {
                this.callerPort.stopListening();
            }
            if (this.isDrained) {
                return;
            }
            await clock.sleep(drainPollInterval);
        }
    }

    /** Asynchronous so that a failure doesn't end the stop, which the requests in progress need. */
    private async announceStop(): Promise<void> {
        await Promise.resolve(this.core.peers.publishStopping());
    }

    /** Whether no request is in progress and no connection open, neither of a caller nor of another entry. */
    private get isDrained(): boolean {
        const { forwarder, relayGuard } = this.core;
        return forwarder.activeCount === 0 && this.callerPort.connectionCount + relayGuard.openConnections === 0;
    }

    /** Closes the entry at once and cuts the requests in progress. */
    async close(): Promise<void> {
        if (this.closeController.signal.aborted) {
            return;
        }
        this.closeController.abort();
        this.peerSocket.close();
        this.resetCarriedConnections();
        await Promise.all([
            this.callerPort.close(),
            this.readinessListener?.close(),
            this.peerStateListener?.close(),
            this.metricsListener?.close(),
        ]);
    }

    private readonly peerStateSource: PeerStateSource = {
        stateSince: (kind, revision) =>
            kind === StateKind.Entries ? undefined : this.followers[kind].mirror.updateSince(revision),
        workInProgress: () => this.core.loads.inProgress(),
        recordPause: ({ endpoint, incarnation, duration }) =>
            this.core.pauses.record({ id: endpoint, incarnation }, duration),
        listMembers: scope => this.core.peers.listMembers(scope),
        stateVersion: () => Object.values(this.followers).map(({ mirror }) => mirror.revision).join(","),
    };

    /**
     * Fetches the work in progress from an entry that started earlier. A process that has just started estimates all endpoints
     * as idle; during a rolling restart each entry would place short prompts on endpoints that are prefilling long prompts of
     * others.
     */
    private async fetchWorkInProgress(): Promise<void> {
        const { random } = this.dependencies;
        const { peers } = this.core;
        const { everyone, others } = peers.placers();
        const informedPeers = everyone ? peers.livingPeers().map(({ identity }) => identity) : others;
        const queriedPeers = informedPeers.map(({ address }) => ({ address, order: random.next() }))
            .sort((left, right) => left.order - right.order).slice(0, maximumWorkQueries);
        for (const { address } of queriedPeers) {
            const works = await this.peerStateClient.fetchWorkInProgress(address, workQueryTimeout);
            if (works && works.length > 0) {
                this.core.learnWork(works);
                this.log.info("The work in progress was learned.", { from: address, works: works.length });
                return;
            }
        }
    }

    /** How long this entry waits for state from its peers before it queries the store. */
    private peerTimeout(): Milliseconds {
        const { seeds, firstStart } = this.settings.peers;
        if (seeds.every(address => address === this.settings.listen.peers)) {
            return 0;
        }
        // At the first start the seed entries read the store, and all others get the state from them.
        return firstStart && !seeds.includes(this.settings.listen.peers) ? firstStartPeerTimeout : restartPeerTimeout;
    }

    /**
     * Discovers the other entries and, where placements are shared, fetches their work in progress when this entry becomes a
     * placer.
     */
    private async discoverPeers(): Promise<void> {
        const { store, clock, log } = this.dependencies;
        const { signal } = this.closeController;
        const { peers, membership } = this.core;
        this.entryDiscovery = new EntryDiscovery({
            store,
            peers,
            membership,
            clock,
            log: log("peers"),
            self: this.self,
            seeds: this.settings.peers.seeds,
            seedTimeout: Math.max(minimumSeedTimeout, this.peerTimeout()),
            isStopping: () => this.plannedStop !== undefined,
        });
        const discovery = this.entryDiscovery.run(signal);
        if (this.settings.placement.shared) {
            this.keepRunning("fetching the work in progress", taskSignal => this.fetchWorkWhenPlacing(taskSignal));
        }
        await discovery;
    }

    /** Fetches the work in progress whenever this entry becomes a placer, for itself or for others. */
    private async fetchWorkWhenPlacing(signal: AbortSignal): Promise<void> {
        const { clock } = this.dependencies;
        const { peers } = this.core;
        let hasFetched = false;
        for (const startedAt = clock.now(); !signal.aborted;) {
            const { self } = peers.placers();
            if (self && !hasFetched && peers.livingCount > 1) {
                await this.fetchWorkInProgress();
            }
            hasFetched = self && peers.livingCount > 1;
            await clock.sleep(
                clock.now() - startedAt < startupDuration ? startupPollInterval : placerPollInterval,
                signal,
            );
        }
    }

    private gauges(): Record<string, number> {
        const { user, system } = process.cpuUsage();
        return {
            ready: this.isReady ? 1 : 0,
            active_requests: this.core.forwarder.activeCount,
            caller_connections: this.callerPort.connectionCount,
            configuration_version: this.configuration.version,
            ...this.storeAgeGauges(),
            living_entries: this.core.peers.livingCount,
            counted_entries: this.core.membership.budgetDivisor,
            limited_endpoints: this.core.limits.count,
            paused_endpoints: this.core.pauses.count,
            leaving_endpoints: this.core.reportedStates.leavingCount,
            known_endpoint_crashes: this.core.quarantine.crashCount,
            quarantined_requests: this.core.quarantine.count,
            reaches_endpoints: this.core.links.isCutOff ? 0 : 1,
            ...this.core.waitScheduler.gauges(),
            carried_connections: this.core.relayGuard.openConnections,
            buffered_bytes: this.core.memoryGuard.heldBytes,
            buffered_bytes_bound: Math.round(this.core.memoryGuard.boundBytes),
            resident_memory_bytes: process.memoryUsage.rss(),
            processor_milliseconds_total: Math.round((user + system) / 1_000),
            ...this.dependencies.gauges?.(),
        };
    }

    private storeAgeGauges(): Record<string, number> {
        const gauges: Record<string, number> = {};
        for (const [kind, age] of Object.entries(this.readAges())) {
            gauges[`store_unread_milliseconds{kind="${kind}"}`] = age;
        }
        return gauges;
    }

    private readAges(): ReadAges {
        const ages: ReadAges = {};
        for (const [kind, { readAge }] of Object.entries(this.followers)) {
            if (readAge !== undefined) {
                ages[kind as StateKind] = Math.round(readAge);
            }
        }
        return ages;
    }

    private knownRevisions(): KnownRevisions {
        const revisions: KnownRevisions = {};
        for (const [kind, { mirror }] of Object.entries(this.followers)) {
            if (mirror.revision !== undefined) {
                revisions[kind as StateKind] = mirror.lastChange;
            }
        }
        return revisions;
    }

    private keepRunning(name: string, run: (signal: AbortSignal) => Promise<void>): void {
        void keepRunning({ name, run, clock: this.dependencies.clock, log: this.log }, this.closeController.signal);
    }

    private runTask(task: string, work: Promise<void>): void {
        work.catch(error => this.log.error("A background task failed.", { task, error: describeError(error) }));
    }

    private configurationSink(): StateSink<RoutingConfiguration> {
        const adoptItems = (
            items: readonly { name: string; revision: number; value: RoutingConfiguration | undefined; }[],
        ) => {
            for (const { name, revision, value } of items) {
                if (value && this.configuration.adopt(value)) {
                    // The field `name` is reserved by bunyan for the name of the entry.
                    this.log.info("A configuration is in force.", {
                        object: name,
                        revision,
                        version: value.version,
                        customersWithPriority: countCustomersByPriority(value),
                    });
                }
            }
        };
        return {
            replace: snapshot => adoptItems(snapshot.items),
            apply: changes => adoptItems(changes.changes),
        };
    }
}

/** Number of customers by their own priority, for operators; customers without one are left out. */
const countCustomersByPriority = ({ customers = [] }: RoutingConfiguration): Record<number, number> => {
    const counts: Record<number, number> = {};
    for (const { priority } of customers) {
        if (priority !== undefined) {
            counts[priority] = (counts[priority] ?? 0) + 1;
        }
    }
    return counts;
};
