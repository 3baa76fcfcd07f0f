/** Keeps a process alive when work that nobody awaits fails. */
import { describeError } from "./errors.js";
import type { PartLog } from "./log.js";

/**
 * Logs and counts the rejections of promises that nobody handles. By default Node ends the process at the first one, and all
 * requests in progress with it, though only one background task has failed.
 */
export class UnhandledRejections {
    total = 0;

    constructor(private readonly log: PartLog) {}

    /** Listens to the rejections of this process. */
    listen(): void {
        process.on("unhandledRejection", reason => {
            this.total++;
            this.log.error("Work that nobody awaits has failed.", {
                error: describeError(reason),
                stack: reason instanceof Error ? reason.stack : undefined,
            });
        });
    }
}
