/**
 * Digests of the living entries, which placers add to their heartbeats.
 *
 * Load pattern: 145 entries, of which each would otherwise receive the heartbeats of all others, relayed from group to group;
 * they are four of five datagrams and nine of ten bytes of an idle entry. A placer receives the heartbeats of its data centre
 * anyway. It tells the entries there who lives, and the other placers who lives in its data centre. A digest names a version of
 * the placer's list and the changes since an earlier version; a receiver without that earlier version fetches the whole list.
 */
import type { Clock, Milliseconds } from "../../utils/clock.js";

/** Changes of this time are repeated in each digest, so that a receiver catches up after a few lost datagrams. */
const changeRetention: Milliseconds = 2_500;
/** With more changes than this in a digest, receivers fetch the list instead. */
const maximumDigestChanges = 24;

/** Which entries a digest lists. */
export enum DigestScope {
    /** All living entries that the placer knows, for the entries of its data centre. */
    All = "all",
    /** The living entries of the placer's data centre, for the other placers. */
    DataCentre = "dataCentre",
}

/** What a digest tells about one living entry. */
export interface MemberState {
    id: string;
    address: string;
    incarnation: string;
    dataCentre: string;
    processors: number;
    /** Whether it is able to choose endpoints for others. */
    places: boolean;
    /** Whether the store responds to it. */
    reads: boolean;
    /** Whether it can connect to endpoints. */
    reachesEndpoints: boolean;
    /** Whether it sends and understands digests. */
    usesDigests: boolean;
}

/** The living entries by one placer's list. */
export interface MemberDigest {
    scope: DigestScope;
    version: number;
    /** Version that `changed` and `removed` lead from. */
    base: number;
    changed: MemberState[];
    removed: string[];
}

/** A placer's whole list. */
export interface MemberList {
    version: number;
    members: MemberState[];
}

/** A change of one member; `state` is undefined where it no longer lives. */
interface MemberChange {
    id: string;
    state: MemberState | undefined;
    version: number;
    at: Milliseconds;
}

/** Creates the digests of this entry's list for one scope. */
export class DigestPublisher {
    private version = 1;
    private readonly stateById = new Map<string, MemberState>();
    /** Recent changes, the oldest first. */
    private changes: MemberChange[] = [];

    constructor(private readonly clock: Clock, private readonly scope: DigestScope) {}

    /** Records the living members and returns the digest of this moment. */
    digest(members: readonly MemberState[]): MemberDigest {
        this.update(members);
        this.dropOldChanges();
        const base = this.changes[0] ? this.changes[0].version - 1 : this.version;
        const newestById = new Map(this.changes.map(change => [change.id, change.state]));
        const changed = [...newestById.values()].filter(state => state !== undefined);
        const removed = [...newestById].filter(([, state]) => state === undefined).map(([id]) => id);
        return { scope: this.scope, version: this.version, base, changed, removed };
    }

    /** Records the living members and returns the whole list. */
    list(members: readonly MemberState[]): MemberList {
        this.update(members);
        return { version: this.version, members: [...this.stateById.values()] };
    }

    private update(members: readonly MemberState[]): void {
        const livingIds = new Set<string>();
        for (const member of members) {
            livingIds.add(member.id);
            const known = this.stateById.get(member.id);
            if (!known || !isSameState(known, member)) {
                this.record(member.id, member);
            }
        }
        for (const id of this.stateById.keys()) {
            if (!livingIds.has(id)) {
                this.record(id, undefined);
            }
        }
    }

    private record(id: string, state: MemberState | undefined): void {
        this.version++;
        this.changes.push({ id, state, version: this.version, at: this.clock.now() });
        if (state) {
            this.stateById.set(id, state);
        }
        else {
            this.stateById.delete(id);
        }
    }

    private dropOldChanges(): void {
        const oldest = this.clock.now() - changeRetention;
        this.changes = this.changes.filter(({ at }) => at > oldest).slice(-maximumDigestChanges);
    }
}

const isSameState = (left: MemberState, right: MemberState): boolean =>
    left.incarnation === right.incarnation && left.address === right.address && left.dataCentre === right.dataCentre
    && left.processors === right.processors && left.places === right.places && left.reads === right.reads
    && left.reachesEndpoints === right.reachesEndpoints && left.usesDigests === right.usesDigests;

/** The list of one placer as this entry has it. */
export class FollowedList {
    private version: number | undefined;
    private readonly stateById = new Map<string, MemberState>();

    /** Whether the list holds an entry. */
    has(id: string): boolean {
        return this.stateById.has(id);
    }

    /** Applies a digest; returns whether the list is complete with it. A digest that is older than the list changes nothing. */
    apply({ version, base, changed, removed }: MemberDigest): boolean {
        if (this.version === undefined || this.version < base) {
            return false;
        }
        if (version > this.version) {
            this.version = version;
            for (const state of changed) {
                this.stateById.set(state.id, state);
            }
            for (const id of removed) {
                this.stateById.delete(id);
            }
        }
        return true;
    }

    /** Replaces the list unless it is newer. */
    replace({ version, members }: MemberList): void {
        if (version < (this.version ?? 0)) {
            return;
        }
        this.version = version;
        this.stateById.clear();
        for (const member of members) {
            this.stateById.set(member.id, member);
        }
    }

    /** The living members by this list. */
    get members(): Iterable<MemberState> {
        return this.stateById.values();
    }
}
