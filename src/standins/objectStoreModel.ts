/** A store of objects by kind and name: one revision counter, conditional writes, watches over a bounded history. */
import type { Clock, Milliseconds } from "../utils/clock.js";
import { DandelionrampError } from "../utils/errors.js";
import { ChangeSignal } from "../utils/signal.js";

/** An object as stored. */
export interface ModelObject {
    name: string;
    revision: number;
    /** Revision of its first write. */
    created: number;
    value: unknown;
}

/** One change of a kind. */
export interface ModelEvent {
    object: ModelObject;
    removed: boolean;
}

/** What became of a write. */
export type ModelWrite =
    | { type: "Written"; object: ModelObject; }
    | { type: "Conflict"; object: ModelObject; }
    | { type: "Missing"; };

/** The history since the asked revision is gone. */
export class ForgottenError extends DandelionrampError {
    constructor() {
        super("this history is gone");
    }
}

interface Logged extends ModelEvent {
    kind: string;
    revision: number;
}

/** The store in memory. */
export class ObjectStoreModel {
    private readonly kinds = new Map<string, Map<string, ModelObject>>();
    private log: Logged[] = [];
    private revision = 1;
    private forgottenUpTo = 0;
    private readonly changed = new ChangeSignal();
    /** Watches hear nothing while this is set, and changes are made all the same. */
    deaf = false;

    constructor(private readonly clock: Clock) {}

    get currentRevision(): number {
        return this.revision;
    }

    get(kind: string, name: string): ModelObject | undefined {
        return this.kinds.get(kind)?.get(name);
    }

    /** Objects behind `after` in the order of their names. */
    list(kind: string, after: string, atMost: number): { objects: ModelObject[]; more: boolean; } {
        const all = [...this.kinds.get(kind)?.values() ?? []]
            .filter(object => object.name > after)
            .sort((left, right) => left.name < right.name ? -1 : 1);
        return { objects: all.slice(0, atMost), more: all.length > atMost };
    }

    /** Creates an object; a conflict when it is there. */
    create(kind: string, name: string, value: unknown): ModelWrite {
        const present = this.get(kind, name);
        return present ? { type: "Conflict", object: present } : this.store(kind, name, value, undefined);
    }

    /** Replaces an object; a conflict when `expected` is given and isn't its revision. */
    replace(kind: string, name: string, value: unknown, expected: number | undefined): ModelWrite {
        const present = this.get(kind, name);
        if (!present) {
            return { type: "Missing" };
        }
        if (expected !== undefined && expected !== present.revision) {
            return { type: "Conflict", object: present };
        }
        if (JSON.stringify(present.value) === JSON.stringify(value)) {
            return { type: "Written", object: present };
        }
        return this.store(kind, name, value, present);
    }

    /** Creates or replaces, as an operator or an endpoint does. */
    put(kind: string, name: string, value: unknown): void {
        if (this.create(kind, name, value).type === "Conflict") {
            this.replace(kind, name, value, undefined);
        }
    }

    remove(kind: string, name: string): ModelWrite {
        const present = this.get(kind, name);
        if (!present) {
            return { type: "Missing" };
        }
        this.kinds.get(kind)!.delete(name);
        this.append(kind, { object: present, removed: true });
        return { type: "Written", object: present };
    }

    /** Drops the history: who watches from an older revision must list. */
    forget(): void {
        this.forgottenUpTo = this.revision;
        this.log = [];
        this.changed.notify();
    }

    /**
     * Resolves with the changes behind `revision` once there are any, or with none after `wait`, and with the revision up
     * to which they are all.
     */
    async watch(
        kind: string,
        revision: number,
        wait: Milliseconds,
        signal: AbortSignal,
    ): Promise<{ events: ModelEvent[]; revision: number; }> {
        const stop = new AbortController();
        const end = () => stop.abort();
        signal.addEventListener("abort", end, { once: true });
        const timer = this.clock.sleep(wait, stop.signal).then(end);
        while (!stop.signal.aborted && (this.deaf || this.since(kind, revision).length === 0)) {
            await this.changed.next(stop.signal);
        }
        stop.abort();
        await timer;
        signal.removeEventListener("abort", end);
        // Both are read in one step: a change in between would be in neither.
        return this.deaf ? { events: [], revision } : { events: this.since(kind, revision), revision: this.revision };
    }

    private since(kind: string, revision: number): ModelEvent[] {
        if (revision < this.forgottenUpTo) {
            throw new ForgottenError();
        }
        return this.log.filter(entry => entry.kind === kind && entry.revision > revision);
    }

    private store(kind: string, name: string, value: unknown, present: ModelObject | undefined): ModelWrite {
        const revision = this.revision + 1;
        const object = { name, revision, created: present?.created ?? revision, value };
        let objects = this.kinds.get(kind);
        if (!objects) {
            objects = new Map();
            this.kinds.set(kind, objects);
        }
        objects.set(name, object);
        this.append(kind, { object, removed: false });
        return { type: "Written", object };
    }

    private append(kind: string, event: ModelEvent): void {
        this.revision++;
        this.log.push({ ...event, kind, revision: this.revision });
        this.changed.notify();
    }
}
