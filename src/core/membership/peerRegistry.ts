/** Which other entries there are, as far as this one hears of them. */
import type { KnownRevisions, PeerAddress, PeerIdentity, PeerStatus, ReadAges } from "../../ports/peerChannelPort.js";
import { StateKind } from "../../ports/statePort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";

/** Signs of life in a row that may be lost before an entry counts as silent; fewer where they are rare. */
const signsMissed = 4;
const rareSignsMissed = 3;
const rareSignInterval: Milliseconds = 2_000;
/** An entry that has missed fewer than so many isn't asked to pass anything on. */
const freshSigns = 2;
/** Beyond these, for the way and for a sender that is a little late. */
const silenceSlack: Milliseconds = 500;
/** Until an entry has said how often it is heard. */
const usualSignInterval: Milliseconds = 500;
/** An entry that wasn't heard for so long isn't told anything any more. */
const forgottenAfter: Milliseconds = 20_000;
/** An entry that wasn't heard for so long is gone: no cut or restart that is planned for lasts as long. */
const lostAfter: Milliseconds = 120_000;
/** To look through hundreds of entries for each request would take more than the request itself. */
const livingKept: Milliseconds = 50;
/** Names in one line of the log. */
const namesLogged = 12;

/** An entry that was heard of late. */
export interface LivingPeer {
    identity: PeerIdentity;
    dataCentre: string;
    /** What it last said that it knows. */
    known: KnownRevisions;
    /** When the store last answered it, for each kind that it has read. */
    readAt: Partial<Record<StateKind, Milliseconds>>;
    /** Whether the store answers it. */
    reads: boolean;
    /** Cores that its instance has. */
    processors: number;
    /** Whether it could choose endpoints for others. */
    places: boolean;
}

interface Peer extends LivingPeer {
    heardAt: Milliseconds;
    /** When it was listed or heard last. */
    knownAt: Milliseconds;
    firstKnownAt: Milliseconds;
    /** How soon after a sign of life it said that the next one comes. */
    signInterval: Milliseconds;
    /** Whether it was on the list that was read last. */
    listed: boolean;
    /** Whether it has said that it stops. */
    stopping: boolean;
}

/** The other entries. */
export class PeerRegistry {
    private readonly peers = new Map<string, Peer>();
    /** Entries that were met since the last line of the log. */
    private met: string[] = [];
    private changes = 0;
    private livingAt: Milliseconds = -Infinity;
    private livingPeers: readonly LivingPeer[] = [];

    constructor(private readonly clock: Clock, private readonly log: PartLog, private readonly self: PeerIdentity) {}

    /** The other entries that were heard of late. */
    living(): readonly LivingPeer[] {
        const now = this.clock.now();
        if (now - this.livingAt >= livingKept) {
            this.livingAt = now;
            this.livingPeers = [...this.peers.values()].filter(peer => isLiving(peer, now));
        }
        return this.livingPeers;
    }

    /** Whether its last signs of life came; one that has missed two may be gone. */
    isFresh({ identity: { id } }: LivingPeer): boolean {
        const peer = this.peers.get(id);
        return peer !== undefined
            && this.clock.now() - peer.heardAt < freshSigns * peer.signInterval + silenceSlack;
    }

    /** Differs whenever other entries are known than before. */
    get version(): number {
        return this.changes;
    }

    /** Addresses of all other entries that may be there. */
    allAddresses(): string[] {
        return this.addresses().map(({ address }) => address);
    }

    /** Identifiers of all other entries that are known, heard of late or not. */
    ids(): string[] {
        return [...this.peers.keys()];
    }

    /** The entries that may be there, for one that has just started. */
    addresses(): PeerAddress[] {
        const now = this.clock.now();
        return [...this.peers.values()].filter(({ knownAt }) => now - knownAt < forgottenAfter)
            .map(({ identity: { id, address } }) => ({ id, address }));
    }

    /** Addresses of entries that aren't heard of; they may hear all the same. */
    silentAddresses(): string[] {
        const now = this.clock.now();
        const addresses: string[] = [];
        for (const peer of this.peers.values()) {
            if (!isLiving(peer, now) && now - peer.knownAt < forgottenAfter) {
                addresses.push(peer.identity.address);
            }
        }
        return addresses;
    }

    /** Entries that were listed for so long without being heard of that they must be gone. */
    lost(): string[] {
        const now = this.clock.now();
        const lost: string[] = [];
        for (const [id, { heardAt, firstKnownAt, listed }] of this.peers) {
            if (listed && now - Math.max(heardAt, firstKnownAt) >= lostAfter) {
                lost.push(id);
            }
        }
        return lost;
    }

    /** Takes the entries that the store lists. */
    list(listed: readonly PeerAddress[]): void {
        const ids = new Set(listed.map(({ id }) => id));
        for (const [id, peer] of this.peers) {
            peer.listed = ids.has(id);
        }
        this.learn(listed, true);
    }

    /** Takes entries that another one knows. */
    learn(addresses: readonly PeerAddress[], listed = false): void {
        const now = this.clock.now();
        for (const { id, address } of addresses) {
            const known = this.peers.get(id);
            if (id === this.self.id || known?.identity.address === address) {
                if (known && listed) {
                    known.knownAt = now;
                }
                continue;
            }
            this.peers.set(id, newPeer({ id, address, incarnation: "" }, now, -Infinity, listed));
            this.changed();
        }
    }

    /** Notes that an entry was heard, and tells whether it has started since. */
    hear(from: PeerIdentity): boolean {
        const now = this.clock.now();
        const known = this.peers.get(from.id);
        if (known && known.identity.incarnation === from.incarnation) {
            if (!isLiving(known, now)) {
                this.changed();
            }
            known.heardAt = now;
            known.knownAt = now;
            return false;
        }
        this.peers.set(from.id, newPeer(from, now, now, known?.listed ?? false));
        this.changed();
        this.met.push(from.id);
        return true;
    }

    /** Takes what an entry says of itself, and tells whether it knows of a newer change than before. */
    note(id: string, state: Partial<PeerStatus>): boolean {
        const peer = this.peers.get(id);
        if (!peer) {
            return false;
        }
        const { known = peer.known, readAges, ...rest } = state;
        const newer = Object.values(StateKind).some(kind => (known[kind] ?? -1) > (peer.known[kind] ?? -1));
        Object.assign(peer, rest, { known });
        if (readAges) {
            peer.readAt = this.readTimes(readAges);
        }
        if (newer) {
            this.changed();
        }
        return newer;
    }

    /**
     * A stopping entry still serves what it has and what a lagging balancer sends. It is told and heard as before, and what
     * it has placed still counts; but it watches nothing for others, and is in no group. Tells whether that is news.
     */
    noteStopping(id: string): boolean {
        const peer = this.peers.get(id);
        if (!peer || peer.stopping) {
            return false;
        }
        peer.stopping = true;
        this.changed();
        this.log.info("An entry is stopping.", { entry: id });
        return true;
    }

    private readTimes(ages: ReadAges): LivingPeer["readAt"] {
        const now = this.clock.now();
        const times: LivingPeer["readAt"] = {};
        for (const [kind, age] of Object.entries(ages)) {
            times[kind as StateKind] = now - age;
        }
        return times;
    }

    private changed(): void {
        this.changes++;
        this.livingAt = -Infinity;
    }

    /** Drops entries that are long gone, and logs those that were met; to be called now and then. */
    tidy(): void {
        const now = this.clock.now();
        for (const [id, peer] of this.peers) {
            // One that is cut off may go on sending unheard, and counts in what all together may do.
            if (!peer.listed && now - peer.knownAt >= lostAfter) {
                this.peers.delete(id);
                this.changed();
                this.log.info("An entry is forgotten.", { entry: id });
            }
        }
        if (this.met.length > 0) {
            // Ninety entries that start together meet eight thousand times; a line each would push out all others.
            this.log.info("Entries are there.", { count: this.met.length, entries: this.met.slice(0, namesLogged) });
            this.met = [];
        }
    }
}

const newPeer = (identity: PeerIdentity, now: Milliseconds, heardAt: Milliseconds, listed: boolean): Peer => ({
    identity,
    dataCentre: "",
    known: {},
    readAt: {},
    reads: true,
    processors: 0,
    places: false,
    heardAt,
    knownAt: now,
    firstKnownAt: now,
    signInterval: usualSignInterval,
    listed,
    stopping: false,
});

const isLiving = ({ heardAt, stopping, signInterval }: Peer, now: Milliseconds): boolean => {
    const missed = signInterval > rareSignInterval ? rareSignsMissed : signsMissed;
    return !stopping && now - heardAt < missed * signInterval + silenceSlack;
};
