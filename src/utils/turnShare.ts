/** Shares the turns of the event loop among connections that send much, so that timers and other connections run between them. */

/** Work that all these connections may cause in one turn, in bytes (see `costOfPiece`). What exceeds it delays later turns. */
const maximumTurnCost = 1024 * 1024;
/** Work that a resumed connection is expected to cause in its turn, until it is known. */
const expectedCost = 128 * 1024;
/** New connections whose reading begins in one turn while the share is spent. Most of them cost next to nothing. */
const maximumNewPerTurn = 8;

/** Counts the work of a turn, and resumes connections in the order in which they were paused. */
export class TurnShare {
    private cost = 0;
    private isRenewalScheduled = false;
    private readonly paused: (() => void)[] = [];
    private readonly pausedNew: (() => void)[] = [];

    /** Whether the work that is done already takes this turn and the next. */
    get isSpent(): boolean {
        return this.cost >= maximumTurnCost;
    }

    /** Records work, in bytes. */
    spend(cost: number): void {
        this.cost += cost;
        this.scheduleRenewal();
    }

    /** Calls `resume` in one of the next turns, once there is room for the work of its connection. */
    enqueue(resume: () => void): void {
        this.paused.push(resume);
        this.scheduleRenewal();
    }

    /** Calls `resume` of a new connection in one of the next turns, before those of {@link enqueue}. */
    enqueueNew(resume: () => void): void {
        this.pausedNew.push(resume);
        this.scheduleRenewal();
    }

    private scheduleRenewal(): void {
        if (!this.isRenewalScheduled) {
            this.isRenewalScheduled = true;
            setImmediate(() => this.renew());
        }
    }

    private renew(): void {
        this.isRenewalScheduled = false;
        this.cost = Math.max(0, this.cost - maximumTurnCost);
        for (const resume of this.pausedNew.splice(0, maximumNewPerTurn)) {
            resume();
        }
        const room = Math.ceil((maximumTurnCost - this.cost) / expectedCost);
        for (const resume of this.paused.splice(0, Math.max(0, room))) {
            resume();
        }
        if (this.cost > 0 || this.paused.length > 0 || this.pausedNew.length > 0) {
            this.scheduleRenewal();
        }
    }
}
