/** Bounds retries to a share of first attempts. */
import { Clock, Milliseconds } from "../internal.js";

const reserveRetries = 20;
const reserveRefillPerSecond = 2;

/**
 * Allows retries as a share of first attempts, with a small reserve that refills slowly.
 *
 * When many endpoints fail together each failure asks for a retry, and the retries alone can overload what is left:
 * one would notice attempts growing while answers fall. The budget caps them however many fail.
 */
export class RetryBudget {
    private tokens = reserveRetries;
    private refilledAt: Milliseconds;

    constructor(private readonly clock: Clock) {
        this.refilledAt = clock.now();
    }

    /** Notes a first attempt, which earns `share` of a retry. */
    firstAttempt(share: number): void {
        this.refill();
        this.tokens = Math.min(reserveRetries, this.tokens + share);
    }

    /** Takes one retry; false when the budget is spent. */
    takeRetry(): boolean {
        this.refill();
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    private refill(): void {
        const now = this.clock.now();
        this.tokens = Math.min(reserveRetries, this.tokens + (now - this.refilledAt) / 1_000 * reserveRefillPerSecond);
        this.refilledAt = now;
    }
}
