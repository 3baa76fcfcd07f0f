/** How long the requests of each route take. Nothing else tells how long a service without an engine will work on a request. */
import type { Clock, Milliseconds } from "../../utils/clock.js";

/** Durations are forgotten after one to two of these windows. */
const windowDuration: Milliseconds = 60_000;

/** The longest recent duration by route. */
export class AnswerDurations {
    private windowStart: Milliseconds;
    private current = new Map<string, Milliseconds>();
    private previous = new Map<string, Milliseconds>();

    constructor(private readonly clock: Clock) {
        this.windowStart = clock.now();
    }

    /** Records a request that was answered. */
    record(route: string, duration: Milliseconds): void {
        this.advance();
        this.current.set(route, Math.max(duration, this.current.get(route) ?? 0));
    }

    /** The longest duration of a request of `route`; undefined where none was answered recently. */
    longest(route: string): Milliseconds | undefined {
        this.advance();
        const durations = [this.current.get(route), this.previous.get(route)].filter(duration =>
            duration !== undefined
        );
        return durations.length > 0 ? Math.max(...durations) : undefined;
    }

    private advance(): void {
        const now = this.clock.now();
        if (now - this.windowStart < windowDuration) {
            return;
        }
        this.previous = now - this.windowStart < 2 * windowDuration ? this.current : new Map();
        this.current = new Map();
        this.windowStart = now;
    }
}
