/** Why a request was late or had no answer, as far as the entries' lines tell. */
import { match } from "ts-pattern";
import { FailureKind } from "../core/failures.js";
import type { Milliseconds } from "../utils/clock.js";
import { type RequestStory, type SendStory, StoryEnd } from "./stories.js";

/** What a request lost by. */
export enum LossReason {
    Slot = "waited for a slot",
    Reads = "waited behind reads",
    OwnRead = "took long to read",
    UnforeseenReads = "waited behind reads that weren't foreseen",
    Unforeseen = "later than predicted, for no reason in the lines",
    Memory = "waited for memory",
    Postponed = "postponed for what was worth more",
    Lost = "its endpoint was lost, refused it or fell silent",
    Pause = "a pause too long",
    PauseAfterLoss = "a pause when its endpoint was lost",
    Refused = "refused: too much to do",
    NoEndpoint = "refused: no endpoint",
    Stopping = "refused: its entry was stopping",
    NotReady = "refused: its entry had just started",
    TimeOver = "its time was over",
    CallerLeft = "its caller left",
    Broken = "an endpoint broke off, and it may run once only",
    EntryEnded = "its entry ended",
}

/** A request that lost something. */
export interface Loss {
    story: RequestStory;
    reason: LossReason;
    /** Whether it was answered, though late. */
    late: boolean;
}

/** Between a caller and its entry; what an entry measures is shorter by this much. */
const callersWay: Milliseconds = 6;
/** A prompt of so many times the length is a long read to another one. */
const longReadFactor = 3;

/** What all requests of the stories lost by, those in time left out. */
export const lossesOf = (stories: readonly RequestStory[]): Loss[] => {
    const reads = readsOf(stories);
    const losses: Loss[] = [];
    for (const story of stories) {
        const reason = reasonOf(story, reads);
        if (reason !== undefined) {
            const late = story.end === StoryEnd.Streamed || story.end === StoryEnd.Answered;
            losses.push({ story, reason, late });
        }
    }
    return losses;
};

const reasonOf = (story: RequestStory, reads: Reads): LossReason | undefined => {
    switch (story.end) {
        case StoryEnd.Streamed:
        case StoryEnd.Answered:
            return reasonOfLateness(story, reads);
        case StoryEnd.Failed:
            return reasonOfFailure(story);
        case StoryEnd.CallerLeft:
            return LossReason.CallerLeft;
        case StoryEnd.Cut:
            return story.reason === "the caller has left" ? LossReason.CallerLeft : LossReason.Lost;
        case StoryEnd.Open:
            return LossReason.EntryEnded;
    }
};

const reasonOfLateness = (story: RequestStory, reads: Reads): LossReason | undefined => {
    const { target = Infinity, targetGap = Infinity, firstEvent = 0, longestPause, sends } = story;
    if (firstEvent > target - callersWay) {
        return reasonOfFirstEvent(story, target, reads);
    }
    if (longestPause > targetGap) {
        return sends.length > 1 ? LossReason.PauseAfterLoss : LossReason.Pause;
    }
    return undefined;
};

const reasonOfFirstEvent = (story: RequestStory, target: Milliseconds, reads: Reads): LossReason => {
    const { sends, lackedMemory, postponed } = story;
    const [send] = sends;
    if (lackedMemory) {
        return LossReason.Memory;
    }
    if (sends.length > 1 || !send) {
        return LossReason.Lost;
    }
    if (postponed) {
        return LossReason.Postponed;
    }
    if (send.time - story.arrivedAt + send.predicted <= target) {
        return behindReads(story, send, reads) ? LossReason.UnforeseenReads : LossReason.Unforeseen;
    }
    const { slotWait, readWait, predicted } = send;
    const own = predicted - slotWait - readWait;
    if (slotWait >= readWait && slotWait >= own) {
        return LossReason.Slot;
    }
    return readWait >= own ? LossReason.Reads : LossReason.OwnRead;
};

const reasonOfFailure = ({ failure, reason, sends }: RequestStory): LossReason =>
    match(failure)
        .with(FailureKind.NoEndpoint, () => LossReason.NoEndpoint)
        .with(FailureKind.Stopping, () => LossReason.Stopping)
        .with(FailureKind.NotConfigured, () => LossReason.NotReady)
        .with(FailureKind.DeadlineExceeded, () =>
            reason === "the caller has left" ? LossReason.CallerLeft : LossReason.TimeOver)
        .with(FailureKind.Overloaded, () =>
            sends.length > 0 ? LossReason.Lost : LossReason.Refused)
        .otherwise(() => LossReason.Broken);

/** Sends by the endpoints that read for them. */
type Reads = ReadonlyMap<string, readonly { story: RequestStory; send: SendStory; until: Milliseconds; }[]>;

const readsOf = (stories: readonly RequestStory[]): Reads => {
    const reads = new Map<string, { story: RequestStory; send: SendStory; until: Milliseconds; }[]>();
    for (const story of stories) {
        for (const [index, send] of story.sends.entries()) {
            const next = story.sends[index + 1]?.time ?? story.endedAt;
            const read = { story, send, until: story.firstEvent ? story.arrivedAt + story.firstEvent : next };
            for (const endpoint of [send.endpoint, ...send.helpers]) {
                reads.set(endpoint, [...reads.get(endpoint) ?? [], read]);
            }
        }
    }
    return reads;
};

/** Whether a much longer prompt was read at the same endpoint while the request waited for its first event. */
const behindReads = (story: RequestStory, send: SendStory, reads: Reads): boolean => {
    const { firstEvent = 0, arrivedAt, promptTokens = 0 } = story;
    return (reads.get(send.endpoint) ?? []).some(other =>
        other.story !== story
        && (other.story.promptTokens ?? 0) > longReadFactor * promptTokens
        && other.send.time < arrivedAt + firstEvent
        && other.until > send.time
    );
};
