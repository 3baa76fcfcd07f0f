/** Notices that this process was paused, and holds sends back until its knowledge is fresh again. */
import { Clock, Milliseconds, PartLog, Timeline } from "../internal.js";

/** Time between two tries to learn what happened during a pause. */
const refreshRetryMilliseconds = 300;
const tickMilliseconds = 200;
/** Time without a tick after which this process counts as having been paused. */
const pausedMilliseconds = 1_200;

/** What the guard works with. */
export interface PauseGuardParts {
    clock: Clock;
    log: PartLog;
    timeline: Timeline;
    /** Tries to learn what happened after `since`; ends within a bound and says whether anybody could tell. */
    refresh: (since: Milliseconds) => Promise<boolean>;
}

/**
 * Detects pauses.
 *
 * A process that was stopped for a while wakes with old knowledge and may send at once, to a data centre that was
 * taken out meanwhile; one would notice new work there long after the operator's order. The guard ticks; a send is
 * allowed only shortly after a tick, and a tick that comes late begins a refresh first.
 */
export class PauseGuard {
    private tickedAt: Milliseconds;
    private refreshing = false;

    constructor(private readonly parts: PauseGuardParts) {
        this.tickedAt = parts.clock.now();
    }

    /** Whether this process has been running all along. Ask in the same synchronous step as a send. */
    fresh(): boolean {
        return !this.refreshing && this.parts.clock.now() - this.tickedAt < pausedMilliseconds;
    }

    /** Ticks until `signal` aborts. */
    async watch(signal: AbortSignal): Promise<void> {
        this.tickedAt = this.parts.clock.now();
        while (!signal.aborted) {
            await this.parts.clock.sleep(tickMilliseconds, signal);
            const now = this.parts.clock.now();
            const since = this.tickedAt;
            const pause = now - since;
            this.tickedAt = now;
            if (pause >= pausedMilliseconds && !this.refreshing) {
                this.refreshing = true;
                this.parts.log.warn("This process was paused.", { milliseconds: Math.round(pause) });
                this.parts.timeline.record("entry", "paused", undefined, `${Math.round(pause)} ms`);
                // Not awaited: the ticks must go on, or the refresh itself would look like a pause.
                void this.refresh(since, signal);
            }
        }
    }

    private async refresh(since: Milliseconds, signal: AbortSignal): Promise<void> {
        while (!signal.aborted && !await this.parts.refresh(since)) {
            await this.parts.clock.sleep(refreshRetryMilliseconds, signal);
        }
        this.refreshing = false;
    }
}
