/** Structured logs: one bunyan logger a process, one fixed prefix a part. */
import Logger from "bunyan";
import type { BoundedLogStream } from "./logStream.js";

/** Writes the lines of one part, each with the part's prefix. */
export interface PartLog {
    info(message: string, fields?: Record<string, unknown>): void;
    warn(message: string, fields?: Record<string, unknown>): void;
    error(message: string, fields?: Record<string, unknown>): void;
}

/** Levels a settings file may name. */
export enum LogLevel {
    Debug = "debug",
    Info = "info",
    Warn = "warn",
    Error = "error",
}

/** The process's logger. Lines go to standard output as JSON. */
export const createLogger = (name: string, level: LogLevel): Logger => Logger.createLogger({ name, level });

/** A logger whose lines go to `stream`, which may drop some. */
export const createBoundedLogger = (name: string, level: LogLevel, stream: BoundedLogStream): Logger =>
    Logger.createLogger({
        name,
        streams: [{ type: "raw", level, stream: stream as unknown as NodeJS.WritableStream }],
    });

/** A log whose lines begin with `prefix`. */
export const partLog = (logger: Logger, prefix: string): PartLog => ({
    info: (message, fields = {}) => logger.info(fields, `${prefix}: ${message}`),
    warn: (message, fields = {}) => logger.warn(fields, `${prefix}: ${message}`),
    error: (message, fields = {}) => logger.error(fields, `${prefix}: ${message}`),
});

/** A log that drops its lines. */
export const silentLog: PartLog = { info: () => {}, warn: () => {}, error: () => {} };
