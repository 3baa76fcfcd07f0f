/** Tracks the other entries: their addresses, latest heartbeats and status, and which of them are living, stopping or lost. */
import type { KnownRevisions, PeerAddress, PeerIdentity, PeerStatus, ReadAges } from "../../ports/peerChannelPort.js";
import { StateKind } from "../../ports/statePort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { MemberState } from "./memberDigest.js";

/** Consecutive missed heartbeats after which an entry no longer counts as living; fewer for entries with a long interval. */
const missedHeartbeatLimit = 4;
const missedRareHeartbeatLimit = 3;
const rareHeartbeatInterval: Milliseconds = 2_000;
/** Consecutive missed heartbeats after which an entry is no longer selected as a relay. */
const freshHeartbeatLimit = 2;
/** Added to the time of the missed heartbeats, for network delay and a sender that is slightly late. */
const heartbeatSlack: Milliseconds = 500;
/** Assumed until an entry has sent its heartbeat interval. */
const defaultHeartbeatInterval: Milliseconds = 500;
/** Nothing is sent to an entry that hasn't been received from or listed for this long. */
const contactTimeout: Milliseconds = 20_000;
/** An entry that hasn't been received from for this long is lost: no expected partition or restart lasts as long. */
const lostTimeout: Milliseconds = 120_000;
/** How long the living entries are cached, since filtering hundreds of entries would cost more than handling a request. */
const livingCacheDuration: Milliseconds = 50;
/**
 * How long a placer's confirmation holds: longer than another entry needs to take the place of a placer that has failed, so that
 * no entry loses its view of the site meanwhile. As a sign that an entry is fresh it holds for a few of the placer's heartbeats.
 */
const confirmationDuration: Milliseconds = 4_500;
const freshConfirmationDuration: Milliseconds = 1_500;
/** Number of entry names in one log line. */
const maximumLoggedNames = 12;

/** Incarnation of an entry that was listed but not received from. */
const unknownIncarnation = "";

/** What a message tells about the entry that sent it. */
export enum Contact {
    /** The process was received from before. */
    Known = "known",
    /** No message of the entry was received before. */
    New = "new",
    /** An earlier process of the entry was received from. */
    Restarted = "restarted",
}

/** An entry whose heartbeats arrive. The fields that {@link PeerStatus} shares are overwritten from it. */
export interface LivingPeer {
    identity: PeerIdentity;
    dataCentre: string;
    /** Revision of the last change of each kind that it has reported. */
    known: KnownRevisions;
    /** When the store last responded to the peer, by kind. */
    readAt: Partial<Record<StateKind, Milliseconds>>;
    /** Whether the store responds to the peer. */
    reads: boolean;
    /** Processor cores of its instance. */
    processors: number;
    /** Whether it is able to choose endpoints for others. */
    places: boolean;
    /** Whether it can connect to endpoints. */
    reachesEndpoints: boolean;
    /** Whether it sends and understands digests of the living entries. */
    usesDigests: boolean;
}

/** What an entry's new status changes. */
export interface StatusChange {
    /** Whether the entry reports a newer change of a stored object. */
    reportsNewerState: boolean;
    /** Whether the entry became able, or unable, to choose endpoints for others. */
    changesPlacing: boolean;
}

interface Peer extends LivingPeer {
    receivedAt: Milliseconds;
    /** When a placer last confirmed that it lives. */
    confirmedAt: Milliseconds;
    /** When it was last listed or received from. */
    lastSeenAt: Milliseconds;
    firstSeenAt: Milliseconds;
    /** Its announced heartbeat interval. */
    signInterval: Milliseconds;
    /** Whether the most recent list from the store contained it. */
    isListed: boolean;
    /** Whether it has announced its shutdown. */
    isStopping: boolean;
}

/** The other entries known to this one. */
export class PeerRegistry {
    private readonly peers = new Map<string, Peer>();
    /** Entries first received from since the last log line. */
    private newEntries: string[] = [];
    private changeCount = 0;
    private livingCachedAt: Milliseconds = -Infinity;
    private cachedLiving: readonly LivingPeer[] = [];

    constructor(private readonly clock: Clock, private readonly log: PartLog, private readonly self: PeerIdentity) {}

    /** The other entries whose heartbeats arrive and that aren't stopping. */
    living(): readonly LivingPeer[] {
        const now = this.clock.now();
        if (now - this.livingCachedAt >= livingCacheDuration) {
            this.livingCachedAt = now;
            this.cachedLiving = [...this.peers.values()].filter(peer => isLiving(peer, now));
        }
        return this.cachedLiving;
    }

    /** Whether the entry's latest heartbeats arrived. After two missed heartbeats it may have failed. */
    isFresh({ identity: { id } }: LivingPeer): boolean {
        const peer = this.peers.get(id);
        const now = this.clock.now();
        return peer !== undefined
            && (now - peer.receivedAt < freshHeartbeatLimit * peer.signInterval + heartbeatSlack
                || now - peer.confirmedAt < freshConfirmationDuration);
    }

    /** Changes whenever the set of known entries or their reported state changes. */
    get version(): number {
        return this.changeCount;
    }

    /** Addresses of all entries seen recently. */
    allAddresses(): string[] {
        return this.addresses().map(({ address }) => address);
    }

    /** Identifiers of all known entries, living or not. */
    ids(): string[] {
        return [...this.peers.keys()];
    }

    /** Identifiers and addresses of all entries seen recently. */
    addresses(): PeerAddress[] {
        const now = this.clock.now();
        return [...this.peers.values()].filter(({ lastSeenAt }) => now - lastSeenAt < contactTimeout)
            .map(({ identity: { id, address } }) => ({ id, address }));
    }

    /** Addresses of entries that aren't living but were seen recently; they may still receive datagrams. */
    unresponsiveAddresses(): string[] {
        const now = this.clock.now();
        const addresses: string[] = [];
        for (const peer of this.peers.values()) {
            if (!isLiving(peer, now) && now - peer.lastSeenAt < contactTimeout) {
                addresses.push(peer.identity.address);
            }
        }
        return addresses;
    }

    /** Listed entries that must have failed, because nothing has been received from them within the lost timeout. */
    lostEntries(): string[] {
        const now = this.clock.now();
        const lost: string[] = [];
        for (const [id, { receivedAt, confirmedAt, firstSeenAt, isListed }] of this.peers) {
            if (isListed && now - Math.max(receivedAt, confirmedAt, firstSeenAt) >= lostTimeout) {
                lost.push(id);
            }
        }
        return lost;
    }

    /** Applies the list of entries in the store. */
    applyListing(listed: readonly PeerAddress[]): void {
        const ids = new Set(listed.map(({ id }) => id));
        for (const [id, peer] of this.peers) {
            peer.isListed = ids.has(id);
        }
        this.addEntries(listed, true);
    }

    /** Adds entries from the store's list or from a peer. */
    addEntries(addresses: readonly PeerAddress[], listed = false): void {
        const now = this.clock.now();
        for (const { id, address } of addresses) {
            const peer = this.peers.get(id);
            if (id === this.self.id || peer?.identity.address === address) {
                if (peer && listed) {
                    peer.lastSeenAt = now;
                }
                continue;
            }
            this.peers.set(id, newPeer({ id, address, incarnation: unknownIncarnation }, now, -Infinity, listed));
            this.markChanged();
        }
    }

    /** Records a message from an entry. */
    recordReceived(from: PeerIdentity): Contact {
        const now = this.clock.now();
        const peer = this.peers.get(from.id);
        if (peer && peer.identity.incarnation === from.incarnation) {
            if (!isLiving(peer, now)) {
                this.markChanged();
            }
            peer.receivedAt = now;
            peer.lastSeenAt = now;
            return Contact.Known;
        }
        this.peers.set(from.id, newPeer(from, now, now, peer?.isListed ?? false));
        this.markChanged();
        this.newEntries.push(from.id);
        const wasReceivedBefore = peer !== undefined && peer.identity.incarnation !== unknownIncarnation;
        return wasReceivedBefore ? Contact.Restarted : Contact.New;
    }

    /**
     * Records that a placer has confirmed these entries; returns whether that changes which entries live, or what they can do. A
     * process of which this entry hears itself is not replaced by an earlier one that the placer still lists.
     */
    confirmMembers(members: Iterable<MemberState>): boolean {
        const now = this.clock.now();
        let hasChanged = false;
        for (const member of members) {
            if (member.id !== this.self.id) {
                hasChanged = this.confirmMember(member, now) || hasChanged;
            }
        }
        if (hasChanged) {
            this.markChanged();
        }
        return hasChanged;
    }

    /** Records that no placer confirms these entries any more. Those that this entry hears of itself stay alive. */
    endConfirmation(ids: Iterable<string>): void {
        for (const id of ids) {
            const peer = this.peers.get(id);
            if (peer) {
                peer.confirmedAt = -Infinity;
            }
        }
        this.markChanged();
    }

    private confirmMember({ id, address, incarnation, ...state }: MemberState, now: Milliseconds): boolean {
        const known = this.peers.get(id);
        if (known?.identity.incarnation === incarnation) {
            const hasChanged = !isLiving(known, now) || known.places !== state.places || known.reads !== state.reads
                || known.reachesEndpoints !== state.reachesEndpoints || known.usesDigests !== state.usesDigests;
            Object.assign(known, state, { confirmedAt: now, lastSeenAt: now });
            return hasChanged && !known.isStopping;
        }
        if (known && isHeard(known, now)) {
            return false;
        }
        const peer = newPeer({ id, address, incarnation }, now, -Infinity, known?.isListed ?? false);
        this.peers.set(id, Object.assign(peer, state, { confirmedAt: now }));
        this.newEntries.push(id);
        return true;
    }

    /** Merges an entry's status. */
    mergeStatus(id: string, state: Partial<PeerStatus>): StatusChange {
        const peer = this.peers.get(id);
        if (!peer) {
            return { reportsNewerState: false, changesPlacing: false };
        }
        const { places: previouslyPlaced } = peer;
        const { known = peer.known, readAges, ...rest } = state;
        const isNewer = Object.values(StateKind).some(kind => (known[kind] ?? -1) > (peer.known[kind] ?? -1));
        Object.assign(peer, rest, { known });
        if (readAges) {
            peer.readAt = this.toReadTimes(readAges);
        }
        if (isNewer) {
            this.markChanged();
        }
        return { reportsNewerState: isNewer, changesPlacing: peer.places !== previouslyPlaced };
    }

    /**
     * Records that an entry is stopping. It still serves its open requests and those that a lagging load balancer sends, so it
     * still sends and receives updates and its placements still count; but it watches nothing for others and belongs to no
     * group. Returns whether this wasn't recorded before.
     */
    recordStopping(id: string): boolean {
        const peer = this.peers.get(id);
        if (!peer || peer.isStopping) {
            return false;
        }
        peer.isStopping = true;
        this.markChanged();
        this.log.info("An entry is stopping.", { entry: id });
        return true;
    }

    private toReadTimes(ages: ReadAges): LivingPeer["readAt"] {
        const now = this.clock.now();
        const times: LivingPeer["readAt"] = {};
        for (const [kind, age] of Object.entries(ages)) {
            times[kind as StateKind] = now - age;
        }
        return times;
    }

    private markChanged(): void {
        this.changeCount++;
        this.livingCachedAt = -Infinity;
    }

    /** Removes lost entries that aren't listed, and logs the new ones. Called with each heartbeat. */
    removeLostPeers(): void {
        const now = this.clock.now();
        for (const [id, peer] of this.peers) {
            // A listed entry stays: it may only be partitioned and continue to send, so site-wide budgets must count it.
            if (!peer.isListed && now - peer.lastSeenAt >= lostTimeout) {
                this.peers.delete(id);
                this.markChanged();
                this.log.info("An entry is forgotten.", { entry: id });
            }
        }
        if (this.newEntries.length > 0) {
            // 90 entries that start together make 8,000 first contacts; a line for each would displace all other lines.
            this.log.info("Entries are there.", {
                count: this.newEntries.length,
                entries: this.newEntries.slice(0, maximumLoggedNames),
            });
            this.newEntries = [];
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
    reachesEndpoints: true,
    usesDigests: false,
    receivedAt: heardAt,
    confirmedAt: -Infinity,
    lastSeenAt: now,
    firstSeenAt: now,
    signInterval: defaultHeartbeatInterval,
    isListed: listed,
    isStopping: false,
});

/** Whether the entry's own heartbeats arrive. */
const isHeard = ({ receivedAt, signInterval }: Peer, now: Milliseconds): boolean => {
    const missed = signInterval > rareHeartbeatInterval ? missedRareHeartbeatLimit : missedHeartbeatLimit;
    return now - receivedAt < missed * signInterval + heartbeatSlack;
};

const isLiving = (peer: Peer, now: Milliseconds): boolean => {
    const isConfirmed = now - peer.confirmedAt < confirmationDuration;
    return !peer.isStopping && (isHeard(peer, now) || isConfirmed);
};
