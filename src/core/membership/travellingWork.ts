/** Placed work as entries tell it to one another: times as what is left of them, as clocks differ. */
import type { PeerUpdate } from "../../ports/peerChannelPort.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { PlacedWork } from "../placement/engineEstimate.js";
import type { LoadUpdate } from "../placement/sharedLoadEstimator.js";

/** The news of this entry's work as others are told it. */
export const travellingNews = (news: LoadUpdate, now: Milliseconds): PeerUpdate => {
    switch (news.type) {
        case "Placed":
            return travelling(news.works, now);
        case "Writing":
            return news;
        case "Ended":
            return { ...news, endpoints: [...news.endpoints] };
    }
};

const travelling = (works: readonly PlacedWork[], now: Milliseconds): PeerUpdate => {
    const { id, owner, readTokens, readTime, targetGap, value, yielding, firstEventIn, endsBy } = works[0]!;
    return {
        type: "Placed",
        work: {
            id,
            owner,
            readTokens: Math.round(readTokens),
            readTime: Math.round(readTime),
            targetGap,
            value,
            yielding,
            firstEventIn: firstEventIn === undefined ? undefined : Math.round(firstEventIn),
            endsIn: Math.round(endsBy - now),
        },
        parts: works.map(work => [work.endpoint, work.part, work.contextTokens]),
    };
};

/** The work that another entry told of, on this entry's clock. */
export const placedWorks = (
    { work: { endsIn, ...work }, parts }: Extract<PeerUpdate, { type: "Placed"; }>,
    now: Milliseconds,
): PlacedWork[] =>
    parts.map(([endpoint, part, contextTokens]) => ({
        ...work,
        endpoint,
        part,
        contextTokens,
        endsBy: now + endsIn,
    }));
