/** How many entries there are, as budgets that hold over all of them need to know it. */
import { hash32 } from "../../utils/hash.js";
import type { Peers } from "./peers.js";

/** Entries that budgets are divided by at the least, for an entry that hears nobody: the largest site of today. */
const entriesAtLeast = 9;
/** One entry more may be starting, and not have been heard yet. */
const entriesUnheard = 1;
/**
 * Assumed until the list of entries was read: more than the largest site has. After a loss of power all entries start at
 * once and none knows another; if each took itself for one of a few, together they would pass every budget.
 */
const entriesUnknown = 100;

/** The entries of a site, as far as this one knows. */
export class Membership {
    /** Places by key, as long as the same entries are known. */
    private readonly ranks = new Map<string, number>();
    private ranksOf: number | undefined;

    constructor(private readonly peers: Peers, private readonly self: string) {}

    /** Entries to divide budgets by. Entries that fell silent are counted too: they may go on sending unheard. */
    get size(): number {
        const known = Math.max(entriesAtLeast, this.peers.livingCount + entriesUnheard, this.peers.ids().length + 1);
        return this.peers.met ? known : Math.max(known, entriesUnknown);
    }

    /** Entries that are known, this one included; for shares that may be passed a little while one is still unheard. */
    get known(): number {
        return this.peers.met ? this.peers.ids().length + 1 : this.size;
    }

    /** This entry's place for `key` among all, from 0; all who know the same entries agree on the order. */
    rank(key: string): number {
        if (this.ranksOf !== this.peers.version) {
            this.ranksOf = this.peers.version;
            this.ranks.clear();
        }
        const kept = this.ranks.get(key) ?? this.rankAmongAll(key);
        this.ranks.set(key, kept);
        return kept;
    }

    private rankAmongAll(key: string): number {
        const own = hash32(`${key}/${this.self}`);
        let before = 0;
        for (const id of this.peers.ids()) {
            before += hash32(`${key}/${id}`) < own ? 1 : 0;
        }
        return before;
    }

    /** Whether this entry is the one to remove `id` from the list: the first of those that live. */
    removes(id: string): boolean {
        const own = hash32(`${id}/${this.self}`);
        return this.peers.livingPeers().every(({ identity }) => hash32(`${id}/${identity.id}`) > own);
    }

    /** Whether this entry is one of `count` that do something for all; all who hear the same entries agree. */
    isOneOf(count: number, task: string): boolean {
        return this.turn(task) < count;
    }

    /** How many living entries that the store answers are to do something for all before this one. */
    turn(task: string): number {
        const own = hash32(`${task}/${this.self}`);
        let before = 0;
        for (const { identity, reads } of this.peers.livingPeers()) {
            before += reads && hash32(`${task}/${identity.id}`) < own ? 1 : 0;
        }
        return before;
    }
}
