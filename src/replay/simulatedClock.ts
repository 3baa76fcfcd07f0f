/** A clock in simulated time, which advances from event to event without waiting. */
import { setImmediate } from "node:timers";
import TinyQueue from "tinyqueue";
import type { Clock, Milliseconds } from "../utils/clock.js";

interface ScheduledEvent {
    at: Milliseconds;
    /** Orders events of the same time by when they were scheduled. */
    sequenceNumber: number;
    action: (() => void) | undefined;
}

/** Wall time at simulated time 0. An arbitrary value: only differences of wall times are used. */
const wallTimeAtZero = 1_700_000_000_000;

const compareEvents = (left: ScheduledEvent, right: ScheduledEvent): number =>
    left.at - right.at || left.sequenceNumber - right.sequenceNumber;

/** Runs all pending promise callbacks, so that they finish before time advances. */
const runPendingTasks = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Clock in simulated time. */
export class SimulatedClock implements Clock {
    private time: Milliseconds = 0;
    private nextSequenceNumber = 0;
    private readonly queue = new TinyQueue<ScheduledEvent>([], compareEvents);

    readonly now = (): Milliseconds => this.time;

    readonly wallTime = (): Milliseconds => wallTimeAtZero + this.time;

    readonly sleep = (duration: Milliseconds, signal?: AbortSignal): Promise<void> =>
        new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = () => {
                stop();
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const stop = this.after(duration, finish);
            signal?.addEventListener("abort", finish, { once: true });
        });

    readonly after = (duration: Milliseconds, action: () => void): () => void => {
        const event: ScheduledEvent = {
            at: this.time + Math.max(0, duration),
            sequenceNumber: this.nextSequenceNumber++,
            action,
        };
        this.queue.push(event);
        return () => {
            event.action = undefined;
        };
    };

    /** Advances to `until` and runs all events that are due by then. */
    async run(until: Milliseconds): Promise<void> {
        await runPendingTasks();
        for (let next = this.queue.peek(); next && next.at <= until; next = this.queue.peek()) {
            this.queue.pop();
            if (next.action) {
                this.time = next.at;
                next.action();
                await runPendingTasks();
            }
        }
        this.time = until;
    }
}
