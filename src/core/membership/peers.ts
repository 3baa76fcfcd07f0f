/** The other entries, as far as this one hears of them, and what it tells them. */
import type { KnownRevisions, PeerIdentity, PeerMessage, PeerNews, PeerNewsPort } from "../../ports/peerNewsPort.js";
import { StateKind } from "../../ports/statePort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { Random } from "../../utils/random.js";
import type { PlacedWork } from "../placement/loadView.js";
import type { LoadNews, SharedLoads } from "../placement/sharedLoads.js";
import { formGroups, type Groups, relaysOf } from "./fanOut.js";

/** How often an entry says that it lives. A lost message about an end is put right by the next one. */
export const aliveInterval: Milliseconds = 500;
/** An entry that wasn't heard for so long isn't counted. */
const silentAfter: Milliseconds = 2_500;
/** An entry that wasn't heard for so long isn't told anything any more; a list of the store brings it back. */
const forgottenAfter: Milliseconds = 20_000;
/** An entry that is listed and wasn't heard for so long is gone: no cut or restart that is planned for lasts as long. */
const lostAfter: Milliseconds = 120_000;
/** Forming groups of sixty entries for each message would cost a tenth of a thin instance's processor. */
const audienceKept: Milliseconds = 250;
/** News that isn't urgent waits so long for more, and goes in one datagram. */
const gatherTime: Milliseconds = 10;
/** Work placed this shortly before may be missing in what its entry says is in progress. */
const aliveSlack: Milliseconds = 300;

/** An entry that was heard of late. */
export interface LivingPeer {
    identity: PeerIdentity;
    dataCentre: string;
    /** What it last said that it knows. */
    known: KnownRevisions;
}

interface Peer extends LivingPeer {
    heardAt: Milliseconds;
    /** When it was listed or heard last. */
    knownAt: Milliseconds;
    firstKnownAt: Milliseconds;
    /** Whether it was on the list that was read last. */
    listed: boolean;
    /** Whether it has said that it stops. */
    stopping: boolean;
}

/** Whom this entry tells. */
interface Audience {
    formedAt: Milliseconds;
    groups: Groups;
    silent: readonly string[];
}

/** What peers need. */
export interface PeersParts {
    clock: Clock;
    log: PartLog;
    channel: PeerNewsPort;
    loads: SharedLoads;
    /** Whether the others hear what this entry places. */
    tellsLoads: boolean;
    random: Random;
    self: PeerIdentity;
    dataCentre: string;
    /** What this entry knows of stored objects. */
    known: () => KnownRevisions;
    /** Identifiers of this entry's requests in progress. */
    inProgress: () => string[];
}

/** The other entries. */
export class Peers {
    private readonly peers = new Map<string, Peer>();
    /** Called when an entry says what it knows of stored objects, and on a timer. */
    onState: () => void = () => {};
    private audience: Audience | undefined;
    private gathered: PeerNews[] = [];
    private gathering = false;

    constructor(private readonly parts: PeersParts) {
        if (parts.tellsLoads) {
            parts.loads.tell = news => this.tell(news);
        }
    }

    /** Entries that were heard of late, this one included. */
    get living(): number {
        const now = this.parts.clock.now();
        let count = 1;
        for (const peer of this.peers.values()) {
            count += isLiving(peer, now) ? 1 : 0;
        }
        return count;
    }

    /** The other entries that were heard of late. */
    others(): LivingPeer[] {
        const now = this.parts.clock.now();
        return [...this.peers.values()].filter(peer => isLiving(peer, now));
    }

    /** Identifiers of all other entries that are known, heard of late or not. */
    ids(): string[] {
        return [...this.peers.keys()];
    }

    /** Entries that were listed for so long without being heard of that they must be gone. */
    lost(): string[] {
        const now = this.parts.clock.now();
        const lost: string[] = [];
        for (const [id, { heardAt, firstKnownAt }] of this.peers) {
            if (now - Math.max(heardAt, firstKnownAt) >= lostAfter) {
                lost.push(id);
            }
        }
        return lost;
    }

    /** Tells the others that the store told of a change. */
    sayChanged(): void {
        this.flush({ type: "Changed", known: this.parts.known() });
    }

    /** Takes the addresses of entries that the store lists. */
    listed(identities: readonly Pick<PeerIdentity, "id" | "address">[]): void {
        const now = this.parts.clock.now();
        this.audience = undefined;
        const listed = new Set(identities.map(({ id }) => id));
        for (const [id, peer] of this.peers) {
            peer.listed = listed.has(id);
        }
        for (const { id, address } of identities) {
            if (id === this.parts.self.id) {
                continue;
            }
            const known = this.peers.get(id);
            if (known && known.identity.address === address) {
                known.knownAt = now;
                continue;
            }
            const identity = { id, address, incarnation: "" };
            this.peers.set(id, {
                identity,
                dataCentre: "",
                known: {},
                listed: true,
                stopping: false,
                heardAt: -Infinity,
                knownAt: now,
                firstKnownAt: now,
            });
        }
    }

    /** Takes a datagram. */
    hear({ from, news, passOn }: PeerMessage): void {
        if (from.id === this.parts.self.id) {
            return;
        }
        if (passOn) {
            this.parts.channel.send(this.currentAudience().groups.own, { from, news, passOn: false });
        }
        this.note(from);
        for (const piece of news) {
            this.take(from, piece);
        }
    }

    /** Says that this entry lives until `signal` aborts. */
    async sayAlive(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const { inProgress, known, dataCentre } = this.parts;
            this.flush({ type: "Alive", inProgress: inProgress(), dataCentre, known: known() });
            this.forget();
            this.onState();
            await this.parts.clock.sleep(aliveInterval, signal);
        }
    }

    /** Says that this entry stops. */
    sayStopping(): void {
        this.flush({ type: "Stopping" });
    }

    private note(from: PeerIdentity): void {
        const now = this.parts.clock.now();
        const known = this.peers.get(from.id);
        if (known && known.identity.incarnation === from.incarnation) {
            known.heardAt = now;
            known.knownAt = now;
            return;
        }
        // What an earlier life of the process had in progress has ended with it.
        this.parts.loads.keepOnly(from.id, new Set(), now);
        this.peers.set(from.id, {
            identity: from,
            dataCentre: "",
            known: {},
            listed: known?.listed ?? false,
            stopping: false,
            heardAt: now,
            knownAt: now,
            firstKnownAt: now,
        });
        this.audience = undefined;
        this.parts.log.info("An entry is there.", { entry: from.id, incarnation: from.incarnation });
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
                this.noteKnown(from.id, news.known, news.dataCentre);
                return;
            case "Changed":
                this.noteKnown(from.id, news.known);
                return;
            case "Stopping":
                this.noteStopping(from.id);
                return;
        }
    }

    /**
     * A stopping entry still serves what it has and what a lagging balancer sends. It is told and heard as before, and what
     * it has placed still counts; but it watches nothing for others, and is in no group.
     */
    private noteStopping(id: string): void {
        const peer = this.peers.get(id);
        if (peer && !peer.stopping) {
            peer.stopping = true;
            this.audience = undefined;
            this.parts.log.info("An entry is stopping.", { entry: id });
        }
    }

    private noteKnown(id: string, known: KnownRevisions, dataCentre?: string): void {
        const peer = this.peers.get(id);
        if (!peer) {
            return;
        }
        const news = Object.values(StateKind).some(kind => (known[kind] ?? 0) > (peer.known[kind] ?? 0));
        peer.known = known;
        peer.dataCentre = dataCentre ?? peer.dataCentre;
        if (news) {
            this.onState();
        }
    }

    private tell(news: LoadNews): void {
        switch (news.type) {
            case "Placed": {
                // Told at once: another entry may be choosing an endpoint in the same millisecond.
                const now = this.parts.clock.now();
                this.flush(travelling(news.works, now));
                return;
            }
            case "Writing":
            case "Ended":
                this.gather({ ...news } as PeerNews);
                return;
        }
    }

    private gather(news: PeerNews): void {
        this.gathered.push(news);
        if (!this.gathering) {
            this.gathering = true;
            void this.parts.clock.sleep(gatherTime).then(() => this.flush());
        }
    }

    private flush(news?: PeerNews): void {
        this.gathering = false;
        const all = news ? [...this.gathered, news] : this.gathered;
        this.gathered = [];
        if (all.length === 0) {
            return;
        }
        const { groups, silent } = this.currentAudience();
        this.send([...groups.own, ...silent], all, false);
        this.send(relaysOf(groups, this.parts.random), all, true);
    }

    private send(addresses: readonly string[], news: PeerNews[], passOn: boolean): void {
        if (addresses.length > 0) {
            this.parts.channel.send(addresses, { from: this.parts.self, news, passOn });
        }
    }

    /** Whom this entry tells. Formed anew a few times a second, not for each message. */
    private currentAudience(): Audience {
        const now = this.parts.clock.now();
        if (!this.audience || now - this.audience.formedAt >= audienceKept) {
            const { self, dataCentre } = this.parts;
            const others = this.others().map(({ identity, dataCentre: place }) => ({ ...identity, dataCentre: place }));
            const groups = formGroups({ ...self, dataCentre }, others);
            this.audience = { formedAt: now, groups, silent: this.silentAddresses(now) };
        }
        return this.audience;
    }

    /** Entries that aren't heard of, and so in no group; they may hear all the same. */
    private silentAddresses(now: Milliseconds): string[] {
        const addresses: string[] = [];
        for (const peer of this.peers.values()) {
            if (!isLiving(peer, now) && now - peer.knownAt < forgottenAfter) {
                addresses.push(peer.identity.address);
            }
        }
        return addresses;
    }

    private forget(): void {
        const now = this.parts.clock.now();
        for (const [id, peer] of this.peers) {
            if (!peer.listed && now - peer.knownAt >= forgottenAfter) {
                this.peers.delete(id);
                this.parts.log.info("An entry is forgotten.", { entry: id });
            }
        }
    }
}

const isLiving = ({ heardAt, stopping }: Peer, now: Milliseconds): boolean => !stopping && now - heardAt < silentAfter;

const travelling = (works: readonly PlacedWork[], now: Milliseconds): PeerNews => {
    const { id, readTime, targetGap, value, yielding, endsBy } = works[0]!;
    return {
        type: "Placed",
        work: { id, readTime: Math.round(readTime), targetGap, value, yielding, endsIn: Math.round(endsBy - now) },
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
