/**
 * Discovers the other entries: through the seed addresses in the settings, and otherwise through a list in the store.
 *
 * Only a few entries add themselves to that list. An entry that gets no response from its seeds, or has been partitioned
 * from the others for long, finds one of the listed entries and receives the addresses of all others from it.
 */
import { StateKind, type StatePort } from "../../ports/statePort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import type { PartLog } from "../../utils/log.js";
import type { Membership } from "./membership.js";
import type { Peers } from "./peers.js";

/** Number of entries that list themselves and read the list. When half of a site fails at once, a listed entry remains. */
const listedEntryCount = 6;
/** How often the listed entries read the list, to find entries that were partitioned from them. */
const listInterval: Milliseconds = 30_000;
const listRetryInterval: Milliseconds = 1_000;
/** Delay before the seeds are asked again, since seeds start at about the same time and datagrams may be lost. */
const greetingInterval: Milliseconds = 100;
/**
 * Wait after the first contact with another entry. Heartbeats of all entries arrive within this time; without the wait, each
 * entry would rank itself among the first and add itself to the list.
 */
const settlingDuration: Milliseconds = 2_500;

/** Dependencies of {@link EntryDiscovery}. */
export interface EntryDiscoveryDependencies {
    store: StatePort;
    peers: Peers;
    membership: Membership;
    clock: Clock;
    log: PartLog;
    self: { id: string; address: string; };
    /** Addresses from the settings at which other entries may run. */
    seeds: readonly string[];
    /** How long to wait for a response from a seed before reading the store's list. */
    seedTimeout: Milliseconds;
    /** Whether this entry is shutting down. */
    isStopping: () => boolean;
}

/** Finds the other entries and makes this one discoverable. */
export class EntryDiscovery {
    private isAnnounced = false;

    constructor(private readonly dependencies: EntryDiscoveryDependencies) {}

    /** Discovers entries until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await this.greetSeeds(signal);
        if (this.dependencies.peers.hasFoundEntries) {
            await this.dependencies.clock.sleep(settlingDuration, signal);
        }
        while (!signal.aborted) {
            let delay = listInterval;
            try {
                await this.maintainListing(signal);
            }
            catch (error) {
                this.dependencies.log.warn("The list of entries can't be read or updated.", {
                    error: describeError(error),
                });
                delay = listRetryInterval;
            }
            await this.dependencies.clock.sleep(delay, signal);
        }
    }

    /** Removes this entry from the list. */
    async withdraw(signal: AbortSignal): Promise<void> {
        if (this.isAnnounced) {
            await this.dependencies.store.withdraw(this.dependencies.self.id, signal);
        }
    }

    /** Sends greetings to the seeds until one responds or the timeout expires. */
    private async greetSeeds(signal: AbortSignal): Promise<void> {
        const { clock, peers, seeds, self, seedTimeout } = this.dependencies;
        const others = seeds.filter(address => address !== self.address);
        const deadline = clock.now() + seedTimeout;
        while (others.length > 0 && !peers.hasFoundEntries && clock.now() < deadline && !signal.aborted) {
            peers.sendGreetings(others);
            await clock.sleep(greetingInterval, signal);
        }
    }

    /**
     * Writes this entry's record before reading the list, so that of two entries that start together at least one finds the
     * other. An entry whose record was removed during a network partition finds it missing and writes it again.
     */
    private async maintainListing(signal: AbortSignal): Promise<void> {
        const { store, peers, membership, self } = this.dependencies;
        if (peers.hasFoundEntries && !membership.isAmongFirst(listedEntryCount, "list")) {
            return;
        }
        if (!this.isAnnounced && !this.dependencies.isStopping()) {
            await store.announce(self.id, { address: self.address }, signal);
            this.isAnnounced = true;
        }
        const { items } = await store.list(StateKind.Entries, signal);
        this.isAnnounced &&= items.some(({ name }) => name === self.id);
        peers.applyListing(items.flatMap(({ name, value }) => value ? [{ id: name, ...value }] : []));
        await this.removeLostEntries(signal);
    }

    private async removeLostEntries(signal: AbortSignal): Promise<void> {
        const { store, peers, membership, log } = this.dependencies;
        for (const id of peers.lostEntries().filter(lost => membership.isRemoverOf(lost))) {
            await store.withdraw(id, signal);
            log.info("An entry that is gone was removed from the list.", { entry: id });
        }
    }
}
