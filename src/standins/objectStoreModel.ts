/**
 * In-memory object store, keyed by kind and name. All kinds share one revision counter. Writes can be conditional, and
 * watches read a change history that can be compacted.
 */
import type { Clock, Milliseconds } from "../utils/clock.js";
import { DandelionrampError } from "../utils/errors.js";
import { ChangeSignal } from "../utils/signal.js";

/** A stored object. */
export interface StoreObject {
    name: string;
    revision: number;
    /** Revision at which the object was created. */
    created: number;
    value: unknown;
}

/** A change of an object. */
export interface StoreEvent {
    object: StoreObject;
    removed: boolean;
}

/** Result of a write. */
export type StoreWriteResult =
    | { type: "Written"; object: StoreObject; }
    | { type: "Conflict"; object: StoreObject; }
    | { type: "Missing"; };

/** The history since the requested revision has been compacted. */
export class HistoryCompactedError extends DandelionrampError {
    constructor() {
        super("the history since the requested revision has been compacted");
    }
}

interface HistoryEntry extends StoreEvent {
    kind: string;
    revision: number;
}

/** Model of the object store. */
export class ObjectStoreModel {
    private readonly objectsByKind = new Map<string, Map<string, StoreObject>>();
    private history: HistoryEntry[] = [];
    private revision = 1;
    private compactedRevision = 0;
    private readonly changeSignal = new ChangeSignal();
    /** While set, watches receive no events although writes still take effect. */
    areWatchesSilent = false;

    constructor(private readonly clock: Clock) {}

    get currentRevision(): number {
        return this.revision;
    }

    get(kind: string, name: string): StoreObject | undefined {
        return this.objectsByKind.get(kind)?.get(name);
    }

    /** Returns up to `limit` objects whose names sort after `after`, in name order. */
    list(kind: string, after: string, limit: number): { objects: StoreObject[]; more: boolean; } {
        const matching = [...this.objectsByKind.get(kind)?.values() ?? []]
            .filter(object => object.name > after)
            .sort((left, right) => left.name < right.name ? -1 : 1);
        return { objects: matching.slice(0, limit), more: matching.length > limit };
    }

    /** Creates an object. Returns a conflict if the object exists. */
    create(kind: string, name: string, value: unknown): StoreWriteResult {
        const existing = this.get(kind, name);
        return existing ? { type: "Conflict", object: existing } : this.storeObject(kind, name, value, undefined);
    }

    /** Replaces an object. Returns a conflict if `expectedRevision` is given and differs from the revision of the object. */
    replace(kind: string, name: string, value: unknown, expectedRevision: number | undefined): StoreWriteResult {
        const existing = this.get(kind, name);
        if (!existing) {
            return { type: "Missing" };
        }
        if (expectedRevision !== undefined && expectedRevision !== existing.revision) {
            return { type: "Conflict", object: existing };
        }
        if (JSON.stringify(existing.value) === JSON.stringify(value)) {
            return { type: "Written", object: existing };
        }
        return this.storeObject(kind, name, value, existing);
    }

    /** Creates or replaces an object unconditionally, as an operator or an endpoint does. */
    put(kind: string, name: string, value: unknown): void {
        if (this.create(kind, name, value).type === "Conflict") {
            this.replace(kind, name, value, undefined);
        }
    }

    remove(kind: string, name: string): StoreWriteResult {
        const existing = this.get(kind, name);
        if (!existing) {
            return { type: "Missing" };
        }
        this.objectsByKind.get(kind)!.delete(name);
        this.appendEvent(kind, { object: existing, removed: true });
        return { type: "Written", object: existing };
    }

    /** Drops the change history, so a watch from an older revision must relist. */
    compactHistory(): void {
        this.compactedRevision = this.revision;
        this.history = [];
        this.changeSignal.notify();
    }

    /**
     * Resolves with the changes after `revision` as soon as there are any, or with none after `wait`. The returned revision
     * is the one up to which the changes are complete.
     */
    async watch(
        kind: string,
        revision: number,
        wait: Milliseconds,
        signal: AbortSignal,
    ): Promise<{ events: StoreEvent[]; revision: number; }> {
        const stop = new AbortController();
        const end = () => stop.abort();
        signal.addEventListener("abort", end, { once: true });
        const timer = this.clock.sleep(wait, stop.signal).then(end);
        while (!stop.signal.aborted && (this.areWatchesSilent || this.eventsSince(kind, revision).length === 0)) {
            await this.changeSignal.next(stop.signal);
        }
        stop.abort();
        await timer;
        signal.removeEventListener("abort", end);
        // Events and revision are read synchronously: the revision would otherwise cover a change that the events lack.
        return this.areWatchesSilent
            ? { events: [], revision }
            : { events: this.eventsSince(kind, revision), revision: this.revision };
    }

    private eventsSince(kind: string, revision: number): StoreEvent[] {
        if (revision < this.compactedRevision) {
            throw new HistoryCompactedError();
        }
        return this.history.filter(entry => entry.kind === kind && entry.revision > revision);
    }

    private storeObject(
        kind: string,
        name: string,
        value: unknown,
        existing: StoreObject | undefined,
    ): StoreWriteResult {
        const revision = this.revision + 1;
        const object = { name, revision, created: existing?.created ?? revision, value };
        let objects = this.objectsByKind.get(kind);
        if (!objects) {
            objects = new Map();
            this.objectsByKind.set(kind, objects);
        }
        objects.set(name, object);
        this.appendEvent(kind, { object, removed: false });
        return { type: "Written", object };
    }

    private appendEvent(kind: string, event: StoreEvent): void {
        this.revision++;
        this.history.push({ ...event, kind, revision: this.revision });
        this.changeSignal.notify();
    }
}
