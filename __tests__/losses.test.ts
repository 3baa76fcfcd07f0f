/** Reasons for late and failed requests, found from the entries' log lines alone. */
import { writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { expect, test } from "vitest";
import { FailureKind } from "../src/core/failures.js";
import { readLogFiles } from "../src/losses/logFiles.js";
import { findLosses, LossReason } from "../src/losses/reasons.js";
import { buildTraces, type LogLine } from "../src/losses/requestTraces.js";
import { createLossTable, formatLossTable } from "../src/losses/table.js";

const line = (time: number, message: string, fields: Record<string, unknown>): LogLine => ({
    time,
    entry: "entry-1",
    message: `request: ${message}`,
    fields: { requestId: "r", ...fields },
});

const sent = (time: number, fields: Record<string, unknown> = {}): LogLine =>
    line(time, "Sent.", {
        endpoint: "e-1",
        elapsed: time,
        target: 300,
        targetGap: 250,
        promptTokens: 5_000,
        predicted: 100,
        slotWait: 0,
        readWait: 20,
        ...fields,
    });

const streamed = (firstEventAfter: number, longestPause = 50, fields: Record<string, unknown> = {}): LogLine =>
    line(firstEventAfter + 1_000, "Streamed.", { firstEventAfter, longestPause, ...fields });

const firstReason = (...lines: LogLine[]): LossReason | undefined => findLosses(buildTraces(lines))[0]?.reason;

test("response in time is no loss", () => {
    expect(firstReason(sent(0), streamed(200))).toBeUndefined();
});

test("late first event is attributed to the largest part of the prediction", () => {
    expect(firstReason(sent(0, { predicted: 900, slotWait: 700 }), streamed(900))).toBe(LossReason.SlotWait);
    expect(firstReason(sent(0, { predicted: 900, readWait: 700 }), streamed(900))).toBe(LossReason.PrefillWait);
    expect(firstReason(sent(0, { predicted: 900 }), streamed(900))).toBe(LossReason.OwnPrefill);
    expect(firstReason(sent(0), streamed(900))).toBe(LossReason.Unpredicted);
});

test("late first event behind an unpredicted long prefill", () => {
    const long = { requestId: "long", promptTokens: 200_000, endpoint: "e-2", helpers: ["e-1"], predicted: 2_000 };
    const lines = [sent(0, long), streamed(2_000, 50, { requestId: "long" }), sent(100), streamed(900)];
    const losses = findLosses(buildTraces(lines)).filter(({ trace }) => trace.id === "r");
    expect(losses.map(({ reason }) => reason)).toEqual([LossReason.UnpredictedPrefillWait]);
});

test("ended and rejected requests of slow readers aren't attributed to endpoints", () => {
    const ended = line(2_000, "", {});
    const message = "buffers: A request is ended, because its data stays unread.";
    expect(firstReason(sent(0), streamed(200), { ...ended, message })).toBe(LossReason.Unread);
    expect(firstReason(line(0, "A request failed.", { kind: FailureKind.MemoryFull }))).toBe(LossReason.MemoryFull);
});

test("gaps, retries, memory and rejections", () => {
    expect(firstReason(sent(0), streamed(200, 400))).toBe(LossReason.LongGap);
    expect(firstReason(sent(0), sent(500), streamed(200, 400))).toBe(LossReason.LongGapAfterLoss);
    expect(firstReason(sent(0), sent(500), streamed(900))).toBe(LossReason.EndpointLost);
    expect(firstReason(line(0, "Memory can't be set aside.", {}), sent(500), streamed(900))).toBe(
        LossReason.MemoryWait,
    );
    expect(firstReason(line(0, "A request failed.", { kind: "overloaded" }))).toBe(LossReason.Overloaded);
    expect(firstReason(line(0, "A request failed.", { kind: "no-endpoint" }))).toBe(LossReason.NoEndpoint);
    expect(firstReason(sent(0))).toBe(LossReason.EntryEnded);
});

test("errors of callers aren't losses", () => {
    expect(buildTraces([line(0, "A request failed.", { kind: "unknown-route" })])).toEqual([]);
});

test("table sums up losses by reason and by time", () => {
    const at = (time: number, id: string) => [
        { ...sent(0, { requestId: id }), time },
        { ...streamed(900, 50, { requestId: id }), time: time + 1_900 },
    ];
    const table = createLossTable(buildTraces([...at(0, "a"), ...at(100, "b"), ...at(5_000, "c")]), 2_000);
    expect(table.requests).toBe(3);
    expect(table.reasons).toEqual([{ reason: LossReason.Unpredicted, requests: 3, share: 0.75 }]);
    expect(table.spans.map(({ from }) => from)).toEqual([0, 4_000]);
    expect(formatLossTable(table)).toContain("75.0%     3 later than predicted");
});

test("requests on routes with a short timeout are counted apart", () => {
    // Guards against an operator's tests of the configuration, which end by their route's timeout, hiding what callers lose.
    const probe = [
        sent(0, { requestId: "probe", target: 1_000, timeout: 400 }),
        line(400, "A request failed.", { requestId: "probe", kind: "deadline-exceeded" }),
    ];
    const late = [sent(0, { requestId: "a", timeout: 10_000 }), streamed(900, 50, { requestId: "a" })];
    const table = createLossTable(buildTraces([...probe, ...late]), 2_000);
    expect(table).toMatchObject({ requests: 1, shortTimeoutRequests: 1 });
    expect(table.reasons).toEqual([{ reason: LossReason.Unpredicted, requests: 1, share: 0.75 }]);
    expect(formatLossTable(table)).toContain("1 further requests on routes whose timeout is close to their target");
});

test("log files with prefixed lines and lines of other programs", () => {
    const file = path.join(tmpdir(), `dandelionramp-losses-${process.pid}.log`);
    const written = (msg: string, time: string, fields: object = {}) =>
        JSON.stringify({ instance: "entry-1", msg, time, ...fields });
    writeFileSync(
        file,
        [
            `12.5 edge-1 ${written("request: Sent.", "2026-01-01T00:00:01.000Z", { requestId: "r" })}`,
            written("log: Lines were dropped.", "2026-01-01T00:00:00.500Z", { lines: 7 }),
            "no line of an entry",
            "{ broken",
        ].join("\n"),
    );
    const { lines, skipped, dropped } = readLogFiles([file]);
    expect(lines.map(({ time }) => time)).toEqual([0, 500]);
    expect({ skipped, dropped }).toEqual({ skipped: 2, dropped: 7 });
});
