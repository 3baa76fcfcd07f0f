/** What holds when an endpoint starts again under its identifier. */
import type { Milliseconds } from "../../utils/clock.js";

/**
 * How long what an endpoint reported outlasts its restart. Until then it may be the new process that reported it, before
 * the list of endpoints showed it.
 */
export const restartGracePeriod: Milliseconds = 10_000;
