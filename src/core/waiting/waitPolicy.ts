/** Decides which requests may have to wait for capacity, and how long waiting is of use to them. */
import type { EngineProfile } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import { exceedsOneEngine, type Placement, type PlacementRequirements } from "../placement/endpointSelector.js";
import { prefillDuration } from "../placement/engineCost.js";
import { minimumPartRatio } from "../placement/team.js";

/**
 * Remaining patience with which a prompt always waits for memory. The longest prompts take longer to prefill on the fewest
 * engines that hold them, but more engines may be free.
 */
const sufficientPatienceForMemory: Milliseconds = 1_500;
/** Safety factor on the predicted first event of a postponed request, because predictions are less accurate under high load. */
const postponedPredictionFactor = 1.5;

/** Each waiting request is tried this often, whatever its place, since it is rejected when its time no longer suffices. */
export const longestUntriedTime: Milliseconds = 200;

/** What the decision to wait depends on. */
export type WaitRequirements = Pick<
    PlacementRequirements,
    "service" | "promptTokens" | "answerTokens" | "patienceLeft"
>;

/** Whether the prompt is so long that it may be postponed, or may find no memory. */
export const mayHaveToWait = (requirements: PlacementRequirements): boolean => {
    const { service: { engine }, promptTokens, targetLatency } = requirements;
    return engine !== undefined
        && (exceedsOneEngine(requirements)
            || prefillDuration(engine, promptTokens) > minimumPartRatio * targetLatency);
};

/** Whether the first event would still arrive within the patience of the caller if the request were sent after `delay`. */
export const isInTimeAfterWait = (
    { firstEvent, firstEventAfterWait = firstEvent }: Pick<Placement, "firstEvent" | "firstEventAfterWait">,
    patienceLeft: Milliseconds,
    delay: Milliseconds,
): boolean => postponedPredictionFactor * firstEventAfterWait + delay < patienceLeft;

/** Least remaining patience for a prompt to wait `delay` for memory. With less time left it could no longer be prefilled. */
export const minimumPatienceForMemory = (
    engine: EngineProfile,
    promptTokens: number,
    answerTokens: number,
    delay: Milliseconds,
): Milliseconds => {
    const fewestEngines = Math.ceil((promptTokens + answerTokens) / engine.memoryTokens);
    const prefillTime = prefillDuration(engine, promptTokens) / fewestEngines;
    return Math.min(sufficientPatienceForMemory, postponedPredictionFactor * prefillTime + delay);
};

/** Whether enough memory may become free, among `candidateCount` endpoints, while the caller still waits. */
export const canMemoryBecomeFree = (
    requirements: WaitRequirements,
    candidateCount: number,
    delay: Milliseconds,
): boolean => {
    const { service: { engine }, promptTokens, answerTokens, patienceLeft } = requirements;
    return engine !== undefined && promptTokens + answerTokens > engine.memoryTokens
        && promptTokens + answerTokens <= engine.memoryTokens * candidateCount
        && patienceLeft > minimumPatienceForMemory(engine, promptTokens, answerTokens, delay);
};
