/** The stored crashes of a replay, kept in memory for all entries. */
import type { CrashSnapshot, CrashStorePort, StoredCrashes } from "../ports/crashStore.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import { ChangeSignal } from "../utils/signal.js";

/** Time for a call to reach the store and its response to come back. */
const callDuration: Milliseconds = 5;

interface StoredObject {
    revision: number;
    stored: StoredCrashes;
}

/** Keeps the crashes of each entry in memory. */
export class SimulatedCrashStore implements CrashStorePort {
    readonly objectByEntry = new Map<string, StoredObject>();
    /** Number of calls that entries made. */
    callCount = 0;
    private readonly changed = new ChangeSignal();
    private revision = 1;

    constructor(private readonly clock: Clock) {}

    async list(): Promise<CrashSnapshot> {
        await this.call();
        return this.since(0);
    }

    async watch(revision: number, wait: Milliseconds, signal: AbortSignal): Promise<CrashSnapshot> {
        await this.call();
        if (this.revision <= revision) {
            await Promise.race([this.changed.next(signal), this.clock.sleep(wait, signal)]);
        }
        return this.since(revision);
    }

    async write(stored: StoredCrashes): Promise<void> {
        await this.call();
        this.objectByEntry.set(stored.entry, { revision: ++this.revision, stored });
        this.changed.notify();
    }

    async remove(entry: string): Promise<void> {
        await this.call();
        this.objectByEntry.delete(entry);
    }

    private since(revision: number): CrashSnapshot {
        const objects = [...this.objectByEntry.values()].filter(object => object.revision > revision);
        return { revision: this.revision, items: objects.map(({ stored }) => stored) };
    }

    private call(): Promise<void> {
        this.callCount++;
        return this.clock.sleep(callDuration);
    }
}
