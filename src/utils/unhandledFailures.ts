/**
 * Records failures that no code handles, and keeps a process that serves alive: one failed callback or background task is no
 * reason to end all requests in progress with it.
 */
import { describeError } from "./errors.js";
import type { PartLog } from "./log.js";

/** Logs and counts the failures of this process that nobody handles. */
export class UnhandledFailures {
    private rejectionCount = 0;
    private exceptionCount = 0;
    private hasStarted = false;

    /** `endStart` ends the process when its start fails. */
    constructor(private readonly log: PartLog, private readonly endStart: (error: unknown) => void) {}

    /** Listens to the failures of this process. */
    listen(): void {
        process.on("unhandledRejection", reason => {
            this.rejectionCount++;
            this.log.error("Work that nobody awaits has failed.", describeFailure(reason));
        });
        process.on("uncaughtException", error => {
            this.exceptionCount++;
            this.log.error("An exception wasn't handled.", describeFailure(error));
            // A start that a callback has failed to continue would otherwise never end.
            if (!this.hasStarted) {
                this.endStart(error);
            }
        });
    }

    /** Records that the process serves: exceptions no longer end it. */
    recordStarted(): void {
        this.hasStarted = true;
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
