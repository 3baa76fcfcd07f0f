/** Replays in which endpoints fall silent for a while and go on, and what became of the answers that were on their way. */
import { Execution } from "../../../src/core/failures.js";
import { FaultType, type Pattern } from "../../../src/replay/pattern.js";
import type { ReplayResult } from "../../../src/replay/replay.js";
import { earnedValue } from "../../../src/replay/replayReport.js";
import type { CallerRecord, CallerTry } from "../../../src/replay/simulatedCaller.js";
import type { Milliseconds } from "../../../src/utils/clock.js";

type Fault = Pattern["fault"][string];

const silentDataCentre = "1";

/** The index of an engine decides its data centre, of three. */
const fallsSilent = (endpoint: string): boolean =>
    Number(/^engine-(\d+)/.exec(endpoint)?.[1]) % 3 === Number(silentDataCentre);

/** Silences of a data centre, all of one duration, again and again. */
export const repeatedSilences = (seconds: number, starts = [4, 7, 10, 13, 16]): Pattern["fault"] =>
    Object.fromEntries(starts.map((at, index) => [
        `silence-${index}`,
        { type: FaultType.Paused, at, seconds, share: 1, dataCentre: silentDataCentre, strength: 1 },
    ]));

/** What befalls the endpoints beside the silent ones. */
export const faultsBeside: Record<string, Pattern["fault"]> = {
    nothing: {},
    "endpoints that refuse": besideFault({ type: FaultType.Refusing, share: 0.5, strength: 0.5 }),
    "endpoints that leave": besideFault({ type: FaultType.Leaving, share: 0.3, strength: 1 }),
    "endpoints that are cold again": besideFault({ type: FaultType.ColdAgain, share: 0.5, strength: 1 }),
    "endpoints with limits": besideFault({ type: FaultType.Limited, share: 0.6, strength: 4 }),
};

/** A fault of the other two data centres during the whole of the silences. */
function besideFault(fault: Pick<Fault, "type" | "share" | "strength">): Pattern["fault"] {
    return {
        "beside-0": { ...fault, at: 3, seconds: 16, dataCentre: "0" },
        "beside-2": { ...fault, at: 3, seconds: 16, dataCentre: "2" },
    };
}

/** Multiplies the rate of every kind. */
export const withLoad = (pattern: Pattern, factor: number): Pattern => ({
    ...pattern,
    kind: Object.fromEntries(
        Object.entries(pattern.kind).map(([name, kind]) => [name, { ...kind, rate: kind.rate * factor }]),
    ),
});

const triesOf = ({ records }: ReplayResult): CallerTry[] => records.flatMap(({ tries }) => tries);

/** Tries that were sent to another endpoint after one that falls silent. */
const triesMovedFromSilent = ({ arrivals }: ReplayResult): Set<string> => {
    const firstByTry = new Map<string, string>();
    const moved = new Set<string>();
    for (const { requestId, endpoint } of arrivals) {
        const first = firstByTry.get(requestId);
        if (first === undefined) {
            firstByTry.set(requestId, endpoint);
        }
        else if (fallsSilent(first)) {
            moved.add(requestId);
        }
    }
    return moved;
};

/**
 * Tries that endpoints may have begun to answer, and that ended without the whole answer before their callers' deadlines.
 * Callers who gave up a stream in its middle count when it was moved away from an endpoint that went on before they left.
 */
export const lostAnswers = (result: ReplayResult): CallerTry[] => {
    const moved = triesMovedFromSilent(result);
    return triesOf(result).filter(({ requestId, result: end, eventCount, hasTimedOut }) => {
        if (hasTimedOut) {
            return false;
        }
        switch (end.type) {
            case "Cut":
                return true;
            case "Failed":
                return end.failure.execution === Execution.Unknown;
            case "Left":
                return eventCount > 0 && moved.has(requestId);
            case "Whole":
                return false;
        }
    });
};

/** Records whose events have a gap, come twice or out of order, or end before the last one of a whole answer. */
export const wrongAnswers = ({ records }: ReplayResult): CallerRecord[] =>
    records.filter(({ eventIds, tries, arrival }) => {
        const isWhole = tries.at(-1)?.result.type === "Whole";
        return eventIds.some((id, index) => id !== index + 1) || (isWhole && eventIds.length !== arrival.answerEvents);
    });

/** What the entries of a replay did about silent endpoints, in counts. */
export interface SilenceCounts {
    requests: number;
    /** Runs beside or after the first one of the same try, except those that an endpoint refused. */
    secondRuns: number;
    /** Streams that ended in the middle, and requests that ended without an answer although they may have run. */
    cut: number;
    unknown: number;
    /** The same at the callers' deadlines. */
    timedOut: number;
    /** Callers that gave up waiting for the first event, or for a later one. */
    leftBefore: number;
    leftMidway: number;
    /** Those among them whose stream was moved away from an endpoint that went on before they left. */
    leftMoved: number;
    /** Requests that were turned away unrun. */
    refused: number;
    wrong: number;
    /** Value of the received answers, relative to that of all requests. */
    value: number;
}

export const countSilences = (result: ReplayResult): SilenceCounts => {
    const tries = triesOf(result);
    const runs = new Map<string, number>();
    for (const { requestId, asksForPause } of result.arrivals) {
        if (!asksForPause) {
            runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
        }
    }
    const lost = lostAnswers(result);
    const hasUnknownEnd = ({ result: end }: CallerTry) =>
        end.type === "Cut" || (end.type === "Failed" && end.failure.execution === Execution.Unknown);
    const offered = result.records.reduce((sum, { arrival }) => sum + arrival.value, 0);
    return {
        requests: result.records.length,
        secondRuns: [...runs.values()].reduce((sum, count) => sum + count - 1, 0),
        cut: lost.filter(({ result: end }) => end.type === "Cut").length,
        unknown: lost.filter(({ result: end }) => end.type === "Failed").length,
        timedOut: tries.filter(attempt => attempt.hasTimedOut && hasUnknownEnd(attempt)).length,
        leftBefore: tries.filter(({ result: end, eventCount }) => end.type === "Left" && eventCount === 0).length,
        leftMidway: tries.filter(({ result: end, eventCount }) => end.type === "Left" && eventCount > 0).length,
        leftMoved: lost.filter(({ result: end }) => end.type === "Left").length,
        refused: tries.filter(({ result: end }) => end.type === "Failed" && end.failure.execution === Execution.NotRun)
            .length,
        wrong: wrongAnswers(result).length,
        value: result.records.reduce((sum, record) => sum + earnedValue(record), 0) / offered,
    };
};

/** How long after `at`, from the start of traffic, each request was sent elsewhere that was under way at an endpoint of the data centre. */
export const timesUntilMoved = ({ arrivals }: ReplayResult, at: Milliseconds): Milliseconds[] => {
    const underWay = new Set<string>();
    const times: Milliseconds[] = [];
    for (const { requestId, endpoint, at: arrivedAt } of arrivals) {
        if (arrivedAt < at) {
            if (fallsSilent(endpoint)) {
                underWay.add(requestId);
            }
            continue;
        }
        if (underWay.delete(requestId)) {
            times.push(arrivedAt - at);
        }
    }
    return times.sort((left, right) => left - right);
};

/** Loss of power of the same data centre, in which nothing that was under way goes on. */
export const powerLoss = (at: number, seconds: number): Pattern["fault"] => ({
    power: { type: FaultType.PowerLost, at, seconds, share: 1, dataCentre: silentDataCentre, strength: 1 },
});
