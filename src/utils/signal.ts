/** Change notification between tasks, and aborts without the cost of an error object. */

/** Lets tasks wait for the next change. Each `notify` wakes all waiting tasks. */
export class ChangeSignal {
    private waiters = new Set<() => void>();

    /** Wakes all tasks that are waiting now. */
    notify(): void {
        const waiters = this.waiters;
        this.waiters = new Set();
        for (const wake of waiters) {
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
                this.waiters.delete(wake);
                resolve();
            };
            this.waiters.add(wake);
            signal?.addEventListener("abort", wake, { once: true });
        });
    }
}

/** Abort reason of {@link abortQuietly}. */
const abortReason = "cancelled";

/**
 * Aborts with a constant reason. Without a reason Node creates an error with a stack trace for each abort, which costs more
 * than everything else on the path of a request.
 */
export const abortQuietly = (controller: AbortController): void => controller.abort(abortReason);

/** Resolves at the next `notify` of any of `changes`, or when `signal` aborts. */
export const nextOfAny = async (changes: readonly ChangeSignal[], signal: AbortSignal): Promise<void> => {
    const controller = new AbortController();
    const abort = () => controller.abort();
    signal.addEventListener("abort", abort, { once: true });
    if (signal.aborted) {
        abort();
    }
    await Promise.race(changes.map(change => change.next(controller.signal)));
    signal.removeEventListener("abort", abort);
    controller.abort();
};
