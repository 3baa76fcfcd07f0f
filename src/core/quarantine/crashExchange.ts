/**
 * Exchanges crashes through the store.
 *
 * Entries tell one another of crashes by datagrams. Groups of entries that don't hear one another would each need their own
 * crashes to find a request that causes them, and each group would give it as many endpoints. Each entry therefore stores what it
 * knows when it has detected a crash. Of the entries that hear one another, the first ones follow what is stored, and tell
 * the others by their heartbeats.
 */
import type { CrashStorePort, StoredCrashes } from "../../ports/crashStore.js";
import { HistoryLostError } from "../../ports/statePort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import type { PartLog } from "../../utils/log.js";
import type { Random } from "../../utils/random.js";
import { ChangeSignal } from "../../utils/signal.js";
import type { Membership } from "../membership/membership.js";
import type { Quarantine } from "./quarantine.js";

const followerTask = "crashes";
/** Entries that follow the store, of those that hear one another: two, as one may have just ended. */
const followerCount = 2;
/** Wait after the start, in which the other entries are heard of. Without it, each entry of a site would read the store. */
const settlingDuration: Milliseconds = 1_000;
/** How often an entry checks whether it is one of them. */
const roleCheckInterval: Milliseconds = 250;
/** A call may get no response any more on a connection that has gone silent, so each waits only for this long. */
const watchDuration: Milliseconds = 3_000;
/** Minimum interval between two writes. An endpoint that crashes often takes others with it. */
const minimumWriteInterval: Milliseconds = 100;
/**
 * Interval between two writes, and the time over which first writes are spread, for each entry: a data centre whose endpoints
 * crash together makes all entries write, and together they must stay below the store's limit.
 */
const writeIntervalPerEntry: Milliseconds = 5;
const writeSpreadPerEntry: Milliseconds = 3;
/** Delay after a failed call, and while the store doesn't respond to this entry. */
const retryDelay: Milliseconds = 500;
/** How long crashes stay in the store; a request that caused several is quarantined by then. */
const storedDuration: Milliseconds = 60_000;

/** Dependencies of {@link CrashExchange}. */
export interface CrashExchangeDependencies {
    clock: Clock;
    random: Random;
    log: PartLog;
    store: CrashStorePort;
    self: string;
    quarantine: Pick<Quarantine, "recentCrashes" | "mergeStored">;
    membership: Pick<Membership, "isAmongFirstHeard" | "knows">;
    /** Whether the store responds to this entry. While it doesn't, it is not called: refused calls cost as much. */
    isStoreReachable: () => boolean;
    /** Number of living entries, this one included. */
    entryCount: () => number;
}

/** Stores the crashes that this entry knows, and reads those of others. */
export class CrashExchange {
    private readonly detected = new ChangeSignal();
    /** Whether a crash was detected that isn't stored yet. */
    private isWriteDue = false;
    /** Revision up to which this entry has read what is stored; undefined where it must be listed. */
    private revision: number | undefined;
    /** Entries whose stored crashes are removed after a while. */
    private readonly removals = new Map<string, () => void>();

    constructor(private readonly dependencies: CrashExchangeDependencies) {}

    /** Must be called when this entry has detected a crash. */
    recordDetected(): void {
        this.isWriteDue = true;
        this.detected.notify();
    }

    /** Writes and follows what is stored until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([this.writeDetected(signal), this.follow(signal)]);
        for (const stop of this.removals.values()) {
            stop();
        }
    }

    private async writeDetected(signal: AbortSignal): Promise<void> {
        const { clock, random, self, store, quarantine, isStoreReachable, entryCount } = this.dependencies;
        while (!signal.aborted) {
            if (!this.isWriteDue) {
                await this.detected.next(signal);
                await clock.sleep(random.next() * entryCount() * writeSpreadPerEntry, signal);
                continue;
            }
            const crashes = quarantine.recentCrashes();
            this.isWriteDue = false;
            const isDone = crashes.length === 0
                || (isStoreReachable() && await this.tryCall(() => store.write({ entry: self, crashes }, signal)));
            if (isDone) {
                this.removeLater(self, signal);
            }
            else {
                this.isWriteDue = true;
            }
            const writeInterval = Math.max(minimumWriteInterval, entryCount() * writeIntervalPerEntry);
            await clock.sleep(isDone ? writeInterval : Math.max(retryDelay, writeInterval), signal);
        }
    }

    private get isFollower(): boolean {
        const { membership, isStoreReachable } = this.dependencies;
        return isStoreReachable() && membership.isAmongFirstHeard(followerCount, followerTask);
    }

    private async follow(signal: AbortSignal): Promise<void> {
        const { clock } = this.dependencies;
        await clock.sleep(settlingDuration, signal);
        while (!signal.aborted) {
            if (!this.isFollower) {
                await clock.sleep(roleCheckInterval, signal);
                continue;
            }
            if (!await this.tryCall(() => this.read(signal))) {
                await clock.sleep(retryDelay, signal);
            }
        }
    }

    private async read(signal: AbortSignal): Promise<void> {
        const { store } = this.dependencies;
        try {
            const { revision, items } = this.revision === undefined
                ? await store.list(signal)
                : await store.watch(this.revision, watchDuration, signal);
            this.revision = revision;
            this.learn(items, signal);
        }
        catch (error) {
            if (!(error instanceof HistoryLostError)) {
                throw error;
            }
            this.revision = undefined;
        }
    }

    private learn(items: readonly StoredCrashes[], signal: AbortSignal): void {
        const { quarantine, self } = this.dependencies;
        for (const { entry, crashes } of items) {
            if (entry !== self) {
                quarantine.mergeStored(entry, crashes);
            }
            if (!this.removals.has(entry)) {
                this.removeLater(entry, signal);
            }
        }
    }

    /** Removes what `entry` has stored after a while: an entry's own, and that of one which has ended without doing so. */
    private removeLater(entry: string, signal: AbortSignal): void {
        const { clock, self, store, membership } = this.dependencies;
        this.removals.get(entry)?.();
        const remove = () => {
            this.removals.delete(entry);
            if (entry === self || !membership.knows(entry)) {
                void this.tryCall(() => store.remove(entry, signal));
            }
        };
        this.removals.set(entry, clock.after(storedDuration, remove));
    }

    /** Makes calls to the store; resolves with whether they succeeded. */
    private async tryCall(call: () => Promise<void>): Promise<boolean> {
        try {
            await call();
            return true;
        }
        catch (error) {
            const { log } = this.dependencies;
            log.warn("Stored crashes can't be read or updated.", { error: describeError(error) });
            return false;
        }
    }
}
