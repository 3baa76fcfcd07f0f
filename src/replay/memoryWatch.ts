/** Finds memory of engines that stays reserved after the request that used it has ended. */
import type { Reservation } from "../standins/passEngine.js";
import type { Clock, Milliseconds } from "../utils/clock.js";

/** A reservation that outlasted its request. */
export interface HeldMemory {
    endpoint: string;
    reservationId: string;
    /** How long it was held after the last run of the request had ended. */
    heldFor: Milliseconds;
}

interface RequestRuns {
    activeCount: number;
    endedAt: Milliseconds;
}

/** Entries name a reservation after its request, with the numbers of the attempt and of the share. */
const requestIdOf = (reservationId: string): string => reservationId.replace(/-\d+-\d+$/, "");

/** Watches the reservations of all engines. */
export class MemoryWatch {
    private readonly runsByRequest = new Map<string, RequestRuns>();
    private readonly heldByReservation = new Map<string, HeldMemory>();

    constructor(private readonly clock: Clock) {}

    /** Reservations that outlasted their requests, with the longest time seen of each. */
    get held(): HeldMemory[] {
        return [...this.heldByReservation.values()];
    }

    /** Runs a request on an engine, and records when the run has ended. */
    async watchRun(requestId: string, run: () => Promise<void>): Promise<void> {
        const runs = this.runsByRequest.get(requestId) ?? { activeCount: 0, endedAt: 0 };
        this.runsByRequest.set(requestId, runs);
        runs.activeCount++;
        try {
            await run();
        }
        finally {
            runs.activeCount--;
            runs.endedAt = this.clock.now();
        }
    }

    /** Records the reservations that `endpoint` holds now. */
    sample(endpoint: string, reservations: readonly Reservation[]): void {
        const now = this.clock.now();
        for (const { id: reservationId, expiresAt } of reservations) {
            const runs = this.runsByRequest.get(requestIdOf(reservationId));
            if (runs?.activeCount === 0 && now < expiresAt) {
                const key = `${endpoint}/${reservationId}`;
                this.heldByReservation.set(key, { endpoint, reservationId, heldFor: now - runs.endedAt });
            }
        }
    }
}
