/**
 * Detects platform outages from the outcomes of this entry's own calls. Failures must last for a threshold duration, so
 * that a single lost response doesn't count as an outage.
 */
import { Clock, Milliseconds, PlatformError } from "../internal.js";

/** How long calls must have failed before the platform counts as unavailable. */
const outageThresholdMilliseconds = 1_000;

/** Tracks whether the platform is available to this entry. */
export class PlatformHealth {
    private failingSince: Milliseconds | undefined;

    constructor(private readonly clock: Clock) {}

    /** Records the outcome of a call and returns or throws it unchanged. */
    async track<Result>(call: Promise<Result>): Promise<Result> {
        try {
            const result = await call;
            this.failingSince = undefined;
            return result;
        }
        catch (error) {
            if (error instanceof PlatformError) {
                this.failingSince ??= this.clock.now();
            }
            throw error;
        }
    }

    get isDown(): boolean {
        return this.failingSince !== undefined && this.clock.now() - this.failingSince >= outageThresholdMilliseconds;
    }
}
