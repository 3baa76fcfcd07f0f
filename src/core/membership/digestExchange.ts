/**
 * Publishes digests of the living entries as a placer, and keeps this entry's peers alive by the digests of placers.
 *
 * A placer believes only what it hears itself about its own data centre, and for the others only their placers. If placers
 * confirmed an entry to one another, it would seem to live for good after it has failed.
 */
import type { PeerIdentity } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import {
    DigestPublisher,
    DigestScope,
    FollowedList,
    type MemberDigest,
    type MemberList,
    type MemberState,
} from "./memberDigest.js";
import type { PeerRegistry } from "./peerRegistry.js";

/** Without a digest of its data centre's placers for this long, three of their heartbeats, an entry sends heartbeats to all. */
const digestTimeout: Milliseconds = 1_600;
/** Minimum time between two fetches of a placer's list. */
const fetchInterval: Milliseconds = 400;

/** Dependencies of {@link DigestExchange}. */
export interface DigestExchangeDependencies {
    clock: Clock;
    registry: PeerRegistry;
    dataCentre: string;
    /** Whether this entry is a placer. */
    isPlacer: () => boolean;
    /** This entry as a member. */
    self: () => MemberState;
    /** Fetches the list of the placer at `address`; undefined when it doesn't respond. */
    fetchMembers: (address: string, scope: DigestScope) => Promise<MemberList | undefined>;
    /** Called when a digest has changed which entries live, or what they can do. */
    onChange: () => void;
    /** Called with each list that is fetched. */
    onFetch: () => void;
}

/** A list that is followed, and when it was last asked for. */
interface Subscription {
    incarnation: string;
    list: FollowedList;
    fetchedAt: Milliseconds;
    receivedAt: Milliseconds;
}

/** Sends and applies digests. */
export class DigestExchange {
    private readonly publishers: Record<DigestScope, DigestPublisher>;
    private readonly subscriptionById = new Map<string, Subscription>();
    /** When a digest of this data centre's placers was last applied. */
    private confirmedAt: Milliseconds = -Infinity;

    constructor(private readonly dependencies: DigestExchangeDependencies) {
        const { clock } = dependencies;
        this.publishers = {
            [DigestScope.All]: new DigestPublisher(clock, DigestScope.All),
            [DigestScope.DataCentre]: new DigestPublisher(clock, DigestScope.DataCentre),
        };
    }

    /** Whether the other entries learn by digests that this one lives, so that it needs no heartbeats to all of them. */
    get isCovered(): boolean {
        const { clock, registry, isPlacer } = this.dependencies;
        return registry.living().every(({ usesDigests }) => usesDigests)
            && (isPlacer() || clock.now() - this.confirmedAt < digestTimeout);
    }

    /** The digest for one heartbeat. */
    createDigest(scope: DigestScope): MemberDigest {
        return this.publishers[scope].digest(this.members(scope));
    }

    /** The whole list, for an entry that lacks the digests before. */
    listMembers(scope: DigestScope): MemberList {
        return this.publishers[scope].list(this.members(scope));
    }

    /** Applies the digest in a placer's heartbeat. */
    receive(from: PeerIdentity, fromDataCentre: string, digest: MemberDigest): void {
        const { clock } = this.dependencies;
        if (!this.believes(fromDataCentre, digest.scope)) {
            return;
        }
        const subscription = this.subscriptionFor(from);
        subscription.receivedAt = clock.now();
        const removed = digest.removed.filter(id => subscription.list.has(id));
        if (subscription.list.apply(digest)) {
            this.confirm(subscription);
            this.endConfirmation(removed);
            return;
        }
        if (clock.now() - subscription.fetchedAt >= fetchInterval) {
            subscription.fetchedAt = clock.now();
            void this.fetch(from, digest.scope, subscription);
        }
    }

    private async fetch(from: PeerIdentity, scope: DigestScope, subscription: Subscription): Promise<void> {
        this.dependencies.onFetch();
        const members = await this.dependencies.fetchMembers(from.address, scope);
        if (members && this.subscriptionById.get(from.id) === subscription) {
            subscription.list.replace(members);
            this.confirm(subscription);
        }
    }

    /** Entries that one placer no longer hears of live on as long as another one does. */
    private endConfirmation(removed: readonly string[]): void {
        const oldest = this.dependencies.clock.now() - digestTimeout;
        const current = [...this.subscriptionById.values()].filter(({ receivedAt }) => receivedAt > oldest);
        const unconfirmed = removed.filter(id => current.every(({ list }) => !list.has(id)));
        if (unconfirmed.length > 0) {
            this.dependencies.registry.endConfirmation(unconfirmed);
            this.dependencies.onChange();
        }
    }

    /** A placer's list of all entries counts for its data centre; its list of its data centre counts for other placers. */
    private believes(fromDataCentre: string, scope: DigestScope): boolean {
        const { dataCentre, isPlacer } = this.dependencies;
        const isSameDataCentre = fromDataCentre === dataCentre;
        switch (scope) {
            case DigestScope.All:
                return isSameDataCentre && !isPlacer();
            case DigestScope.DataCentre:
                return !isSameDataCentre && isPlacer();
        }
    }

    private subscriptionFor({ id, incarnation }: PeerIdentity): Subscription {
        const known = this.subscriptionById.get(id);
        if (known?.incarnation === incarnation) {
            return known;
        }
        this.dropLapsed();
        const created = { incarnation, list: new FollowedList(), fetchedAt: -Infinity, receivedAt: -Infinity };
        this.subscriptionById.set(id, created);
        return created;
    }

    /** Forgets the lists of entries that are no placers any more. */
    private dropLapsed(): void {
        const oldest = this.dependencies.clock.now() - 2 * digestTimeout;
        for (const [id, { receivedAt }] of this.subscriptionById) {
            if (receivedAt < oldest) {
                this.subscriptionById.delete(id);
            }
        }
    }

    private confirm({ list }: Subscription): void {
        const { clock, registry, onChange } = this.dependencies;
        this.confirmedAt = clock.now();
        if (registry.confirmMembers(list.members)) {
            onChange();
        }
    }

    private members(scope: DigestScope): MemberState[] {
        const { registry, self, dataCentre } = this.dependencies;
        const members = [self()];
        for (const { identity, ...peer } of registry.living()) {
            if (scope === DigestScope.All || peer.dataCentre === dataCentre) {
                const { processors, places, reads, reachesEndpoints, usesDigests } = peer;
                const { id, address, incarnation } = identity;
                const state = { dataCentre: peer.dataCentre, processors, places, reads, reachesEndpoints, usesDigests };
                members.push({ id, address, incarnation, ...state });
            }
        }
        return members;
    }
}
