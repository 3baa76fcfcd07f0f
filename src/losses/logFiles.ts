/** Reads the log files of entries: lines of JSON with bunyan's fields, with or without a prefix before the JSON. */
import { readFileSync } from "node:fs";
import type { LogLine } from "./requestTraces.js";

/** Result of reading log files. */
export interface LogReadResult {
    lines: LogLine[];
    /** Number of lines that aren't log lines of an entry. */
    skipped: number;
    /** Number of lines that entries report to have dropped. */
    dropped: number;
}

const droppedMessage = "log: Lines were dropped.";

/** Reads log files. Throws the file system's errors. Times are relative to the earliest line. */
export const readLogFiles = (files: readonly string[]): LogReadResult => {
    const result: LogReadResult = { lines: [], skipped: 0, dropped: 0 };
    for (const file of files) {
        for (const text of readFileSync(file, "utf8").split("\n")) {
            parseLine(result, text);
        }
    }
    result.lines.sort((left, right) => left.time - right.time);
    const firstTime = result.lines[0]?.time ?? 0;
    return { ...result, lines: result.lines.map(line => ({ ...line, time: line.time - firstTime })) };
};

const parseLine = (result: LogReadResult, text: string): void => {
    const start = text.indexOf("{");
    if (start < 0) {
        result.skipped += text.trim() === "" ? 0 : 1;
        return;
    }
    try {
        const { msg, time, instance, name, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>;
        const timestamp = Date.parse(String(time));
        if (typeof msg !== "string" || Number.isNaN(timestamp)) {
            result.skipped++;
            return;
        }
        result.dropped += msg === droppedMessage ? Number(fields.lines ?? 0) : 0;
        result.lines.push({ time: timestamp, entry: String(instance ?? name), message: msg, fields });
    }
    catch {
        result.skipped++;
    }
};
