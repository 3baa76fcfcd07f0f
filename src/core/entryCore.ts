/** The decisions of an entry, wired together; sockets, the store and time come from outside. */
import type { EndpointPort } from "../ports/forwardingPorts.js";
import type { MemoryPort } from "../ports/memoryPort.js";
import type { KnownRevisions, PeerChannelPort, PeerIdentity, ReadAges } from "../ports/peerChannelPort.js";
import type { EngineProfile, PlacementPolicy } from "../types/routing.js";
import type { Clock } from "../utils/clock.js";
import type { PartLog } from "../utils/log.js";
import type { Random } from "../utils/random.js";
import { ColdBudget, type ColdLimits } from "./budgets/coldBudget.js";
import { EndpointLimits } from "./budgets/endpointLimits.js";
import { type RetryLimits, SharedRetryBudget } from "./budgets/sharedRetryBudget.js";
import { ActiveConfiguration } from "./configuration/activeConfiguration.js";
import { Forwarder } from "./forwarding/forwarder.js";
import type { PlannedStop } from "./forwarding/forwardingDependencies.js";
import { EndpointDirectory } from "./membership/endpointDirectory.js";
import { Membership } from "./membership/membership.js";
import { Peers } from "./membership/peers.js";
import { Metrics } from "./metrics.js";
import { EndpointSelector } from "./placement/endpointSelector.js";
import { FailureTracker, type SendResult } from "./placement/failureTracker.js";
import { LoadEstimator } from "./placement/loadEstimator.js";
import { PlacementClient } from "./placement/placementClient.js";
import { PlacementServer } from "./placement/placementServer.js";
import { SharedLoadEstimator } from "./placement/sharedLoadEstimator.js";

/** What the decisions need. */
export interface EntryCoreParts {
    clock: Clock;
    random: Random;
    log: (part: string) => PartLog;
    self: PeerIdentity;
    dataCentre: string;
    channel: PeerChannelPort;
    endpoints: EndpointPort;
    memory: MemoryPort;
    policy: PlacementPolicy;
    /** Whether entries tell one another what they place. */
    sharesLoads: boolean;
    /** Cores that this entry's instance has. */
    processors?: number;
    repeatLimits: () => RetryLimits;
    coldLimits: () => ColdLimits;
    /** What this entry knows of stored objects. */
    known: () => KnownRevisions;
    /** How long ago the store answered this entry. */
    readAges: () => ReadAges;
    /** Whether the store answers this entry. */
    reads: () => boolean;
    /** Undefined while this entry isn't stopping. */
    stop: () => PlannedStop | undefined;
}

/** The decisions. */
export class EntryCore {
    readonly configuration = new ActiveConfiguration();
    readonly metrics = new Metrics();
    readonly directory: EndpointDirectory;
    readonly loads: SharedLoadEstimator;
    readonly peers: Peers;
    readonly membership: Membership;
    readonly limits: EndpointLimits;
    readonly forwarder: Forwarder;
    private readonly failures: FailureTracker;
    private readonly placing: PlacementClient;
    /** Where it takes other entries' datagrams, and where it stands. */
    readonly address: string;
    readonly dataCentre: string;

    constructor(parts: EntryCoreParts) {
        const { clock, random, log, self, dataCentre } = parts;
        this.address = self.address;
        this.dataCentre = dataCentre;
        this.directory = new EndpointDirectory(clock, log("directory"));
        this.failures = new FailureTracker(clock);
        this.loads = new SharedLoadEstimator(new LoadEstimator(clock, endpoint => this.engineOf(endpoint)), clock);
        this.peers = new Peers({
            clock,
            log: log("peers"),
            channel: parts.channel,
            loads: this.loads,
            publishesLoads: parts.sharesLoads,
            self,
            dataCentre,
            known: parts.known,
            readAges: parts.readAges,
            reads: parts.reads,
            inProgress: () => this.forwarder.activeRequestIds,
            processors: parts.processors,
            places: () => parts.sharesLoads && this.forwarder.isReady && parts.stop() === undefined,
            limits: () => this.limits.snapshot(),
            onLimits: told => this.limits.merge(told),
            onOutcome: (endpoint, fate) => this.noteOutcome(endpoint, fate),
            onPlacementAsked: (from, question) => placements.answer(from, question),
            onPlacementAnswered: answer => this.placing.receiveAnswer(answer),
        });
        this.failures.publish = (news, nobodyListens) => this.peers.publishOutcome(news, nobodyListens);
        this.loads.serviceOf = endpoint => this.directory.find(endpoint)?.record.service;
        this.loads.propagationDelay = () => this.peers.propagationDelay;
        this.membership = new Membership(this.peers, self.id);
        this.limits = new EndpointLimits(clock, log("directory"), this.membership);
        const placer = new EndpointSelector(this.loads, this.failures, random, parts.policy);
        const { directory, loads, metrics, peers } = this;
        const cold = new ColdBudget(clock, parts.coldLimits, this.membership);
        this.placing = new PlacementClient({
            clock,
            log: log("placing"),
            metrics,
            entry: self.id,
            directory,
            coldBudget: cold,
            limits: this.limits,
            selector: placer,
            loads,
            peers,
        });
        const placements = new PlacementServer({
            clock,
            routes: () => this.configuration.routes,
            directory,
            selector: placer,
            loads,
            dataCentre,
            isPlacer: () => peers.placers().self,
        });
        this.forwarder = new Forwarder({
            clock,
            random,
            log: log("request"),
            configuration: this.configuration,
            directory: this.directory,
            endpointPort: parts.endpoints,
            memoryPort: parts.memory,
            placementClient: this.placing,
            loadEstimator: this.loads,
            failureTracker: this.failures,
            retryBudget: new SharedRetryBudget(clock, parts.repeatLimits, () => this.membership.size),
            coldBudget: cold,
            endpointLimits: this.limits,
            metrics: this.metrics,
            entryId: self.id,
            dataCentre,
            isStoreReachable: parts.reads,
            plannedStop: parts.stop,
        });
    }

    private engineOf(endpoint: string): EngineProfile | undefined {
        const service = this.directory.find(endpoint)?.record.service;
        return service === undefined ? undefined : this.configuration.routes?.service(service)?.engine;
    }

    private noteOutcome(id: string, fate: SendResult): void {
        const endpoint = this.directory.get(id);
        if (endpoint) {
            this.failures.applyPeerResult(endpoint, fate);
        }
    }
}
