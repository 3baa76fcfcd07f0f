/** The requests of a soak. Each one says in its query how a replica answers it, and its answer is known beforehand. */
import type { Milliseconds } from "../../src/utils/clock.js";
import { randomIdentifier } from "../../src/utils/random.js";
import { callerKey } from "../forwarding/support/site.js";
import type { Draw } from "./plan.js";

/** Kinds of requests, by what is peculiar to them. */
export enum RequestKind {
    Lookup = "lookup",
    /** Lasts, and may run once. */
    Booking = "booking",
    /** An answer of megabytes that the client reads slowly. */
    SlowReader = "slowReader",
    PausingAnswer = "pausingAnswer",
    /** The answer has no length and ends with the connection of the replica. */
    UnframedAnswer = "unframedAnswer",
    ResumableStream = "resumableStream",
    /** A stream that may run once. */
    Stream = "stream",
    Upload = "upload",
    UnknownKey = "unknownKey",
    TooLargeBody = "tooLargeBody",
}

/** How a replica answers. Durations in milliseconds. */
export interface AnswerPlan {
    /** Work before the answer begins. */
    work: Milliseconds;
    bytes: number;
    /** Pause in the middle of the answer. */
    pause: Milliseconds;
    /** Events of a stream, which its engine paces; 0 for other answers. */
    events: number;
    isFramed: boolean;
}

/** A request of a client. */
export interface SoakRequest {
    id: string;
    kind: RequestKind;
    method: string;
    target: string;
    key: string;
    body: Buffer;
    /** Whether the body is sent in chunks instead of with a length. */
    isChunked: boolean;
    /** Pause after each block of the body that is sent, and of the answer that is read. */
    sendPause: Milliseconds;
    readPause: Milliseconds;
    answer: AnswerPlan;
}

/** Largest body that the configurations allow. */
export const maximumBodyBytes = 6_000_000;
/** Tokens of a stream that come in one event. */
export const tokensPerEvent = 4;
const largeAnswerBytes = 4_000_000;
const longestWork: Milliseconds = 2_500;

/** Kinds by how often they are drawn. */
const kindWeights: readonly [RequestKind, number][] = [
    [RequestKind.Lookup, 30],
    [RequestKind.Booking, 25],
    [RequestKind.SlowReader, 8],
    [RequestKind.PausingAnswer, 8],
    [RequestKind.UnframedAnswer, 7],
    [RequestKind.ResumableStream, 5],
    [RequestKind.Stream, 5],
    [RequestKind.Upload, 6],
    [RequestKind.UnknownKey, 3],
    [RequestKind.TooLargeBody, 3],
];
const weightedKinds = kindWeights.flatMap(([kind, weight]) => Array.from({ length: weight }, () => kind));

const pathByKind: Partial<Record<RequestKind, readonly string[]>> = {
    [RequestKind.Booking]: ["/places/"],
    [RequestKind.ResumableStream]: ["/replies/"],
    [RequestKind.Stream]: ["/once/"],
};
const otherPaths = ["/lookups/", "/places/"];

/** Kinds that an entry refuses before it has read them. */
const refusalByKind = new Map([[RequestKind.UnknownKey, 401], [RequestKind.TooLargeBody, 413]]);
/** Kinds that may run more than once. */
const repeatableStart = /^\/(lookups|replies)\//;

/** Status of the refusal that a request must get; undefined for one that is to be served. */
export const refusalOf = ({ kind }: SoakRequest): number | undefined => refusalByKind.get(kind);

/** Whether a request may run more than once. */
export const isRepeatable = ({ target }: SoakRequest): boolean => repeatableStart.test(target);

/** The body of an answer, or a part of a request's body: it names the request throughout. */
export const bytesNaming = (id: string, bytes: number): Buffer => Buffer.alloc(bytes, `${id}|`);

const plain: AnswerPlan = { work: 0, bytes: 100, pause: 0, events: 0, isFramed: true };

const drawAnswer = (draw: Draw, kind: RequestKind): AnswerPlan => {
    const bytes = Math.round(draw.duration(100_000));
    const work = draw.between(0, 100);
    switch (kind) {
        case RequestKind.Lookup:
            return { ...plain, work: draw.between(0, 40), bytes };
        case RequestKind.Booking:
            return { ...plain, work: draw.between(50, longestWork), bytes };
        case RequestKind.SlowReader:
            return { ...plain, work, bytes: largeAnswerBytes, isFramed: draw.chance(0.7) };
        case RequestKind.PausingAnswer:
            return { ...plain, work, bytes, pause: draw.between(100, 1_500) };
        case RequestKind.UnframedAnswer:
            return { ...plain, work, bytes, pause: draw.chance(0.5) ? 0 : draw.between(10, 1_000), isFramed: false };
        case RequestKind.ResumableStream:
        case RequestKind.Stream:
            return { ...plain, events: draw.count(1, 20) };
        case RequestKind.Upload:
            return { ...plain, work: draw.between(0, 500), bytes };
        case RequestKind.UnknownKey:
        case RequestKind.TooLargeBody:
            return plain;
    }
};

const drawBodyBytes = (draw: Draw, kind: RequestKind): number => {
    switch (kind) {
        case RequestKind.Upload:
        case RequestKind.UnknownKey:
            return draw.count(100_000, 3_000_000);
        case RequestKind.TooLargeBody:
            return maximumBodyBytes + draw.count(1, 1_000_000);
        case RequestKind.Lookup:
        case RequestKind.Booking:
        case RequestKind.SlowReader:
        case RequestKind.PausingAnswer:
        case RequestKind.UnframedAnswer:
        case RequestKind.ResumableStream:
        case RequestKind.Stream:
            return draw.chance(0.5) ? 0 : draw.count(1, 2_000);
    }
};

/** Draws a request with an identifier of its own. */
export const drawRequest = (draw: Draw): SoakRequest => {
    const kind = draw.pick(weightedKinds);
    const id = randomIdentifier(draw.random);
    const answer = drawAnswer(draw, kind);
    const { work, bytes, pause, events, isFramed } = answer;
    const query = new URLSearchParams({
        work: work.toFixed(0),
        bytes: String(bytes),
        pause: pause.toFixed(0),
        events: String(events),
        framed: String(isFramed),
    });
    const body = bytesNaming(id, drawBodyBytes(draw, kind));
    return {
        id,
        kind,
        method: "POST",
        target: `${draw.pick(pathByKind[kind] ?? otherPaths)}${id}?${query.toString()}`,
        key: kind === RequestKind.UnknownKey ? "key-of-nobody" : callerKey,
        body,
        isChunked: draw.chance(0.3),
        sendPause: draw.chance(0.5) ? 0 : draw.between(1, 30),
        readPause: kind === RequestKind.SlowReader ? draw.between(5, 35) : 0,
        answer,
    };
};

/** Reads the answer that a request asks for from its target. */
export const readAnswerPlan = (target: string): AnswerPlan => {
    const query = new URL(target, "http://localhost").searchParams;
    const value = (name: string) => Number(query.get(name));
    return {
        work: value("work"),
        bytes: value("bytes"),
        pause: value("pause"),
        events: value("events"),
        isFramed: query.get("framed") === "true",
    };
};
