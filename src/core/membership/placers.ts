/**
 * Determines the placers, the entries that choose endpoints for all others.
 *
 * Load pattern: hundreds of entries, each with a request a second. If each chose endpoints itself, each would need every
 * other entry's placements and still receive them too late. A few placers per data centre choose for the entries near them,
 * and only placers receive placements. Placers are no single point of failure: an entry without a response asks the next
 * placer, or chooses locally.
 */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { hash32 } from "../../utils/hash.js";

/** Up to this many peers, each entry receives all placements and chooses locally: that is cheap and saves a round trip. */
export const fullMeshPeerLimit = 12;
/** Number of entries of a data centre per placer. */
const entriesPerPlacer = 24;
/** Minimum number of placers over all data centres, so that one still has the work in progress after another fails. */
const minimumPlacerCount = 2;

/** How long the placers are cached, since selecting them among hundreds of entries is slow. A new entry invalidates them. */
const rosterCacheDuration: Milliseconds = 1_000;
const smallSiteRosterCacheDuration: Milliseconds = 250;
/** First back-off of a placer that timed out: long enough to spare most requests the timeout if the placer has failed. */
const initialBackOff: Milliseconds = 500;
const maximumBackOff: Milliseconds = 4_000;

/** The properties of an entry that determine whether it becomes a placer. */
export interface PlacerCandidate {
    id: string;
    address: string;
    dataCentre: string;
    /** Processor cores of its instance. */
    processors: number;
    /** Whether it has a configuration and endpoints and isn't shutting down. */
    places: boolean;
}

/** The placers from one entry's perspective. */
export interface PlacerSet {
    /** Whether each entry chooses endpoints for itself. */
    everyone: boolean;
    /** Whether this entry is a placer. */
    self: boolean;
    /** The other placers. */
    others: readonly PlacerCandidate[];
    /** The placers that this entry asks, in order of preference. */
    asked: readonly PlacerCandidate[];
}

/**
 * Whether an entry receives all placements. An entry that knows many others but no other placer doesn't: the others have just
 * started, and each regards itself as the only placer.
 */
export const receivesAllPlacements = ({ everyone, self, others }: PlacerSet): boolean =>
    everyone || (self && others.length > 0);

/** Selects the placers among `self` and `others`. Entries with the same membership list select the same placers. */
export const choosePlacers = (self: PlacerCandidate, others: readonly PlacerCandidate[]): PlacerSet => {
    if (others.length <= fullMeshPeerLimit) {
        return { everyone: true, self: true, others: [], asked: [] };
    }
    const placers = selectPlacers([self, ...others]);
    const sameDataCentre: PlacerCandidate[] = [];
    const otherDataCentres: PlacerCandidate[] = [];
    for (const placer of placers) {
        if (placer !== self) {
            (placer.dataCentre === self.dataCentre ? sameDataCentre : otherDataCentres).push(placer);
        }
    }
    return {
        everyone: false,
        self: placers.includes(self),
        others: [...sameDataCentre, ...otherDataCentres],
        asked: [...orderForAsker(sameDataCentre, self.id), ...orderForAsker(otherDataCentres, self.id)],
    };
};

/** Selects the entries with the most cores in each data centre, since a placer short of CPU time delays requests. */
const selectPlacers = (entries: readonly PlacerCandidate[]): PlacerCandidate[] => {
    const byDataCentre = new Map<string, PlacerCandidate[]>();
    for (const entry of entries) {
        byDataCentre.set(entry.dataCentre, [...byDataCentre.get(entry.dataCentre) ?? [], entry]);
    }
    const minimumPerDataCentre = Math.ceil(minimumPlacerCount / byDataCentre.size);
    const placers: PlacerCandidate[] = [];
    for (const candidates of byDataCentre.values()) {
        const placerCount = Math.max(minimumPerDataCentre, Math.ceil(candidates.length / entriesPerPlacer));
        placers.push(...candidates.filter(({ places }) => places).sort(compareByProcessors).slice(0, placerCount));
    }
    return placers;
};

const compareByProcessors = (left: PlacerCandidate, right: PlacerCandidate): number =>
    right.processors - left.processors || hash32(left.id) - hash32(right.id) || (left.id < right.id ? -1 : 1);

/** Orders placers by a hash of the asker, so that entries ask different placers first. */
const orderForAsker = (placers: readonly PlacerCandidate[], asker: string): PlacerCandidate[] =>
    [...placers].sort((left, right) => hash32(`${asker}/${left.id}`) - hash32(`${asker}/${right.id}`));

/** Caches the current placers and leaves placers in back-off out of `asked`. */
export class PlacerRoster {
    private cached: { until: Milliseconds; placers: PlacerSet; } | undefined;
    private readonly backOffById = new Map<string, { until: Milliseconds; duration: Milliseconds; }>();

    constructor(
        private readonly clock: Clock,
        private readonly self: () => PlacerCandidate,
        private readonly others: () => readonly PlacerCandidate[],
    ) {}

    current(): PlacerSet {
        const now = this.clock.now();
        if (!this.cached || now >= this.cached.until) {
            const placers = choosePlacers(this.self(), this.others());
            const asked = placers.asked.filter(({ id }) => !this.isInBackOff(id));
            const until = now + (placers.everyone ? smallSiteRosterCacheDuration : rosterCacheDuration);
            this.cached = { until: Math.min(until, this.nextBackOffEnd()), placers: { ...placers, asked } };
        }
        return this.cached.placers;
    }

    /** Recomputes the placers on the next use, after an entry joined or is stopping. */
    invalidate(): void {
        this.cached = undefined;
    }

    /** Records that a placer didn't respond, and starts or doubles its back-off. */
    recordTimeout(id: string): void {
        const now = this.clock.now();
        const previous = this.backOffById.get(id);
        if (previous && now < previous.until) {
            return;
        }
        const isRepeated = previous !== undefined && now - previous.until < maximumBackOff;
        const duration = isRepeated ? Math.min(maximumBackOff, 2 * previous.duration) : initialBackOff;
        this.backOffById.set(id, { until: now + duration, duration });
        this.invalidate();
    }

    private isInBackOff(id: string): boolean {
        return this.clock.now() < (this.backOffById.get(id)?.until ?? 0);
    }

    private nextBackOffEnd(): Milliseconds {
        const now = this.clock.now();
        let first = Infinity;
        for (const { until } of this.backOffById.values()) {
            first = until > now ? Math.min(first, until) : first;
        }
        return first;
    }
}
