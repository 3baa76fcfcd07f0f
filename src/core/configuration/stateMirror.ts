/** One kind of stored objects as this entry knows it, with its last changes, for entries that ask. */
import type { StateChange, StateChanges, StateItem, StateSnapshot } from "../../ports/statePort.js";

/** Changes kept for entries that are a little behind; one that is further behind gets all objects. */
const changesKept = 256;

/** What an entry that knows a kind up to some revision still has to learn. */
export type StateUpdate<Value> =
    & {
        /** What is known after it. */
        revision: number;
        /** Whether the store couldn't be reached just before, so that records may have lapsed meanwhile. */
        wasAway: boolean;
    }
    & (
        | { type: "Changes"; changes: StateChange<Value>[]; }
        | { type: "Snapshot"; items: StateItem<Value>[]; }
    );

interface Batch<Value> extends StateChanges<Value> {
    /** Holds for who knows this revision. */
    after: number;
    wasAway: boolean;
}

/** A kind of stored objects. */
export class StateMirror<Value> {
    /** Known up to this revision; undefined before the first list. */
    revision: number | undefined;
    /** Revision of the last change that is known. */
    lastChange = 0;
    private readonly items = new Map<string, StateItem<Value>>();
    private batches: Batch<Value>[] = [];
    private listedAfterAway = false;

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
        this.listedAfterAway = wasAway;
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
            this.forget();
        }
        this.revision = revision;
    }

    /** What is new after `revision`; undefined when that is all that is known. */
    updateSince(revision: number): StateUpdate<Value> | undefined {
        const known = this.revision;
        if (known === undefined || known <= revision) {
            return undefined;
        }
        const newer = this.batches.filter(batch => batch.revision > revision);
        const unbroken = this.lastChange <= revision || (newer.length > 0 && newer[0]!.after <= revision);
        if (unbroken) {
            const changes = newer.flatMap(batch => batch.changes);
            return { type: "Changes", revision: known, changes, wasAway: newer.some(({ wasAway }) => wasAway) };
        }
        const wasAway = this.listedAfterAway || newer.some(batch => batch.wasAway);
        return { type: "Snapshot", revision: known, items: [...this.items.values()], wasAway };
    }

    private forget(): void {
        let kept = this.batches.reduce((sum, { changes }) => sum + changes.length, 0);
        while (kept > changesKept && this.batches.length > 1) {
            kept -= this.batches.shift()!.changes.length;
        }
    }
}
