/** Chooses the entries that carry connections to endpoints which this entry can't connect to. */
import type { PeerAddress } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { type Random, shuffle } from "../../utils/random.js";
import type { LivingPeer } from "../membership/peerRegistry.js";

/** Entries that are asked in turn for one connection, and at the same time about one endpoint. */
const maximumAskedInTurn = 3;
const maximumAskedAtOnce = 5;
/** How long an entry is asked last after it carried no connection. */
const unavailableDuration: Milliseconds = 1_000;

/** Dependencies of {@link Relays}. */
export interface RelaysDependencies {
    clock: Clock;
    random: Random;
    dataCentre: string;
    livingPeers: () => readonly Pick<LivingPeer, "identity" | "dataCentre" | "reachesEndpoints">[];
}

/** The other entries as carriers of connections. */
export class Relays {
    private readonly unavailableUntil = new Map<string, Milliseconds>();

    constructor(private readonly dependencies: RelaysDependencies) {}

    /**
     * Calls `ask` with one entry after another until one gives a result; resolves with undefined when none does. `ask` resolves
     * with undefined where the entry carries no connection.
     */
    async askInTurn<Result>(ask: (relay: PeerAddress) => Promise<Result | undefined>): Promise<Result | undefined> {
        for (const relay of this.candidates().slice(0, maximumAskedInTurn)) {
            const result = await this.ask(relay, ask);
            if (result !== undefined) {
                return result;
            }
        }
        return undefined;
    }

    /** Calls `ask` with several entries at the same time; resolves with the results of those that gave one. */
    async askAtOnce<Result>(ask: (relay: PeerAddress) => Promise<Result | undefined>): Promise<Result[]> {
        const asked = this.candidates().slice(0, maximumAskedAtOnce);
        const results = await Promise.all(asked.map(relay => this.ask(relay, ask)));
        return results.filter(result => result !== undefined);
    }

    /**
     * Entries to ask, in this order: a near one, one of another data centre, since a whole one may have lost its links, and then
     * any others.
     */
    candidates(): PeerAddress[] {
        const { random, dataCentre, livingPeers } = this.dependencies;
        const peers = shuffle(livingPeers().filter(({ reachesEndpoints }) => reachesEndpoints), random);
        const available = peers.filter(({ identity }) => !this.isUnavailable(identity.id));
        const near = available.filter(peer => peer.dataCentre === dataCentre);
        const far = available.filter(peer => peer.dataCentre !== dataCentre);
        const ordered = [near[0], far[0], near[1], ...far.slice(1), ...peers].filter(peer => peer !== undefined);
        return [...new Set(ordered)].map(({ identity: { id, address } }) => ({ id, address }));
    }

    /** Calls `ask` with one entry; resolves with undefined when it carries no connection. */
    async ask<Result>(
        relay: PeerAddress,
        ask: (relay: PeerAddress) => Promise<Result | undefined>,
    ): Promise<Result | undefined> {
        const result = await ask(relay);
        if (result === undefined) {
            this.unavailableUntil.set(relay.id, this.dependencies.clock.now() + unavailableDuration);
        }
        else {
            this.unavailableUntil.delete(relay.id);
        }
        return result;
    }

    private isUnavailable(id: string): boolean {
        return this.dependencies.clock.now() < (this.unavailableUntil.get(id) ?? 0);
    }
}
