/** Whether the platform answers this entry at present. */
import { Clock, Milliseconds, PlatformError } from "../internal.js";

/** Failures must last this long before the platform counts as down: one lost answer is no outage. */
const downAfterMilliseconds = 1_000;

/** Judges the platform by the outcomes of this entry's own calls. */
export class PlatformHealth {
    private failingSince: Milliseconds | undefined;

    constructor(private readonly clock: Clock) {}

    /** Passes a call's outcome on and learns from it. */
    async watch<Result>(call: Promise<Result>): Promise<Result> {
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

    get down(): boolean {
        return this.failingSince !== undefined && this.clock.now() - this.failingSince >= downAfterMilliseconds;
    }
}
