/** An entry that forwards callers' requests by routes: its parts wired together, its tasks and its planned stop. */
import { ColdBudget } from "../../core/budgets/coldBudget.js";
import { RepeatBudget } from "../../core/budgets/repeatBudget.js";
import { ActiveConfiguration } from "../../core/configuration/activeConfiguration.js";
import { StateFollower, type StateSink } from "../../core/configuration/stateFollower.js";
import { Forwarder, type PlannedStop } from "../../core/forwarding/forwarder.js";
import { EndpointDirectory } from "../../core/membership/endpointDirectory.js";
import { Membership } from "../../core/membership/membership.js";
import { Peers } from "../../core/membership/peers.js";
import { PeerState } from "../../core/membership/peerState.js";
import { Metrics } from "../../core/metrics.js";
import { FailureView } from "../../core/placement/failureView.js";
import { type EndpointLoad, LoadView } from "../../core/placement/loadView.js";
import { Placer } from "../../core/placement/placer.js";
import { SharedLoads } from "../../core/placement/sharedLoads.js";
import type { MemoryPort } from "../../ports/memoryPort.js";
import type { KnownRevisions, PeerIdentity } from "../../ports/peerNewsPort.js";
import { StateKind, type StatePort } from "../../ports/statePort.js";
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
/**
 * How often the store's list of entries is read, for entries that lost sight of one another: the least, and for each
 * entry, so that all together read it no more often the more they are.
 */
const meetInterval: Milliseconds = 10_000;
const meetIntervalPerEntry: Milliseconds = 2_000;
const meetRetry: Milliseconds = 1_000;

/** Entries that a starting one asks for the work in progress, and how long it waits for each; some may be gone. */
const loadsAskedAtMost = 3;
const loadsAnswerAtMost: Milliseconds = 300;

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
    readonly configuration = new ActiveConfiguration();
    readonly directory: EndpointDirectory;
    readonly metrics = new Metrics();
    readonly forwarder: Forwarder;
    private readonly callers: CallerPort;
    private readonly loads: SharedLoads;
    private readonly self: PeerIdentity;
    private readonly peers: Peers;
    private readonly membership: Membership;
    private readonly peerSocket: PeerSocket;
    private readonly log: PartLog;
    private readonly ending = new AbortController();
    private readiness: Listener | undefined;
    private metricsListener: Listener | undefined;
    /** Answers other entries' questions. */
    private questions: Listener | undefined;
    private readonly followers: Followers;
    private readonly asking: PeerStateClient;
    private plannedStop: PlannedStop | undefined;

    constructor(private settings: ForwardingSettings, private readonly parts: ForwardingEntryParts) {
        const { clock, random, wire, log } = parts;
        this.log = log("entry");
        const { instance, listen } = settings;
        const { id, dataCentre } = instance;
        this.self = { id: instance.id, address: listen.peers, incarnation: randomIdentifier(random) };
        this.directory = new EndpointDirectory(clock, log("directory"));
        const failures = new FailureView(clock);
        const view = new LoadView(clock);
        this.loads = new SharedLoads(view);
        this.peerSocket = new PeerSocket(log("peers"), message => this.peers.hear(message));
        this.peers = new Peers({
            clock,
            log: log("peers"),
            channel: this.peerSocket,
            random,
            loads: this.loads,
            tellsLoads: settings.placement.shared,
            self: this.self,
            dataCentre,
            known: () => this.knownRevisions(),
            inProgress: () => this.forwarder.inProgress,
        });
        this.membership = new Membership(this.peers, id);
        this.forwarder = new Forwarder({
            clock,
            random,
            log: log("request"),
            configuration: this.configuration,
            directory: this.directory,
            endpoints: new EndpointClient(wire, clock),
            memory: parts.memory,
            placer: new Placer(view, failures, settings.placement.policy),
            loads: this.loads,
            failures,
            repeats: new RepeatBudget(
                clock,
                () => {
                    const { share, windowSeconds, extra } = this.settings.repeats;
                    return { share, window: windowSeconds * 1_000, extra };
                },
                () => this.membership.size,
            ),
            cold: new ColdBudget(clock, () => this.settings.cold, this.membership),
            metrics: this.metrics,
            entry: settings.instance.id,
            dataCentre: settings.instance.dataCentre,
            stop: () => this.plannedStop,
        });
        this.asking = new PeerStateClient(clock, log("peers"));
        const peerState = new PeerState(this.peers, this.asking, { id, dataCentre }, random);
        const follow = { store: parts.store, peers: peerState, clock, random, log: log("store") };
        const { Configuration, Endpoints, DataCentresOut } = StateKind;
        this.followers = {
            [Configuration]: new StateFollower(follow, Configuration, this.configurationSink()),
            [Endpoints]: new StateFollower(follow, Endpoints, this.directory),
            [DataCentresOut]: new StateFollower(follow, DataCentresOut, this.directory.out),
        };
        this.callers = new CallerPort({
            wire,
            clock,
            log: log("callers"),
            serve: exchange => this.forwarder.serve(exchange),
            routes: () => this.configuration.routes,
            stopping: () => this.plannedStop !== undefined,
        });
        this.configuration.onChange(routes => this.callers.limit(routes));
    }

    /** Whether this entry should get callers. */
    get ready(): boolean {
        return this.forwarder.ready && this.plannedStop === undefined;
    }

    /** What this entry believes to be in progress at an endpoint. */
    loadOf(endpoint: string): EndpointLoad {
        return this.loads.load(endpoint);
    }

    /** Starts listening and following the store; resolves with the real addresses. */
    async start(): Promise<{ callers: string; readiness: string; peers: string; metrics: string; }> {
        const { listen, instance } = this.settings;
        this.readiness = await serveReadiness(listen.readiness, () => this.ready);
        this.metricsListener = await serveMetrics(listen.metrics, () => this.metrics.text(this.gauges()));
        this.questions = await listenOnSamePort(
            listen.peers,
            address => servePeerState(address, this.knowledge, this.parts.log("peers")),
            address => this.peerSocket.listen(address),
        );
        this.self.address = this.questions.address;
        this.run("the heartbeat", this.peers.sayAlive(this.ending.signal));
        this.run("the list of entries", this.meetPeers());
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
        this.peers.sayStopping();
        this.run("leaving the list of entries", this.parts.store.withdraw(this.self.id, this.ending.signal));
        this.log.info("The entry is stopping.", { active: this.forwarder.active });
        await clock.sleep(Math.min(lameDuck, endsAt - begun));
        while (clock.now() < endsAt) {
            this.callers.closeIdle();
            if (this.forwarder.active === 0 && this.callers.connections === 0) {
                break;
            }
            await clock.sleep(stopLook);
        }
        this.log.info("The entry has stopped.", { active: this.forwarder.active, took: clock.now() - begun });
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
            kind === StateKind.Entries ? undefined : this.followers[kind].mirror.since(revision),
        loadsInProgress: () => this.loads.inProgress(),
    };

    /**
     * Asks an entry that was there before what is in progress. A process that has just started believes all endpoints idle;
     * while entries are restarted in turn each would place short prompts where others' long ones are read.
     */
    private async learnLoads(addresses: readonly string[]): Promise<void> {
        const { random } = this.parts;
        const asked = addresses.map(address => ({ address, order: random.next() }))
            .sort((left, right) => left.order - right.order).slice(0, loadsAskedAtMost);
        for (const { address } of asked) {
            const works = await this.asking.askLoads(address, loadsAnswerAtMost);
            if (works && works.length > 0) {
                this.loads.learn(works);
                this.log.info("The work in progress was learned.", { from: address, works: works.length });
                return;
            }
        }
    }

    private gauges(): Record<string, number> {
        const { user, system } = process.cpuUsage();
        return {
            ready: this.ready ? 1 : 0,
            active_requests: this.forwarder.active,
            caller_connections: this.callers.connections,
            configuration_version: this.configuration.version,
            living_entries: this.peers.living,
            counted_entries: this.membership.size,
            resident_memory_bytes: process.memoryUsage.rss(),
            processor_milliseconds_total: Math.round((user + system) / 1_000),
            ...this.parts.gauges?.(),
        };
    }

    private knownRevisions(): KnownRevisions {
        const known: KnownRevisions = {};
        for (const [kind, { mirror }] of Object.entries(this.followers)) {
            known[kind as StateKind] = mirror.lastChange;
        }
        return known;
    }

    private run(task: string, work: Promise<void>): void {
        work.catch(error => this.log.error("A task ended.", { task, error: describeError(error) }));
    }

    /**
     * Puts this entry on the store's list and reads who else is there. It writes before it reads, so that of two entries
     * that start together at least one finds the other, and greets it. Names of entries that are gone are removed; an
     * entry that was only cut off finds its own missing and writes it again.
     */
    private async meetPeers(): Promise<void> {
        const { store, clock } = this.parts;
        const { signal } = this.ending;
        let announced = false;
        while (!signal.aborted) {
            let pause = meetRetry;
            try {
                if (!announced && this.plannedStop === undefined) {
                    await store.announce(this.self.id, { address: this.self.address }, signal);
                    announced = true;
                }
                const { items } = await store.list(StateKind.Entries, signal);
                announced &&= items.some(({ name }) => name === this.self.id);
                this.peers.listed(items.flatMap(({ name, value }) => value ? [{ id: name, ...value }] : []));
                if (!this.membership.met && this.settings.placement.shared) {
                    const others = items.filter(({ name }) => name !== this.self.id);
                    this.run("learning loads", this.learnLoads(others.flatMap(({ value }) => value?.address ?? [])));
                }
                this.membership.met = true;
                await this.removeLost();
                pause = Math.max(meetInterval, this.peers.living * meetIntervalPerEntry);
            }
            catch (error) {
                this.log.warn("The list of entries can't be had.", { error: describeError(error) });
            }
            await clock.sleep(pause, signal);
        }
    }

    private async removeLost(): Promise<void> {
        for (const id of this.peers.lost().filter(lost => this.membership.removes(lost))) {
            await this.parts.store.withdraw(id, this.ending.signal);
            this.log.info("An entry that is gone was removed from the list.", { entry: id });
        }
    }

    private configurationSink(): StateSink<RoutingConfiguration> {
        const take = (
            items: readonly { name: string; revision: number; value: RoutingConfiguration | undefined; }[],
        ) => {
            for (const { name, revision, value } of items) {
                if (value && this.configuration.adopt(value)) {
                    this.log.info("A configuration is in force.", { name, revision, version: value.version });
                }
            }
        };
        return {
            replace: snapshot => take(snapshot.items),
            apply: changes => take(changes.changes),
        };
    }
}
