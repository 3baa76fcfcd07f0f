/** What the core needs to ask another entry for stored objects. */
import type { StateUpdate } from "../core/configuration/stateMirror.js";
import type { WorkInProgress } from "../core/placement/loadEstimator.js";
import type { Milliseconds } from "../utils/clock.js";
import type { StateKind, StateValues } from "./statePort.js";

/** Questions to other entries. */
export interface PeerStatePort {
    /** What the entry at `address` knows after `revision`. Undefined when it knows no more, or doesn't answer in time. */
    fetchUpdate<Kind extends StateKind>(
        address: string,
        kind: Kind,
        revision: number,
        limit: Milliseconds,
    ): Promise<StateUpdate<StateValues[Kind]> | undefined>;
    /** The work in progress that the entry at `address` knows of. Undefined when it doesn't answer in time. */
    fetchWorkInProgress(address: string, limit: Milliseconds): Promise<WorkInProgress[] | undefined>;
}
