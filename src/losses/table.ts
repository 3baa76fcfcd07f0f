/** Losses added up by reason and by time, for people. */
import type { Milliseconds } from "../utils/clock.js";
import { type Loss, lossesOf, LossReason } from "./reasons.js";
import type { RequestStory } from "./stories.js";

/** What is lost of a request's value when it is late but answered; customers rate a late answer at a quarter. */
const lateLoss = 0.75;
/** Prompt tokens that are worth as much as the request itself. */
const tokensOfValue = 10_000;
/** Reasons named for each span of time. */
const reasonsNamed = 3;
const perCent = 100;

/** One reason. */
export interface ReasonRow {
    reason: LossReason;
    requests: number;
    /** Part of the value of all requests. */
    share: number;
}

/** One span of time. */
export interface SpanRow {
    from: Milliseconds;
    /** Part of the value of the span's requests that was lost, and the reasons that took most. */
    share: number;
    reasons: ReasonRow[];
}

/** The whole table. */
export interface LossTable {
    requests: number;
    reasons: ReasonRow[];
    spans: SpanRow[];
}

const valueOf = ({ promptTokens = 0 }: RequestStory): number => 1 + promptTokens / tokensOfValue;
const lostBy = ({ story, late }: Loss): number => valueOf(story) * (late ? lateLoss : 1);
const sum = <Item>(items: readonly Item[], value: (item: Item) => number): number =>
    items.reduce((total, item) => total + value(item), 0);

/** The losses of all stories, in spans of `span` milliseconds. */
export const lossTable = (stories: readonly RequestStory[], span: Milliseconds): LossTable => {
    const losses = lossesOf(stories);
    const spanOf = ({ arrivedAt }: RequestStory) => Math.floor(arrivedAt / span) * span;
    const spans = [...new Set(stories.map(spanOf))].sort((left, right) => left - right).map(from => {
        const value = sum(stories.filter(story => spanOf(story) === from), valueOf);
        const lost = losses.filter(({ story }) => spanOf(story) === from);
        const reasons = rowsOf(lost, value);
        return { from, share: sum(reasons, ({ share }) => share), reasons: reasons.slice(0, reasonsNamed) };
    });
    return { requests: stories.length, reasons: rowsOf(losses, sum(stories, valueOf)), spans };
};

const rowsOf = (losses: readonly Loss[], value: number): ReasonRow[] =>
    Object.values(LossReason).map(reason => {
        const own = losses.filter(loss => loss.reason === reason);
        return { reason, requests: own.length, share: sum(own, lostBy) / Math.max(value, Number.MIN_VALUE) };
    }).filter(({ requests }) => requests > 0).sort((left, right) => right.share - left.share);

/** The table as text: parts in hundredths, times in seconds. */
export const lossText = ({ requests, reasons, spans }: LossTable): string => {
    const part = (share: number) => (share * perCent).toFixed(1).padStart(5);
    const lines = [
        `${requests} requests, ${part(sum(reasons, ({ share }) => share)).trim()}% of their value lost`,
        ...reasons.map(({ reason, requests: count, share }) =>
            `${part(share)}% ${String(count).padStart(5)} ${reason}`
        ),
        "from second: part lost, and what took most",
        ...spans.map(({ from, share, reasons: most }) => {
            const named = most.map(row => `${row.reason} ${part(row.share).trim()}%`).join(", ");
            return `${(from / 1_000).toFixed(0).padStart(6)}: ${part(share)}% ${named}`;
        }),
    ];
    return lines.join("\n");
};
