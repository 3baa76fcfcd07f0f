/** Mirrors one kind of stored objects with its recent changes, to serve updates to other entries. */
import type { StateChange, StateChanges, StateItem, StateSnapshot } from "../../ports/statePort.js";

/** Number of changes kept for peers that are slightly behind. A peer further behind gets a snapshot. */
const maximumKeptChanges = 256;

/** What a peer at some revision needs to catch up: the changes since, or a snapshot. */
export type StateUpdate<Value> =
    & {
        /** Revision that the peer reaches with the update. */
        revision: number;
        /** Whether the store was unavailable just before, so that records may have expired meanwhile. */
        wasAway: boolean;
    }
    & (
        | { type: "Changes"; changes: StateChange<Value>[]; }
        | { type: "Snapshot"; items: StateItem<Value>[]; }
    );

interface ChangeBatch<Value> extends StateChanges<Value> {
    /** Revision to which the changes apply. */
    after: number;
    wasAway: boolean;
}

/** The objects of one kind and their recent changes. */
export class StateMirror<Value> {
    /** Revision of the mirrored state; undefined before the first snapshot. */
    revision: number | undefined;
    /** Revision of the last change of an object. */
    lastChange = 0;
    private readonly items = new Map<string, StateItem<Value>>();
    private batches: ChangeBatch<Value>[] = [];
    private wasListedAfterOutage = false;

    replace({ revision, items }: StateSnapshot<Value>, wasAway: boolean): void {
        const names = new Set(items.map(({ name }) => name));
        const removed = [...this.items.keys()].some(name => !names.has(name));
        this.items.clear();
        for (const item of items) {
            this.items.set(item.name, item);
            this.lastChange = Math.max(this.lastChange, item.revision);
        }
        this.lastChange = removed ? Math.max(this.lastChange, revision) : this.lastChange;
        this.revision = revision;
        this.batches = [];
        this.wasListedAfterOutage = wasAway;
    }

    apply({ revision, changes }: StateChanges<Value>, wasAway: boolean): void {
        for (const { removed, ...item } of changes) {
            if (removed) {
                this.items.delete(item.name);
            }
            else {
                this.items.set(item.name, item);
            }
            this.lastChange = Math.max(this.lastChange, removed ? revision : item.revision);
        }
        if (changes.length > 0) {
            this.batches.push({ after: this.revision ?? 0, revision, changes, wasAway });
            this.trimBatches();
        }
        this.revision = revision;
    }

    /** The update from `revision` to the current state; undefined if there is nothing newer. */
    updateSince(revision: number): StateUpdate<Value> | undefined {
        const current = this.revision;
        if (current === undefined || current <= revision) {
            return undefined;
        }
        const newer = this.batches.filter(batch => batch.revision > revision);
        const unbroken = this.lastChange <= revision || (newer.length > 0 && newer[0]!.after <= revision);
        if (unbroken) {
            const changes = newer.flatMap(batch => batch.changes);
            return { type: "Changes", revision: current, changes, wasAway: newer.some(({ wasAway }) => wasAway) };
        }
        const wasAway = this.wasListedAfterOutage || newer.some(batch => batch.wasAway);
        return { type: "Snapshot", revision: current, items: [...this.items.values()], wasAway };
    }

    private trimBatches(): void {
        let keptCount = this.batches.reduce((sum, { changes }) => sum + changes.length, 0);
        while (keptCount > maximumKeptChanges && this.batches.length > 1) {
            keptCount -= this.batches.shift()!.changes.length;
        }
    }
}
