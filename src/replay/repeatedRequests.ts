/** Simulates callers that send the same request again and again, whatever becomes of it. */
import type { EntryCore } from "../core/entryCore.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import type { Pattern, RepeatedRequest } from "./pattern.js";
import { customerName } from "./replayArrivals.js";
import { type CallerOutcome, simulateCaller } from "./simulatedCaller.js";
import type { SimulatedFleet } from "./simulatedFleet.js";

/** One repetition of a request, with the tries of its caller. */
export interface RepeatedTry {
    name: string;
    at: Milliseconds;
    outcome: CallerOutcome;
    requestIds: string[];
}

/** One of the callers that send a repeated request. */
export interface RepeatedCaller {
    name: string;
    request: RepeatedRequest;
    /** Position among the callers of the same request. */
    caller: number;
}

/** Dependencies of the callers of repeated requests. */
export interface RepeatedCallerDependencies {
    clock: Clock;
    fleet: SimulatedFleet;
    /** The entry that gets the request in this turn. */
    entryAt: (turn: number) => EntryCore;
}

/** Sends the request until its time is over, to one entry after another, and adds each try to `tries`. */
export const sendRepeatedly = async (
    { clock, fleet, entryAt }: RepeatedCallerDependencies,
    pattern: Pattern,
    { name, request, caller }: RepeatedCaller,
    tries: RepeatedTry[],
): Promise<void> => {
    const kind = pattern.kind[request.kind]!;
    const endsAt = clock.now() + request.seconds * 1_000;
    const crashesUntil = clock.now() + request.crashesFor * 1_000;
    let turn = caller;
    for (let repetition = 0; clock.now() < endsAt; repetition++) {
        const id = `${name}-${caller}-${repetition}`;
        if (request.crashes) {
            const period = { from: 0, until: crashesUntil, isSilent: request.silently };
            fleet.markCrashing(`${id}.0`, period);
            fleet.markCrashing(`${id}.1`, period);
        }
        const arrival = {
            id,
            content: name,
            at: clock.now(),
            kind: request.kind,
            customer: pattern.pattern.customers === 0 ? undefined : customerName(request.customer),
            promptTokens: kind.promptTokens,
            answerEvents: kind.answerEvents,
            parts: [],
            crashes: undefined,
            value: 0,
            lateValue: 0,
        };
        const { outcome, requestIds } = await simulateCaller(
            { clock, fleet, pickEntry: () => entryAt(turn++) },
            arrival,
            kind,
        );
        tries.push({ name, at: arrival.at, outcome, requestIds });
        await clock.sleep(request.gap * 1_000);
    }
};
