/** Keeps tasks running on which other work depends. */
import type { Clock, Milliseconds } from "./clock.js";
import { describeError } from "./errors.js";
import type { PartLog } from "./log.js";

const restartDelay: Milliseconds = 200;

/** What {@link keepRunning} needs. */
export interface BackgroundTask {
    /** Name for the log. */
    name: string;
    /** Runs until the signal aborts. May be called again after it has failed. */
    run: (signal: AbortSignal) => Promise<void>;
    clock: Clock;
    log: PartLog;
}

/** Runs a task until `signal` aborts, and begins it again after a failure. Never rejects. */
export const keepRunning = async ({ name, run, clock, log }: BackgroundTask, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
        try {
            await run(signal);
            return;
        }
        catch (error) {
            const stack = error instanceof Error ? error.stack : undefined;
            log.error("A background task failed and begins again.", { task: name, error: describeError(error), stack });
            await clock.sleep(restartDelay, signal);
        }
    }
};
