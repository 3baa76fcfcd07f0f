/** Follows one kind of stored objects: a list, then watches, and a list again whenever the watch can't tell. */
import {
    HistoryLostError,
    StateChanges,
    StateKind,
    StatePort,
    StateSnapshot,
    StateValues,
} from "../../ports/statePort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import type { PartLog } from "../../utils/log.js";
import type { Random } from "../../utils/random.js";

/**
 * How long a watch waits for a change. A connection may fall silent for good while new ones work; the watch then ends
 * only by its own bound. With the time allowed for its answer this stays under three seconds, the time after which an
 * entry is held to all that was acknowledged meanwhile. Every wait is a priced call, so it isn't shorter.
 */
export const watchWait: Milliseconds = 2_000;
/** First pause after a failed call. Short, as the bounds of changes run on while the store turns us away. */
const retryPauseAtLeast: Milliseconds = 50;
/** Longest pause between failed calls: recovery from an outage takes at most this much longer. */
const retryPauseAtMost: Milliseconds = 400;

/** What is told of the store to those who hold its objects. */
export interface StateSink<Value> {
    /** All objects as of now. `wasAway` says that the store couldn't be reached just before. */
    replace(snapshot: StateSnapshot<Value>, wasAway: boolean): void;
    apply(changes: StateChanges<Value>, wasAway: boolean): void;
}

/** What following needs of the world. */
export interface FollowParts {
    store: StatePort;
    clock: Clock;
    random: Random;
    log: PartLog;
}

/** Follows `kind` until `signal` aborts. */
export const followState = async <Kind extends StateKind>(
    parts: FollowParts,
    kind: Kind,
    sink: StateSink<StateValues[Kind]>,
    signal: AbortSignal,
): Promise<void> => {
    const { store, clock, random, log } = parts;
    let revision: number | undefined;
    let failures = 0;
    while (!signal.aborted) {
        try {
            const wasAway = failures > 0;
            if (revision === undefined) {
                const snapshot = await store.list(kind, signal);
                sink.replace(snapshot, wasAway);
                revision = snapshot.revision;
            }
            else {
                const changes: StateChanges<StateValues[Kind]> = await store.watch(kind, revision, watchWait, signal);
                sink.apply(changes, wasAway);
                revision = changes.revision;
            }
            if (wasAway) {
                log.info("The store answers again.", { kind, failures, revision });
            }
            failures = 0;
        }
        catch (error) {
            if (signal.aborted) {
                return;
            }
            if (error instanceof HistoryLostError) {
                log.info("The store's history is gone; listing.", { kind, revision });
                revision = undefined;
                continue;
            }
            failures++;
            if (failures === 1) {
                log.warn("The store doesn't answer.", { kind, revision, error: describeError(error) });
            }
            await clock.sleep(retryPause(failures, random), signal);
        }
    }
};

const retryPause = (failures: number, random: Random): Milliseconds => {
    const longest = Math.min(retryPauseAtMost, retryPauseAtLeast * 2 ** Math.min(failures, 8));
    return longest / 2 + random.next() * longest / 2;
};
