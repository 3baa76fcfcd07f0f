/** Timeouts and abort helpers. Every wait for something outside this process has a timeout. */
import { setMaxListeners } from "node:events";
import { Clock, Milliseconds } from "./clock.js";
import { TimeLimitError } from "./errors.js";
import { abortQuietly } from "./signal.js";

/**
 * Runs `work` for at most `limit` milliseconds.
 *
 * Throws {@link TimeLimitError} on a timeout. The signal of `work` is then aborted, and its later result is ignored. An
 * abort of `parent` aborts the signal of `work` too.
 */
export const withTimeout = async <Result>(
    clock: Clock,
    limit: Milliseconds,
    subject: string,
    work: (signal: AbortSignal) => Promise<Result>,
    parent?: AbortSignal,
): Promise<Result> => {
    const controller = new AbortController();
    const abortWork = () => abortQuietly(controller);
    parent?.addEventListener("abort", abortWork, { once: true });
    if (parent?.aborted) {
        abortWork();
    }
    let cancelTimer = () => {};
    const timeout = new Promise<never>((...[, reject]) => {
        cancelTimer = clock.after(Math.max(0, limit), () => {
            reject(new TimeLimitError(subject, limit));
            abortWork();
        });
    });
    try {
        return await Promise.race([work(controller.signal), timeout]);
    }
    finally {
        parent?.removeEventListener("abort", abortWork);
        cancelTimer();
    }
};

/** Like {@link withTimeout}, but resolves with undefined on a timeout. */
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

/** Creates an abort controller for any number of listeners. By default Node warns of a leak from the eleventh listener on. */
export const sharedAbortController = (): AbortController => {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
};

/** Resolves when `signal` aborts, or immediately if it has already aborted. */
export const aborted = (signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
