/** Every wait on something outside this process has a bound; these functions set it. */
import { setMaxListeners } from "node:events";
import { Clock, Milliseconds } from "./clock.js";
import { TimeLimitError } from "./errors.js";
import { abortQuietly } from "./signal.js";

/**
 * Runs `work` for at most `limit` milliseconds.
 *
 * Throws {@link TimeLimitError} when the limit passes first; `work` then sees its signal aborted and its late
 * outcome is dropped. An abort of `parent` reaches `work` too.
 */
export const withTimeout = async <Result>(
    clock: Clock,
    limit: Milliseconds,
    subject: string,
    work: (signal: AbortSignal) => Promise<Result>,
    parent?: AbortSignal,
): Promise<Result> => {
    const controller = new AbortController();
    const forward = () => abortQuietly(controller);
    parent?.addEventListener("abort", forward, { once: true });
    if (parent?.aborted) {
        forward();
    }
    let stopTimer = () => {};
    const expiry = new Promise<never>((...[, reject]) => {
        stopTimer = clock.after(Math.max(0, limit), () => {
            reject(new TimeLimitError(subject, limit));
            forward();
        });
    });
    try {
        return await Promise.race([work(controller.signal), expiry]);
    }
    finally {
        parent?.removeEventListener("abort", forward);
        stopTimer();
    }
};

/** As {@link withTimeout}, but a limit that passes is an outcome of its own: undefined. */
export const withTimeoutOrUndefined = async <Result>(
    clock: Clock,
    limit: Milliseconds,
    subject: string,
    work: () => Promise<Result>,
): Promise<Result | undefined> => {
    try {
        return await withTimeout(clock, limit, subject, work);
    }
    catch (error) {
        if (error instanceof TimeLimitError) {
            return undefined;
        }
        throw error;
    }
};

/** An abort controller that many tasks may listen to; Node would warn of a leak from the eleventh on. */
export const sharedAbortController = (): AbortController => {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
};

/** Resolves when `signal` aborts, or at once when it has aborted already. */
export const aborted = (signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
