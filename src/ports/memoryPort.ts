/** Port for reservations of endpoint memory. */
import type { EndpointRecord } from "../types/routing.js";
import type { Milliseconds } from "../utils/clock.js";
import type { ReportListener } from "./forwardingPorts.js";

/** A reservation of memory on one endpoint for one attempt. */
export interface MemoryReservation {
    /** Unique over all attempts. */
    id: string;
    endpoint: EndpointRecord;
    tokens: number;
    /** Address of the entry that carries the connection; undefined where this entry connects itself. */
    relay?: string;
    /** Receives what the endpoint reports about itself in its responses. */
    onReport: ReportListener;
}

/** Result of a reservation. */
export enum ReservationResult {
    Held = "held",
    /** The memory is not free; nothing was reserved. */
    Refused = "refused",
    /** No response arrived. The endpoint may have reserved the memory, or may do so later. */
    Unknown = "unknown",
}

/** Reserves and releases memory of endpoints. Every call ends within its timeout and never throws. */
export interface MemoryPort {
    /** Reserves memory for `duration`, or renews a reservation. */
    reserve(reservation: MemoryReservation, duration: Milliseconds, timeout: Milliseconds): Promise<ReservationResult>;
    /** Releases a reservation; resolves with whether the endpoint has confirmed it. */
    release(reservation: MemoryReservation, timeout: Milliseconds): Promise<boolean>;
}
