/**
 * Which entries choose endpoints for all others.
 *
 * Load pattern: hundreds of entries, each with a request a second. If each chose for itself, each would have to hear of all
 * that the others placed, and would still hear of it too late. A few in each data centre choose for all that are near; only
 * these hear what is placed. Nothing rests on them: whoever gets no answer asks the next one, or chooses by itself.
 */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { hash32 } from "../../utils/hash.js";

/** Up to so many other entries each hears of all placements itself: that costs little, and is quicker than to ask. */
export const fewEntries = 12;
/** Entries of a data centre for each of its placers. */
const entriesPerPlacer = 24;
/** Placers there are at least, over all data centres, so that the work in progress is known after one has gone. */
const placersAtLeast = 2;

/** To choose the placers among hundreds takes a while; it is done anew when an entry comes, and after so long. */
const rosterKept: Milliseconds = 1_000;
const rosterOfFewKept: Milliseconds = 250;
/** How long an entry that gave no answer isn't asked: long enough to spare most requests the wait, if it has gone. */
const silentRest: Milliseconds = 500;
const longestSilentRest: Milliseconds = 4_000;

/** An entry, as far as choosing for others goes. */
export interface PlacerCandidate {
    id: string;
    address: string;
    dataCentre: string;
    /** Cores that its instance has. */
    processors: number;
    /** Whether it knows configuration and endpoints, and goes on for a while. */
    places: boolean;
}

/** Who chooses, as one entry sees it. */
export interface PlacerSet {
    /** Whether each entry chooses for itself. */
    everyone: boolean;
    /** Whether this entry chooses for others. */
    self: boolean;
    /** The others who choose for all. */
    others: readonly PlacerCandidate[];
    /** Whom this entry asks, in this order. */
    asked: readonly PlacerCandidate[];
}

/** The placers among `self` and `others`; all who know the same entries choose the same ones. */
export const choosePlacers = (self: PlacerCandidate, others: readonly PlacerCandidate[]): PlacerSet => {
    if (others.length <= fewEntries) {
        return { everyone: true, self: true, others: [], asked: [] };
    }
    const placers = placersOf([self, ...others]);
    const near: PlacerCandidate[] = [];
    const far: PlacerCandidate[] = [];
    for (const placer of placers) {
        if (placer !== self) {
            (placer.dataCentre === self.dataCentre ? near : far).push(placer);
        }
    }
    return {
        everyone: false,
        self: placers.includes(self),
        others: [...near, ...far],
        asked: [...spread(near, self.id), ...spread(far, self.id)],
    };
};

/** The strongest of each data centre: choosing for others takes processor time, and who waits for it is late. */
const placersOf = (entries: readonly PlacerCandidate[]): PlacerCandidate[] => {
    const byDataCentre = new Map<string, PlacerCandidate[]>();
    for (const entry of entries) {
        byDataCentre.set(entry.dataCentre, [...byDataCentre.get(entry.dataCentre) ?? [], entry]);
    }
    const atLeast = Math.ceil(placersAtLeast / byDataCentre.size);
    const placers: PlacerCandidate[] = [];
    for (const present of byDataCentre.values()) {
        const wanted = Math.max(atLeast, Math.ceil(present.length / entriesPerPlacer));
        placers.push(...present.filter(({ places }) => places).sort(strongestFirst).slice(0, wanted));
    }
    return placers;
};

const strongestFirst = (left: PlacerCandidate, right: PlacerCandidate): number =>
    right.processors - left.processors || hash32(left.id) - hash32(right.id) || (left.id < right.id ? -1 : 1);

/** Entries ask different placers first. */
const spread = (placers: readonly PlacerCandidate[], asker: string): PlacerCandidate[] =>
    [...placers].sort((left, right) => hash32(`${asker}/${left.id}`) - hash32(`${asker}/${right.id}`));

/** The placers as of now, without those that gave no answer of late. */
export class PlacerRoster {
    private kept: { until: Milliseconds; placers: PlacerSet; } | undefined;
    private readonly silences = new Map<string, { until: Milliseconds; length: Milliseconds; }>();

    constructor(
        private readonly clock: Clock,
        private readonly self: () => PlacerCandidate,
        private readonly others: () => readonly PlacerCandidate[],
    ) {}

    current(): PlacerSet {
        const now = this.clock.now();
        if (!this.kept || now >= this.kept.until) {
            const placers = choosePlacers(this.self(), this.others());
            const asked = placers.asked.filter(({ id }) => !this.rests(id));
            const until = now + (placers.everyone ? rosterOfFewKept : rosterKept);
            this.kept = { until: Math.min(until, this.firstRestEnds()), placers: { ...placers, asked } };
        }
        return this.kept.placers;
    }

    /** An entry has come or is going. */
    renew(): void {
        this.kept = undefined;
    }

    /** Notes that an entry gave no answer. */
    noteSilent(id: string): void {
        const now = this.clock.now();
        const before = this.silences.get(id);
        if (before && now < before.until) {
            return;
        }
        const again = before !== undefined && now - before.until < longestSilentRest;
        const length = again ? Math.min(longestSilentRest, 2 * before.length) : silentRest;
        this.silences.set(id, { until: now + length, length });
        this.renew();
    }

    private rests(id: string): boolean {
        return this.clock.now() < (this.silences.get(id)?.until ?? 0);
    }

    private firstRestEnds(): Milliseconds {
        const now = this.clock.now();
        let first = Infinity;
        for (const { until } of this.silences.values()) {
            first = until > now ? Math.min(first, until) : first;
        }
        return first;
    }
}
