/**
 * Facade for the communication between entries: sends this entry's heartbeats, placements and store reads, and dispatches
 * the updates received from peers.
 */
import type {
    AdvertisedLimit,
    CrashNews,
    KnownRevisions,
    LentAllowance,
    PeerAddress,
    PeerChannelPort,
    PeerIdentity,
    PeerPacket,
    PeerStatus,
    PeerUpdate,
    ReadAges,
    ReportedState,
    StateDelta,
} from "../../ports/peerChannelPort.js";
import type { StateKind } from "../../ports/statePort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import { type OutcomeUpdate, SendResult } from "../placement/failureTracker.js";
import type { PlacementAnswer, PlacementQuestion } from "../placement/placementQuestion.js";
import type { LoadUpdate, SharedLoadEstimator } from "../placement/sharedLoadEstimator.js";
import { chooseWaitPlacer, type WaitPlacer } from "../waiting/waitPlacer.js";
import { DigestExchange } from "./digestExchange.js";
import { HeartbeatSender } from "./heartbeatSender.js";
import type { DigestScope, MemberList, MemberState } from "./memberDigest.js";
import { Contact, type LivingPeer, PeerRegistry } from "./peerRegistry.js";
import { type PlacerCandidate, PlacerRoster, type PlacerSet, receivesAllPlacements } from "./placers.js";
import {
    completionBatching,
    directPropagationDelay,
    noBatching,
    placementBatching,
    UpdateSender,
} from "./updateSender.js";
import { deserializePlacement, serializeLoadUpdate } from "./workSerialization.js";

/** Work placed less than this before a heartbeat may still be missing from the heartbeat's requests in progress. */
const inProgressSlack: Milliseconds = 300;
/** Time after the start in which the others learn of this entry, so that their placements don't reach it yet. */
const joinDuration: Milliseconds = 1_000;
/** Reports of endpoints that arrive within this time are announced together. */
const reportBatchingDelay: Milliseconds = 20;
/** Lower than every revision, for a kind that was never read. */
const noRevision = -1;
/** Interval at which an entry that starts checks whether it is able to choose endpoints. */
const readinessPollInterval: Milliseconds = 50;

/** Dependencies of {@link Peers}. */
export interface PeersDependencies {
    clock: Clock;
    log: PartLog;
    channel: PeerChannelPort;
    loads: SharedLoadEstimator;
    /** Whether this entry publishes its placements. */
    publishesLoads: boolean;
    self: PeerIdentity;
    dataCentre: string;
    /** Revision of the last change of each kind of stored objects that this entry has applied. */
    knownRevisions: () => KnownRevisions;
    /** How long ago the store last responded to this entry, by kind. */
    readAges: () => ReadAges;
    /** Whether the store responds to this entry. */
    isStoreReachable: () => boolean;
    /** Identifiers of this entry's requests in progress. */
    activeRequestIds: () => string[];
    /** Processor cores of this entry's instance, and whether this entry is able to choose endpoints for others. */
    processors?: number;
    mayPlaceForOthers?: () => boolean;
    /** The limits that endpoints have advertised to this entry, and a callback for those received from another entry. */
    limits?: () => AdvertisedLimit[];
    onLimits?: (limits: readonly AdvertisedLimit[]) => void;
    onAllowanceAsked?: (from: PeerIdentity, serial: number) => void;
    onAllowanceReturned?: (from: string, serial: number, kept: readonly LentAllowance[]) => void;
    onAllowanceLent?: (from: PeerIdentity, serial: number, allowances: readonly LentAllowance[]) => void;
    /** Whether this entry lends its parts of cold endpoints, and callbacks for questions and answers. */
    lendsColdParts?: () => boolean;
    onColdPartsAsked?: (from: PeerIdentity, serial: number) => void;
    onColdPartsLent?: (from: string, serial: number, parts: readonly LentAllowance[]) => void;
    /** The states that endpoints have reported to this entry, and a callback for those received from another entry. */
    reportedStates?: () => ReportedState[];
    onReportedStates?: (states: readonly ReportedState[]) => void;
    /** What this entry knows about requests that crash endpoints, and a callback for what another entry knows. */
    crashNews?: () => CrashNews | undefined;
    onCrashNews?: (from: string, news: CrashNews) => void;
    /** Whether all other entries need to hear of it directly; the placers repeat the rest. */
    hasUrgentCrashNews?: () => boolean;
    /** Whether this entry can connect to endpoints. */
    reachesEndpoints?: () => boolean;
    /** Whether heartbeats go by way of the placers, where there are some; and how to fetch a placer's list of members. */
    usesDigests?: () => boolean;
    fetchMembers?: (address: string, scope: DigestScope) => Promise<MemberList | undefined>;
    onMembersFetched?: () => void;
    /** Called with the result of another entry's sends to an endpoint. */
    onOutcome?: (from: string, endpoint: string, fate: SendResult) => void;
    /** Called when another entry asks for the placement of a request, and with the answer to this entry's own question. */
    onPlacementAsked?: (from: string, question: PlacementQuestion) => PlacementAnswer;
    onPlacementAnswered?: (answer: PlacementAnswer) => void;
    /** Called when a request of another entry waits no longer. */
    onWaitWithdrawn?: (from: string, requestId: string) => void;
}

/** Exchanges updates with the other entries. */
export class Peers {
    /** Called when a peer reports a newer revision of stored objects, and with each heartbeat of this entry. */
    onPeerStatus: () => void = () => {};
    /** Called with a delta of stored objects from another entry. */
    onStateDelta: (change: StateDelta) => void = () => {};
    /** Whether this entry watches the store for all, so that other groups need all of its heartbeats. */
    isWatcher: () => boolean = () => false;
    private foundEntries = false;
    /** Entries whose latest heartbeat says that they lend parts of cold endpoints. */
    private readonly coldLenders = new Set<string>();
    private startedAt: Milliseconds = Infinity;
    /** Whether this entry was able to choose endpoints when it sent its last heartbeat. */
    private announcedPlacing = false;
    private isReportDue = false;
    private readonly registry: PeerRegistry;
    private readonly sender: UpdateSender;
    private readonly roster: PlacerRoster;
    private readonly heartbeats: HeartbeatSender;
    private readonly digests: DigestExchange;

    constructor(private readonly dependencies: PeersDependencies) {
        const { clock, log, self, channel, dataCentre } = dependencies;
        this.registry = new PeerRegistry(clock, log, self);
        this.roster = new PlacerRoster(clock, () => this.ownCandidacy(), () => this.candidates());
        const placers = () => this.roster.current();
        this.digests = new DigestExchange({
            clock,
            registry: this.registry,
            dataCentre,
            isPlacer: () => this.isPlacerAmongOthers,
            self: () => this.ownMemberState(),
            fetchMembers: dependencies.fetchMembers ?? (() => Promise.resolve(undefined)),
            onChange: () => {
                this.sender.invalidateRecipients();
                this.roster.invalidate();
            },
            onFetch: () => dependencies.onMembersFetched?.(),
        });
        this.sender = new UpdateSender({ clock, channel, registry: this.registry, self, dataCentre, placers });
        this.heartbeats = new HeartbeatSender({
            clock,
            registry: this.registry,
            sender: this.sender,
            dataCentre,
            placers,
            activeRequestIds: dependencies.activeRequestIds,
            status: nextIn => this.ownStatus(nextIn),
            isCoveredByDigests: () =>
                this.usesDigests && this.digests.isCovered && !(dependencies.hasUrgentCrashNews?.() ?? false),
            createDigest: scope =>
                this.usesDigests && this.isPlacerAmongOthers ? this.digests.createDigest(scope) : undefined,
        });
        if (dependencies.publishesLoads) {
            dependencies.loads.publish = update => this.publishLoad(update);
        }
    }

    /** Number of living entries, this one included. */
    get livingCount(): number {
        return this.registry.living().length + 1;
    }

    /** How long a placement of another entry takes to reach this one; infinite where not all of them do. */
    get propagationDelay(): Milliseconds {
        const hasJoined = this.dependencies.clock.now() - this.startedAt >= joinDuration;
        return hasJoined && receivesAllPlacements(this.roster.current()) ? directPropagationDelay : Infinity;
    }

    /** The living entries by this entry's list, for an entry that follows its digests. */
    listMembers(scope: DigestScope): MemberList {
        return this.digests.listMembers(scope);
    }

    private get usesDigests(): boolean {
        return this.dependencies.usesDigests?.() ?? false;
    }

    private get isPlacerAmongOthers(): boolean {
        const { everyone, self } = this.roster.current();
        return self && !everyone;
    }

    /** The other living entries. */
    livingPeers(): readonly LivingPeer[] {
        return this.registry.living();
    }

    /** The other living entries whose latest heartbeats arrived. */
    freshPeers(): readonly LivingPeer[] {
        return this.registry.living().filter(peer => this.registry.isFresh(peer));
    }

    /** The current placers. */
    placers(): PlacerSet {
        return this.roster.current();
    }

    /** The placers to ask, in order of preference; empty where this entry chooses endpoints itself. */
    placersToAsk(): readonly PlacerCandidate[] {
        const { everyone, self, asked } = this.roster.current();
        return everyone || self ? [] : asked;
    }

    /** The entry that keeps the wait queue of a service. */
    waitPlacer(service: string): WaitPlacer {
        return chooseWaitPlacer(service, this.dependencies.self.id, this.roster.current());
    }

    /** Whether any placer is in back-off. */
    hasUnresponsivePlacers(): boolean {
        const { others, asked } = this.roster.current();
        return asked.length < others.length;
    }

    /** Puts a placer that didn't respond in back-off. */
    recordPlacerTimeout(id: string): void {
        this.roster.recordTimeout(id);
    }

    /** Asks the placer at `address` for the placement of a request. */
    requestPlacement(address: string, question: PlacementQuestion): void {
        this.sender.sendTo([address], [{ type: "PlacementAsked", question }]);
    }

    /** Sends an answer to an entry whose request has waited here. An entry that is gone doesn't get it. */
    pushPlacementAnswer(entry: string, answer: PlacementAnswer): void {
        const owner = this.registry.living().find(({ identity }) => identity.id === entry);
        if (owner) {
            this.sender.sendTo([owner.identity.address], [{ type: "PlacementAnswered", answer }]);
        }
    }

    /** Tells the placer at `address` that a request waits no longer. */
    withdrawWaiter(address: string, requestId: string): void {
        this.sender.sendTo([address], [{ type: "WaitWithdrawn", requestId }]);
    }

    /** Asks the entry at `address` for a part of its unused shares of endpoints' limits. */
    requestAllowance(address: string, serial: number): void {
        this.sender.sendTo([address], [{ type: "AllowanceAsked", serial }]);
    }

    /** Gives back to the entry at `address` what this one doesn't keep of a loan. */
    returnAllowance(address: string, serial: number, kept: LentAllowance[]): void {
        this.sender.sendTo([address], [{ type: "AllowanceReturned", serial, kept }]);
    }

    /** Tells the entry at `address` what this one lends to it. */
    lendAllowance(address: string, serial: number, allowances: LentAllowance[]): void {
        this.sender.sendTo([address], [{ type: "AllowanceLent", serial, allowances }]);
    }

    /** The other living entries that lend their parts of cold endpoints. */
    livingColdLenders(): readonly PeerAddress[] {
        return this.livingPeers().map(({ identity }) => identity).filter(({ id }) => this.coldLenders.has(id));
    }

    /** Asks the entry at `address` for its unused parts of cold endpoints' allowances. */
    requestColdParts(address: string, serial: number): void {
        this.sender.sendTo([address], [{ type: "ColdPartsAsked", serial }]);
    }

    /** Tells the placer at `address` what this entry lends to it. */
    lendColdParts(address: string, serial: number, parts: LentAllowance[]): void {
        this.sender.sendTo([address], [{ type: "ColdPartsLent", serial, parts }]);
    }

    /** Changes whenever the set of known entries or their reported state changes. */
    get version(): number {
        return this.registry.version;
    }

    /** Identifiers of all other known entries, living or not. */
    ids(): string[] {
        return this.registry.ids();
    }

    /** Listed entries that must have failed. */
    lostEntries(): string[] {
        return this.registry.lostEntries();
    }

    /** Applies the list of entries in the store. */
    applyListing(addresses: readonly PeerAddress[]): void {
        this.registry.applyListing(addresses);
        this.foundEntries = true;
        this.sender.invalidateRecipients();
    }

    /** Whether the list of entries was read or received from another entry. */
    get hasFoundEntries(): boolean {
        return this.foundEntries;
    }

    /** Asks the entries at `addresses` for the entries that they know. */
    sendGreetings(addresses: readonly string[]): void {
        for (const address of addresses) {
            this.sender.sendTo([address], [{ type: "Greeting" }]);
        }
    }

    /** Relays and applies the messages of a datagram. */
    receive({ messages, passOn }: PeerPacket): void {
        const others = messages.filter(({ from }) => from.id !== this.dependencies.self.id);
        this.sender.relay(others, passOn);
        for (const { from, news } of others) {
            this.recordSender(from);
            for (const update of news) {
                this.applyUpdate(from, update);
            }
        }
    }

    /** Sends heartbeats until `signal` aborts. */
    async runHeartbeats(signal: AbortSignal): Promise<void> {
        this.startedAt = this.dependencies.clock.now();
        while (!signal.aborted) {
            this.announcedPlacing ||= this.ownCandidacy().places;
            const interval = this.heartbeats.send(this.isWatcher());
            this.registry.removeLostPeers();
            this.onPeerStatus();
            await this.sleepUntilHeartbeat(interval, signal);
        }
    }

    /**
     * Sleeps for `interval`, or until this entry becomes able to choose endpoints for the first time. If the others learned of
     * that half a second later, all entries that have just started together would choose by themselves for as long, without
     * knowing of one another's placements.
     */
    private async sleepUntilHeartbeat(interval: Milliseconds, signal: AbortSignal): Promise<void> {
        const { clock } = this.dependencies;
        const wakesAt = clock.now() + interval;
        while (!this.announcedPlacing && !signal.aborted && clock.now() < wakesAt) {
            await clock.sleep(Math.min(readinessPollInterval, wakesAt - clock.now()), signal);
            if (this.ownCandidacy().places) {
                return;
            }
        }
        await clock.sleep(Math.max(0, wakesAt - clock.now()), signal);
    }

    /** Publishes that the store has responded to this entry, with the delta if it is small. */
    publishStoreRead(change: StateDelta | undefined): void {
        const { knownRevisions, readAges } = this.dependencies;
        this.sender.broadcast({ type: "StoreRead", known: knownRevisions(), readAges: readAges(), change }, noBatching);
    }

    /**
     * Publishes the result of sends to an endpoint. Entries of a small site publish only refused connections, since each
     * entry observes enough other results itself.
     */
    publishOutcome(update: OutcomeUpdate, isConnectionRefused: boolean): void {
        if (!this.placers().everyone) {
            this.sender.sendToPlacers(update, placementBatching.ownGroup);
        }
        else if (isConnectionRefused) {
            this.sender.broadcast(update, placementBatching);
        }
    }

    /**
     * Announces what an endpoint newly reported about itself. Until the next heartbeats, which take a second and a half
     * by way of a placer, the other entries would send to an overloaded endpoint as before.
     */
    publishEndpointReport(): void {
        if (this.isReportDue) {
            return;
        }
        this.isReportDue = true;
        this.dependencies.clock.after(reportBatchingDelay, () => {
            this.isReportDue = false;
            this.heartbeats.sendStatusAhead();
        });
    }

    /** Announces this entry's shutdown. */
    publishStopping(): void {
        this.sender.broadcast({ type: "Stopping" }, noBatching);
    }

    private ownStatus(nextIn: Milliseconds): PeerStatus {
        const { knownRevisions, readAges, isStoreReachable, dataCentre } = this.dependencies;
        const { processors, places } = this.ownCandidacy();
        const usesDigests = this.usesDigests;
        const known = knownRevisions();
        return {
            known,
            readAges: usesDigests && this.isPlacerAmongOthers ? this.newestReadAges(known, readAges()) : readAges(),
            usesDigests,
            reads: isStoreReachable(),
            dataCentre,
            signInterval: nextIn,
            processors,
            places,
            limits: this.dependencies.limits?.() ?? [],
            reportedStates: this.dependencies.reportedStates?.() ?? [],
            crashNews: this.dependencies.crashNews?.(),
            reachesEndpoints: this.dependencies.reachesEndpoints?.() ?? true,
            lendsColdParts: this.dependencies.lendsColdParts?.() === true ? true : undefined,
        };
    }

    /**
     * How long ago the store last responded to any entry without a change that this one doesn't know. What this entry knows was
     * complete at that time, so it holds for whoever knows as much.
     */
    private newestReadAges(known: KnownRevisions, ownAges: ReadAges): ReadAges {
        const now = this.dependencies.clock.now();
        const ages: ReadAges = { ...ownAges };
        for (const peer of this.registry.living()) {
            for (const [kind, readAt] of Object.entries(peer.readAt) as [StateKind, Milliseconds][]) {
                const revision = known[kind];
                if (revision !== undefined && (peer.known[kind] ?? noRevision) <= revision) {
                    ages[kind] = Math.min(ages[kind] ?? Infinity, now - readAt);
                }
            }
        }
        return ages;
    }

    private ownMemberState(): MemberState {
        const { self, isStoreReachable, reachesEndpoints } = this.dependencies;
        const { dataCentre, processors, places } = this.ownCandidacy();
        return {
            ...self,
            dataCentre,
            processors,
            places,
            reads: isStoreReachable(),
            reachesEndpoints: reachesEndpoints?.() ?? true,
            usesDigests: this.usesDigests,
        };
    }

    private ownCandidacy(): PlacerCandidate {
        const { self, dataCentre, processors = 1, mayPlaceForOthers = () => true } = this.dependencies;
        return { id: self.id, address: self.address, dataCentre, processors, places: mayPlaceForOthers() };
    }

    private candidates(): PlacerCandidate[] {
        return this.registry.living().map(({ identity: { id, address }, dataCentre, processors, places }) => ({
            id,
            address,
            dataCentre,
            processors,
            places,
        }));
    }

    private recordSender(from: PeerIdentity): void {
        const contact = this.registry.recordReceived(from);
        if (contact === Contact.Known) {
            return;
        }
        this.coldLenders.delete(from.id);
        if (contact === Contact.Restarted) {
            // The work in progress of an earlier incarnation ended with its process. The work of a new entry is kept: this
            // entry has just learned it from another one, and would tell the other placers that it has ended.
            this.retainWork(from.id, [], this.dependencies.clock.now());
        }
        this.sender.invalidateRecipients();
        this.roster.invalidate();
    }

    private applyUpdate(from: PeerIdentity, update: PeerUpdate): void {
        const { clock, loads } = this.dependencies;
        switch (update.type) {
            case "Placed":
                loads.apply({ type: "Placed", works: deserializePlacement(update, clock.now()) });
                return;
            case "Writing":
            case "Ended":
                loads.apply(update);
                return;
            case "Alive":
                if (update.inProgress) {
                    this.retainWork(from.id, update.inProgress, clock.now() - inProgressSlack);
                }
                this.applyStatus(from, update.status);
                return;
            case "StoreRead":
                if (update.change) {
                    this.onStateDelta(update.change);
                }
                this.mergeStatus(from.id, { known: update.known, readAges: update.readAges });
                return;
            case "Outcome":
                this.dependencies.onOutcome?.(from.id, update.endpoint, update.fate);
                return;
            case "PlacementAsked":
                this.answerPlacement(from, update.question);
                return;
            case "PlacementAnswered":
                this.dependencies.onPlacementAnswered?.(update.answer);
                return;
            case "WaitWithdrawn":
                this.dependencies.onWaitWithdrawn?.(from.id, update.requestId);
                return;
            case "AllowanceAsked":
                this.dependencies.onAllowanceAsked?.(from, update.serial);
                return;
            case "AllowanceLent":
                this.dependencies.onAllowanceLent?.(from, update.serial, update.allowances);
                return;
            case "AllowanceReturned":
                this.dependencies.onAllowanceReturned?.(from.id, update.serial, update.kept);
                return;
            case "ColdPartsAsked":
                this.dependencies.onColdPartsAsked?.(from, update.serial);
                return;
            case "ColdPartsLent":
                this.dependencies.onColdPartsLent?.(from.id, update.serial, update.parts);
                return;
            case "Stopping":
                if (this.registry.recordStopping(from.id)) {
                    this.sender.invalidateRecipients();
                    this.roster.invalidate();
                }
                return;
            case "Greeting":
                this.sender.sendTo([from.address], [
                    { type: "Entries", entries: this.registry.addresses() },
                    this.heartbeats.createHeartbeat(),
                ]);
                return;
            case "Entries":
                this.registry.addEntries(update.entries);
                this.foundEntries = true;
                this.sender.invalidateRecipients();
                return;
        }
    }

    private applyStatus(
        from: PeerIdentity,
        { limits, reportedStates = [], crashNews, digest, lendsColdParts, ...status }: PeerStatus,
    ): void {
        const { id } = from;
        if (lendsColdParts === true) {
            this.coldLenders.add(id);
        }
        else {
            this.coldLenders.delete(id);
        }
        this.dependencies.onLimits?.(limits);
        this.dependencies.onReportedStates?.(reportedStates);
        if (crashNews) {
            this.dependencies.onCrashNews?.(id, crashNews);
        }
        this.mergeStatus(id, status);
        if (digest && this.usesDigests) {
            this.digests.receive(from, status.dataCentre, digest);
        }
    }

    private mergeStatus(id: string, status: Partial<PeerStatus>): void {
        const { reportsNewerState, changesPlacing } = this.registry.mergeStatus(id, status);
        if (changesPlacing) {
            this.roster.invalidate();
        }
        if (reportsNewerState) {
            this.onPeerStatus();
        }
    }

    private answerPlacement(from: PeerIdentity, question: PlacementQuestion): void {
        const answer = this.dependencies.onPlacementAsked?.(from.id, question);
        if (answer) {
            this.sender.sendTo([from.address], [{ type: "PlacementAnswered", answer }]);
        }
    }

    /** Ends estimated work that its entry no longer has in progress. A placer informs the other placers of the ended work. */
    private retainWork(owner: string, inProgress: readonly string[], before: Milliseconds): void {
        const ended = this.dependencies.loads.retainOnly(owner, new Set(inProgress), before);
        if (ended.length === 0 || this.placers().everyone || !this.placers().self) {
            return;
        }
        for (const { endpoint, id } of ended) {
            this.sender.sendToPlacers({ type: "Ended", endpoints: [endpoint], id }, completionBatching.ownGroup);
        }
    }

    private publishLoad(update: LoadUpdate): void {
        const delays = update.type === "Placed" ? placementBatching : completionBatching;
        const serialized = serializeLoadUpdate(update, this.dependencies.clock.now());
        if (this.placers().everyone) {
            this.sender.broadcast(serialized, delays);
        }
        else {
            this.sender.sendToPlacers(serialized, delays.ownGroup);
        }
    }
}
