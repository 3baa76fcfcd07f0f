/** Waiting requests, woken in the order of lanes and of the customers' fair shares. */
import { ChangeSignal, Lane, Work } from "../internal.js";

/** Waiters of one lane that get a try at each wake-up; the rest would find nothing left. */
const wokenPerLane = 32;
/** Cost of a request besides its tokens, so that many tiny ones weigh something too. */
const baseCostTokens = 200;
/** Weight of the newest measurement in the drain rate. */
const rateGain = 0.2;

/** A request that waits. */
export interface Waiter {
    work: Work;
    /** Virtual time at which the customer's share has paid for it. */
    finish: number;
}

const costOf = (work: Work): number => (work.promptTokens + baseCostTokens) / work.weight;

/**
 * A weighted fair queue over lanes.
 *
 * Each customer's requests are stamped with virtual finish times that grow by cost over weight. A customer that sends
 * ten times its share queues behind itself; without this the others would notice their waits growing with its burst.
 */
export class FairQueue {
    private readonly waiters = new Map<Waiter, () => void>();
    private readonly lastFinish = new Map<string, number>();
    private virtualTime = 0;
    private tokensWaiting = 0;
    private tokensPerMillisecond: number | undefined;
    private drainedTokens = 0;
    private drainedSince: number | undefined;

    /** Stamps a request; call once for each. */
    enter(work: Work): Waiter {
        const start = Math.max(this.virtualTime, this.lastFinish.get(work.customer) ?? 0);
        const finish = start + costOf(work);
        this.lastFinish.set(work.customer, finish);
        return { work, finish };
    }

    /** Notes that a request found its place. */
    served(waiter: Waiter): void {
        this.virtualTime = Math.max(this.virtualTime, waiter.finish - costOf(waiter.work));
        for (const [customer, finish] of this.lastFinish) {
            if (finish <= this.virtualTime) {
                this.lastFinish.delete(customer);
            }
        }
    }

    /** Whether somebody waits who goes before a newcomer of `lane`. */
    isBlocked(lane: Lane): boolean {
        for (const waiter of this.waiters.keys()) {
            if (waiter.work.lane <= lane) {
                return true;
            }
        }
        return false;
    }

    get length(): number {
        return this.waiters.size;
    }

    /** Predicted wait of a newcomer in milliseconds, from the rate at which the queue drains. */
    predictWait(): number {
        if (this.tokensWaiting === 0 || this.tokensPerMillisecond === undefined) {
            return 0;
        }
        return this.tokensWaiting / this.tokensPerMillisecond;
    }

    /** Waits for a wake-up, or until `signal` aborts. */
    async wait(waiter: Waiter, signal: AbortSignal): Promise<void> {
        const woken = new ChangeSignal();
        const turn = woken.next(signal);
        this.waiters.set(waiter, () => woken.notify());
        this.tokensWaiting += waiter.work.promptTokens;
        await turn;
        this.waiters.delete(waiter);
        this.tokensWaiting -= waiter.work.promptTokens;
    }

    /** Wakes the first waiters of each lane in order. */
    wake(): void {
        const ordered = [...this.waiters].sort(([first], [second]) =>
            first.work.lane - second.work.lane || first.finish - second.finish
        );
        const woken = new Map<Lane, number>();
        for (const [waiter, wake] of ordered) {
            const count = woken.get(waiter.work.lane) ?? 0;
            if (count < wokenPerLane) {
                woken.set(waiter.work.lane, count + 1);
                wake();
            }
        }
    }

    /** Learns the drain rate from a placement while others wait. */
    drained(tokens: number, now: number): void {
        if (this.waiters.size === 0) {
            this.drainedSince = undefined;
            return;
        }
        if (this.drainedSince === undefined) {
            this.drainedSince = now;
            this.drainedTokens = 0;
            return;
        }
        this.drainedTokens += tokens;
        const span = now - this.drainedSince;
        if (span < 250) {
            return;
        }
        const rate = this.drainedTokens / span;
        this.tokensPerMillisecond = this.tokensPerMillisecond === undefined
            ? rate
            : this.tokensPerMillisecond + rateGain * (rate - this.tokensPerMillisecond);
        this.drainedSince = now;
        this.drainedTokens = 0;
    }
}
