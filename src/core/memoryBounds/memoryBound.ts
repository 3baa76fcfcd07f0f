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
/** Bound of an instance whose memory hardly exceeds the process's own use: a few usual bodies. */
const minimumBoundBytes = 4 * 1024 * 1024;
/** The bound leaves room for one of the largest bodies that are allowed and for as much again, if the memory does. */
const largestBodyFactor = 2.5;
const maximumBoundFraction = 0.5;
/**
 * A peer that has read nothing for this long may lose its response to a new request. A connection that is merely slow frees
 * some of its buffer several times a second.
 */
const stallTimeout: Milliseconds = 200;
/** A body of which nothing has arrived for this long makes room for a new request. A lost packet delays it for less. */
const arrivalStallTimeout: Milliseconds = 500;
/** A body that takes longer than this to arrive makes room for a much smaller request. */
const slowArrivalDuration: Milliseconds = 2_000;
const muchSmallerFactor = 4;
/** Requests up to this size may use what is left up to the bound itself. */
const smallRequestBytes = 64 * 1024;

/** Computes how many bytes may be buffered where bodies of up to `largestBodyBytes` are allowed. */
export const boundOf = (memoryBytes: number, ownBytes: number, largestBodyBytes = 0): number => {
    const freeBytes = memoryBytes - ownBytes;
    const forLargestBody = Math.min(largestBodyFactor * largestBodyBytes, maximumBoundFraction * freeBytes);
    return Math.max(minimumBoundBytes, boundFraction * freeBytes, forLargestBody);
};

/** Whether a new request with a body of `bodyBytes` exceeds what is left for new requests. */
export const exceedsAdmission = (heldBytes: number, bodyBytes: number, boundBytes: number): boolean => {
    const fraction = bodyBytes <= smallRequestBytes ? 1 : rejectionFraction;
    return heldBytes + bodyBytes >= boundBytes * fraction;
};

/** Whether requests in progress must be ended. */
export const exceedsBound = (heldBytes: number, boundBytes: number): boolean => heldBytes >= boundBytes;

/**
 * Chooses the request to end at the bound: the one with the most unread bytes for the longest time. If no bytes are unread, it
 * is the one that has buffered the most for the longest time; one whose body is still arriving goes first.
 */
export const chooseAtBound = (requests: Iterable<HeldRequest>, now: Milliseconds): HeldRequest | undefined => {
    const all = [...requests];
    return findHighest(all, request => unreadScore(request, now))
        ?? chooseArriving(all, now)
        ?? findHighest(all, ({ total, openedAt }) => total * (1 + now - openedAt));
};

/** Chooses the request to end among those that are still arriving: the one that has held the most for the longest time. */
export const chooseArriving = (requests: Iterable<HeldRequest>, now: Milliseconds): HeldRequest | undefined =>
    findHighest(requests, ({ isArriving, total, openedAt }) => isArriving ? total * (1 + now - openedAt) : 0);

/**
 * Chooses the request to end for a new one with a body of `bodyBytes`, among those that are still arriving: one that stands still,
 * or one that is slow and much larger.
 */
export const chooseLateArrival = (
    requests: Iterable<HeldRequest>,
    bodyBytes: number,
    now: Milliseconds,
): HeldRequest | undefined => {
    const isLate = ({ arrivedAt, openedAt, total }: HeldRequest) =>
        now - arrivedAt >= arrivalStallTimeout
        || (now - openedAt >= slowArrivalDuration && total > muchSmallerFactor * bodyBytes);
    return findHighest(
        requests,
        request => request.isArriving && isLate(request) ? request.total * (now - request.openedAt) : 0,
    );
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
