/** What the other entries know of stored objects, and which entries watch the store for all. */
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
 * Entries that watch the store for all. Half of a small site's entries can be lost, or turned away by the store, and one that
 * watches is left; of many, six are left without one in two of a hundred such cases.
 */
const watchersOfFew = 4;
const watchersOfMany = 6;
const watchTask = "watch";
/** Up to so many entries are few. */
const fewEntries = 12;
/** A larger change is asked for: in a datagram it would be split on the way, and lost when any piece is. */
const toldBytesAtMost = 1_200;
/** An entry answers in a few milliseconds, also with a configuration of hundreds of routes over a thin link. */
const answerAtMost: Milliseconds = 500;
/** Below every revision, for what was never read. */
const nothingKnown = -1;
/** Entries asked before the store is. */
const askedAtMost = 2;

/** Stored objects as the other entries know them. */
export class PeerState implements StatePeers {
    readonly changed = new ChangeSignal();

    constructor(
        private readonly peers: Peers,
        private readonly port: PeerStatePort,
        private readonly membership: Membership,
        private readonly dataCentre: string,
        private readonly random: Random,
    ) {
        peers.onState = () => this.changed.notify();
        peers.vital = () => this.watching;
    }

    get living(): number {
        return this.peers.livingCount;
    }

    get unread(): number {
        return this.peers.livingPeers().filter(({ reads }) => !reads).length;
    }

    tellRead(change: StateDelta | undefined): void {
        const small = change !== undefined && JSON.stringify(change).length <= toldBytesAtMost;
        this.peers.publishStoreRead(small ? change : undefined);
    }

    private get watchers(): number {
        return this.peers.livingCount <= fewEntries ? watchersOfFew : watchersOfMany;
    }

    get turn(): number {
        return this.membership.turn(watchTask);
    }

    get watching(): boolean {
        return this.membership.isOneOf(this.watchers, watchTask);
    }

    ahead(kind: StateKind, revision: number | undefined): boolean {
        return this.peers.livingPeers().some(peer => knownBy(peer, kind) > (revision ?? nothingKnown));
    }

    readAt(kind: StateKind, revision: number | undefined): Milliseconds {
        const known = revision ?? nothingKnown;
        const times = this.peers.livingPeers().filter(peer => knownBy(peer, kind) <= known).map(({ readAt }) =>
            readAt[kind]
        );
        return Math.max(-Infinity, ...times.filter(time => time !== undefined));
    }

    async learn<Kind extends StateKind>(
        kind: Kind,
        revision: number | undefined,
    ): Promise<StateUpdate<StateValues[Kind]> | undefined> {
        const known = revision ?? nothingKnown;
        const candidates = this.peers.livingPeers().filter(peer => knownBy(peer, kind) > known)
            .map(peer => ({ peer, order: this.random.next() + (peer.dataCentre === this.dataCentre ? 0 : 1) }))
            .sort((left, right) => left.order - right.order);
        for (const { peer } of candidates.slice(0, askedAtMost)) {
            const news = await this.port.fetchUpdate(peer.identity.address, kind, known, answerAtMost);
            if (news) {
                return news;
            }
        }
        return undefined;
    }
}

const knownBy = ({ known }: LivingPeer, kind: StateKind): number => known[kind] ?? nothingKnown;
