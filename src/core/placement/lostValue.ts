/** Computes the value that requests lose by a late first event, or by waiting too long for their next event. */
import type { Milliseconds } from "../../utils/clock.js";
import type { WaitingRequest } from "./loadEstimator.js";

/** Predicted time relative to the target at which the lateness probability starts to rise, and at which it reaches 1. */
const latenessStartRatio = 0.6;
const latenessFullRatio = 1.2;
/**
 * Share of a response's value that is lost when the response is late but complete; customers rate a late one at a
 * quarter.
 */
const lateLossShare = 0.75;

/** Callers abandon a stream after a gap of this many times their target gap. */
const patienceInTargetGaps = 8;

/** What is left of a request's target latency, and of the time until its caller gives up. */
export interface RemainingTargets {
    targetLeft: Milliseconds;
    patienceLeft: Milliseconds;
}

/** Probability that a response is late, given its predicted time and its target. */
export const latenessProbability = (predicted: Milliseconds, target: Milliseconds): number =>
    Math.min(1, Math.max(0, (predicted / target - latenessStartRatio) / (latenessFullRatio - latenessStartRatio)));

/**
 * Share of its value that a prompt loses with a first event after `firstEvent`, by missing its target and by the caller
 * giving up.
 */
export const lossFromLateness = ({ targetLeft, patienceLeft }: RemainingTargets, firstEvent: Milliseconds): number =>
    lateLossShare * latenessProbability(firstEvent, Math.max(1, targetLeft))
    + (1 - lateLossShare) * latenessProbability(firstEvent, Math.max(1, patienceLeft));

/** Value that is lost when the requests at an endpoint wait this long for their next event. */
export const lossFromWaiting = (waiting: readonly WaitingRequest[], wait: Milliseconds): number => {
    let loss = 0;
    for (const { targetGap, value } of waiting) {
        loss += value
            * (lateLossShare * latenessProbability(wait, targetGap)
                + (1 - lateLossShare) * latenessProbability(wait, patienceInTargetGaps * targetGap));
    }
    return loss;
};
