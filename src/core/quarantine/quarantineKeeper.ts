/**
 * Keeps the quarantined requests in the store. Entries tell one another what they know, but a power loss of all of them would
 * lose it, and such a request would begin to crash endpoints anew.
 *
 * One entry does this for all, chosen by rank. It calls the store only when a quarantine begins or ends, when it takes the task
 * over, and rarely while there are quarantined requests, to notice those that an operator has lifted. The others read the store
 * where they can't learn from their peers: once when they start, because all may have lost power, and while they are cut off.
 */
import type { QuarantineStorePort } from "../../ports/quarantineStore.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import type { PartLog } from "../../utils/log.js";
import type { Membership } from "../membership/membership.js";
import type { Quarantine } from "./quarantine.js";

const keeperTask = "quarantine";
/** Wait after the start, in which the other entries are heard of. Without it, each entry of a site would read the store. */
const settlingDuration: Milliseconds = 1_000;
/**
 * Wait before an entry takes the task over from another one. After an outage of the store, entries hear one after the other
 * that it responds to the rest, and each counts itself first until then.
 */
const takeOverDelay: Milliseconds = 5_000;
/** How often the store is read while there are quarantined requests. */
const readInterval: Milliseconds = 30_000;
/** How often the store is read while endpoints crash and no other entry is heard of. */
const isolatedReadInterval: Milliseconds = 2_000;
/** How long requests wait for the first read after a start. The store answers within some milliseconds unless it is away. */
const startTimeout: Milliseconds = 500;
/** How often it is checked whether there is something to do, and the delay after a failure. */
const pollInterval: Milliseconds = 500;
const retryDelay: Milliseconds = 1_000;

/** Dependencies of {@link QuarantineKeeper}. */
export interface QuarantineKeeperDependencies {
    clock: Clock;
    log: PartLog;
    store: QuarantineStorePort;
    quarantine: Quarantine;
    membership: Membership;
    /** Whether the store responds to this entry. While it doesn't, it is not called: refused calls cost as much. */
    isStoreReachable: () => boolean;
    /** Whether there may have been quarantined requests before this entry started. */
    readsAtStart: boolean;
    /** Whether this entry knows others and hears of none. */
    isIsolated: () => boolean;
}

/** Reads and writes the quarantined requests. */
export class QuarantineKeeper {
    /** Requests that the store held when this entry last read or wrote them; undefined until it has read them. */
    private stored: Set<string> | undefined;
    private readAt: Milliseconds = -Infinity;
    /** When this entry became the one that has the task; undefined while another one has it. */
    private keeperSince: Milliseconds | undefined = -Infinity;

    /** Resolves when what was quarantined before the start is known, or wasn't found out in time. */
    readonly loaded: Promise<void>;
    private finishLoading: () => void = () => {};

    constructor(private readonly dependencies: QuarantineKeeperDependencies) {
        const { clock, readsAtStart } = dependencies;
        this.loaded = new Promise(resolve => {
            this.finishLoading = resolve;
        });
        if (!readsAtStart) {
            this.finishLoading();
        }
        else {
            clock.after(startTimeout, this.finishLoading);
        }
    }

    /** Keeps the store up to date until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, readsAtStart } = this.dependencies;
        if (readsAtStart) {
            await this.tryCall(() => this.readForSelf(signal));
            this.finishLoading();
        }
        await clock.sleep(settlingDuration, signal);
        while (!signal.aborted) {
            const isDone = await this.tryCall(() => this.keep(signal));
            await clock.sleep(isDone ? pollInterval : retryDelay, signal);
        }
    }

    /** Makes calls to the store; resolves with whether they succeeded. */
    private async tryCall(call: () => Promise<void>): Promise<boolean> {
        try {
            await call();
            return true;
        }
        catch (error) {
            const { log } = this.dependencies;
            log.warn("The quarantined requests can't be read or updated.", { error: describeError(error) });
            return false;
        }
    }

    private async readForSelf(signal: AbortSignal): Promise<void> {
        const { store, quarantine, clock } = this.dependencies;
        for (const item of await store.list(signal)) {
            quarantine.adopt(item);
        }
        this.readAt = clock.now();
    }

    /** Whether this entry, which hears of no other, should learn from the store what the others know. */
    private get isIsolatedReadDue(): boolean {
        const { quarantine, clock, isIsolated } = this.dependencies;
        return isIsolated() && quarantine.crashCount > 0 && clock.now() - this.readAt >= isolatedReadInterval;
    }

    private async keep(signal: AbortSignal): Promise<void> {
        const { quarantine, membership, clock, isStoreReachable } = this.dependencies;
        if (isStoreReachable() && this.isIsolatedReadDue) {
            await this.readForSelf(signal);
        }
        if (!membership.isAmongFirst(1, keeperTask)) {
            this.stored = undefined;
            this.keeperSince = undefined;
            return;
        }
        this.keeperSince ??= clock.now();
        if (!isStoreReachable() || clock.now() - this.keeperSince < takeOverDelay) {
            return;
        }
        const isReadDue = quarantine.count > 0 && clock.now() - this.readAt >= readInterval;
        if (this.stored === undefined || isReadDue) {
            await this.read(signal);
        }
        await this.write(this.stored!, signal);
    }

    private async read(signal: AbortSignal): Promise<void> {
        const { store, quarantine, clock } = this.dependencies;
        const items = await store.list(signal);
        const listed = new Set(items.map(({ request }) => request));
        for (const request of this.stored ?? []) {
            if (!listed.has(request)) {
                quarantine.lift(request);
            }
        }
        for (const item of items) {
            quarantine.adopt(item);
        }
        this.stored = listed;
        this.readAt = clock.now();
    }

    private async write(stored: Set<string>, signal: AbortSignal): Promise<void> {
        const { store, quarantine } = this.dependencies;
        const items = quarantine.toStored();
        for (const item of items) {
            if (!stored.has(item.request)) {
                await store.create(item, signal);
                stored.add(item.request);
            }
        }
        const kept = new Set(items.map(({ request }) => request));
        for (const request of stored) {
            if (!kept.has(request)) {
                await store.remove(request, signal);
                stored.delete(request);
            }
        }
    }
}
