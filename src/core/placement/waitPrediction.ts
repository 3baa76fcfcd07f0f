/** Predicts how long a request waits at an endpoint for a slot, for earlier prefills, and for its first event. */
import type { EngineProfile } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import { decodeDuration, passDuration } from "./engineCost.js";
import { type EndpointLoad, prefillWait } from "./loadEstimator.js";

/**
 * Delay that is no sign of a stalled endpoint: updates about first events arrive up to this late, and predictions err by
 * as much.
 */
const overdueTolerance: Milliseconds = 100;
/**
 * Predicts the time to the first event: the running pass finishes, then the engine prefills its backlog and this prompt,
 * and decodes the first tokens. An engine without decoding requests starts to decode with the next step.
 */
export const predictFirstEvent = (
    engine: EngineProfile,
    load: EndpointLoad,
    part: Milliseconds,
    answerTokens: number,
): Milliseconds => {
    const pass = load.decodeCount > 0
        ? passDuration(engine, load.decodeCount + 1, load.contextTokens)
        : engine.stepTime;
    return waitBeforePrefill(engine, load, answerTokens) + part + pass;
};

/**
 * Wait until the prefill of a prompt starts: for a slot, and behind earlier prefills. A wait that has already exceeded
 * its prediction is expected to last about as long again.
 */
const waitBeforePrefill = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds =>
    predictSlotWait(engine, load, answerTokens) + prefillWait(load)
    + Math.max(0, load.overdueTime - overdueTolerance);

/** Engine time that decoding a usual response takes while all slots are in use. */
export const decodeTimePerSlot = (engine: EngineProfile, answerTokens: number): Milliseconds =>
    decodeDuration(engine, engine.usual?.answerTokens ?? answerTokens, engine.slots - 1, 0) / engine.slots;

/** Wait beyond the remainder of a decode-only pass; that remainder is about the same at every endpoint. */
export const waitBeyondCurrentPass = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds =>
    Math.max(
        0,
        waitBeforePrefill(engine, load, answerTokens) - passDuration(engine, load.decodeCount, load.contextTokens),
    );

/**
 * Predicted wait for a slot when few endpoints are left and all are full. Slots are released one by one as responses end.
 * Yielding requests don't count, as a new request overtakes them.
 */
export const predictSlotWait = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds => {
    const requestsAhead = load.requestCount - load.yieldingCount - engine.slots + 1;
    return Math.max(0, requestsAhead) * slotReleaseInterval(engine, load, answerTokens);
};

/** Further wait of a yielding request behind the requests that already yield. */
export const waitBehindYielding = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds =>
    load.yieldingCount * slotReleaseInterval(engine, load, answerTokens);

/** Average interval between two releases of a slot at a full endpoint. */
const slotReleaseInterval = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds =>
    decodeDuration(engine, engine.usual?.answerTokens ?? answerTokens, engine.slots - 1, load.contextTokens)
    / engine.slots;
