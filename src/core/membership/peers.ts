/** What this entry and the others tell one another. */
import type {
    KnownRevisions,
    PeerAddress,
    PeerIdentity,
    PeerNews,
    PeerNewsPort,
    PeerPacket,
    PeerStatus,
    ToldChange,
} from "../../ports/peerNewsPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { PlacedWork } from "../placement/engineBelief.js";
import type { LoadNews, SharedLoads } from "../placement/sharedLoads.js";
import { atOnce, NewsSender, placing, settling } from "./newsSender.js";
import { type LivingPeer, PeerRegistry } from "./peerRegistry.js";

/** How often an entry says that it lives. A lost message about an end is put right by the next one. */
const signInterval: Milliseconds = 500;
/** How often one does that watches the store for all, so that another takes its place before a change is overdue. */
const vitalSignInterval: Milliseconds = 250;
/**
 * Every so many signs of life go to the entries of other groups too. What is lost on the way to them is put right later; ninety
 * entries that hear each other twice a second would do little else.
 */
const farSigns = 4;
/**
 * The first signs of life go to each entry itself. Until all know the same entries they form different groups, and what is
 * passed on from group to group misses some.
 */
const firstSigns = 4;
/** Work placed this shortly before may be missing in what its entry says is in progress. */
const aliveSlack: Milliseconds = 300;

/** What peers need. */
export interface PeersParts {
    clock: Clock;
    log: PartLog;
    channel: PeerNewsPort;
    loads: SharedLoads;
    /** Whether the others hear what this entry places. */
    tellsLoads: boolean;
    self: PeerIdentity;
    dataCentre: string;
    /** What this entry knows of stored objects. */
    known: () => KnownRevisions;
    /** Whether the store answers this entry. */
    reads: () => boolean;
    /** Identifiers of this entry's requests in progress. */
    inProgress: () => string[];
    /** Another entry found that nobody listens at an endpoint's address. */
    onUnreachable?: (endpoint: string) => void;
}

/** The other entries. */
export class Peers {
    /** Called when an entry says what it knows of stored objects, and on a timer. */
    onState: () => void = () => {};
    /** Called with changes of stored objects that another entry tells. */
    onChange: (change: ToldChange) => void = () => {};
    /** Whether other groups must hear all of this entry's signs of life, as they depend on it. */
    vital: () => boolean = () => false;
    private wasMet = false;
    private readonly registry: PeerRegistry;
    private readonly sender: NewsSender;

    constructor(private readonly parts: PeersParts) {
        const { clock, log, self, channel, dataCentre } = parts;
        this.registry = new PeerRegistry(clock, log, self);
        this.sender = new NewsSender({ clock, channel, registry: this.registry, self, dataCentre });
        if (parts.tellsLoads) {
            parts.loads.tell = news => this.tellLoad(news);
        }
    }

    /** Entries that were heard of late, this one included. */
    get living(): number {
        return this.registry.living().length + 1;
    }

    /** How long a placement takes to be known by most entries. */
    get newsDelay(): Milliseconds {
        return this.sender.delay;
    }

    /** The other entries that were heard of late. */
    others(): LivingPeer[] {
        return this.registry.living();
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
    listed(addresses: readonly PeerAddress[]): void {
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
            this.sender.tellOne(address, [{ type: "Greeting" }]);
        }
    }

    /** Takes a datagram. */
    hear({ messages, passOn }: PeerPacket): void {
        const others = messages.filter(({ from }) => from.id !== this.parts.self.id);
        if (passOn) {
            this.sender.passOn(others);
        }
        for (const { from, news } of others) {
            this.note(from);
            for (const piece of news) {
                this.take(from, piece);
            }
        }
    }

    /** Says that this entry lives until `signal` aborts. */
    async sayAlive(signal: AbortSignal): Promise<void> {
        for (let sign = 0; !signal.aborted; sign++) {
            const interval = this.sayAliveOnce(sign);
            this.registry.tidy();
            this.onState();
            await this.parts.clock.sleep(interval, signal);
        }
    }

    /** Tells the others that the store told of a change, and what it is where that is small. */
    sayChanged(change: ToldChange | undefined): void {
        this.sender.tell({ type: "Changed", known: this.parts.known(), change }, atOnce);
    }

    /** Tells the others that nobody listens at an endpoint's address. */
    sayUnreachable(endpoint: string): void {
        this.sender.tell({ type: "Unreachable", endpoint }, placing);
    }

    /** Says that this entry stops. */
    sayStopping(): void {
        this.sender.tell({ type: "Stopping" }, atOnce);
    }

    /** Says it once, and returns when to say it again. */
    private sayAliveOnce(sign: number): Milliseconds {
        const vital = this.vital();
        const interval = vital ? vitalSignInterval : signInterval;
        if (sign < firstSigns) {
            this.sender.tellEach(this.alive(interval));
            return interval;
        }
        this.sender.tellNear(this.alive(interval), 0);
        if (vital || sign % farSigns === 0) {
            this.sender.tellFar(this.alive(vital ? interval : farSigns * interval), 0);
        }
        return interval;
    }

    private alive(nextIn: Milliseconds): PeerNews {
        const { known, reads, dataCentre, inProgress } = this.parts;
        const status = { known: known(), reads: reads(), dataCentre, signInterval: nextIn };
        return { type: "Alive", inProgress: inProgress(), status };
    }

    private note(from: PeerIdentity): void {
        if (this.registry.hear(from)) {
            // What an earlier life of the process had in progress has ended with it.
            this.parts.loads.keepOnly(from.id, new Set(), this.parts.clock.now());
            this.sender.regroup();
        }
    }

    private take(from: PeerIdentity, news: PeerNews): void {
        const { clock, loads } = this.parts;
        switch (news.type) {
            case "Placed":
                loads.hear({ type: "Placed", works: placedWorks(from.id, news, clock.now()) });
                return;
            case "Writing":
            case "Ended":
                loads.hear(news);
                return;
            case "Alive":
                loads.keepOnly(from.id, new Set(news.inProgress), clock.now() - aliveSlack);
                this.noteStatus(from.id, news.status);
                return;
            case "Changed":
                if (news.change) {
                    this.onChange(news.change);
                }
                this.noteStatus(from.id, { known: news.known });
                return;
            case "Unreachable":
                this.parts.onUnreachable?.(news.endpoint);
                return;
            case "Stopping":
                if (this.registry.noteStopping(from.id)) {
                    this.sender.regroup();
                }
                return;
            case "Greeting":
                this.sender.tellOne(from.address, [
                    { type: "Entries", entries: this.registry.addresses() },
                    this.alive(signInterval),
                ]);
                return;
            case "Entries":
                this.registry.learn(news.entries);
                this.wasMet = true;
                this.sender.regroup();
                return;
        }
    }

    private noteStatus(id: string, status: Partial<PeerStatus>): void {
        if (this.registry.note(id, status)) {
            this.onState();
        }
    }

    private tellLoad(news: LoadNews): void {
        switch (news.type) {
            case "Placed":
                this.sender.tell(travelling(news.works, this.parts.clock.now()), placing);
                return;
            case "Writing":
                this.sender.tell(news, settling);
                return;
            case "Ended":
                this.sender.tell({ ...news, endpoints: [...news.endpoints] }, settling);
                return;
        }
    }
}

const travelling = (works: readonly PlacedWork[], now: Milliseconds): PeerNews => {
    const { id, readTokens, readTime, targetGap, value, yielding, firstEventIn, endsBy } = works[0]!;
    return {
        type: "Placed",
        work: {
            id,
            readTokens: Math.round(readTokens),
            readTime: Math.round(readTime),
            targetGap,
            value,
            yielding,
            firstEventIn: firstEventIn === undefined ? undefined : Math.round(firstEventIn),
            endsIn: Math.round(endsBy - now),
        },
        parts: works.map(work => [work.endpoint, work.part, work.contextTokens]),
    };
};

const placedWorks = (
    owner: string,
    { work: { endsIn, ...work }, parts }: Extract<PeerNews, { type: "Placed"; }>,
    now: Milliseconds,
): PlacedWork[] =>
    parts.map(([endpoint, part, contextTokens]) => ({
        ...work,
        endpoint,
        part,
        contextTokens,
        owner,
        endsBy: now + endsIn,
    }));
