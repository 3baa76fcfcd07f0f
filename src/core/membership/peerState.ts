/**
 * Connects the followers of stored objects to the peers: publishes store reads, compares revisions, fetches updates from
 * peers, and decides whether this entry is one of the few that watch the store for all.
 */
import type { StateDelta } from "../../ports/peerChannelPort.js";
import type { PeerStatePort } from "../../ports/peerStatePort.js";
import { StateKind, type StateValues } from "../../ports/statePort.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { Random } from "../../utils/random.js";
import { ChangeSignal } from "../../utils/signal.js";
import type { StatePeers } from "../configuration/stateFollower.js";
import type { StateUpdate } from "../configuration/stateMirror.js";
import type { Membership } from "./membership.js";
import type { LivingPeer } from "./peerRegistry.js";
import type { Peers } from "./peers.js";

/**
 * Number of entries that watch the store for all. When half of a small site's entries fail or are rejected by the store, a
 * watcher remains. On a large site with six watchers, 2% of such failures leave no watcher.
 */
const smallSiteWatcherCount = 4;
const largeSiteWatcherCount = 6;
const watchTask = "watch";
/** Number of entries up to which a site counts as small. */
const smallSiteEntryLimit = 12;
/** Peers fetch a larger delta. A larger datagram would be fragmented, and the loss of any fragment would lose all of it. */
const maximumDeltaLength = 1_200;
/** A peer responds within a few milliseconds, even with a configuration of hundreds of routes over a slow link. */
const fetchTimeout: Milliseconds = 500;
/** Lower than every revision, for a kind that was never read. */
const noRevision = -1;
/** Number of peers that are queried before the store. */
const maximumPeersAsked = 2;

/** Gives state followers access to the stored objects that peers have. */
export class PeerState implements StatePeers {
    readonly changed = new ChangeSignal();

    constructor(
        private readonly peers: Peers,
        private readonly statePort: PeerStatePort,
        private readonly membership: Membership,
        private readonly dataCentre: string,
        private readonly random: Random,
    ) {
        peers.onPeerStatus = () => this.changed.notify();
        peers.isWatcher = () => this.isWatcher;
    }

    get livingCount(): number {
        return this.peers.livingCount;
    }

    get peersWithoutStoreCount(): number {
        return this.peers.livingPeers().filter(({ reads }) => !reads).length;
    }

    publishRead(change: StateDelta | undefined): void {
        const isSmall = change !== undefined && JSON.stringify(change).length <= maximumDeltaLength;
        this.peers.publishStoreRead(isSmall ? change : undefined);
    }

    private get watcherCount(): number {
        return this.peers.livingCount <= smallSiteEntryLimit ? smallSiteWatcherCount : largeSiteWatcherCount;
    }

    get pollRank(): number {
        return this.membership.rankAmongReaders(watchTask);
    }

    get isWatcher(): boolean {
        return this.membership.isAmongFirst(this.watcherCount, watchTask);
    }

    hasNewer(kind: StateKind, revision: number | undefined): boolean {
        return this.peers.livingPeers().some(peer => knownRevision(peer, kind) > (revision ?? noRevision));
    }

    lastReadAt(kind: StateKind, revision: number | undefined): Milliseconds {
        const knownHere = revision ?? noRevision;
        const times = this.peers.livingPeers().filter(peer => knownRevision(peer, kind) <= knownHere).map((
            { readAt },
        ) => readAt[kind]);
        return Math.max(-Infinity, ...times.filter(time => time !== undefined));
    }

    async fetchUpdate<Kind extends StateKind>(
        kind: Kind,
        revision: number | undefined,
    ): Promise<StateUpdate<StateValues[Kind]> | undefined> {
        const knownHere = revision ?? noRevision;
        const candidates = this.peers.livingPeers().filter(peer => knownRevision(peer, kind) > knownHere)
            .map(peer => ({ peer, order: this.random.next() + (peer.dataCentre === this.dataCentre ? 0 : 1) }))
            .sort((left, right) => left.order - right.order);
        for (const { peer } of candidates.slice(0, maximumPeersAsked)) {
            const update = await this.statePort.fetchUpdate(peer.identity.address, kind, knownHere, fetchTimeout);
            if (update) {
                return update;
            }
        }
        return undefined;
    }
}

const knownRevision = ({ known }: LivingPeer, kind: StateKind): number => known[kind] ?? noRevision;
