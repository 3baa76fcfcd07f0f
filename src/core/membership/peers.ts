/** What this entry and the others tell one another. */
import type {
    AdvertisedLimit,
    KnownRevisions,
    PeerAddress,
    PeerChannelPort,
    PeerIdentity,
    PeerPacket,
    PeerStatus,
    PeerUpdate,
    ReadAges,
    StateDelta,
} from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import { type OutcomeUpdate, SendResult } from "../placement/failureTracker.js";
import type { PlacementAnswer, PlacementQuestion } from "../placement/placementQuestion.js";
import type { LoadUpdate, SharedLoadEstimator } from "../placement/sharedLoadEstimator.js";
import { atOnce, NewsSender, placing, settling } from "./newsSender.js";
import { type LivingPeer, PeerRegistry } from "./peerRegistry.js";
import { type PlacerCandidate, PlacerRoster, type PlacerSet } from "./placers.js";
import { SignsOfLife } from "./signsOfLife.js";
import { placedWorks, travellingNews } from "./travellingWork.js";

/** Work placed this shortly before may be missing in what its entry says is in progress. */
const aliveSlack: Milliseconds = 300;

/** What peers need. */
export interface PeersParts {
    clock: Clock;
    log: PartLog;
    channel: PeerChannelPort;
    loads: SharedLoadEstimator;
    /** Whether the others hear what this entry places. */
    tellsLoads: boolean;
    self: PeerIdentity;
    dataCentre: string;
    /** What this entry knows of stored objects. */
    known: () => KnownRevisions;
    /** How long ago the store answered this entry. */
    readAges: () => ReadAges;
    /** Whether the store answers this entry. */
    reads: () => boolean;
    /** Identifiers of this entry's requests in progress. */
    inProgress: () => string[];
    /** Cores that this entry's instance has, and whether it could choose endpoints for others. */
    processors?: number;
    places?: () => boolean;
    /** What this entry knows of the limits that endpoints name, and what another one tells of them. */
    limits?: () => AdvertisedLimit[];
    onLimits?: (told: readonly AdvertisedLimit[]) => void;
    /** Another entry told what became of sends to an endpoint. */
    onOutcome?: (endpoint: string, fate: SendResult) => void;
    /** Another entry asks where a request should go. */
    onPlacementAsked?: (from: string, question: PlacementQuestion) => PlacementAnswer;
    onPlacementAnswered?: (answer: PlacementAnswer) => void;
}

/** The other entries. */
export class Peers {
    /** Called when an entry says what it knows of stored objects, and on a timer. */
    onState: () => void = () => {};
    /** Called with changes of stored objects that another entry tells. */
    onStateDelta: (change: StateDelta) => void = () => {};
    /** Whether other groups must hear all of this entry's signs of life, as they depend on it. */
    vital: () => boolean = () => false;
    private wasMet = false;
    private readonly registry: PeerRegistry;
    private readonly sender: NewsSender;
    private readonly roster: PlacerRoster;
    private readonly signs: SignsOfLife;

    constructor(private readonly parts: PeersParts) {
        const { clock, log, self, channel, dataCentre } = parts;
        this.registry = new PeerRegistry(clock, log, self);
        this.roster = new PlacerRoster(clock, () => this.ownCandidacy(), () => this.candidates());
        const placers = () => this.roster.current();
        this.sender = new NewsSender({ clock, channel, registry: this.registry, self, dataCentre, placers });
        this.signs = new SignsOfLife({
            clock,
            registry: this.registry,
            sender: this.sender,
            dataCentre,
            placers,
            inProgress: parts.inProgress,
            status: nextIn => this.status(nextIn),
        });
        if (parts.tellsLoads) {
            parts.loads.publish = news => this.tellLoad(news);
        }
    }

    /** Entries that were heard of late, this one included. */
    get livingCount(): number {
        return this.registry.living().length + 1;
    }

    /** How long a placement takes to be known by most entries. */
    get propagationDelay(): Milliseconds {
        return this.sender.delay;
    }

    /** The other entries that were heard of late. */
    livingPeers(): readonly LivingPeer[] {
        return this.registry.living();
    }

    /** Who chooses endpoints for all. */
    placers(): PlacerSet {
        return this.roster.current();
    }

    /** Who may be asked now, in this order; none where this entry chooses itself. */
    placersToAsk(): readonly PlacerCandidate[] {
        const { everyone, self, asked } = this.roster.current();
        return everyone || self ? [] : asked;
    }

    /** Whether some entries that choose for others gave no answer of late. */
    placersRest(): boolean {
        const { others, asked } = this.roster.current();
        return asked.length < others.length;
    }

    /** Notes that an entry gave no answer; it isn't asked for a moment. */
    notePlacerSilent(id: string): void {
        this.roster.noteSilent(id);
    }

    /** Asks where a request should go. */
    askPlacement(address: string, question: PlacementQuestion): void {
        this.sender.tellSome([address], [{ type: "PlacementAsked", question }]);
    }

    /** Differs whenever other entries are known than before. */
    get version(): number {
        return this.registry.version;
    }

    /** Identifiers of all other entries that are known, heard of late or not. */
    ids(): string[] {
        return this.registry.ids();
    }

    /** Entries that must be gone. */
    lost(): string[] {
        return this.registry.lost();
    }

    /** Takes the entries that the store lists. */
    applyListing(addresses: readonly PeerAddress[]): void {
        this.registry.list(addresses);
        this.wasMet = true;
        this.sender.regroup();
    }

    /** Whether the list of entries was read, or another entry told of those that it knows. */
    get met(): boolean {
        return this.wasMet;
    }

    /** Asks at `addresses` which entries there are. */
    greet(addresses: readonly string[]): void {
        for (const address of addresses) {
            this.sender.tellSome([address], [{ type: "Greeting" }]);
        }
    }

    /** Takes a datagram. */
    receive({ messages, passOn }: PeerPacket): void {
        const others = messages.filter(({ from }) => from.id !== this.parts.self.id);
        this.sender.passOn(others, passOn);
        for (const { from, news } of others) {
            this.note(from);
            for (const piece of news) {
                this.take(from, piece);
            }
        }
    }

    /** Says that this entry lives until `signal` aborts. */
    async runHeartbeats(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const interval = this.signs.say(this.vital());
            this.registry.tidy();
            this.onState();
            await this.parts.clock.sleep(interval, signal);
        }
    }

    /** Tells the others that the store has answered, and what has changed where that is small. */
    publishStoreRead(change: StateDelta | undefined): void {
        const { known, readAges } = this.parts;
        this.sender.tell({ type: "StoreRead", known: known(), readAges: readAges(), change }, atOnce);
    }

    /** Tells what became of sends to an endpoint. Few entries tell only where nobody listens, as each sees enough itself. */
    publishOutcome(news: OutcomeUpdate, nobodyListens: boolean): void {
        if (!this.placers().everyone) {
            this.sender.tellPlacers(news, placing.near);
        }
        else if (nobodyListens) {
            this.sender.tell(news, placing);
        }
    }

    /** Says that this entry stops. */
    publishStopping(): void {
        this.sender.tell({ type: "Stopping" }, atOnce);
    }

    private status(nextIn: Milliseconds): PeerStatus {
        const { known, readAges, reads, dataCentre } = this.parts;
        const { processors, places } = this.ownCandidacy();
        return {
            known: known(),
            readAges: readAges(),
            reads: reads(),
            dataCentre,
            signInterval: nextIn,
            processors,
            places,
            limits: this.parts.limits?.() ?? [],
        };
    }

    private ownCandidacy(): PlacerCandidate {
        const { self, dataCentre, processors = 1, places = () => true } = this.parts;
        return { id: self.id, address: self.address, dataCentre, processors, places: places() };
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

    private note(from: PeerIdentity): void {
        if (this.registry.hear(from)) {
            // What an earlier life of the process had in progress has ended with it.
            this.keepOnly(from.id, [], this.parts.clock.now());
            this.sender.regroup();
            this.roster.renew();
        }
    }

    private take(from: PeerIdentity, news: PeerUpdate): void {
        const { clock, loads } = this.parts;
        switch (news.type) {
            case "Placed":
                loads.apply({ type: "Placed", works: placedWorks(news, clock.now()) });
                return;
            case "Writing":
            case "Ended":
                loads.apply(news);
                return;
            case "Alive":
                if (news.inProgress) {
                    this.keepOnly(from.id, news.inProgress, clock.now() - aliveSlack);
                }
                this.takeStatus(from.id, news.status);
                return;
            case "StoreRead":
                if (news.change) {
                    this.onStateDelta(news.change);
                }
                this.noteStatus(from.id, { known: news.known, readAges: news.readAges });
                return;
            case "Outcome":
                this.parts.onOutcome?.(news.endpoint, news.fate);
                return;
            case "PlacementAsked":
                this.answerPlacement(from, news.question);
                return;
            case "PlacementAnswered":
                this.parts.onPlacementAnswered?.(news.answer);
                return;
            case "Stopping":
                if (this.registry.noteStopping(from.id)) {
                    this.sender.regroup();
                    this.roster.renew();
                }
                return;
            case "Greeting":
                this.sender.tellSome([from.address], [
                    { type: "Entries", entries: this.registry.addresses() },
                    this.signs.alive(),
                ]);
                return;
            case "Entries":
                this.registry.learn(news.entries);
                this.wasMet = true;
                this.sender.regroup();
                return;
        }
    }

    private takeStatus(id: string, { limits, ...status }: PeerStatus): void {
        this.parts.onLimits?.(limits);
        this.noteStatus(id, status);
    }

    private noteStatus(id: string, status: Partial<PeerStatus>): void {
        if (this.registry.note(id, status)) {
            this.onState();
        }
    }

    private answerPlacement(from: PeerIdentity, question: PlacementQuestion): void {
        const answer = this.parts.onPlacementAsked?.(from.id, question);
        if (answer) {
            this.sender.tellSome([from.address], [{ type: "PlacementAnswered", answer }]);
        }
    }

    /** Work that an entry no longer has is over; those who don't hear the entry are told. */
    private keepOnly(owner: string, inProgress: readonly string[], before: Milliseconds): void {
        const ended = this.parts.loads.retainOnly(owner, new Set(inProgress), before);
        if (ended.length === 0 || this.placers().everyone || !this.placers().self) {
            return;
        }
        for (const { endpoint, id } of ended) {
            this.sender.tellPlacers({ type: "Ended", endpoints: [endpoint], id }, settling.near);
        }
    }

    private tellLoad(news: LoadUpdate): void {
        const urgency = news.type === "Placed" ? placing : settling;
        const told = travellingNews(news, this.parts.clock.now());
        if (this.placers().everyone) {
            this.sender.tell(told, urgency);
        }
        else {
            this.sender.tellPlacers(told, urgency.near);
        }
    }
}
