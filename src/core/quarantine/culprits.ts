/**
 * Finds the requests that most likely caused crashes.
 *
 * A crash breaks off all requests of its endpoint, and many of them go on to the same next endpoint as the request that caused
 * it. Counting crashes alone would therefore blame harmless requests for those that another request explains.
 */
import type { Milliseconds } from "../../utils/clock.js";
import type { Crash } from "./crashLog.js";

/** Number of crashes that nothing else explains from which a request counts as their cause. */
export const crashesUntilQuarantine = 3;

/**
 * A request that was present at as many crashes as the most likely cause counts as another cause, unless the endpoints had
 * served it longer than this multiple of the other's time and this much more. A request that crashes endpoints does so soon
 * after each begins to run it.
 */
const servedTimeFactor = 2;
const servedTimeMargin: Milliseconds = 100;

/** Endpoints of a data centre of which this many fall silent within the window have a common cause, such as a loss of power. */
const commonCauseCount = 3;
const commonCauseWindow: Milliseconds = 2_000;

/** What speaks against one request. */
interface Evidence {
    request: string;
    /** Crashes at which it was present and that no other request explains. */
    crashCount: number;
    /** How long the crashed endpoints had been serving it, in total. */
    servedFor: Milliseconds;
}

type ClearedCheck = (request: string, crash: Crash) => boolean;

const collectEvidence = (
    crashes: readonly Crash[],
    culprits: ReadonlySet<string>,
    isCleared: ClearedCheck,
): Evidence[] => {
    const evidenceByRequest = new Map<string, Evidence>();
    for (const crash of crashes) {
        const suspects = [...crash.servedFor].filter(([request]) => !isCleared(request, crash));
        if (suspects.some(([request]) => culprits.has(request))) {
            continue;
        }
        for (const [request, servedFor] of suspects) {
            const evidence = evidenceByRequest.get(request) ?? { request, crashCount: 0, servedFor: 0 };
            evidence.crashCount++;
            evidence.servedFor += servedFor;
            evidenceByRequest.set(request, evidence);
        }
    }
    return [...evidenceByRequest.values()];
};

/** Returns the requests with the strongest evidence; none where no request was present at enough crashes. */
const findMostLikely = (evidence: readonly Evidence[]): string[] => {
    const highestCount = Math.max(0, ...evidence.map(({ crashCount }) => crashCount));
    if (highestCount < crashesUntilQuarantine) {
        return [];
    }
    const likely = evidence.filter(({ crashCount }) => crashCount === highestCount);
    const shortest = Math.min(...likely.map(({ servedFor }) => servedFor));
    const longest = servedTimeFactor * shortest + servedTimeMargin;
    return likely.filter(({ servedFor }) => servedFor <= longest).map(({ request }) => request);
};

/** Returns the crashes without those of endpoints that fell silent together with others of their data centre. */
export const withoutCommonCause = (crashes: readonly Crash[]): Crash[] => {
    const silent = crashes.filter(({ silentIn }) => silentIn !== undefined);
    return crashes.filter(({ silentIn, at }) => {
        const together = silent.filter(other =>
            other.silentIn === silentIn && Math.abs(other.at - at) <= commonCauseWindow
        );
        return together.length < commonCauseCount;
    });
};

/**
 * Returns the requests that caused crashes, besides those already `quarantined`. The request that was present at most crashes
 * comes first, and explains all of these for the others. `isCleared`: whether the request completed after the crash.
 */
export const findCulprits = (
    crashes: readonly Crash[],
    quarantined: ReadonlySet<string>,
    isCleared: ClearedCheck,
): string[] => {
    const culprits = new Set(quarantined);
    const found: string[] = [];
    for (;;) {
        const mostLikely = findMostLikely(collectEvidence(crashes, culprits, isCleared));
        if (mostLikely.length === 0) {
            return found;
        }
        for (const request of mostLikely) {
            culprits.add(request);
            found.push(request);
        }
    }
};
