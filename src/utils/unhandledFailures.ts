/** Records failures that no code handles, and keeps a process alive when work that nobody awaits fails. */
import { describeError } from "./errors.js";
import type { PartLog } from "./log.js";

/** Logs and counts the failures of this process that nobody handles. */
export class UnhandledFailures {
    private rejectionCount = 0;
    private exceptionCount = 0;

    constructor(private readonly log: PartLog) {}

    /** Listens to the failures of this process. */
    listen(): void {
        // By default Node ends the process at the first one, and all requests in progress with it, though only one background
        // task has failed.
        process.on("unhandledRejection", reason => {
            this.rejectionCount++;
            this.log.error("Work that nobody awaits has failed.", describeFailure(reason));
        });
        process.on("uncaughtExceptionMonitor", error => {
            this.exceptionCount++;
            this.log.error("An exception wasn't handled.", describeFailure(error));
        });
    }

    /** Numbers of failures by kind. */
    gauges(): Record<string, number> {
        return {
            unhandled_rejections_total: this.rejectionCount,
            uncaught_exceptions_total: this.exceptionCount,
        };
    }
}

const describeFailure = (failure: unknown): Record<string, unknown> => ({
    error: describeError(failure),
    stack: failure instanceof Error ? failure.stack : undefined,
});
