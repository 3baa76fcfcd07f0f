/** Requests that wait for capacity of a service. */
import type { Milliseconds } from "../../utils/clock.js";

/** What the order of a queue depends on. It keeps the values with which the request arrived. */
export interface Waiter {
    requestId: string;
    /** The entry that sends the request. */
    owner: string;
    service: string;
    /** Rank among the kinds of the service, 0 for the most urgent. */
    rank: number;
    customer: string | undefined;
    /** When its first event is due. */
    targetAt: Milliseconds;
    /** When the request arrived, and when it has ended at the latest, on the local clock. */
    arrivedAt: Milliseconds;
    deadline: Milliseconds;
    /** Value of the request, and the time that its prefill takes on one engine. */
    value: number;
    engineTime: Milliseconds;
}

/** A waiter with the action that serves it. */
export interface QueuedWaiter extends Waiter {
    /** When the queue drops the waiter unless it is renewed, on the local clock. */
    expiresAt: Milliseconds;
    /** Tries to place the request, and returns whether it waits no longer. */
    tryPlace(): boolean;
    /** Called when the queue drops the waiter. */
    onExpired(): void;
}
