/** Requests as the lines of all entries tell of them. */
import { FailureKind } from "../core/failures.js";
import type { Milliseconds } from "../utils/clock.js";

/** A line of an entry's log. */
export interface LogLine {
    time: Milliseconds;
    entry: string;
    /** With the prefix of its part. */
    message: string;
    fields: Record<string, unknown>;
}

/** One send, and what an entry believed then. */
export interface SendStory {
    time: Milliseconds;
    endpoint: string;
    helpers: readonly string[];
    /** Predicted time to the first event; of it, waits for a slot and behind what is read before. */
    predicted: Milliseconds;
    slotWait: Milliseconds;
    readWait: Milliseconds;
}

/** How a request ended. */
export enum StoryEnd {
    Streamed = "streamed",
    Answered = "answered",
    Failed = "failed",
    CallerLeft = "callerLeft",
    Cut = "cut",
    /** No line tells of its end: its entry ended before. */
    Open = "open",
}

/** One request. */
export interface RequestStory {
    id: string;
    entry: string;
    arrivedAt: Milliseconds;
    promptTokens: number | undefined;
    target: Milliseconds | undefined;
    targetGap: Milliseconds | undefined;
    sends: SendStory[];
    postponed: boolean;
    lackedMemory: boolean;
    end: StoryEnd;
    endedAt: Milliseconds;
    /** Of a stream, and of a plain answer. */
    firstEvent: Milliseconds | undefined;
    longestPause: Milliseconds;
    /** Kind and reason of a failure. */
    failure: string | undefined;
    reason: string | undefined;
}

const numberOf = (value: unknown): number | undefined => typeof value === "number" ? value : undefined;
const textOf = (value: unknown): string | undefined => typeof value === "string" ? value : undefined;

/** Requests that were turned away for what the caller sent; nobody owes them an answer. */
const callersOwnFaults = new Set<string>([
    FailureKind.UnknownRoute,
    FailureKind.UnknownCustomer,
    FailureKind.BadRequest,
    FailureKind.BodyTooLarge,
]);

/** The requests that `lines` tell of, in the order of their arrival. */
export const storiesOf = (lines: readonly LogLine[]): RequestStory[] => {
    const stories = new Map<string, RequestStory>();
    for (const line of lines) {
        const id = textOf(line.fields.requestId);
        if (id === undefined || !line.message.startsWith("request: ")) {
            continue;
        }
        let story = stories.get(id);
        if (!story) {
            story = newStory(id, line);
            stories.set(id, story);
        }
        tell(story, line);
    }
    return [...stories.values()].filter(({ failure }) => failure === undefined || !callersOwnFaults.has(failure))
        .sort((left, right) => left.arrivedAt - right.arrivedAt);
};

const newStory = (id: string, { time, entry, fields }: LogLine): RequestStory => ({
    id,
    entry,
    arrivedAt: time - (numberOf(fields.elapsed) ?? 0),
    promptTokens: undefined,
    target: undefined,
    targetGap: undefined,
    sends: [],
    postponed: false,
    lackedMemory: false,
    end: StoryEnd.Open,
    endedAt: time,
    firstEvent: undefined,
    longestPause: 0,
    failure: undefined,
    reason: undefined,
});

const tell = (story: RequestStory, { time, message, fields }: LogLine): void => {
    story.promptTokens ??= numberOf(fields.promptTokens);
    switch (message) {
        case "request: Sent.":
            story.target ??= numberOf(fields.target);
            story.targetGap ??= numberOf(fields.targetGap);
            story.sends.push({
                time,
                endpoint: textOf(fields.endpoint) ?? "",
                helpers: (fields.helpers as string[] | undefined) ?? [],
                predicted: numberOf(fields.predicted) ?? 0,
                slotWait: numberOf(fields.slotWait) ?? 0,
                readWait: numberOf(fields.readWait) ?? 0,
            });
            return;
        case "request: Postponed.":
            story.postponed = true;
            return;
        case "request: Memory can't be set aside.":
            story.lackedMemory = true;
            return;
        case "request: Streamed.":
            end(story, StoryEnd.Streamed, time);
            story.firstEvent = numberOf(fields.firstEventAfter);
            story.longestPause = numberOf(fields.longestPause) ?? 0;
            return;
        case "request: Answered.":
            end(story, StoryEnd.Answered, time);
            story.firstEvent = numberOf(fields.elapsed);
            return;
        case "request: The caller has left.":
            end(story, StoryEnd.CallerLeft, time);
            return;
        case "request: A stream was cut.":
            end(story, StoryEnd.Cut, time);
            story.reason = textOf(fields.reason);
            return;
        case "request: A request failed.":
            end(story, StoryEnd.Failed, time);
            story.failure = textOf(fields.kind);
            story.reason = textOf(fields.reason);
            return;
    }
};

const end = (story: RequestStory, how: StoryEnd, time: Milliseconds): void => {
    story.end = how;
    story.endedAt = time;
};
