/** The one notion of time: a monotonic clock in milliseconds, replaceable in tests. */

/** A span or a point of time in milliseconds. */
export type Milliseconds = number;

/** Source of time for everything that waits or measures. */
export interface Clock {
    /** Monotonic time in milliseconds; only differences mean anything. */
    now(): Milliseconds;
    /** Wall time in milliseconds since 1970; only for people to read. */
    wallTime(): Milliseconds;
    /** Resolves after `duration` milliseconds, or at once when `signal` aborts. Never rejects. */
    sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
    /** Runs `action` after `duration` milliseconds, unless the returned function is called before. */
    after(duration: Milliseconds, action: () => void): () => void;
}

/** The process's own clock. Under vitest's fake timers it follows the fake time. */
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
            const timer = setTimeout(finish, duration);
            signal?.addEventListener("abort", finish, { once: true });
        }),
    after: (duration, action) => {
        const timer = setTimeout(action, duration);
        return () => clearTimeout(timer);
    },
};
