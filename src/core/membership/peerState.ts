/** What the other entries know of stored objects, and which entries watch the store for all. */
import type { PeerStatePort } from "../../ports/peerStatePort.js";
import { StateKind, type StateValues } from "../../ports/statePort.js";
import type { Milliseconds } from "../../utils/clock.js";
import { hash32 } from "../../utils/hash.js";
import type { Random } from "../../utils/random.js";
import { ChangeSignal } from "../../utils/signal.js";
import type { StatePeers } from "../configuration/stateFollower.js";
import type { StateNews } from "../configuration/stateMirror.js";
import type { LivingPeer, Peers } from "./peers.js";

/**
 * Entries that watch each kind. With six, half of all entries can be lost at once, and in 98 of 100 cases one that
 * watches is left; a site of up to nine entries loses next to nothing by the others' not watching.
 */
const watchersOfKind = 6;
/** An entry answers in a few milliseconds, also with a configuration of hundreds of routes over a thin link. */
const answerAtMost: Milliseconds = 500;
/** Entries asked before the store is. */
const askedAtMost = 2;

/** Stored objects as the other entries know them. */
export class PeerState implements StatePeers {
    readonly changed = new ChangeSignal();

    constructor(
        private readonly peers: Peers,
        private readonly port: PeerStatePort,
        private readonly self: { id: string; dataCentre: string; },
        private readonly random: Random,
    ) {
        peers.onState = () => this.changed.notify();
    }

    get living(): number {
        return this.peers.living;
    }

    tell(): void {
        this.peers.sayChanged();
    }

    watches(kind: StateKind): boolean {
        const own = hash32(`${kind}/${this.self.id}`);
        let before = 0;
        for (const { identity } of this.peers.others()) {
            before += hash32(`${kind}/${identity.id}`) < own ? 1 : 0;
        }
        return before < watchersOfKind;
    }

    ahead(kind: StateKind, revision: number): boolean {
        return this.peers.others().some(peer => knownBy(peer, kind) > revision);
    }

    async learn<Kind extends StateKind>(
        kind: Kind,
        revision: number,
    ): Promise<StateNews<StateValues[Kind]> | undefined> {
        const candidates = this.peers.others().filter(peer => knownBy(peer, kind) > revision)
            .map(peer => ({ peer, order: this.random.next() + (peer.dataCentre === this.self.dataCentre ? 0 : 1) }))
            .sort((left, right) => left.order - right.order);
        for (const { peer } of candidates.slice(0, askedAtMost)) {
            const news = await this.port.ask(peer.identity.address, kind, revision, answerAtMost);
            if (news) {
                return news;
            }
        }
        return undefined;
    }
}

const knownBy = ({ known }: LivingPeer, kind: StateKind): number => known[kind] ?? 0;
