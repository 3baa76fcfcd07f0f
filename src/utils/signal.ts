/** A condition that tasks wait on: woken all together whenever something changed. */

/** Wakes every waiting task at each `notify`. */
export class ChangeSignal {
    private waiting = new Set<() => void>();

    /** Wakes all who wait now. */
    notify(): void {
        const woken = this.waiting;
        this.waiting = new Set();
        for (const wake of woken) {
            wake();
        }
    }

    /** Resolves at the next `notify`, or when `signal` aborts. */
    next(signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const wake = () => {
                signal?.removeEventListener("abort", wake);
                this.waiting.delete(wake);
                resolve();
            };
            this.waiting.add(wake);
            signal?.addEventListener("abort", wake, { once: true });
        });
    }
}

/** The reason of {@link abortQuietly}. */
const cancelled = "cancelled";

/**
 * Aborts. Without a reason of its own Node makes an error with its stack for each abort, which costs more than all else on
 * the path of a request.
 */
export const abortQuietly = (controller: AbortController): void => controller.abort(cancelled);

/** Resolves at the next `notify` of any of `changes`, or when `signal` aborts. */
export const nextOfAny = async (changes: readonly ChangeSignal[], signal: AbortSignal): Promise<void> => {
    const stop = new AbortController();
    const end = () => stop.abort();
    signal.addEventListener("abort", end, { once: true });
    if (signal.aborted) {
        end();
    }
    await Promise.race(changes.map(change => change.next(stop.signal)));
    signal.removeEventListener("abort", end);
    stop.abort();
};
