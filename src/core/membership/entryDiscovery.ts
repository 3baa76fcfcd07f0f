/**
 * How entries find one another: by asking those that the settings name, else by a list in the store.
 *
 * A few entries stand on the list for all. Whoever finds nobody at the named addresses, or has lost sight of the others for
 * long, finds one of them there, and through it all the rest.
 */
import { StateKind, type StatePort } from "../../ports/statePort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import type { PartLog } from "../../utils/log.js";
import type { Membership } from "./membership.js";
import type { Peers } from "./peers.js";

/** Entries that stand on the list and read it. Half of a site can be lost at once, and one that stands there is left. */
const listedAtLeast = 6;
/** How often these read it, for entries that lost sight of one another. */
const listInterval: Milliseconds = 30_000;
const listRetry: Milliseconds = 1_000;
/** Pause before the named entries are asked again: they start at about the same time, and datagrams are lost. */
const greetInterval: Milliseconds = 100;
/** Once one was met, the others are heard within this time; before, each would take itself for one of the first. */
const settleTime: Milliseconds = 2_500;

/** What finding entries needs. */
export interface EntryListParts {
    store: StatePort;
    peers: Peers;
    membership: Membership;
    clock: Clock;
    log: PartLog;
    self: { id: string; address: string; };
    /** Addresses of entries that may be there. */
    seeds: readonly string[];
    /** How long the named entries may take to answer before the store's list is read. */
    patience: Milliseconds;
    /** Whether this entry is stopping. */
    stopping: () => boolean;
}

/** Finds the other entries, and lets them find this one. */
export class EntryDiscovery {
    private announced = false;

    constructor(private readonly parts: EntryListParts) {}

    /** Runs until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await this.greet(signal);
        if (this.parts.peers.met) {
            await this.parts.clock.sleep(settleTime, signal);
        }
        while (!signal.aborted) {
            let pause = listInterval;
            try {
                await this.keepList(signal);
            }
            catch (error) {
                this.parts.log.warn("The list of entries can't be had.", { error: describeError(error) });
                pause = listRetry;
            }
            await this.parts.clock.sleep(pause, signal);
        }
    }

    /** Takes this entry's name off the list. */
    async withdraw(signal: AbortSignal): Promise<void> {
        if (this.announced) {
            await this.parts.store.withdraw(this.parts.self.id, signal);
        }
    }

    /** Asks the named entries until one has answered, or the patience is over. */
    private async greet(signal: AbortSignal): Promise<void> {
        const { clock, peers, seeds, self, patience } = this.parts;
        const others = seeds.filter(address => address !== self.address);
        const until = clock.now() + patience;
        while (others.length > 0 && !peers.met && clock.now() < until && !signal.aborted) {
            peers.greet(others);
            await clock.sleep(greetInterval, signal);
        }
    }

    /**
     * Writes before it reads, so that of two entries that start together at least one finds the other, and greets it. An
     * entry that was only cut off finds its own name missing and writes it again.
     */
    private async keepList(signal: AbortSignal): Promise<void> {
        const { store, peers, membership, self } = this.parts;
        if (peers.met && !membership.isOneOf(listedAtLeast, "list")) {
            return;
        }
        if (!this.announced && !this.parts.stopping()) {
            await store.announce(self.id, { address: self.address }, signal);
            this.announced = true;
        }
        const { items } = await store.list(StateKind.Entries, signal);
        this.announced &&= items.some(({ name }) => name === self.id);
        peers.applyListing(items.flatMap(({ name, value }) => value ? [{ id: name, ...value }] : []));
        await this.removeLost(signal);
    }

    private async removeLost(signal: AbortSignal): Promise<void> {
        const { store, peers, membership, log } = this.parts;
        for (const id of peers.lost().filter(lost => membership.removes(lost))) {
            await store.withdraw(id, signal);
            log.info("An entry that is gone was removed from the list.", { entry: id });
        }
    }
}
