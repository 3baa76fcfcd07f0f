/** What forwarding works with. */
import type { EndpointPort } from "../../ports/forwardingPorts.js";
import type { MemoryPort } from "../../ports/memoryPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { Random } from "../../utils/random.js";
import type { ColdBudget } from "../budgets/coldBudget.js";
import type { EndpointLimits } from "../budgets/endpointLimits.js";
import type { SharedRetryBudget } from "../budgets/sharedRetryBudget.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { EndpointDirectory } from "../membership/endpointDirectory.js";
import type { Metrics } from "../metrics.js";
import type { FailureTracker } from "../placement/failureTracker.js";
import type { PlacementClient } from "../placement/placementClient.js";
import type { SharedLoadEstimator } from "../placement/sharedLoadEstimator.js";

/** A planned stop of this entry, on the local clock. */
export interface PlannedStop {
    begunAt: Milliseconds;
    /** When what is left is cut. */
    endsAt: Milliseconds;
}

/** The parts. */
export interface ForwardingParts {
    clock: Clock;
    random: Random;
    log: PartLog;
    configuration: ActiveConfiguration;
    directory: EndpointDirectory;
    endpoints: EndpointPort;
    memory: MemoryPort;
    placing: PlacementClient;
    loads: SharedLoadEstimator;
    failures: FailureTracker;
    repeats: SharedRetryBudget;
    cold: ColdBudget;
    limits: EndpointLimits;
    metrics: Metrics;
    /** Name of this entry, and its data centre. */
    entry: string;
    dataCentre: string;
    /** Whether the store answers this entry. */
    reads: () => boolean;
    /** Undefined while this entry isn't stopping. */
    stop: () => PlannedStop | undefined;
}
