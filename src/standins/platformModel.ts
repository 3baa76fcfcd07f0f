/**
 * In-memory model of the platform. Stores versioned objects with conditional writes and watches, serves an instance list
 * that lags behind its changes, and limits and counts calls.
 */
import {
    ChangeSignal,
    Clock,
    InstanceRecord,
    Milliseconds,
    ObjectKind,
    ObjectPage,
    StoredObject,
    WriteOutcome,
} from "../internal.js";

/** Faults that can be injected into the platform. */
export interface PlatformFaults {
    /** Every call fails. */
    down: boolean;
    /** Delay added to every call. */
    slowMilliseconds: Milliseconds;
    /** Share of writes that take effect but whose responses are lost. */
    lostResponseShare: number;
    /** Watches return no changes. */
    silentWatches: boolean;
    /** Delay with which changes show up in the instance list. */
    listLagMilliseconds: Milliseconds;
    /** Calls accepted per second; further calls are rejected. */
    callsPerSecond: number;
}

/** Fault settings of a healthy platform. */
export const defaultPlatformFaults: PlatformFaults = {
    down: false,
    slowMilliseconds: 0,
    lostResponseShare: 0,
    silentWatches: false,
    listLagMilliseconds: 500,
    callsPerSecond: 2_500,
};

interface ListedInstance {
    record: InstanceRecord;
    changedAt: Milliseconds;
    /** Record that the list shows while the change is not visible yet. */
    previousRecord: InstanceRecord | undefined;
    removed: boolean;
}

const objectKey = (kind: ObjectKind, name: string): string => `${kind}/${name}`;

/** Model of the platform. */
export class PlatformModel {
    readonly faults: PlatformFaults = { ...defaultPlatformFaults };
    readonly counts = { reads: 0, writes: 0, watches: 0, refused: 0 };
    private readonly changeSignal = new ChangeSignal();
    private readonly objects = new Map<string, StoredObject>();
    private readonly listedInstances = new Map<string, ListedInstance>();
    private revision = 0;
    private windowStart: Milliseconds = 0;
    private windowCalls = 0;

    constructor(private readonly clock: Clock) {}

    /** Counts a call against the rate limit. Returns false if the call exceeds the limit. */
    admit(): boolean {
        const now = this.clock.now();
        if (now - this.windowStart >= 1_000) {
            this.windowStart = now;
            this.windowCalls = 0;
        }
        this.windowCalls++;
        if (this.windowCalls > this.faults.callsPerSecond) {
            this.counts.refused++;
            return false;
        }
        return true;
    }

    read(kind: ObjectKind, name: string): StoredObject | undefined {
        this.counts.reads++;
        const object = this.objects.get(objectKey(kind, name));
        return object?.value === undefined ? undefined : object;
    }

    list(kinds: readonly ObjectKind[]): ObjectPage {
        this.counts.reads++;
        const objects = [...this.objects.values()].filter(object =>
            kinds.includes(object.kind) && object.value !== undefined
        );
        return { revision: this.revision, objects };
    }

    /** Writes an object if its version is the expected one. An undefined value removes the object. */
    write(kind: ObjectKind, name: string, expectedVersion: number, value: unknown): WriteOutcome {
        this.counts.writes++;
        const current = this.objects.get(objectKey(kind, name));
        const existing = current?.value === undefined ? undefined : current;
        if ((existing?.version ?? 0) !== expectedVersion) {
            return { type: "Conflict", current: existing };
        }
        this.revision++;
        this.objects.set(objectKey(kind, name), { kind, name, version: this.revision, value });
        this.changeSignal.notify();
        return { type: "Written", version: this.revision };
    }

    /** Resolves with the changes after `revision` as soon as there are any, or with none after `wait`. */
    async watch(
        kinds: readonly ObjectKind[],
        revision: number,
        wait: Milliseconds,
        signal: AbortSignal,
    ): Promise<ObjectPage> {
        this.counts.watches++;
        const stop = new AbortController();
        const end = () => stop.abort();
        signal.addEventListener("abort", end, { once: true });
        const timer = this.clock.sleep(wait, stop.signal).then(end);
        while (!stop.signal.aborted && (this.faults.silentWatches || this.changesSince(kinds, revision).length === 0)) {
            await this.changeSignal.next(stop.signal);
        }
        stop.abort();
        await timer;
        signal.removeEventListener("abort", end);
        const objects = this.faults.silentWatches ? [] : this.changesSince(kinds, revision);
        return { revision: objects.length > 0 ? this.revision : revision, objects };
    }

    /** Returns the instance list without the changes of the last `listLagMilliseconds`. */
    instances(): InstanceRecord[] {
        this.counts.reads++;
        const visible: InstanceRecord[] = [];
        const now = this.clock.now();
        for (const [id, listed] of this.listedInstances) {
            const lags = now - listed.changedAt < this.faults.listLagMilliseconds;
            if (lags) {
                if (listed.previousRecord) {
                    visible.push(listed.previousRecord);
                }
                continue;
            }
            if (listed.removed) {
                this.listedInstances.delete(id);
                continue;
            }
            visible.push(listed.record);
        }
        return visible;
    }

    /** Adds an instance to the list or replaces its record. */
    announce(record: InstanceRecord): void {
        this.counts.writes++;
        this.recordInstanceChange(record.id, record, false);
    }

    /** Removes an instance from the list, as the platform does when an instance has terminated. */
    removeInstance(id: string): void {
        const listed = this.listedInstances.get(id);
        if (listed) {
            this.recordInstanceChange(id, listed.record, true);
        }
    }

    /** Discards all objects written after `revision`, as a store restored from an old backup does. */
    revertTo(revision: number): void {
        for (const [key, object] of this.objects) {
            if (object.version > revision) {
                this.objects.delete(key);
            }
        }
        this.revision = revision;
    }

    get currentRevision(): number {
        return this.revision;
    }

    /** Returns all objects of a kind, for assertions. */
    objectsOfKind(kind: ObjectKind): StoredObject[] {
        return [...this.objects.values()].filter(object => object.kind === kind && object.value !== undefined);
    }

    private recordInstanceChange(id: string, record: InstanceRecord, removed: boolean): void {
        const listed = this.listedInstances.get(id);
        const before = listed && !listed.removed ? listed.record : undefined;
        this.listedInstances.set(id, { record, changedAt: this.clock.now(), previousRecord: before, removed });
    }

    private changesSince(kinds: readonly ObjectKind[], revision: number): StoredObject[] {
        return [...this.objects.values()].filter(object => object.version > revision && kinds.includes(object.kind));
    }
}
