/**
 * Schedules an entry's polls of the store, the timeouts of its watches and its retries.
 *
 * A call that was open when the store or a connection became unresponsive never gets a response, and common causes start the
 * calls of all entries at the same time: a change, a restart, the end of an outage. No entry may therefore rely on the other
 * entries' calls ending at other times than its own. Entries publish when the store last responded to them; once that is too
 * long ago, one entry after the other polls the store with a new call, whatever calls it has open.
 */
import type { Milliseconds } from "../../utils/clock.js";
import type { Random } from "../../utils/random.js";

/** Maximum time between the store's responses to any entry. The first-ranked entry ends its watches after this time. */
const pollInterval: Milliseconds = 1_500;
/** Delay between the polls of consecutive ranks: the store's response to the first entry and its way to the second. */
const pollRankGap: Milliseconds = 250;
/** Timeout of the other entries' watches, which usually end with a change. */
const longWatchTimeout: Milliseconds = 20_000;
/** Delay after the first failed call. Short, since changes remain due in time while the store rejects an entry. */
const minimumRetryDelay: Milliseconds = 50;
/** Maximum delay between the failed calls of a single entry; it prolongs the recovery from an outage by at most this time. */
const maximumRetryDelay: Milliseconds = 400;
/** Interval between the calls of all entries without store access together. */
const sharedRetryInterval: Milliseconds = 250;
/** Maximum retry delay of each entry, regardless of the number of entries without store access. */
const maximumSharedRetryDelay: Milliseconds = 10_000;

/** Age of the store's last response to any entry at which the entry with `pollRank` polls the store. */
export const pollDelay = (pollRank: number): Milliseconds => pollInterval + (pollRank + 1) * pollRankGap;

/** How long a watch of the entry with `pollRank` waits for a change. */
export const watchTimeout = (pollRank: number): Milliseconds => pollRank === 0 ? pollInterval : longWatchTimeout;

/** Delay with jitter after consecutive failures, scaled by the number of other entries without store access. */
export const retryDelay = (failureCount: number, peersWithoutStoreCount: number, random: Random): Milliseconds => {
    const ownDelay = Math.min(maximumRetryDelay, minimumRetryDelay * 2 ** Math.min(failureCount, 8));
    const sharedDelay = Math.min(maximumSharedRetryDelay, sharedRetryInterval * (peersWithoutStoreCount + 1));
    const maximumDelay = peersWithoutStoreCount === 0 ? ownDelay : Math.max(ownDelay, sharedDelay);
    return maximumDelay / 2 + random.next() * maximumDelay / 2;
};
