/** The order in which waiting requests of one service are served. */
import type { Milliseconds } from "../../utils/clock.js";
import { lossFromLateness } from "../placement/lostValue.js";
import { minimumPartRatio } from "../placement/team.js";
import type { Waiter } from "./waiter.js";

/**
 * Waiting time that adds the initial value per engine time once more. A prompt of 900,000 tokens has a sixth of the value per
 * engine time of one of 100,000 and overtakes newer ones of that length within its usual patience.
 */
const agingTime: Milliseconds = 2_000;

/** Whether a customer uses more than its share of a service. */
export type IsOverShare = (service: string, customer: string) => boolean;

/**
 * Value per millisecond of engine time, which increases with the waiting time so that no request starves. A request that can
 * no longer meet its target counts with the value of a late response.
 */
export const urgency = (waiter: Waiter, now: Milliseconds): number => {
    const { engineTime, arrivedAt } = waiter;
    return remainingValue(waiter, now) / Math.max(1, engineTime) * (1 + Math.max(0, now - arrivedAt) / agingTime);
};

/** Value that the request would earn if the smallest useful team began to prefill its prompt now. */
const remainingValue = ({ value, engineTime, arrivedAt, targetAt }: Waiter, now: Milliseconds): number => {
    const prefillTime = Math.min(engineTime, minimumPartRatio * Math.max(0, targetAt - arrivedAt));
    return value * (1 - lossFromLateness({ targetLeft: targetAt - now, patienceLeft: Infinity }, prefillTime));
};

/**
 * Compares two waiters of one service; negative if `left` is served first: lower ranks, then customers within their shares,
 * then the higher value per engine time, then the earlier arrival. Identifiers decide ties.
 */
export const compareWaiters = (left: Waiter, right: Waiter, now: Milliseconds, isOverShare: IsOverShare): number => {
    const exceedsShare = ({ service, customer }: Waiter) =>
        customer !== undefined && isOverShare(service, customer) ? 1 : 0;
    return left.rank - right.rank
        || exceedsShare(left) - exceedsShare(right)
        || urgency(right, now) - urgency(left, now)
        || left.arrivedAt - right.arrivedAt
        || (left.requestId < right.requestId ? -1 : 1);
};
