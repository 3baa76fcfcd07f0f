/** Simulates a process that stands still for a while: the system accepts its connections, and it answers nothing meanwhile. */
import type { Clock, Milliseconds } from "../utils/clock.js";

/** Whether one process stands still, and what waits for it. */
export class ProcessPause {
    private endsAt: Milliseconds = 0;
    private heldActions: (() => void)[] = [];

    constructor(private readonly clock: Clock) {}

    get isPaused(): boolean {
        return this.clock.now() < this.endsAt;
    }

    /** Lets the process stand still for `duration`. Then it goes on, and what was due is done in its order. */
    start(duration: Milliseconds): void {
        this.endsAt = Math.max(this.endsAt, this.clock.now() + duration);
        this.clock.after(duration, () => this.endIfOver());
    }

    /** Runs `action` of the process now, or when it goes on. */
    run(action: () => void): void {
        if (this.isPaused) {
            this.heldActions.push(action);
            return;
        }
        action();
    }

    /** Resolves with whether the process has gone on within `timeout`. */
    async hasEndedWithin(timeout: Milliseconds): Promise<boolean> {
        const timeLeft = this.endsAt - this.clock.now();
        if (timeLeft > 0) {
            await this.clock.sleep(Math.min(timeLeft, timeout));
        }
        return timeLeft < timeout;
    }

    /** Resolves when the process goes on, or when `signal` aborts. */
    async untilOver(signal: AbortSignal): Promise<void> {
        while (this.isPaused && !signal.aborted) {
            await this.clock.sleep(this.endsAt - this.clock.now(), signal);
        }
    }

    private endIfOver(): void {
        if (this.isPaused) {
            return;
        }
        const held = this.heldActions;
        this.heldActions = [];
        for (const action of held) {
            action();
        }
    }
}
