/**
 * Judges a soak while it runs, by what clients, replicas and the operating system see. The rules are those of the users: LOST,
 * MIXED, ORDER, TWICE, REFUSED, DENIED, UNASKED, and what a process may do at its planned stop.
 */
import { readFileSync } from "node:fs";
import type { ServerResponse } from "node:http";
import type { ReplicaArrival } from "../../platform/standins/replicaServer.js";
import { type Milliseconds, systemClock } from "../../src/utils/clock.js";
import type { EntryLife } from "./entries.js";
import { bytesNaming, isRepeatable, refusalOf, type SoakRequest } from "./requests.js";

/** Rules that a soak can break. */
export enum Rule {
    Lost = "LOST",
    Mixed = "MIXED",
    Order = "ORDER",
    Twice = "TWICE",
    Refused = "REFUSED",
    Denied = "DENIED",
    Unasked = "UNASKED",
    /** A failure in place of an answer that a replica had made. */
    Replaced = "REPLACED",
    /** A request that hasn't ended well after its deadline. */
    Held = "HELD",
    /** A process that ends by itself, or otherwise than with exit code 0 after a planned stop. */
    OwnEnd = "OWN END",
    /** So few requests are served that the others show nothing. */
    Unserved = "UNSERVED",
    SlowStop = "SLOW STOP",
    Memory = "MEMORY",
}

/** A broken rule. */
export interface Violation {
    rule: Rule;
    at: Milliseconds;
    detail: string;
    life: EntryLife | undefined;
}

/** How a request ended for its client. */
export type Outcome =
    /** The answer is complete by its framing. */
    | { type: "Whole"; status: number; body: Buffer; isSigned: boolean; answeredId: string | undefined; }
    | { type: "Cut"; status: number; body: Buffer; reason: string; }
    | { type: "Unanswered"; reason: string; }
    | { type: "NotConnected"; }
    /** The client has given up. */
    | { type: "GivenUp"; };

interface Run {
    replica: string;
    at: Milliseconds;
    endedAt: Milliseconds | undefined;
    isFinished: boolean;
}

/** A request as its client and the replicas have seen it. */
export interface RequestRecord {
    request: SoakRequest;
    /** The process that has accepted the connection. */
    life: EntryLife | undefined;
    isOnKeptConnection: boolean;
    sentAt: Milliseconds;
    /** When the last byte was handed to the operating system. */
    lastByteAt: Milliseconds | undefined;
    endedAt: Milliseconds | undefined;
    outcome: Outcome | undefined;
    isPassedOn: boolean;
    runs: Run[];
}

/** A request that wasn't passed on isn't lost if its connection closes this soon after its last byte: it crossed the close. */
const lossSlack: Milliseconds = 200;
/** A request may still be on its way to a replica when its client sees the end. */
const judgeDelay: Milliseconds = 700;
/** The checker's own process shares the machine with what it checks. */
const pauseCheckInterval: Milliseconds = 10;
const pageBytes = 4_096;
const bytesPerMegabyte = 1024 * 1024;
/** How long after an unplanned disruption requests may still be lost to it. */
const disruptionAftermath: Milliseconds = 3_000;
/** A slow reader that has stood still for longer than this share of its time isn't judged. */
const maximumPausedShare = 0.5;
const minimumServedShare = 0.25;
const sentBeforeStopEnds: Milliseconds = 3_000;

/** The statuses that promise that the request hasn't run and never will. */
const promisingStatuses = new Set([408, 421, 429, 503]);

interface Span {
    from: Milliseconds;
    to: Milliseconds;
}

const overlaps = (span: Span, from: Milliseconds, to: Milliseconds): boolean => span.from <= to && from <= span.to;

/** Judges the requests and processes of a soak. */
export class Checker {
    readonly violations: Violation[] = [];
    /** Numbers of requests by how they ended. */
    readonly counts = new Map<string, number>();
    readonly startedAt = systemClock.now();
    /** The shortest timeout of the routes so far. */
    shortestTimeout: Milliseconds = Infinity;
    private readonly records = new Map<string, RequestRecord>();
    private readonly disruptions: Span[] = [];
    private readonly pauses: Span[] = [];
    private readonly pauseTimer: NodeJS.Timeout;
    private pendingJudgements: Promise<void>[] = [];

    constructor(private readonly limits: { graceSeconds: number; memoryMegabytes: number; }) {
        let last = systemClock.now();
        this.pauseTimer = setInterval(() => {
            const now = systemClock.now();
            if (now - last > 3 * pauseCheckInterval) {
                this.pauses.push({ from: last, to: now });
            }
            last = now;
        }, pauseCheckInterval);
    }

    count(name: string): void {
        this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    }

    report(rule: Rule, detail: string, life: EntryLife | undefined): void {
        this.violations.push({ rule, at: systemClock.now() - this.startedAt, detail, life });
    }

    /** Records that processes are stopped or killed without notice: what is lost until `to` doesn't count. */
    recordDisruption(duration: Milliseconds): void {
        const now = systemClock.now();
        this.disruptions.push({ from: now, to: now + duration + disruptionAftermath });
    }

    recordSent(request: SoakRequest): RequestRecord {
        const record: RequestRecord = {
            request,
            life: undefined,
            isOnKeptConnection: false,
            sentAt: systemClock.now(),
            lastByteAt: undefined,
            endedAt: undefined,
            outcome: undefined,
            isPassedOn: false,
            runs: [],
        };
        this.records.set(request.id, record);
        this.count("requests");
        return record;
    }

    /** Records that a request has reached a replica. The returned function records that the replica begins to run it. */
    recordArrival(arrival: ReplicaArrival, response: ServerResponse, replica: string): () => void {
        const record = this.records.get(arrival.id);
        if (record === undefined) {
            this.report(Rule.Unasked, `request ${arrival.id} at ${replica}: no client has sent it`, undefined);
            return () => {};
        }
        record.isPassedOn = true;
        return () => this.recordRun(record, arrival, response, replica);
    }

    private recordRun(record: RequestRecord, arrival: ReplicaArrival, response: ServerResponse, replica: string): void {
        const { request, runs } = record;
        const run: Run = { replica, at: systemClock.now(), endedAt: undefined, isFinished: false };
        runs.push(run);
        response.once("close", () => {
            run.endedAt = systemClock.now();
            run.isFinished = response.writableFinished;
        });
        const isChanged = arrival.target !== request.target || arrival.method !== request.method
            || arrival.body !== request.body.toString("latin1") || arrival.headers["dandelionramp-tenant"] !== "north";
        if (isChanged || refusalOf(request) !== undefined) {
            this.reportRequest(Rule.Unasked, record, "it has run changed, or in spite of its key or size");
        }
        if (runs.length > 1 && !isRepeatable(request)) {
            this.reportRequest(Rule.Twice, record, "it has run again");
        }
        if (record.outcome?.type === "Whole" && promisingStatuses.has(record.outcome.status)) {
            this.reportRequest(Rule.Refused, record, "it runs after its refusal");
        }
    }

    /** Records the end of a request at its client, and judges it once no more of it is on its way. */
    recordEnd(record: RequestRecord, outcome: Outcome): void {
        record.outcome = outcome;
        record.endedAt = systemClock.now();
        const judge = async (): Promise<void> => {
            await systemClock.sleep(judgeDelay);
            this.judge(record, outcome);
            // What is left says whether the request runs later.
            record.outcome = outcome.type === "Whole" ? { ...outcome, body: Buffer.alloc(0) } : outcome;
        };
        this.pendingJudgements.push(judge());
    }

    /** Checks the memory of a process against its limit. */
    checkMemory(life: EntryLife): void {
        const pages = Number(readFileSync(`/proc/${life.pid}/statm`, "utf8").split(" ")[1]);
        const megabytes = pages * pageBytes / bytesPerMegabyte;
        life.peakMegabytes = Math.max(life.peakMegabytes, megabytes);
        if (megabytes > this.limits.memoryMegabytes) {
            this.report(Rule.Memory, `${life.name} uses ${megabytes.toFixed(0)} MB`, life);
        }
    }

    /** Resolves when all requests that have ended are judged. */
    async settle(): Promise<void> {
        await Promise.all(this.pendingJudgements);
        clearInterval(this.pauseTimer);
        const served = this.counts.get("answered 200") ?? 0;
        if (served < minimumServedShare * this.records.size) {
            this.report(Rule.Unserved, `${served} of ${this.records.size} requests are served`, undefined);
        }
    }

    /** Share of the time so far in which this process stood still; what it sees then comes late. */
    get pausedShare(): number {
        const now = systemClock.now();
        return this.pausedTime(this.startedAt, now) / (now - this.startedAt);
    }

    /** Whether the client, which reads slowly, had too little time for what the entry may long have sent. */
    private hasClientStoodStill({ request, sentAt }: RequestRecord): boolean {
        const now = systemClock.now();
        return request.readPause > 0 && this.pausedTime(sentAt, now) > maximumPausedShare * (now - sentAt);
    }

    private judge(record: RequestRecord, outcome: Outcome): void {
        switch (outcome.type) {
            case "Whole":
                this.count(`answered ${outcome.status}`);
                this.judgeWhole(record, outcome);
                return;
            case "Cut":
                this.count("cut");
                this.judgeCut(record, outcome.reason);
                if (!isPrefix(record.request, outcome.body) && outcome.status === 200) {
                    this.reportRequest(Rule.Mixed, record, "the part of the answer isn't the replica's");
                }
                return;
            case "Unanswered":
                this.count("unanswered");
                this.judgeCut(record, outcome.reason);
                return;
            case "NotConnected":
                this.count("not connected");
                return;
            case "GivenUp":
                if (this.hasClientStoodStill(record)) {
                    this.count("given up by a client that stood still");
                    return;
                }
                this.reportRequest(Rule.Held, record, "it hasn't ended long after its deadline");
        }
    }

    private judgeWhole(record: RequestRecord, outcome: Outcome & { type: "Whole"; }): void {
        const { request, runs } = record;
        const { status, body, answeredId, isSigned } = outcome;
        const refusal = refusalOf(request);
        if (answeredId !== undefined && answeredId !== request.id) {
            this.reportRequest(Rule.Mixed, record, `the answer is that to ${answeredId}`);
        }
        if (status >= 200 && status < 300 && (!isSigned || !isWhole(request, body))) {
            const rule = request.answer.events > 0 && isPrefix(request, body) ? Rule.Order : Rule.Mixed;
            this.reportRequest(rule, record, `the answer looks whole and isn't: ${body.length} bytes`);
        }
        if (promisingStatuses.has(status) && runs.length > 0 && !isRepeatable(request)) {
            this.reportRequest(Rule.Refused, record, `it is refused with ${status} and has run`);
        }
        const isDenied = status >= 300 && status < 500 && !promisingStatuses.has(status) && status !== refusal;
        if (isDenied) {
            this.reportRequest(Rule.Denied, record, `the answer is ${status}`);
        }
        if (status >= 500 && status !== 503 && !isSigned) {
            this.judgeFailure(record, status);
        }
    }

    private judgeFailure(record: RequestRecord, status: number): void {
        const endedAt = record.endedAt!;
        const wasAnswered = record.runs.some(run => run.isFinished && run.endedAt! <= endedAt);
        const isExcused = endedAt - record.sentAt >= 0.95 * this.shortestTimeout
            || this.disruptions.some(span => overlaps(span, record.sentAt, endedAt))
            || this.isAtWorkAtEndOfStop(record, endedAt);
        if (wasAnswered && !isExcused) {
            this.reportRequest(Rule.Replaced, record, `the answer is ${status}, and a replica had answered`);
        }
    }

    private judgeCut(record: RequestRecord, reason: string): void {
        const { request, life, isPassedOn, sentAt, lastByteAt } = record;
        const endedAt = record.endedAt!;
        if (refusalOf(request) !== undefined) {
            // Such a request is never read whole; its client gets no answer if the close becomes a reset.
            this.count(`refusals cut by a reset, ${request.kind}`);
            return;
        }
        if (endedAt - sentAt >= 0.95 * this.shortestTimeout) {
            this.count("cut at the timeout");
            return;
        }
        const silence = lastByteAt === undefined ? 0 : endedAt - lastByteAt - this.pausedTime(lastByteAt, endedAt);
        if (!isPassedOn && silence <= lossSlack) {
            this.count(lastByteAt === undefined ? "cut while the body is sent" : "crossed the close");
            return;
        }
        const hasEnded = life === undefined || life.end !== undefined;
        if (!isPassedOn && hasEnded && !life?.process.output.includes(request.id)) {
            // What a process hasn't named in its log may have waited for it in the operating system when it ended.
            this.count("closed without being read");
            return;
        }
        if (this.disruptions.some(span => overlaps(span, sentAt, endedAt))) {
            this.count("cut beside a disruption");
            return;
        }
        if (this.isAtWorkAtEndOfStop(record, endedAt)) {
            this.count("at work at the end of the grace period");
            return;
        }
        this.reportRequest(Rule.Lost, record, `${isPassedOn ? "passed on" : "read"}, no whole answer: ${reason}`);
    }

    /** Whether the replica was still at work in the last sixth of the grace period, on a request sent early in the stop. */
    private isAtWorkAtEndOfStop({ life, runs, sentAt }: RequestRecord, endedAt: Milliseconds): boolean {
        const stoppedAt = life?.stoppedAt;
        // While this process stands still, so do the replicas; the request counts as sent earlier by as much.
        const countedFrom = sentAt - this.pausedTime(sentAt, endedAt);
        if (stoppedAt === undefined || countedFrom > stoppedAt + sentBeforeStopEnds) {
            return false;
        }
        const lastSixth = stoppedAt + this.limits.graceSeconds * 1_000 * 5 / 6;
        const isAtWork = runs.some(({ endedAt: runEnd }) => runEnd === undefined || runEnd > lastSixth);
        return endedAt >= lastSixth && isAtWork;
    }

    /** For how long this process, which shares the machine with what it checks, has stood still. */
    private pausedTime(from: Milliseconds, to: Milliseconds): Milliseconds {
        return this.pauses.filter(span => overlaps(span, from, to))
            .reduce((sum, span) => sum + Math.min(to, span.to) - Math.max(from, span.from), 0);
    }

    private reportRequest(rule: Rule, record: RequestRecord, detail: string): void {
        const { request, life, runs } = record;
        const time = (at: Milliseconds | undefined) =>
            at === undefined ? "-" : ((at - this.startedAt) / 1_000).toFixed(3);
        const runTexts = runs.map(({ replica, at, endedAt, isFinished }) =>
            `${replica} ${time(at)} to ${time(endedAt)} ${isFinished ? "finished" : "not finished"}`
        );
        const text = `${request.kind} ${request.id}: ${detail}; sent ${time(record.sentAt)}, last byte ${
            time(record.lastByteAt)
        }, end ${time(record.endedAt)}, ${record.isOnKeptConnection ? "kept" : "new"} connection, checker still for ${
            this.pausedTime(record.sentAt, record.endedAt ?? systemClock.now()).toFixed(0)
        } ms; runs: ${runTexts.join(", ") || "none"}`;
        this.report(rule, text, life);
    }
}

const parseEvents = (body: Buffer): string[] => body.toString("utf8").split("\n\n").slice(0, -1);

const eventPattern = /^id: (\d+)\ndata: m-\d+ (\d+)$/;

const hasEventsInOrder = (body: Buffer): boolean =>
    parseEvents(body).every((text, index) => {
        const [, id, event] = eventPattern.exec(text) ?? [];
        return Number(id) === index + 1 && id === event;
    });

const isPrefix = (request: SoakRequest, body: Buffer): boolean =>
    request.answer.events > 0
        ? hasEventsInOrder(body)
        : body.length <= request.answer.bytes && body.equals(bytesNaming(request.id, body.length));

const isWhole = (request: SoakRequest, body: Buffer): boolean =>
    isPrefix(request, body)
    && (request.answer.events > 0
        ? parseEvents(body).length === request.answer.events
        : body.length === request.answer.bytes);
