/**
 * Reserves memory on several endpoints for one prompt that exceeds the memory of one engine.
 *
 * All reservations are requested at once and released when any of them fails, because two entries that each held half of what
 * they need would deadlock. A failed request tries again after a random delay. Reservations are short leases that are renewed
 * only while the request runs, so endpoints free the memory of an entry that dies.
 *
 * The endpoint that runs the request may end without resetting its connection, for instance when its instance loses power.
 * The request would seem in progress until its deadline, and the memory at the other endpoints would be lost to all others
 * until then. So the other leases are renewed only while the running endpoint answers its own renewals or sends events. Once
 * its lease has lapsed, the request is over: an endpoint cuts a request off when its memory lapses.
 *
 * A sound endpoint may fall silent for a moment and go on, and the request with it. Leases outlast that.
 */
import type { MemoryPort, MemoryReservation } from "../../ports/memoryPort.js";
import { ReservationResult } from "../../ports/memoryPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import { abortQuietly } from "../../utils/signal.js";

/** Interval between renewals. */
const renewInterval: Milliseconds = 400;
/** Interval between attempts to renew a lease that isn't confirmed; they overlap. */
const unansweredRenewInterval: Milliseconds = 100;
/** How long a sound endpoint may stay silent. */
const maximumSilence: Milliseconds = 1_900;
/**
 * Lease of a reservation that is not renewed. An endpoint may carry out a reservation whose response was lost seconds later,
 * after its release; this lease bounds how long such a reservation lasts.
 */
const reservationDuration: Milliseconds = renewInterval + maximumSilence + 2 * unansweredRenewInterval;
/** Endpoints respond within a few milliseconds; a longer wait for one that does not is not worth its delay. */
const responseTimeout: Milliseconds = 400;
/** How long the attempt to renew a lease that must have lapsed is waited for. */
const lapseCheckTimeout: Milliseconds = 200;
/** After this many failed release attempts the entry stops retrying and the lease expires. */
const maximumReleaseAttempts = 3;

/** Dependencies of {@link MemoryHold}. */
export interface MemoryHoldDependencies {
    clock: Clock;
    log: PartLog;
    memoryPort: MemoryPort;
}

/** The memory that one attempt needs. */
export interface MemoryNeed {
    requestId: string;
    /** The first one is at the endpoint that runs the request. */
    reservations: readonly [MemoryReservation, ...MemoryReservation[]];
    /** Called when the lease at the endpoint that runs the request has lapsed, which ends the request there. */
    onLapsed: () => void;
}

/** The memory that is reserved for one attempt. */
export class MemoryHold {
    private readonly releaseController = new AbortController();
    /** When the running endpoint last showed that it holds the memory, on the local clock. */
    private confirmedAt: Milliseconds = 0;

    private constructor(private readonly dependencies: MemoryHoldDependencies, private readonly need: MemoryNeed) {}

    /** Reserves all of the memory. When a part of it fails, all is released and the endpoints that failed are returned. */
    static async acquire(
        dependencies: MemoryHoldDependencies,
        need: MemoryNeed,
    ): Promise<{ hold: MemoryHold; } | { endpointsWithoutMemory: string[]; }> {
        const { reservations, requestId } = need;
        const hold = new MemoryHold(dependencies, need);
        const results = await Promise.all(reservations.map(reservation => hold.reserve(reservation)));
        if (results.every(result => result === ReservationResult.Held)) {
            hold.confirm();
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
        for (const reservation of this.need.reservations.filter(mayBeHeld)) {
            void this.releaseReservation(reservation);
        }
    }

    /** Records that the running endpoint holds the memory: it has renewed the lease, or sent an event of the response. */
    confirm(): void {
        this.confirmedAt = this.dependencies.clock.now();
    }

    private reserve(reservation: MemoryReservation): Promise<ReservationResult> {
        return this.dependencies.memoryPort.reserve(reservation, reservationDuration, responseTimeout);
    }

    private async renewPeriodically(): Promise<void> {
        const { signal } = this.releaseController;
        const [running, ...others] = this.need.reservations;
        for (;;) {
            await this.dependencies.clock.sleep(renewInterval, signal);
            if (signal.aborted || !await this.renewRunning(running)) {
                return;
            }
            for (const reservation of others) {
                void this.renewOther(reservation);
            }
        }
    }

    /**
     * Renews the lease of the running endpoint, again and again until it answers or sends an event. Resolves with false when the
     * memory was released or the lease has lapsed meanwhile.
     */
    private async renewRunning(reservation: MemoryReservation): Promise<boolean> {
        const { clock, log } = this.dependencies;
        const { signal } = this.releaseController;
        const startedAt = clock.now();
        for (;;) {
            // An attempt that began after the lease had lapsed decides, because this entry itself may have been paused.
            const isDecisive = clock.now() - this.confirmedAt >= reservationDuration;
            const attempt = this.renew(reservation).then(isHeld => {
                if (isHeld) {
                    this.confirm();
                }
                return isHeld;
            });
            await this.untilHeld(attempt, isDecisive ? lapseCheckTimeout : unansweredRenewInterval);
            if (signal.aborted) {
                return false;
            }
            if (this.confirmedAt >= startedAt) {
                return true;
            }
            if (isDecisive) {
                log.warn("Memory has lapsed at the endpoint that runs the request.", {
                    requestId: this.need.requestId,
                    endpoint: reservation.endpoint.id,
                    unansweredFor: clock.now() - this.confirmedAt,
                });
                this.need.onLapsed();
                return false;
            }
        }
    }

    /** Renews the lease of another endpoint, again and again until it answers or its next renewal is due. */
    private async renewOther(reservation: MemoryReservation): Promise<void> {
        const { clock } = this.dependencies;
        const startedAt = clock.now();
        while (!this.releaseController.signal.aborted && clock.now() - startedAt < renewInterval) {
            if (await this.untilHeld(this.renew(reservation), unansweredRenewInterval)) {
                return;
            }
        }
    }

    /** Resolves with whether `attempt` renews its lease within `timeout`; not before the timeout where it doesn't. */
    private async untilHeld(attempt: Promise<boolean>, timeout: Milliseconds): Promise<boolean> {
        const settled = new AbortController();
        void attempt.then(isHeld => {
            if (isHeld) {
                abortQuietly(settled);
            }
        });
        await this.dependencies.clock.sleep(timeout, settled.signal);
        return settled.signal.aborted;
    }

    /** Renews one lease; resolves with whether the endpoint confirmed it. */
    private async renew(reservation: MemoryReservation): Promise<boolean> {
        const result = await this.reserve(reservation);
        if (this.releaseController.signal.aborted) {
            // The endpoint may have received the renewal after the release.
            await this.releaseReservation(reservation);
            return false;
        }
        if (result !== ReservationResult.Held) {
            this.dependencies.log.info("Memory can't be renewed.", {
                requestId: this.need.requestId,
                endpoint: reservation.endpoint.id,
                answer: result,
            });
        }
        return result === ReservationResult.Held;
    }

    private async releaseReservation(reservation: MemoryReservation): Promise<void> {
        for (let attempt = 0; attempt < maximumReleaseAttempts; attempt++) {
            if (await this.dependencies.memoryPort.release(reservation, responseTimeout)) {
                return;
            }
        }
        this.dependencies.log.warn("Memory can't be given back; it lapses.", {
            requestId: this.need.requestId,
            endpoint: reservation.endpoint.id,
            lapsesIn: reservationDuration,
        });
    }
}
