/**
 * Sends this entry's news to the others, and passes on to its group what the other groups tell.
 *
 * Load pattern: dozens of entries, each with a request a second. A datagram costs more to send and to take than what it
 * says, so news is gathered for as long as those who hear it can do without it.
 */
import {
    type PeerChannelPort,
    type PeerIdentity,
    type PeerMessage,
    type PeerUpdate,
    RelayScope,
} from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { formGroups, type Groups, relaysOf } from "./fanOut.js";
import type { PeerRegistry } from "./peerRegistry.js";
import { fewEntries, type PlacerSet } from "./placers.js";

/** How long a piece of news may be gathered: for those who hear directly, and for the other groups. */
export interface Urgency {
    near: Milliseconds;
    far: Milliseconds;
}

/** For what must be known at once. */
export const atOnce: Urgency = { near: 0, far: 0 };
/** Placements: another entry may be choosing an endpoint in the same millisecond. */
export const placing: Urgency = { near: 0, far: 0 };
/** Ends, and answers that begin: until they are known, an endpoint seems a little busier than it is. */
export const settling: Urgency = { near: 40, far: 200 };

/** Forming groups of hundreds of entries for each message would cost a tenth of a thin instance's processor. */
const audienceKept: Milliseconds = 1_000;
const audienceOfFewKept: Milliseconds = 250;
/** What other groups tell is gathered for so long before it is passed on; signs of life alone can wait for longer. */
const relayGatherTime: Milliseconds = 20;
const signGatherTime: Milliseconds = 200;
/** The way of a datagram between data centres, and the time to take it. */
const directDelay: Milliseconds = 2;
/** Messages that are passed on in one datagram at most. */
const relayedAtMost = 64;

/** What sending news needs. */
export interface NewsSenderParts {
    clock: Clock;
    channel: PeerChannelPort;
    registry: PeerRegistry;
    self: PeerIdentity;
    dataCentre: string;
    /** Who chooses endpoints for all; of `asked`, those who answer. */
    placers: () => PlacerSet;
}

interface Audience {
    formedAt: Milliseconds;
    groups: Groups;
    silent: readonly string[];
}

/** Sends news. */
export class NewsSender {
    private audience: Audience | undefined;
    private readonly near: Outbox<PeerUpdate>;
    private readonly far: Outbox<PeerUpdate>;
    private readonly relayed: Outbox<PeerMessage>;
    private readonly toPlacers: Outbox<PeerMessage>;

    constructor(private readonly parts: NewsSenderParts) {
        const { clock } = parts;
        this.near = new Outbox(clock, news => this.sendNear(news));
        this.far = new Outbox(clock, news => this.sendFar(news));
        this.relayed = new Outbox(clock, messages => this.send(this.currentAudience().groups.own, messages));
        this.toPlacers = new Outbox(clock, messages => this.sendToPlacers(messages));
    }

    /** Tells all other entries. */
    tell(news: PeerUpdate, urgency: Urgency): void {
        this.tellNear(news, urgency.near);
        this.tellFar(news, urgency.far);
    }

    /** Tells those who hear this entry directly: its group, or all where they are few. */
    tellNear(news: PeerUpdate, within: Milliseconds): void {
        this.near.add(news, within);
    }

    /** Tells the other groups. */
    tellFar(news: PeerUpdate, within: Milliseconds): void {
        if (this.currentAudience().groups.others.length > 0) {
            this.far.add(news, within);
        }
    }

    /** Tells all entries that may be there, without relying on any to pass it on. */
    tellEach(news: PeerUpdate): void {
        this.send(this.parts.registry.allAddresses(), [{ from: this.parts.self, news: [news] }]);
    }

    /** Tells some entries. */
    tellSome(addresses: readonly string[], news: PeerUpdate[]): void {
        this.send(addresses, [{ from: this.parts.self, news }]);
    }

    /** Tells those who choose endpoints for all. */
    tellPlacers(news: PeerUpdate, within: Milliseconds): void {
        this.toPlacers.add({ from: this.parts.self, news: [news] }, within);
    }

    /** Passes on what another entry told. */
    passOn(messages: readonly PeerMessage[], to: RelayScope): void {
        switch (to) {
            case RelayScope.Nobody:
                return;
            case RelayScope.Group:
                for (const message of messages) {
                    this.relayed.add(message, isSign(message) ? signGatherTime : relayGatherTime);
                }
                if (this.relayed.size >= relayedAtMost) {
                    this.relayed.flush();
                }
                return;
            case RelayScope.Placers:
                if (this.parts.placers().self) {
                    for (const message of messages) {
                        this.toPlacers.add(message, isPlaced(message) ? placing.near : settling.near);
                    }
                }
                return;
        }
    }

    /** How long a placement takes to be known by most entries. */
    get delay(): Milliseconds {
        const { everyone, self } = this.parts.placers();
        return everyone || self ? directDelay : Infinity;
    }

    /** The groups are formed anew before the next news: an entry has come or is going. */
    regroup(): void {
        this.audience = undefined;
    }

    private sendNear(news: PeerUpdate[]): void {
        const { groups, silent } = this.currentAudience();
        this.send([...groups.own, ...silent], [{ from: this.parts.self, news }]);
    }

    private sendFar(news: PeerUpdate[]): void {
        const relays = relaysOf(this.currentAudience().groups, this.parts.clock.wallTime());
        this.send(relays, [{ from: this.parts.self, news }], RelayScope.Group);
    }

    /** A placer tells the others; any other entry tells one, which passes it on. */
    private sendToPlacers(messages: PeerMessage[]): void {
        const { self, others, asked } = this.parts.placers();
        if (self) {
            this.send(others.map(({ address }) => address), messages);
        }
        else if (asked.length > 0) {
            this.send([asked[0]!.address], messages, RelayScope.Placers);
        }
    }

    private send(addresses: readonly string[], messages: PeerMessage[], passOn = RelayScope.Nobody): void {
        if (addresses.length > 0) {
            this.parts.channel.send(addresses, { messages, passOn });
        }
    }

    private currentAudience(): Audience {
        const { clock, registry, self, dataCentre } = this.parts;
        const now = clock.now();
        const kept = registry.living().length > fewEntries ? audienceKept : audienceOfFewKept;
        if (!this.audience || now - this.audience.formedAt >= kept) {
            const others = registry.living().map(peer => ({
                id: peer.identity.id,
                address: peer.identity.address,
                dataCentre: peer.dataCentre,
                fresh: registry.isFresh(peer),
            }));
            const groups = formGroups({ ...self, dataCentre, fresh: true }, others);
            this.audience = { formedAt: now, groups, silent: registry.silentAddresses() };
        }
        return this.audience;
    }
}

const isSign = ({ news }: PeerMessage): boolean => news.every(({ type }) => type === "Alive");

const isPlaced = ({ news }: PeerMessage): boolean => news.some(({ type }) => type === "Placed");

/** Gathers pieces until the most urgent of them must go. */
class Outbox<Piece> {
    private pieces: Piece[] = [];
    private dueAt: Milliseconds = Infinity;
    private stopTimer = () => {};

    constructor(private readonly clock: Clock, private readonly send: (pieces: Piece[]) => void) {}

    get size(): number {
        return this.pieces.length;
    }

    add(piece: Piece, within: Milliseconds): void {
        this.pieces.push(piece);
        if (within === 0) {
            this.flush();
            return;
        }
        const dueAt = this.clock.now() + within;
        if (dueAt < this.dueAt) {
            this.stopTimer();
            this.dueAt = dueAt;
            this.stopTimer = this.clock.after(within, () => this.flush());
        }
    }

    flush(): void {
        this.stopTimer();
        this.dueAt = Infinity;
        const { pieces } = this;
        this.pieces = [];
        if (pieces.length > 0) {
            this.send(pieces);
        }
    }
}
