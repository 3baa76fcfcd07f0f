/**
 * Creates and connects the components of an entry that decide on requests: configuration, membership, placement, budgets
 * and forwarding. Sockets, the store and the clock are passed in, so that a replay can run the same code in simulated time.
 */
import type { CrashStorePort } from "../ports/crashStore.js";
import type { EndpointPort } from "../ports/forwardingPorts.js";
import type { MemoryPort } from "../ports/memoryPort.js";
import type { KnownRevisions, PeerChannelPort, PeerIdentity, ReadAges } from "../ports/peerChannelPort.js";
import type { QuarantineStorePort } from "../ports/quarantineStore.js";
import { type EndpointRecord, EndpointState, type EngineProfile, type PlacementPolicy } from "../types/routing.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import type { PartLog } from "../utils/log.js";
import type { Random } from "../utils/random.js";
import { AllowanceLoans } from "./budgets/allowanceLoans.js";
import { ColdBudget, type ColdLimits } from "./budgets/coldBudget.js";
import { ColdGrants } from "./budgets/coldGrants.js";
import { countingWindow, EndpointLimits } from "./budgets/endpointLimits.js";
import { EndpointPauses } from "./budgets/endpointPauses.js";
import { type RetryLimits, SharedRetryBudget } from "./budgets/sharedRetryBudget.js";
import { ActiveConfiguration } from "./configuration/activeConfiguration.js";
import { AnswerDurations } from "./forwarding/answerDurations.js";
import { Forwarder } from "./forwarding/forwarder.js";
import type { PlannedStop } from "./forwarding/forwardingDependencies.js";
import { EndpointDirectory, type KnownEndpoint } from "./membership/endpointDirectory.js";
import { EndpointReports } from "./membership/endpointReports.js";
import type { DigestScope, MemberList } from "./membership/memberDigest.js";
import { Membership } from "./membership/membership.js";
import { Peers } from "./membership/peers.js";
import { fullMeshPeerLimit } from "./membership/placers.js";
import { ReportedStates } from "./membership/reportedStates.js";
import { type InstanceMemory, MemoryGuard, unknownMemory } from "./memoryBounds/memoryGuard.js";
import { Metrics } from "./metrics.js";
import { ColdGranter } from "./placement/coldGranter.js";
import { Eligibility } from "./placement/eligibility.js";
import { EndpointSelector } from "./placement/endpointSelector.js";
import { FailureTracker, type SendResult } from "./placement/failureTracker.js";
import { LoadEstimator, type WorkInProgress } from "./placement/loadEstimator.js";
import { PlacementClient } from "./placement/placementClient.js";
import { PlacementServer } from "./placement/placementServer.js";
import { SharedLoadEstimator } from "./placement/sharedLoadEstimator.js";
import { CrashDetector } from "./quarantine/crashDetector.js";
import { CrashExchange } from "./quarantine/crashExchange.js";
import { PartTrials } from "./quarantine/partTrials.js";
import { Quarantine } from "./quarantine/quarantine.js";
import { QuarantineKeeper } from "./quarantine/quarantineKeeper.js";
import { SilentEnds } from "./quarantine/silentEnds.js";
import { EndedProcesses } from "./reachability/endedProcesses.js";
import { EndpointChecker } from "./reachability/endpointChecker.js";
import { LinkTracker } from "./reachability/linkTracker.js";
import { LossReports } from "./reachability/lossReports.js";
import { RelayGuard } from "./reachability/relayGuard.js";
import { type PauseAnnouncer, RelayingEndpointPort } from "./reachability/relayingEndpointPort.js";
import { RelayingMemoryPort } from "./reachability/relayingMemoryPort.js";
import { Relays } from "./reachability/relays.js";
import { StandstillProbes } from "./reachability/standstillProbes.js";
import { SchedulingPolicy, type SchedulingSettings } from "./scheduling/schedulingPolicy.js";
import type { IsOverShare } from "./waiting/waitOrder.js";
import { WaitQueue } from "./waiting/waitQueue.js";
import { WaitScheduler } from "./waiting/waitScheduler.js";

export interface EntryCoreDependencies {
    clock: Clock;
    random: Random;
    log: (part: string) => PartLog;
    self: PeerIdentity;
    dataCentre: string;
    channel: PeerChannelPort;
    endpointPort: EndpointPort;
    memoryPort: MemoryPort;
    quarantineStore: QuarantineStorePort;
    crashStore: CrashStorePort;
    policy: PlacementPolicy;
    /** Whether entries publish their placements to one another. */
    publishesPlacements: boolean;
    /** Which optional parts of the scheduling are on. */
    scheduling: () => SchedulingSettings;
    /** Whether a customer uses more than its share of a service; without it, no customer does. */
    isOverShare?: IsOverShare;
    /** Number of processor cores of this entry's instance. */
    processors?: number;
    /** Memory of this entry's instance; without it, buffered bytes are not bounded. */
    memory?: InstanceMemory;
    /** Connections of other entries that are carried at the same time. */
    maximumCarriedConnections?: number;
    /** Whether the platform announces callers and endpoints that read slowly. */
    expectsSlowReaders?: () => boolean;
    retryLimits: () => RetryLimits;
    coldLimits: () => ColdLimits;
    /** The revisions of stored objects that this entry has. */
    knownRevisions: () => KnownRevisions;
    /** How long ago the store last responded to this entry. */
    readAges: () => ReadAges;
    /** Whether the whole site starts for the first time, so that nothing was known before. */
    isFirstStart: boolean;
    /** Whether the store responds to this entry. */
    isStoreReachable: () => boolean;
    /** The planned stop; undefined while this entry isn't stopping. */
    plannedStop: () => PlannedStop | undefined;
    /** Fetches the list of living entries of the placer at `address`. */
    fetchMembers: (address: string, scope: DigestScope) => Promise<MemberList | undefined>;
    /** Tells another entry that an endpoint asked it for a pause. */
    announcePause: PauseAnnouncer;
}

/** An endpoint that has no slot for a health check refuses it, or says nothing; neither tells of another process. */
const healthCheckTimeout: Milliseconds = 300;

/** The components of one entry that decide on requests. */
export class EntryCore {
    readonly configuration = new ActiveConfiguration();
    readonly metrics = new Metrics();
    readonly directory: EndpointDirectory;
    readonly loads: SharedLoadEstimator;
    readonly peers: Peers;
    readonly membership: Membership;
    readonly limits: EndpointLimits;
    readonly pauses: EndpointPauses;
    readonly reportedStates: ReportedStates;
    readonly quarantine: Quarantine;
    readonly quarantineKeeper: QuarantineKeeper;
    readonly crashExchange: CrashExchange;
    readonly links: LinkTracker;
    /** Admits connections that this entry carries for others. */
    readonly relayGuard: RelayGuard;
    readonly forwarder: Forwarder;
    readonly schedulingPolicy: SchedulingPolicy;
    /** Bounds the bytes that are buffered for callers and endpoints. */
    readonly memoryGuard: MemoryGuard;
    /** Whether streams are read on while their callers don't read them. */
    readonly queuesUnreadResponses: () => boolean;
    /** The wait queue of this entry. */
    readonly waitScheduler: WaitScheduler;
    private readonly loans: AllowanceLoans;
    private readonly failures: FailureTracker;
    private readonly placementClient: PlacementClient;
    readonly id: string;
    /** Address at which this entry receives its peers' datagrams. */
    readonly address: string;
    readonly dataCentre: string;

    constructor(dependencies: EntryCoreDependencies) {
        const { clock, random, log, self, dataCentre } = dependencies;
        this.id = self.id;
        this.address = self.address;
        this.dataCentre = dataCentre;
        this.schedulingPolicy = new SchedulingPolicy({
            settings: dependencies.scheduling,
            configuration: () => this.configuration.routes?.configuration,
            hasPlacers: () => !this.peers.placers().everyone,
        });
        this.memoryGuard = new MemoryGuard({
            clock,
            log: log("buffers"),
            metrics: this.metrics,
            memory: dependencies.memory ?? unknownMemory,
            largestBodyBytes: () => this.configuration.routes?.configuration.limits.bodyBytes ?? 0,
        });
        this.queuesUnreadResponses = () =>
            this.schedulingPolicy.boundsSlowReaders(dependencies.expectsSlowReaders?.() ?? false);
        this.directory = new EndpointDirectory(clock, log("directory"));
        this.failures = new FailureTracker(clock, log("failures"), self.id);
        this.loads = new SharedLoadEstimator(new LoadEstimator(clock, endpoint => this.engineOf(endpoint)), clock);
        this.peers = new Peers({
            clock,
            log: log("peers"),
            channel: dependencies.channel,
            loads: this.loads,
            publishesLoads: dependencies.publishesPlacements,
            self,
            dataCentre,
            knownRevisions: dependencies.knownRevisions,
            readAges: dependencies.readAges,
            isStoreReachable: dependencies.isStoreReachable,
            activeRequestIds: () => this.forwarder.activeRequestIds,
            processors: dependencies.processors,
            mayPlaceForOthers: () =>
                dependencies.publishesPlacements && this.forwarder.isReady && dependencies.plannedStop() === undefined,
            limits: () => this.limits.snapshot(),
            onLimits: advertised => this.limits.merge(advertised),
            onAllowanceAsked: (from, serial) => this.loans.answer(from, serial),
            onAllowanceReturned: (from, serial, kept) => this.loans.receiveReturn(from, serial, kept),
            onAllowanceLent: (from, serial, allowances) => this.loans.receive(from, serial, allowances),
            lendsColdParts: () => this.schedulingPolicy.usesColdGrants(!this.peers.placers().everyone),
            onColdPartsAsked: (from, serial) => coldGrants.answer(from, serial),
            onColdPartsLent: (from, serial, parts) => coldGrants.receive(from, serial, parts),
            reportedStates: () => this.reportedStates.snapshot(),
            onReportedStates: states => this.reportedStates.merge(states),
            crashNews: () => this.quarantine.snapshot(),
            hasUrgentCrashNews: () => this.quarantine.hasUrgentNews,
            onCrashNews: (from, news) => this.quarantine.merge(from, news),
            reachesEndpoints: () => !this.links.isCutOff,
            usesDigests: () => this.schedulingPolicy.usesHeartbeatDigests(true),
            fetchMembers: dependencies.fetchMembers,
            onMembersFetched: () => this.metrics.count("member_lists_fetched_total"),
            onOutcome: (from, endpoint, fate) => this.applyPeerOutcome(from, endpoint, fate),
            onPlacementAsked: (from, question) => placementServer.answer(from, question),
            onPlacementAnswered: answer => this.placementClient.receiveAnswer(answer),
            onWaitWithdrawn: (from, requestId) => placementServer.withdraw(from, requestId),
        });
        this.failures.publish = (update, isConnectionRefused) => this.peers.publishOutcome(update, isConnectionRefused);
        this.loads.serviceOf = endpoint => this.directory.find(endpoint)?.record.service;
        this.loads.propagationDelay = () => this.peers.propagationDelay;
        this.membership = new Membership(this.peers, self.id);
        this.limits = new EndpointLimits(clock, log("directory"), this.membership);
        this.pauses = new EndpointPauses(clock, log("directory"));
        this.reportedStates = new ReportedStates(clock, log("directory"));
        this.quarantine = new Quarantine(clock, log("crashes"));
        this.quarantine.onChange = () => this.peers.publishEndpointReport();
        this.limits.onChange = () => this.peers.publishEndpointReport();
        this.reportedStates.onChange = () => this.peers.publishEndpointReport();
        const selector = new EndpointSelector(this.loads, this.failures, random, dependencies.policy);
        const { directory, loads, metrics, peers } = this;
        const coldBudget = new ColdBudget(clock, dependencies.coldLimits, this.membership);
        const { limits, pauses, reportedStates } = this;
        const loans = new AllowanceLoans({
            clock,
            self: self.id,
            countingWindow,
            unusedAllowances: () => limits.unusedAllowances(),
            livingPeers: () => peers.livingPeers().map(({ identity }) => identity),
            borrowedUse: endpoint => limits.borrowedUse(endpoint),
            ask: (address, serial) => peers.requestAllowance(address, serial),
            giveBack: (address, serial, kept) => peers.returnAllowance(address, serial, kept),
            lend: (address, serial, allowances) => peers.lendAllowance(address, serial, allowances),
        });
        limits.loans = loans;
        this.loans = loans;
        const onShortage = () => loans.recordNeed();
        const eligibility = new Eligibility({
            clock,
            directory,
            coldBudget,
            limits,
            pauses,
            reportedStates,
            onShortage,
            onColdDemand: isShort => coldGrants.recordDemand(isShort),
        });
        const usesColdGrants = () => this.schedulingPolicy.usesColdGrants(!peers.placers().everyone);
        const coldGrants = new ColdGrants({
            clock,
            random,
            log: log("cold"),
            isOn: usesColdGrants,
            isFirstStart: dependencies.isFirstStart,
            isPlacer: () => peers.placers().self,
            reachesPlacers: () => peers.placersToAsk().length > 0,
            lendableParts: borrower =>
                (this.configuration.routes?.configuration.services ?? []).flatMap(service =>
                    eligibility.lendableParts(service, borrower)
                ),
            lenders: () => peers.livingColdLenders(),
            ask: (address, serial) => peers.requestColdParts(address, serial),
            lend: (address, serial, parts) => peers.lendColdParts(address, serial, parts),
        });
        coldBudget.grants = coldGrants;
        // An entry that has just started hears few others yet, and takes no part that its earlier process may have lent.
        coldBudget.lendsParts = () =>
            usesColdGrants()
            || (!coldGrants.isSettled
                && this.schedulingPolicy.usesColdGrants(peers.ids().length > fullMeshPeerLimit));
        this.links = new LinkTracker({
            clock,
            random,
            log: log("links"),
            endpointPort: dependencies.endpointPort,
            listed: () => this.configuredEndpoints(),
        });
        this.links.onChange = () => this.peers.publishEndpointReport();
        const relays = new Relays({ clock, random, dataCentre, livingPeers: () => this.peers.livingPeers() });
        this.relayGuard = new RelayGuard(this.links, directory, eligibility, dependencies.maximumCarriedConnections);
        const checker = new EndpointChecker(clock, dependencies.endpointPort, this.links, relays);
        const crashDetector = new CrashDetector({
            clock,
            log: log("crashes"),
            metrics,
            checker,
            isReplaced: endpoint => this.isReplaced(endpoint, dependencies.endpointPort),
            isLeaving: endpoint => this.isLeaving(endpoint),
        });
        crashDetector.onCrash = crash => this.quarantine.recordCrash(crash);
        const endedProcesses = new EndedProcesses({ clock, log: log("directory"), directory, checker });
        const silentEnds = new SilentEnds({
            clock,
            log: log("crashes"),
            metrics,
            endedProcesses,
            isLeaving: endpoint => this.isLeaving(endpoint),
        });
        silentEnds.onCrash = crash => this.quarantine.recordCrash(crash);
        directory.onReplaced = previous => {
            if (previous.state === EndpointState.Ready) {
                crashDetector.recordRestart(previous.id);
            }
            endedProcesses.recordReplaced(previous);
        };
        directory.onGone = endpoint => void endedProcesses.verify(endpoint);
        this.waitScheduler = new WaitScheduler({
            clock,
            random,
            log: log("waiting"),
            metrics,
            queue: new WaitQueue(dependencies.isOverShare ?? (() => false)),
        });
        const { waitScheduler } = this;
        this.placementClient = new PlacementClient({
            clock,
            log: log("placing"),
            metrics,
            entry: self.id,
            directory,
            eligibility,
            selector,
            loads,
            peers,
            grantedColdBudget: () => usesColdGrants() ? coldBudget : undefined,
            waitScheduler,
        });
        const placementServer = new PlacementServer({
            clock,
            routes: () => this.configuration.routes,
            directory,
            eligibility,
            selector,
            loads,
            dataCentre,
            isPlacer: () => peers.placers().self,
            coldGranter: new ColdGranter({
                log: log("cold"),
                metrics,
                directory,
                eligibility,
                coldBudget,
                coldGrants,
            }),
            usesQueue: service => this.schedulingPolicy.usesWaitQueue(service),
            waitScheduler,
            push: (entry, answer) => peers.pushPlacementAnswer(entry, answer),
        });
        this.quarantineKeeper = new QuarantineKeeper({
            clock,
            log: log("crashes"),
            store: dependencies.quarantineStore,
            quarantine: this.quarantine,
            membership: this.membership,
            isStoreReachable: dependencies.isStoreReachable,
            readsAtStart: !dependencies.isFirstStart,
            isIsolated: () => this.peers.livingCount === 1 && this.peers.ids().length > 0,
        });
        this.crashExchange = new CrashExchange({
            clock,
            random,
            log: log("crashes"),
            store: dependencies.crashStore,
            self: self.id,
            quarantine: this.quarantine,
            membership: this.membership,
            isStoreReachable: dependencies.isStoreReachable,
            entryCount: () => this.peers.livingCount,
        });
        this.quarantine.onCrashDetected = () => this.crashExchange.recordDetected();
        this.forwarder = new Forwarder({
            clock,
            random,
            log: log("request"),
            configuration: this.configuration,
            directory: this.directory,
            endpointPort: new RelayingEndpointPort({
                clock,
                log: log("links"),
                metrics,
                endpointPort: dependencies.endpointPort,
                links: this.links,
                relays,
                announcePause: dependencies.announcePause,
            }),
            memoryPort: new RelayingMemoryPort(dependencies.memoryPort, this.links, relays),
            placementClient: this.placementClient,
            schedulingPolicy: this.schedulingPolicy,
            loadEstimator: this.loads,
            failureTracker: this.failures,
            lossReports: new LossReports(checker, this.failures),
            endedProcesses,
            endpointChecker: checker,
            standstillProbes: new StandstillProbes(dependencies.endpointPort),
            retryBudget: new SharedRetryBudget(clock, dependencies.retryLimits, () => this.membership.budgetDivisor),
            coldBudget,
            eligibility,
            endpointLimits: this.limits,
            endpointReports: new EndpointReports(this.limits, this.pauses, this.reportedStates),
            crashDetector,
            silentEnds,
            quarantine: this.quarantine,
            quarantineStore: dependencies.quarantineStore,
            quarantineLoaded: this.quarantineKeeper.loaded,
            partTrials: new PartTrials({
                random,
                entryCount: () => this.peers.livingCount,
                isAmongFirst: (count, task) => this.membership.isAmongFirst(count, task),
            }),
            metrics: this.metrics,
            answerDurations: new AnswerDurations(clock),
            entryId: self.id,
            dataCentre,
            isStoreReachable: dependencies.isStoreReachable,
            plannedStop: dependencies.plannedStop,
        });
    }

    /**
     * Adds the work in progress that another entry knows. Its list may still hold work of this entry that has just ended, and no
     * update would end that a second time.
     */
    learnWork(works: readonly WorkInProgress[]): void {
        this.loads.merge(works.filter(({ owner }) => owner !== this.id));
    }

    /** Whether the endpoint's listed or reported state says that it shuts down. */
    private isLeaving(endpoint: EndpointRecord): boolean {
        const { state } = this.directory.get(endpoint.id)?.record ?? endpoint;
        return state === EndpointState.Draining || this.reportedStates.isLeaving(endpoint);
    }

    /** The listed endpoints of services that the configuration names. A record of another service may be another writer's. */
    private configuredEndpoints(): KnownEndpoint[] {
        const { routes } = this.configuration;
        return this.directory.listed().filter(({ record }) => routes?.service(record.service) !== undefined);
    }

    private async isReplaced(endpoint: EndpointRecord, endpointPort: EndpointPort): Promise<boolean> {
        const healthPath = this.configuration.routes?.service(endpoint.service)?.healthPath;
        const isReplaced = healthPath !== undefined
            && await endpointPort.isReplaced(endpoint, healthPath, healthCheckTimeout);
        if (isReplaced) {
            this.directory.recordAddressTaken(endpoint);
        }
        this.metrics.count("endpoint_identity_checks_total");
        return isReplaced;
    }

    private engineOf(endpoint: string): EngineProfile | undefined {
        const service = this.directory.find(endpoint)?.record.service;
        return service === undefined ? undefined : this.configuration.routes?.service(service)?.engine;
    }

    private applyPeerOutcome(from: string, id: string, fate: SendResult): void {
        const endpoint = this.directory.get(id);
        if (endpoint) {
            this.failures.applyPeerResult(endpoint, fate, from);
        }
    }
}
