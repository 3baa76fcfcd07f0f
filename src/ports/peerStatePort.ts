/** Requests to another entry for its stored objects and its work in progress. */
import type { StateUpdate } from "../core/configuration/stateMirror.js";
import type { WorkInProgress } from "../core/placement/loadEstimator.js";
import type { Milliseconds } from "../utils/clock.js";
import type { StateKind, StateValues } from "./statePort.js";

/** Fetches state from other entries. */
export interface PeerStatePort {
    /** Fetches the changes after `revision` from the entry at `address`. Undefined if it has none or the timeout expires. */
    fetchUpdate<Kind extends StateKind>(
        address: string,
        kind: Kind,
        revision: number,
        timeout: Milliseconds,
    ): Promise<StateUpdate<StateValues[Kind]> | undefined>;
    /** Fetches the work in progress known to the entry at `address`. Undefined if the timeout expires. */
    fetchWorkInProgress(address: string, timeout: Milliseconds): Promise<WorkInProgress[] | undefined>;
}
