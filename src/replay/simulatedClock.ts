/** A clock whose time goes on as fast as its events are worked off. */
import { setImmediate } from "node:timers";
import TinyQueue from "tinyqueue";
import type { Clock, Milliseconds } from "../utils/clock.js";

interface ScheduledEvent {
    at: Milliseconds;
    /** Keeps events of the same time in the order in which they were asked for. */
    sequenceNumber: number;
    action: (() => void) | undefined;
}

/** Wall time at the clock's zero; only its differences mean anything. */
const wallTimeAtZero = 1_700_000_000_000;

const compareEvents = (left: ScheduledEvent, right: ScheduledEvent): number =>
    left.at - right.at || left.sequenceNumber - right.sequenceNumber;

/** Lets everything that is ready go on before time does. */
const runPendingTasks = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Simulated time. */
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

    /** Works off all events up to `until`. */
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
