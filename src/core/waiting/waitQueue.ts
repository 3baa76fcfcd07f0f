/** Holds the waiters of all services as soft state: each one leaves when it is removed, or when nobody renews it. */
import type { Milliseconds } from "../../utils/clock.js";
import type { QueuedWaiter, Waiter } from "./waiter.js";
import { compareWaiters, type IsOverShare } from "./waitOrder.js";

/**
 * Most waiters of one queue. At this number a round of the queue takes a few milliseconds to sort, and the last waiter could
 * not be served within any caller's patience.
 */
const maximumWaiters = 2_000;

const keyOf = ({ owner, requestId }: Pick<Waiter, "owner" | "requestId">): string => `${owner}/${requestId}`;

/** The waiting requests of all services. */
export class WaitQueue {
    private readonly waiters = new Map<string, QueuedWaiter>();

    constructor(private readonly isOverShare: IsOverShare) {}

    get size(): number {
        return this.waiters.size;
    }

    /** All waiters, in no particular order. */
    all(): readonly QueuedWaiter[] {
        return [...this.waiters.values()];
    }

    find(owner: string, requestId: string): QueuedWaiter | undefined {
        return this.waiters.get(keyOf({ owner, requestId }));
    }

    /** Adds the waiter in place of an earlier one of the same request. Returns false when the queue is full. */
    put(waiter: QueuedWaiter): boolean {
        const key = keyOf(waiter);
        if (this.waiters.size >= maximumWaiters && !this.waiters.has(key)) {
            return false;
        }
        this.waiters.set(key, waiter);
        return true;
    }

    /** Removes the waiter unless another one of the same request has taken its place. */
    remove(waiter: QueuedWaiter): void {
        if (this.waiters.get(keyOf(waiter)) === waiter) {
            this.waiters.delete(keyOf(waiter));
        }
    }

    /** Removes and returns the waiters whose time is over. */
    expire(now: Milliseconds): QueuedWaiter[] {
        const expired = this.all().filter(({ expiresAt, deadline }) => now >= Math.min(expiresAt, deadline));
        for (const waiter of expired) {
            this.remove(waiter);
        }
        return expired;
    }

    /** The services that have waiters. */
    services(): Set<string> {
        return new Set(this.all().map(({ service }) => service));
    }

    /** The waiters of a service, the first one to serve first. */
    ordered(service: string, now: Milliseconds): QueuedWaiter[] {
        return this.all().filter(waiter => waiter.service === service)
            .sort((left, right) => compareWaiters(left, right, now, this.isOverShare));
    }

    /** Number of waiters that are served before `waiter`. */
    countAhead(waiter: Waiter, now: Milliseconds): number {
        let count = 0;
        for (const other of this.waiters.values()) {
            const isOther = keyOf(other) !== keyOf(waiter) && other.service === waiter.service;
            count += isOther && compareWaiters(other, waiter, now, this.isOverShare) < 0 ? 1 : 0;
        }
        return count;
    }
}
