/** Detects that this process was paused, and blocks sends until its state has been refreshed. */
import { Clock, Milliseconds, PartLog, Timeline } from "../internal.js";

/** Delay between two attempts to refresh the state after a pause. */
const refreshRetryDelayMilliseconds = 300;
const tickIntervalMilliseconds = 200;
/** Time without a tick after which this process counts as paused. */
const pauseThresholdMilliseconds = 1_200;

export interface PauseGuardDependencies {
    clock: Clock;
    log: PartLog;
    timeline: Timeline;
    /** Fetches the changes since `since`. Resolves within a bounded time, with whether a source of changes responded. */
    refresh: (since: Milliseconds) => Promise<boolean>;
}

/**
 * Detects pauses by a periodic tick.
 *
 * A process that resumes after a pause has stale state. It could immediately send work to a data centre that was taken
 * out during the pause, long after the operator's order. Sends are therefore allowed only shortly after a tick, and a
 * late tick blocks sends until the state has been refreshed.
 */
export class PauseGuard {
    private lastTickAt: Milliseconds;
    private isRefreshing = false;

    constructor(private readonly dependencies: PauseGuardDependencies) {
        this.lastTickAt = dependencies.clock.now();
    }

    /** Whether this process's state is fresh, so that sends are allowed. Call this in the same synchronous step as a send. */
    isFresh(): boolean {
        return !this.isRefreshing && this.dependencies.clock.now() - this.lastTickAt < pauseThresholdMilliseconds;
    }

    /** Ticks until `signal` aborts, and refreshes the state after each pause. */
    async monitor(signal: AbortSignal): Promise<void> {
        this.lastTickAt = this.dependencies.clock.now();
        while (!signal.aborted) {
            await this.dependencies.clock.sleep(tickIntervalMilliseconds, signal);
            const now = this.dependencies.clock.now();
            const since = this.lastTickAt;
            const pause = now - since;
            this.lastTickAt = now;
            if (pause >= pauseThresholdMilliseconds && !this.isRefreshing) {
                this.isRefreshing = true;
                this.dependencies.log.warn("This process was paused.", { milliseconds: Math.round(pause) });
                this.dependencies.timeline.record("entry", "paused", undefined, `${Math.round(pause)} ms`);
                // The refresh isn't awaited: the ticks must continue, or the refresh itself would count as a pause.
                void this.refresh(since, signal);
            }
        }
    }

    private async refresh(since: Milliseconds, signal: AbortSignal): Promise<void> {
        while (!signal.aborted && !await this.dependencies.refresh(since)) {
            await this.dependencies.clock.sleep(refreshRetryDelayMilliseconds, signal);
        }
        this.isRefreshing = false;
    }
}
