/** Structured logs: one bunyan logger per process, and a fixed message prefix for each part of the process. */
import Logger from "bunyan";
import type { BoundedLogStream } from "./logStream.js";

/** Logger of one part, which prefixes each message with the name of the part. */
export interface PartLog {
    info(message: string, fields?: Record<string, unknown>): void;
    warn(message: string, fields?: Record<string, unknown>): void;
    error(message: string, fields?: Record<string, unknown>): void;
}

/** Log levels that settings may name. */
export enum LogLevel {
    Debug = "debug",
    Info = "info",
    Warn = "warn",
    Error = "error",
}

/** Creates the logger of a process, which writes JSON lines to standard output. */
export const createLogger = (name: string, level: LogLevel): Logger => Logger.createLogger({ name, level });

/** Creates a logger that writes to `stream`, which may drop lines. */
export const createBoundedLogger = (name: string, level: LogLevel, stream: BoundedLogStream): Logger =>
    Logger.createLogger({
        name,
        streams: [{ type: "raw", level, stream: stream as unknown as NodeJS.WritableStream }],
    });

/** Creates a logger that prefixes each message with `prefix`. */
export const partLog = (logger: Logger, prefix: string): PartLog => ({
    info: (message, fields = {}) => logger.info(fields, `${prefix}: ${message}`),
    warn: (message, fields = {}) => logger.warn(fields, `${prefix}: ${message}`),
    error: (message, fields = {}) => logger.error(fields, `${prefix}: ${message}`),
});

/** A logger that discards every line. */
export const silentLog: PartLog = { info: () => {}, warn: () => {}, error: () => {} };
