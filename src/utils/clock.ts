/** Clock interface for all waits and measurements, in milliseconds. Tests can replace the clock. */

/** A duration or a point in time, in milliseconds. */
export type Milliseconds = number;

/** Source of time. */
export interface Clock {
    /** Monotonic time in milliseconds from an arbitrary origin; only differences are meaningful. */
    now(): Milliseconds;
    /** Wall-clock time in milliseconds since 1970, for display only. */
    wallTime(): Milliseconds;
    /** Resolves after `duration` milliseconds, or as soon as `signal` aborts. Never rejects. */
    sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
    /** Runs `action` after `duration` milliseconds. The returned function cancels the timer. */
    after(duration: Milliseconds, action: () => void): () => void;
}

/** Longest delay of Node's timers. A longer one would run at once. */
const maximumTimerDelay: Milliseconds = 2 ** 31 - 1;

const startTimer = (duration: Milliseconds, action: () => void): NodeJS.Timeout =>
    setTimeout(action, Math.min(duration, maximumTimerDelay));

/** Clock of this process. Under vitest's fake timers it returns the fake time. */
export const systemClock: Clock = {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    sleep: (duration, signal) =>
        new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = () => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = startTimer(duration, finish);
            signal?.addEventListener("abort", finish, { once: true });
        }),
    after: (duration, action) => {
        const timer = startTimer(duration, action);
        return () => clearTimeout(timer);
    },
};
