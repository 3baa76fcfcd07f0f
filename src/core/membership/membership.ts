/**
 * Counts and ranks the entries of a site. Site-wide budgets are divided by the entry count, and tasks that a few entries
 * perform for all are assigned by rank.
 */
import { hash32 } from "../../utils/hash.js";
import type { LivingPeer } from "./peerRegistry.js";
import type { Peers } from "./peers.js";

/** Lower bound of the divisor of budgets, for an entry that receives from no other: the size of the largest current site. */
const minimumEntryCount = 9;
/** Added to the living entries for one that is starting and hasn't sent a heartbeat yet. */
const startingEntryAllowance = 1;
/**
 * Assumed until another entry has been found or the list of entries read; exceeds the size of the largest site. After a power
 * loss all entries start at once without knowing each other. If each assumed a small site, together they would exceed every
 * budget.
 */
const assumedEntryCount = 100;

/** The entries of a site that this entry knows. */
export class Membership {
    /** Ranks computed for the current membership version. */
    private readonly rankByKey = new Map<string, number>();
    private rankedVersion: number | undefined;

    constructor(private readonly peers: Peers, private readonly self: string) {}

    /** Divisor of budgets. Includes unresponsive entries, since a partitioned entry may continue to send to endpoints. */
    get budgetDivisor(): number {
        const entryCount = Math.max(
            minimumEntryCount,
            this.peers.livingCount + startingEntryAllowance,
            this.peers.ids().length + 1,
        );
        return this.peers.hasFoundEntries ? entryCount : Math.max(entryCount, assumedEntryCount);
    }

    /** Number of known entries, this one included; for budgets that may be exceeded briefly while an entry is starting. */
    get knownCount(): number {
        return this.peers.hasFoundEntries ? this.peers.ids().length + 1 : this.budgetDivisor;
    }

    /** Zero-based rank of this entry for `key` by rendezvous hashing. Entries with the same membership agree on the order. */
    rank(key: string): number {
        if (this.rankedVersion !== this.peers.version) {
            this.rankedVersion = this.peers.version;
            this.rankByKey.clear();
        }
        const rank = this.rankByKey.get(key) ?? this.computeRank(key);
        this.rankByKey.set(key, rank);
        return rank;
    }

    private computeRank(key: string): number {
        const ownHash = hash32(`${key}/${this.self}`);
        let rank = 0;
        for (const id of this.peers.ids()) {
            rank += hash32(`${key}/${id}`) < ownHash ? 1 : 0;
        }
        return rank;
    }

    /** Whether this entry must remove `id` from the list, as the first living entry in the hash order for `id`. */
    isRemoverOf(id: string): boolean {
        const ownHash = hash32(`${id}/${this.self}`);
        return this.peers.livingPeers().every(({ identity }) => hash32(`${id}/${identity.id}`) > ownHash);
    }

    /** Whether this entry is one of the `count` entries that perform `task` for all. */
    isAmongFirst(count: number, task: string): boolean {
        return this.rankAmongReaders(task) < count;
    }

    /** Whether the entry `id` is known, living or not. */
    knows(id: string): boolean {
        return id === this.self || this.peers.ids().includes(id);
    }

    /**
     * Whether this entry is one of the first `count` of those whose latest heartbeats it has. Entries that no longer hear one
     * another agree on it sooner than on which of them are living, and more entries may take it on meanwhile.
     */
    isAmongFirstHeard(count: number, task: string): boolean {
        return this.rankAmong(this.peers.freshPeers(), task) < count;
    }

    /** Number of living entries with access to the store that precede this one in the hash order for `task`. */
    rankAmongReaders(task: string): number {
        return this.rankAmong(this.peers.livingPeers(), task);
    }

    private rankAmong(peers: readonly LivingPeer[], task: string): number {
        const ownHash = hash32(`${task}/${this.self}`);
        let rank = 0;
        for (const { identity, reads } of peers) {
            rank += reads && hash32(`${task}/${identity.id}`) < ownHash ? 1 : 0;
        }
        return rank;
    }
}
