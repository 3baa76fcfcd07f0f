/**
 * Limits retries to a share of first attempts. The token bucket keeps retries from overloading the remaining endpoints when
 * many endpoints fail at once.
 */
import { Clock, Milliseconds } from "../internal.js";

/** Capacity of the token bucket, and its initial content. */
const maximumRetryTokens = 20;
const retryTokensPerSecond = 2;

/**
 * Allows retries as a share of first attempts, with a small reserve that refills slowly.
 *
 * When many endpoints fail together, each failure causes a retry, and the retries alone can overload the remaining
 * endpoints: attempts increase while responses decrease. The budget bounds the retries whatever the number of failures.
 */
export class RetryBudget {
    private retryTokens = maximumRetryTokens;
    private refilledAt: Milliseconds;

    constructor(private readonly clock: Clock) {
        this.refilledAt = clock.now();
    }

    /** Records a first attempt, which adds `share` of a retry to the budget. */
    recordFirstAttempt(share: number): void {
        this.refill();
        this.retryTokens = Math.min(maximumRetryTokens, this.retryTokens + share);
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    tryTakeRetry(): boolean {
        this.refill();
        if (this.retryTokens < 1) {
            return false;
        }
        this.retryTokens -= 1;
        return true;
    }

    private refill(): void {
        const now = this.clock.now();
        this.retryTokens = Math.min(
            maximumRetryTokens,
            this.retryTokens + (now - this.refilledAt) / 1_000 * retryTokensPerSecond,
        );
        this.refilledAt = now;
    }
}
