/** Reserves and releases memory of endpoints, by way of another entry where this one can't connect. */
import type { MemoryPort, MemoryReservation, ReservationResult } from "../../ports/memoryPort.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { LinkTracker } from "./linkTracker.js";
import type { Relays } from "./relays.js";

/** The reservations of this entry's requests. */
export class RelayingMemoryPort implements MemoryPort {
    constructor(
        private readonly memoryPort: MemoryPort,
        private readonly links: LinkTracker,
        private readonly relays: Relays,
    ) {}

    reserve(reservation: MemoryReservation, duration: Milliseconds, timeout: Milliseconds): Promise<ReservationResult> {
        return this.memoryPort.reserve(this.route(reservation), duration, timeout);
    }

    release(reservation: MemoryReservation, timeout: Milliseconds): Promise<boolean> {
        return this.memoryPort.release(this.route(reservation), timeout);
    }

    private route(reservation: MemoryReservation): MemoryReservation {
        const relay = this.links.isLost(reservation.endpoint) ? this.relays.candidates().at(0) : undefined;
        return relay ? { ...reservation, relay: relay.address } : reservation;
    }
}
