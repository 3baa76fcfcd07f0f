/** Counts retries of a request that reach endpoints although it is known that it crashes them. */
import type { ReplayResult } from "../../../src/replay/replay.js";
import type { Milliseconds } from "../../../src/utils/clock.js";

/** Time after the third crash in which the entries may not know of it yet. */
const learningDuration: Milliseconds = 3_000;
export const crashesUntilKnown = 3;
/** Retries that may reach endpoints later, over all entries together. */
export const toleratedRetries = 3;

const requestNameOf = (requestId: string): string => requestId.split("-")[0]!;

/** Requests of the name `name` that reached endpoints although three endpoints had crashed under it long before. */
export const lateRetries = ({ crashes, arrivals }: ReplayResult, name: string): string[] => {
    const own = crashes.filter(({ requestId }) => requestNameOf(requestId) === name);
    const knownAt = (own[crashesUntilKnown - 1]?.at ?? Infinity) + learningDuration;
    const late = arrivals.filter(({ requestId, at }) => requestNameOf(requestId) === name && at > knownAt);
    return [...new Set(late.map(({ requestId }) => requestId))];
};
