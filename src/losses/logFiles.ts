/** Reads the lines of entries' logs: JSON with bunyan's fields, with or without something before them. */
import { readFileSync } from "node:fs";
import type { LogLine } from "./stories.js";

/** What was read. */
export interface ReadLog {
    lines: LogLine[];
    /** Lines that are none of an entry's. */
    skipped: number;
    /** Lines that entries dropped, by their own count. */
    dropped: number;
}

const droppedMessage = "log: Lines were dropped.";

/** Reads files; throws what the file system says. Times are taken from the first line on. */
export const readLogs = (files: readonly string[]): ReadLog => {
    const read: ReadLog = { lines: [], skipped: 0, dropped: 0 };
    for (const file of files) {
        for (const text of readFileSync(file, "utf8").split("\n")) {
            takeLine(read, text);
        }
    }
    read.lines.sort((left, right) => left.time - right.time);
    const begun = read.lines[0]?.time ?? 0;
    return { ...read, lines: read.lines.map(line => ({ ...line, time: line.time - begun })) };
};

const takeLine = (read: ReadLog, text: string): void => {
    const start = text.indexOf("{");
    if (start < 0) {
        read.skipped += text.trim() === "" ? 0 : 1;
        return;
    }
    try {
        const { msg, time, instance, name, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>;
        const at = Date.parse(String(time));
        if (typeof msg !== "string" || Number.isNaN(at)) {
            read.skipped++;
            return;
        }
        read.dropped += msg === droppedMessage ? Number(fields.lines ?? 0) : 0;
        read.lines.push({ time: at, entry: String(instance ?? name), message: msg, fields });
    }
    catch {
        read.skipped++;
    }
};
