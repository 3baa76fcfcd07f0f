/**
 * Places waiting requests, in their order, as soon as the load estimates show capacity for them.
 *
 * Load pattern: for ten seconds, more of the longest prompts arrive than the engines prefill. If each asked again after a
 * random delay, chance would decide which one gets an endpoint, and endpoints would stay idle until one asks.
 */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { Random } from "../../utils/random.js";
import type { Metrics } from "../metrics.js";
import type { QueuedWaiter, Waiter } from "./waiter.js";
import { urgency } from "./waitOrder.js";
import { longestUntriedTime } from "./waitPolicy.js";
import type { WaitQueue } from "./waitQueue.js";

/**
 * Delay between two rounds: prefills end by the estimates' own clocks, so no message tells when capacity becomes available.
 * The jitter keeps entries that have queues of their own from choosing the same endpoints in the same millisecond.
 */
const minimumRoundDelay: Milliseconds = 5;
const roundJitter: Milliseconds = 10;
/** Waiters that a round passes over because they can't be placed. Behind more of them, the first would get no endpoints. */
const maximumPassedOver = 2;

/** How a wait ended. The texts are labels of metrics. */
export enum WaitEnd {
    Placed = "placed",
    /** The request was rejected, or is sent although waiting would have been better. */
    GivenUp = "givenUp",
    Expired = "expired",
    Withdrawn = "withdrawn",
}

/** Dependencies of {@link WaitScheduler}. */
export interface WaitSchedulerDependencies {
    clock: Clock;
    random: Random;
    log: PartLog;
    metrics: Metrics;
    queue: WaitQueue;
}

/** Serves the wait queue of this entry. */
export class WaitScheduler {
    private isRoundDue = false;
    private readonly lastTriedAt = new WeakMap<QueuedWaiter, Milliseconds>();

    constructor(private readonly dependencies: WaitSchedulerDependencies) {}

    find(owner: string, requestId: string): QueuedWaiter | undefined {
        return this.dependencies.queue.find(owner, requestId);
    }

    /** Whether another waiter is to be served first. */
    hasEarlier(waiter: Waiter): boolean {
        const { clock, queue } = this.dependencies;
        return queue.countAhead(waiter, clock.now()) > 0;
    }

    /** Adds a waiter; returns false when the queue is full. */
    add(waiter: QueuedWaiter): boolean {
        const { clock, log, metrics, queue } = this.dependencies;
        const now = clock.now();
        if (!queue.put(waiter)) {
            return false;
        }
        metrics.count("waits_total");
        this.lastTriedAt.set(waiter, now);
        log.info("A request waits.", {
            ...describeWaiter(waiter, now),
            engineTime: Math.round(waiter.engineTime),
            urgency: urgency(waiter, now),
            ahead: queue.countAhead(waiter, now),
            waiters: queue.size,
        });
        this.scheduleRound();
        return true;
    }

    /** Removes a waiter that was withdrawn. */
    withdraw(owner: string, requestId: string): void {
        const waiter = this.dependencies.queue.find(owner, requestId);
        if (waiter) {
            this.end(waiter, WaitEnd.Withdrawn);
        }
    }

    /** Records why a waiter leaves the queue, with the time since the last try that found no capacity. */
    end(waiter: QueuedWaiter, end: WaitEnd, fields: Record<string, unknown> = {}): void {
        const { clock, log, metrics, queue } = this.dependencies;
        const now = clock.now();
        queue.remove(waiter);
        metrics.count("waits_ended_total", `end="${end}"`);
        metrics.observe("waiting_milliseconds", now - waiter.arrivedAt);
        log.info("A request waits no longer.", {
            ...describeWaiter(waiter, now),
            end,
            sinceLastTry: Math.round(now - (this.lastTriedAt.get(waiter) ?? now)),
            waiters: queue.size,
            ...fields,
        });
    }

    /** Numbers of waiters by service, rank and customer, as gauges of the metrics. */
    gauges(): Record<string, number> {
        const gauges: Record<string, number> = {};
        for (const { service, rank, customer = "" } of this.dependencies.queue.all()) {
            const name = `waiters{service="${service}",rank="${rank}",customer="${customer}"}`;
            gauges[name] = (gauges[name] ?? 0) + 1;
        }
        return gauges;
    }

    private scheduleRound(): void {
        const { clock, random, queue } = this.dependencies;
        if (this.isRoundDue || queue.size === 0) {
            return;
        }
        this.isRoundDue = true;
        clock.after(minimumRoundDelay + random.next() * roundJitter, () => {
            this.isRoundDue = false;
            this.runRound();
            this.scheduleRound();
        });
    }

    private runRound(): void {
        const { clock, queue } = this.dependencies;
        for (const waiter of queue.expire(clock.now())) {
            this.end(waiter, WaitEnd.Expired);
            waiter.onExpired();
        }
        for (const service of queue.services()) {
            this.serve(queue.ordered(service, clock.now()));
        }
    }

    private serve(waiters: readonly QueuedWaiter[]): void {
        const now = this.dependencies.clock.now();
        let passedOver = 0;
        for (const waiter of waiters) {
            const isUntried = now - this.lastTriedAt.get(waiter)! >= longestUntriedTime;
            if (passedOver > maximumPassedOver && !isUntried) {
                continue;
            }
            if (!waiter.tryPlace()) {
                this.lastTriedAt.set(waiter, now);
                passedOver++;
            }
        }
    }
}

const describeWaiter = (waiter: Waiter, now: Milliseconds): Record<string, unknown> => ({
    requestId: waiter.requestId,
    owner: waiter.owner,
    service: waiter.service,
    rank: waiter.rank,
    customer: waiter.customer,
    age: Math.round(now - waiter.arrivedAt),
    timeLeft: Math.round(waiter.deadline - now),
});
