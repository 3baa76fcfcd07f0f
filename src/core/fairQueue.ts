/**
 * Queues requests that wait for an endpoint. Lanes have strict priority, so that short prompts don't wait behind long ones;
 * within a lane, weighted fair queueing keeps one customer's burst from delaying the others.
 */
import { ChangeSignal, Lane, Work } from "../internal.js";

/** Waiters of one lane that each wake-up wakes; further ones would find no capacity left. */
const maximumWokenPerLane = 32;
/** Fixed cost of a request in addition to its prompt tokens, so that many tiny requests aren't almost free. */
const baseCostTokens = 200;
/** Weight of the newest measurement in the moving average of the drain rate. */
const drainRateSmoothing = 0.2;

/** A queued request. */
export interface Waiter {
    work: Work;
    /** Virtual time at which the request would finish if its customer got exactly its fair share. */
    virtualFinishTime: number;
}

const weightedCost = (work: Work): number => (work.promptTokens + baseCostTokens) / work.weight;

/**
 * A weighted fair queue over lanes.
 *
 * Each request gets a virtual finish time, which exceeds the previous one of its customer by cost over weight. A customer
 * that sends ten times its share therefore delays its own requests; in a FIFO queue its burst would delay all customers.
 */
export class FairQueue {
    private readonly wakeByWaiter = new Map<Waiter, () => void>();
    private readonly lastFinishByCustomer = new Map<string, number>();
    private virtualTime = 0;
    private waitingTokens = 0;
    /** Moving average of the drain rate in prompt tokens per millisecond. */
    private drainRate: number | undefined;
    private drainedTokens = 0;
    private drainPeriodStart: number | undefined;

    /** Assigns a request its virtual finish time; call it once for each request. */
    createWaiter(work: Work): Waiter {
        const start = Math.max(this.virtualTime, this.lastFinishByCustomer.get(work.customer) ?? 0);
        const finish = start + weightedCost(work);
        this.lastFinishByCustomer.set(work.customer, finish);
        return { work, virtualFinishTime: finish };
    }

    /** Advances the virtual time after a request was placed. */
    recordServed(waiter: Waiter): void {
        this.virtualTime = Math.max(this.virtualTime, waiter.virtualFinishTime - weightedCost(waiter.work));
        for (const [customer, finish] of this.lastFinishByCustomer) {
            if (finish <= this.virtualTime) {
                this.lastFinishByCustomer.delete(customer);
            }
        }
    }

    /** Whether a queued request precedes a new request of `lane`. */
    hasWaiterAhead(lane: Lane): boolean {
        for (const waiter of this.wakeByWaiter.keys()) {
            if (waiter.work.lane <= lane) {
                return true;
            }
        }
        return false;
    }

    get length(): number {
        return this.wakeByWaiter.size;
    }

    /** Predicts the wait of a new request in milliseconds from the queue's drain rate. */
    predictWait(): number {
        if (this.waitingTokens === 0 || this.drainRate === undefined) {
            return 0;
        }
        return this.waitingTokens / this.drainRate;
    }

    /** Waits for a wake-up, or until `signal` aborts. */
    async wait(waiter: Waiter, signal: AbortSignal): Promise<void> {
        const wakeSignal = new ChangeSignal();
        const turn = wakeSignal.next(signal);
        this.wakeByWaiter.set(waiter, () => wakeSignal.notify());
        this.waitingTokens += waiter.work.promptTokens;
        await turn;
        this.wakeByWaiter.delete(waiter);
        this.waitingTokens -= waiter.work.promptTokens;
    }

    /** Wakes the first waiters of each lane in order of lane and virtual finish time. */
    wake(): void {
        const ordered = [...this.wakeByWaiter].sort(([first], [second]) =>
            first.work.lane - second.work.lane || first.virtualFinishTime - second.virtualFinishTime
        );
        const wokenCountByLane = new Map<Lane, number>();
        for (const [waiter, wake] of ordered) {
            const count = wokenCountByLane.get(waiter.work.lane) ?? 0;
            if (count < maximumWokenPerLane) {
                wokenCountByLane.set(waiter.work.lane, count + 1);
                wake();
            }
        }
    }

    /** Updates the drain rate after a placement; an empty queue ends the measurement. */
    recordDrained(tokens: number, now: number): void {
        if (this.wakeByWaiter.size === 0) {
            this.drainPeriodStart = undefined;
            return;
        }
        if (this.drainPeriodStart === undefined) {
            this.drainPeriodStart = now;
            this.drainedTokens = 0;
            return;
        }
        this.drainedTokens += tokens;
        const elapsed = now - this.drainPeriodStart;
        if (elapsed < 250) {
            return;
        }
        const rate = this.drainedTokens / elapsed;
        this.drainRate = this.drainRate === undefined
            ? rate
            : this.drainRate + drainRateSmoothing * (rate - this.drainRate);
        this.drainPeriodStart = now;
        this.drainedTokens = 0;
    }
}
