/**
 * Reserves memory on several endpoints for one prompt that exceeds the memory of one engine.
 *
 * All reservations are requested at once and released when any of them fails, because two entries that each held half of what
 * they need would deadlock. A failed request tries again after a random delay. Reservations are short leases that are renewed
 * only while the request runs, so endpoints free the memory of an entry that dies.
 */
import type { MemoryPort, MemoryReservation } from "../../ports/memoryPort.js";
import { ReservationResult } from "../../ports/memoryPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import { abortQuietly } from "../../utils/signal.js";

/**
 * Lease of a reservation that is not renewed. An endpoint may carry out a reservation whose response was lost seconds later,
 * after its release; this lease bounds how long such a reservation lasts.
 */
const reservationDuration: Milliseconds = 1_900;
/** Interval between renewals; the lease survives the loss of two renewals in a row. */
const renewInterval: Milliseconds = 600;
/** Endpoints respond within a few milliseconds; a longer wait for one that does not is not worth its delay. */
const responseTimeout: Milliseconds = 400;
/** After this many failed release attempts the entry stops retrying and the lease expires. */
const maximumReleaseAttempts = 3;

/** Dependencies of {@link MemoryHold}. */
export interface MemoryHoldDependencies {
    clock: Clock;
    log: PartLog;
    memoryPort: MemoryPort;
}

/** The memory that is reserved for one attempt. */
export class MemoryHold {
    private readonly releaseController = new AbortController();

    private constructor(
        private readonly dependencies: MemoryHoldDependencies,
        private readonly reservations: readonly MemoryReservation[],
        private readonly requestId: string,
    ) {}

    /** Reserves all of `reservations`. When any of them fails, all are released and the endpoints that failed are returned. */
    static async acquire(
        dependencies: MemoryHoldDependencies,
        reservations: readonly MemoryReservation[],
        requestId: string,
    ): Promise<{ hold: MemoryHold; } | { endpointsWithoutMemory: string[]; }> {
        const hold = new MemoryHold(dependencies, reservations, requestId);
        const results = await Promise.all(reservations.map(reservation => hold.reserve(reservation)));
        if (results.every(result => result === ReservationResult.Held)) {
            void hold.renewPeriodically();
            return { hold };
        }
        dependencies.log.info("Memory can't be set aside.", {
            requestId,
            shares: reservations.map(({ endpoint, tokens }, index) => ({
                endpoint: endpoint.id,
                tokens,
                answer: results[index],
            })),
        });
        // A reservation without a response may have been carried out.
        hold.release(reservation => results[reservations.indexOf(reservation)] !== ReservationResult.Refused);
        const isHeld = (index: number) => results[index] === ReservationResult.Held;
        return {
            endpointsWithoutMemory: reservations.flatMap(({ endpoint }, index) => isHeld(index) ? [] : [endpoint.id]),
        };
    }

    /** Releases the reservations for which `mayBeHeld` is true. */
    release(mayBeHeld: (reservation: MemoryReservation) => boolean = () => true): void {
        abortQuietly(this.releaseController);
        for (const reservation of this.reservations.filter(mayBeHeld)) {
            void this.releaseReservation(reservation);
        }
    }

    private reserve(reservation: MemoryReservation): Promise<ReservationResult> {
        return this.dependencies.memoryPort.reserve(reservation, reservationDuration, responseTimeout);
    }

    private async renewPeriodically(): Promise<void> {
        const { signal } = this.releaseController;
        for (;;) {
            await this.dependencies.clock.sleep(renewInterval, signal);
            if (signal.aborted) {
                return;
            }
            for (const reservation of this.reservations) {
                void this.renewReservation(reservation);
            }
        }
    }

    private async renewReservation(reservation: MemoryReservation): Promise<void> {
        const result = await this.reserve(reservation);
        if (this.releaseController.signal.aborted) {
            // The endpoint may have received the renewal after the release.
            await this.releaseReservation(reservation);
            return;
        }
        if (result !== ReservationResult.Held) {
            const { requestId } = this;
            this.dependencies.log.info("Memory can't be renewed.", {
                requestId,
                endpoint: reservation.endpoint.id,
                answer: result,
            });
        }
    }

    private async releaseReservation(reservation: MemoryReservation): Promise<void> {
        for (let attempt = 0; attempt < maximumReleaseAttempts; attempt++) {
            if (await this.dependencies.memoryPort.release(reservation, responseTimeout)) {
                return;
            }
        }
        this.dependencies.log.warn("Memory can't be given back; it lapses.", {
            requestId: this.requestId,
            endpoint: reservation.endpoint.id,
            lapsesIn: reservationDuration,
        });
    }
}
