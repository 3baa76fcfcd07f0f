/**
 * Finds the prompt parts that crash endpoints.
 *
 * The other parts of the same prompts are present at the same crashes. They are told apart by sound requests that have them too
 * and that an endpoint survives. While many endpoints crash, nothing survives for long, so requests with suspect parts are sent
 * one by one, as trials: a part is a cause only if endpoints crash under trials of it. One such crash is enough if no sound
 * request with the part has survived since.
 */
import type { Crash } from "./crashLog.js";
import { includesAll } from "./partSet.js";

/** Crashes at which a part must have been present to be a cause, and crashes under trials of it. */
export const crashesOfCause = 5;
const trialCrashesOfCause = 2;
const settledTrialCrashesOfCause = 1;

/** What speaks against one part. */
interface PartEvidence {
    part: string;
    crashCount: number;
    /** Crashes since which a sound request could have survived. */
    settledCrashCount: number;
    trialCrashCount: number;
}

/** What is known besides the crashes themselves. */
export interface PartKnowledge {
    /** Whether an endpoint survived the part after the crash. */
    isCleared: (part: string, crash: Crash) => boolean;
    /** Whether the crash was long enough ago for a sound request to survive since. */
    isSettled: (crash: Crash) => boolean;
}

/** Whether one of `sets` explains the crash: a request with all of its parts was present. */
export const isExplained = (crash: Crash, sets: readonly string[][]): boolean =>
    sets.some(set => includesAll(crash.parts, set));

const collectEvidence = (crashes: readonly Crash[], { isCleared, isSettled }: PartKnowledge): PartEvidence[] => {
    const evidenceByPart = new Map<string, PartEvidence>();
    for (const crash of crashes) {
        for (const [part, { isTrial }] of crash.parts) {
            if (isCleared(part, crash)) {
                continue;
            }
            const evidence = evidenceByPart.get(part)
                ?? { part, crashCount: 0, settledCrashCount: 0, trialCrashCount: 0 };
            evidence.crashCount++;
            evidence.settledCrashCount += isSettled(crash) ? 1 : 0;
            evidence.trialCrashCount += isTrial ? 1 : 0;
            evidenceByPart.set(part, evidence);
        }
    }
    return [...evidenceByPart.values()];
};

/** Returns the parts with the strongest evidence. Several are returned where the same crashes speak against them. */
const findMostLikely = (evidence: readonly PartEvidence[]): string[] => {
    const candidates = evidence.filter(({ crashCount, settledCrashCount, trialCrashCount }) =>
        (crashCount >= crashesOfCause && trialCrashCount >= trialCrashesOfCause)
        || (settledCrashCount >= crashesOfCause && trialCrashCount >= settledTrialCrashesOfCause)
    );
    const highestTrialCount = Math.max(0, ...candidates.map(({ trialCrashCount }) => trialCrashCount));
    return candidates.filter(({ trialCrashCount }) => trialCrashCount === highestTrialCount).map(({ part }) => part);
};

/**
 * Returns the sets of parts that cause crashes, besides those already `quarantined`. A set has several parts while nothing tells
 * which of them is the cause; a request is a cause if it has all of them.
 */
export const findCrashingParts = (
    crashes: readonly Crash[],
    quarantined: readonly string[][],
    knowledge: PartKnowledge,
): string[][] => {
    const found: string[][] = [];
    for (;;) {
        const unexplained = crashes.filter(crash => !isExplained(crash, [...quarantined, ...found]));
        const mostLikely = findMostLikely(collectEvidence(unexplained, knowledge));
        if (mostLikely.length === 0) {
            return found;
        }
        found.push(mostLikely);
    }
};
