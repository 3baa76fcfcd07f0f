/** The stand-in platform's store: versions, conditional writes, watches, a lagging instance list, counted calls. */
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

/** Faults that can be set on the platform. */
export interface PlatformFaults {
    /** Every call fails. */
    down: boolean;
    /** Added to every call. */
    slowMilliseconds: Milliseconds;
    /** Share of writes that take effect and lose their answer. */
    lostAnswers: number;
    /** Watches never answer. */
    silentWatches: boolean;
    /** How far the instance list lags. */
    listLagMilliseconds: Milliseconds;
    /** Calls taken in one second; the rest is refused. */
    callsPerSecond: number;
}

/** Faults of a healthy platform. */
export const healthyPlatform: PlatformFaults = {
    down: false,
    slowMilliseconds: 0,
    lostAnswers: 0,
    silentWatches: false,
    listLagMilliseconds: 500,
    callsPerSecond: 2_500,
};

interface ListedInstance {
    record: InstanceRecord;
    changedAt: Milliseconds;
    /** What the list showed before, while the change still lags. */
    before: InstanceRecord | undefined;
    removed: boolean;
}

const keyOf = (kind: ObjectKind, name: string): string => `${kind}/${name}`;

/** The store in memory. */
export class PlatformModel {
    readonly faults: PlatformFaults = { ...healthyPlatform };
    readonly counts = { reads: 0, writes: 0, watches: 0, refused: 0 };
    private readonly changed = new ChangeSignal();
    private readonly objects = new Map<string, StoredObject>();
    private readonly listed = new Map<string, ListedInstance>();
    private revision = 0;
    private windowStart: Milliseconds = 0;
    private windowCalls = 0;

    constructor(private readonly clock: Clock) {}

    /** Counts a call against the rate; false when it is refused. */
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
        const object = this.objects.get(keyOf(kind, name));
        return object?.value === undefined ? undefined : object;
    }

    list(kinds: readonly ObjectKind[]): ObjectPage {
        this.counts.reads++;
        const objects = [...this.objects.values()].filter(object =>
            kinds.includes(object.kind) && object.value !== undefined
        );
        return { revision: this.revision, objects };
    }

    /** Writes, or removes with an undefined value, when the version is the expected one. */
    write(kind: ObjectKind, name: string, expectedVersion: number, value: unknown): WriteOutcome {
        this.counts.writes++;
        const current = this.objects.get(keyOf(kind, name));
        const present = current?.value === undefined ? undefined : current;
        if ((present?.version ?? 0) !== expectedVersion) {
            return { type: "Conflict", current: present };
        }
        this.revision++;
        this.objects.set(keyOf(kind, name), { kind, name, version: this.revision, value });
        this.changed.notify();
        return { type: "Written", version: this.revision };
    }

    /** Resolves with the changes after `revision`, or with none after `wait`. */
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
            await this.changed.next(stop.signal);
        }
        stop.abort();
        await timer;
        signal.removeEventListener("abort", end);
        const objects = this.faults.silentWatches ? [] : this.changesSince(kinds, revision);
        return { revision: objects.length > 0 ? this.revision : revision, objects };
    }

    /** The instance list as it was a while ago. */
    instances(): InstanceRecord[] {
        this.counts.reads++;
        const shown: InstanceRecord[] = [];
        const now = this.clock.now();
        for (const [id, listed] of this.listed) {
            const lags = now - listed.changedAt < this.faults.listLagMilliseconds;
            if (lags) {
                if (listed.before) {
                    shown.push(listed.before);
                }
                continue;
            }
            if (listed.removed) {
                this.listed.delete(id);
                continue;
            }
            shown.push(listed.record);
        }
        return shown;
    }

    /** Puts an instance on the list. */
    announce(record: InstanceRecord): void {
        this.counts.writes++;
        this.change(record.id, record, false);
    }

    /** Takes an instance off the list, as the platform does with one that is gone. */
    removeInstance(id: string): void {
        const listed = this.listed.get(id);
        if (listed) {
            this.change(id, listed.record, true);
        }
    }

    /** Forgets the newest writes, as a store restored from an old copy does. */
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

    /** Every object of a kind, for checks. */
    all(kind: ObjectKind): StoredObject[] {
        return [...this.objects.values()].filter(object => object.kind === kind && object.value !== undefined);
    }

    private change(id: string, record: InstanceRecord, removed: boolean): void {
        const listed = this.listed.get(id);
        const before = listed && !listed.removed ? listed.record : undefined;
        this.listed.set(id, { record, changedAt: this.clock.now(), before, removed });
    }

    private changesSince(kinds: readonly ObjectKind[], revision: number): StoredObject[] {
        return [...this.objects.values()].filter(object => object.version > revision && kinds.includes(object.kind));
    }
}
