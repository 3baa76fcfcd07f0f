/** What the core needs to set memory of endpoints aside. */
import type { EndpointRecord } from "../types/routing.js";
import type { Milliseconds } from "../utils/clock.js";

/** Memory of one endpoint for one send. */
export interface MemoryReservation {
    /** Names the reservation; no other send ever uses it. */
    reservation: string;
    endpoint: EndpointRecord;
    tokens: number;
}

/** An endpoint's answer to a reservation. */
export enum ReservationResult {
    Held = "held",
    /** Not free; nothing was set aside. */
    Refused = "refused",
    /** No answer: it may have been carried out, or may be carried out later. */
    Unknown = "unknown",
}

/** Memory of endpoints. Every call ends within its limit and never throws. */
export interface MemoryPort {
    /** Sets memory aside for `hold`, or renews it. */
    reserve(share: MemoryReservation, hold: Milliseconds, limit: Milliseconds): Promise<ReservationResult>;
    /** Gives memory back; tells whether the endpoint has said so. */
    release(share: MemoryReservation, limit: Milliseconds): Promise<boolean>;
}
