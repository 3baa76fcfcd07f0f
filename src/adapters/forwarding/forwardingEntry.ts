/** An entry that forwards callers' requests by routes: its parts wired together, its tasks and its planned stop. */
import type { ActiveConfiguration } from "../../core/configuration/activeConfiguration.js";
import { StateFollower } from "../../core/configuration/stateFollower.js";
import { EntryCore } from "../../core/entryCore.js";
import type { PlannedStop } from "../../core/forwarding/forwardingParts.js";
import type { EndpointDirectory } from "../../core/membership/endpointDirectory.js";
import { EntryDiscovery } from "../../core/membership/entryDiscovery.js";
import { PeerState } from "../../core/membership/peerState.js";
import type { EndpointLoad } from "../../core/placement/loadEstimator.js";
import type { MemoryPort } from "../../ports/memoryPort.js";
import type { KnownRevisions, PeerIdentity, ReadAges } from "../../ports/peerChannelPort.js";
import { StateKind, type StatePort, type StateSink } from "../../ports/statePort.js";
import type { RoutingConfiguration } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import type { Listener } from "../../utils/httpServer.js";
import type { PartLog } from "../../utils/log.js";
import { type Random, randomIdentifier } from "../../utils/random.js";
import { listenOnSamePort } from "../../utils/samePort.js";
import { CallerPort } from "./callerPort.js";
import { EndpointClient } from "./endpointClient.js";
import type { ForwardingSettings } from "./entrySettings.js";
import { serveMetrics } from "./metricsPort.js";
import { PeerSocket } from "./peerSocket.js";
import { type PeerKnowledge, PeerStateClient, servePeerState } from "./peerStateServer.js";
import { serveReadiness } from "./readinessPort.js";
import type { ForwardingWire } from "./wireNames.js";

/**
 * A stopping entry still serves what comes for this long. The balancer takes it out after two questions a second apart
 * without a good answer; closing earlier would cut requests that are on their way.
 */
const lameDuck: Milliseconds = 2_600;
/** Kept back from the grace for cutting what is left and ending the process. */
const stopMargin: Milliseconds = 600;
const stopLook: Milliseconds = 50;
/** Where the whole site starts for the first time nobody waits for it, and calls to the store can be spared. */
const firstStartPatience: Milliseconds = 2_000;
/** Otherwise callers wait; entries that live answer within a few milliseconds. */
const restartPatience: Milliseconds = 20;

/** Entries that a starting one asks for the work in progress, and how long it waits for each; some may be gone. */
const loadsAskedAtMost = 3;
const loadsAnswerAtMost: Milliseconds = 300;
/** How often an entry looks whether it has begun to choose endpoints: soon after its start, and later. */
const startTime: Milliseconds = 3_000;
const startLook: Milliseconds = 20;
const placingLook: Milliseconds = 250;
/** How long the named entries may take to answer before the store's list is read. */
const meetPatience: Milliseconds = 300;

/** What an entry needs of the world. */
export interface ForwardingEntryParts {
    clock: Clock;
    random: Random;
    store: StatePort;
    memory: MemoryPort;
    wire: ForwardingWire;
    log: (part: string) => PartLog;
    /** Gauges of the program around it. */
    gauges?: () => Record<string, number>;
}

type FollowedKind = Exclude<StateKind, StateKind.Entries>;
type Followers = { readonly [Kind in FollowedKind]: StateFollower<Kind>; };

/** A running entry. */
export class ForwardingEntry {
    private readonly core: EntryCore;
    private readonly callers: CallerPort;
    private readonly self: PeerIdentity;
    private readonly peerSocket: PeerSocket;
    private readonly log: PartLog;
    private readonly ending = new AbortController();
    private readiness: Listener | undefined;
    private metricsListener: Listener | undefined;
    /** Answers other entries' questions. */
    private questions: Listener | undefined;
    private readonly followers: Followers;
    private readonly asking: PeerStateClient;
    private entryList: EntryDiscovery | undefined;
    private plannedStop: PlannedStop | undefined;

    constructor(private settings: ForwardingSettings, private readonly parts: ForwardingEntryParts) {
        const { clock, random, wire, log } = parts;
        this.log = log("entry");
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
            endpoints: new EndpointClient(wire, clock),
            memory: parts.memory,
            policy: settings.placement.policy,
            publishesPlacements: settings.placement.shared,
            processors: instance.processors,
            retryLimits: () => {
                const { share, windowSeconds, extra } = this.settings.repeats;
                return { share, window: windowSeconds * 1_000, extra };
            },
            coldLimits: () => this.settings.cold,
            knownRevisions: () => this.knownRevisions(),
            readAges: () => this.readAges(),
            isStoreReachable: () => Object.values(this.followers).every(({ reads }) => reads),
            stop: () => this.plannedStop,
        });
        const { peers, membership } = this.core;
        this.asking = new PeerStateClient(clock, log("peers"));
        const peerState = new PeerState(peers, this.asking, membership, dataCentre, random);
        const patience = this.patience();
        const follow = { store: parts.store, peers: peerState, clock, random, log: log("store"), patience };
        const { Configuration, Endpoints, DataCentresOut } = StateKind;
        this.followers = {
            [Configuration]: new StateFollower(follow, Configuration, this.configurationSink()),
            [Endpoints]: new StateFollower(follow, Endpoints, this.core.directory),
            [DataCentresOut]: new StateFollower(follow, DataCentresOut, this.core.directory.excludedDataCentres),
        };
        peers.onStateDelta = change => {
            if (change.kind !== StateKind.Entries) {
                this.followers[change.kind].applyDelta(change);
            }
        };
        this.callers = new CallerPort({
            wire,
            clock,
            log: log("callers"),
            serve: exchange => this.core.forwarder.serve(exchange),
            routes: () => this.configuration.routes,
            stopping: () => this.plannedStop !== undefined,
        });
        this.configuration.onChange(routes => this.callers.limit(routes));
    }

    get configuration(): ActiveConfiguration {
        return this.core.configuration;
    }

    get directory(): EndpointDirectory {
        return this.core.directory;
    }

    /** Whether this entry should get callers. */
    get ready(): boolean {
        return this.core.forwarder.ready && this.plannedStop === undefined;
    }

    /** What this entry believes to be in progress at an endpoint. */
    loadOf(endpoint: string): EndpointLoad {
        return this.core.loads.load(endpoint);
    }

    /** Starts listening and following the store; resolves with the real addresses. */
    async start(): Promise<{ callers: string; readiness: string; peers: string; metrics: string; }> {
        const { listen, instance } = this.settings;
        this.readiness = await serveReadiness(listen.readiness, () => this.ready);
        this.metricsListener = await serveMetrics(listen.metrics, () => this.core.metrics.text(this.gauges()));
        this.questions = await listenOnSamePort(
            listen.peers,
            address => servePeerState(address, this.knowledge, this.parts.log("peers")),
            address => this.peerSocket.listen(address),
        );
        this.self.address = this.questions.address;
        this.run("the heartbeat", this.core.peers.runHeartbeats(this.ending.signal));
        this.run("finding entries", this.meetPeers());
        for (const follower of Object.values(this.followers)) {
            this.run("following the store", follower.run(this.ending.signal));
        }
        const callers = await this.callers.listen(listen.callers);
        this.log.info("The entry has started.", { instance: instance.id, callers });
        return {
            callers,
            readiness: this.readiness.address,
            peers: this.self.address,
            metrics: this.metricsListener.address,
        };
    }

    /** Takes changed settings. Addresses that it listens on stay until the next start. */
    reload(settings: ForwardingSettings): void {
        this.settings = settings;
        this.log.info("The settings were read again.", {
            repeats: settings.repeats,
            cold: settings.cold,
            stop: settings.stop,
        });
    }

    /**
     * Planned stop: not ready at once, serving what still comes until the balancer has noticed, then until the last
     * request has its answer or the grace is over. Resolves when nothing is left.
     */
    async stop(): Promise<void> {
        const { clock } = this.parts;
        const begun = clock.now();
        const endsAt = begun + this.settings.stop.graceSeconds * 1_000 - stopMargin;
        this.plannedStop = { begunAt: begun, endsAt };
        this.core.peers.publishStopping();
        if (this.entryList) {
            this.run("leaving the list of entries", this.entryList.withdraw(this.ending.signal));
        }
        this.log.info("The entry is stopping.", { active: this.core.forwarder.active });
        await clock.sleep(Math.min(lameDuck, endsAt - begun));
        while (clock.now() < endsAt) {
            this.callers.closeIdle();
            if (this.core.forwarder.active === 0 && this.callers.connections === 0) {
                break;
            }
            await clock.sleep(stopLook);
        }
        this.log.info("The entry has stopped.", { active: this.core.forwarder.active, took: clock.now() - begun });
        await this.close();
    }

    /** Ends at once and cuts what is left. */
    async close(): Promise<void> {
        if (this.ending.signal.aborted) {
            return;
        }
        this.ending.abort();
        this.peerSocket.close();
        await Promise.all([
            this.callers.close(),
            this.readiness?.close(),
            this.questions?.close(),
            this.metricsListener?.close(),
        ]);
    }

    private readonly knowledge: PeerKnowledge = {
        stateSince: (kind, revision) =>
            kind === StateKind.Entries ? undefined : this.followers[kind].mirror.updateSince(revision),
        loadsInProgress: () => this.core.loads.inProgress(),
        stamp: () => Object.values(this.followers).map(({ mirror }) => mirror.revision).join(","),
    };

    /**
     * Asks an entry that was there before what is in progress. A process that has just started believes all endpoints idle;
     * while entries are restarted in turn each would place short prompts where others' long ones are read.
     */
    private async learnLoads(): Promise<void> {
        const { random } = this.parts;
        const { peers } = this.core;
        const { everyone, others } = peers.placers();
        const knowing = everyone ? peers.livingPeers().map(({ identity }) => identity) : others;
        const asked = knowing.map(({ address }) => ({ address, order: random.next() }))
            .sort((left, right) => left.order - right.order).slice(0, loadsAskedAtMost);
        for (const { address } of asked) {
            const works = await this.asking.fetchWorkInProgress(address, loadsAnswerAtMost);
            if (works && works.length > 0) {
                this.core.loads.merge(works);
                this.log.info("The work in progress was learned.", { from: address, works: works.length });
                return;
            }
        }
    }

    /** How long this entry waits for others that know before it asks the store. */
    private patience(): Milliseconds {
        const { seeds, firstStart } = this.settings.peers;
        if (seeds.every(address => address === this.settings.listen.peers)) {
            return 0;
        }
        // At the first start the named entries read the store, and all others learn from them.
        return firstStart && !seeds.includes(this.settings.listen.peers) ? firstStartPatience : restartPatience;
    }

    /** Finds the other entries; learns from one of them what is in progress, as soon as one was heard. */
    private async meetPeers(): Promise<void> {
        const { store, clock, log } = this.parts;
        const { signal } = this.ending;
        const { peers, membership } = this.core;
        this.entryList = new EntryDiscovery({
            store,
            peers,
            membership,
            clock,
            log: log("peers"),
            self: this.self,
            seeds: this.settings.peers.seeds,
            patience: Math.max(meetPatience, this.patience()),
            stopping: () => this.plannedStop !== undefined,
        });
        const finding = this.entryList.run(signal);
        if (this.settings.placement.shared) {
            this.run("learning loads", this.learnLoadsWhenPlacing());
        }
        await finding;
    }

    /** Whoever begins to choose endpoints, for itself or for others, learns what was placed before. */
    private async learnLoadsWhenPlacing(): Promise<void> {
        const { clock } = this.parts;
        const { signal } = this.ending;
        const { peers } = this.core;
        let learned = false;
        for (const begun = clock.now(); !signal.aborted;) {
            const { self } = peers.placers();
            if (self && !learned && peers.livingCount > 1) {
                await this.learnLoads();
            }
            learned = self && peers.livingCount > 1;
            await clock.sleep(clock.now() - begun < startTime ? startLook : placingLook, signal);
        }
    }

    private gauges(): Record<string, number> {
        const { user, system } = process.cpuUsage();
        return {
            ready: this.ready ? 1 : 0,
            active_requests: this.core.forwarder.active,
            caller_connections: this.callers.connections,
            configuration_version: this.configuration.version,
            ...this.unreadGauges(),
            living_entries: this.core.peers.livingCount,
            counted_entries: this.core.membership.size,
            limited_endpoints: this.core.limits.count,
            resident_memory_bytes: process.memoryUsage.rss(),
            processor_milliseconds_total: Math.round((user + system) / 1_000),
            ...this.parts.gauges?.(),
        };
    }

    private unreadGauges(): Record<string, number> {
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
        const known: KnownRevisions = {};
        for (const [kind, { mirror }] of Object.entries(this.followers)) {
            if (mirror.revision !== undefined) {
                known[kind as StateKind] = mirror.lastChange;
            }
        }
        return known;
    }

    private run(task: string, work: Promise<void>): void {
        work.catch(error => this.log.error("A task ended.", { task, error: describeError(error) }));
    }

    private configurationSink(): StateSink<RoutingConfiguration> {
        const take = (
            items: readonly { name: string; revision: number; value: RoutingConfiguration | undefined; }[],
        ) => {
            for (const { name, revision, value } of items) {
                if (value && this.configuration.adopt(value)) {
                    // bunyan's own field `name` says which entry wrote the line.
                    this.log.info("A configuration is in force.", { object: name, revision, version: value.version });
                }
            }
        };
        return {
            replace: snapshot => take(snapshot.items),
            apply: changes => take(changes.changes),
        };
    }
}
