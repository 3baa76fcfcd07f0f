/** Limit on the work of a stream within one turn of the event loop, so that timers and other connections aren't delayed. */

/** Limits of one turn. Half of them is renewed without a delay, so that a stream below that is never delayed. */
export const maximumEventsPerTurn = 32;
export const maximumBytesPerTurn = 128 * 1024;

/** Counts the work of a stream, and starts anew in the next turn of the event loop. */
export class TurnBudget {
    private events = 0;
    private bytes = 0;
    private isRenewalScheduled = false;

    /** `onRenewed` is called after each renewal. */
    constructor(private readonly onRenewed: () => void) {}

    get isSpent(): boolean {
        return this.events >= maximumEventsPerTurn || this.bytes >= maximumBytesPerTurn;
    }

    spend(events: number, bytes: number): void {
        this.events += events;
        this.bytes += bytes;
        const isHalfSpent = this.events >= maximumEventsPerTurn / 2 || this.bytes >= maximumBytesPerTurn / 2;
        if (isHalfSpent && !this.isRenewalScheduled) {
            this.isRenewalScheduled = true;
            setImmediate(() => this.renew());
        }
    }

    private renew(): void {
        this.isRenewalScheduled = false;
        this.events = 0;
        this.bytes = 0;
        this.onRenewed();
    }
}
