/** Decides, by the bytes that are buffered, which new requests are rejected and which requests are ended. Pure. */
import type { Milliseconds } from "../../utils/clock.js";
import type { HeldRequest } from "./heldBytes.js";

/**
 * Fraction of the memory above the process's own use that may be buffered. The rest is for objects around the buffers, for
 * garbage that is not collected yet, and for growth of the process itself.
 */
const boundFraction = 0.25;
/** New requests are rejected at this fraction of the bound, so that requests in progress can still grow. */
const rejectionFraction = 0.8;
/** Bound of an instance whose memory hardly exceeds the process's own use: a few of the largest bodies. */
const minimumBoundBytes = 4 * 1024 * 1024;
/**
 * A peer that has read nothing for this long may lose its response to a new request. A connection that is merely slow frees
 * some of its buffer several times a second.
 */
const stallTimeout: Milliseconds = 200;

/** Computes how many bytes may be buffered. */
export const boundOf = (memoryBytes: number, ownBytes: number): number =>
    Math.max(minimumBoundBytes, (memoryBytes - ownBytes) * boundFraction);

/** Whether a new request with a body of `bodyBytes` exceeds what is left for new requests. */
export const exceedsAdmission = (heldBytes: number, bodyBytes: number, boundBytes: number): boolean =>
    heldBytes + bodyBytes >= boundBytes * rejectionFraction;

/** Whether requests in progress must be ended. */
export const exceedsBound = (heldBytes: number, boundBytes: number): boolean => heldBytes >= boundBytes;

/**
 * Chooses the request to end at the bound: the one with the most unread bytes for the longest time. If no bytes are unread, it
 * is the one that has buffered the most for the longest time.
 */
export const chooseAtBound = (requests: Iterable<HeldRequest>, now: Milliseconds): HeldRequest | undefined => {
    const all = [...requests];
    return findHighest(all, request => unreadScore(request, now))
        ?? findHighest(all, ({ total, openedAt }) => total * (1 + now - openedAt));
};

/** Chooses the request to end for a new request, among those whose peer has read nothing for {@link stallTimeout}. */
export const chooseStalled = (requests: Iterable<HeldRequest>, now: Milliseconds): HeldRequest | undefined =>
    findHighest(
        requests,
        request => now - request.progressAt >= stallTimeout ? unreadScore(request, now) : 0,
    );

/** Unread bytes times the duration for which there have been some; a duration of 0 counts as 1 ms. */
const unreadScore = ({ waiting, waitingSince }: HeldRequest, now: Milliseconds): number =>
    waitingSince === undefined ? 0 : waiting * (1 + now - waitingSince);

/** Returns the request with the highest score above 0. */
const findHighest = (
    requests: Iterable<HeldRequest>,
    scoreOf: (request: HeldRequest) => number,
): HeldRequest | undefined => {
    let highest: HeldRequest | undefined;
    let highestScore = 0;
    for (const request of requests) {
        const score = scoreOf(request);
        if (score > highestScore) {
            highest = request;
            highestScore = score;
        }
    }
    return highest;
};
