/**
 * Converts load updates to and from the messages between entries. The messages carry the end of work as its remaining time,
 * since the clocks of entries differ.
 */
import type { PeerUpdate } from "../../ports/peerChannelPort.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { PlacedWork } from "../placement/engineEstimate.js";
import type { LoadUpdate } from "../placement/sharedLoadEstimator.js";

/** Serializes an update on this entry's work. */
export const serializeLoadUpdate = (update: LoadUpdate, now: Milliseconds): PeerUpdate => {
    switch (update.type) {
        case "Placed":
            return serializePlacement(update.works, now);
        case "Writing":
            return update;
        case "Ended":
            return { ...update, endpoints: [...update.endpoints] };
    }
};

const serializePlacement = (works: readonly PlacedWork[], now: Milliseconds): PeerUpdate => {
    const { id, owner, readTokens, readTime, targetGap, value, yielding, firstEventIn, customer, endsBy } = works[0]!;
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
            customer,
            endsIn: Math.round(endsBy - now),
        },
        parts: works.map(work => [work.endpoint, work.part, work.contextTokens]),
    };
};

/** Deserializes another entry's placement, with times on this entry's clock. */
export const deserializePlacement = (
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
