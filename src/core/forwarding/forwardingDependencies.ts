/** The components that forwarding depends on. */
import type { EndpointPort } from "../../ports/forwardingPorts.js";
import type { MemoryPort } from "../../ports/memoryPort.js";
import type { QuarantineStorePort } from "../../ports/quarantineStore.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { Random } from "../../utils/random.js";
import type { ColdBudget } from "../budgets/coldBudget.js";
import type { EndpointLimits } from "../budgets/endpointLimits.js";
import type { SharedRetryBudget } from "../budgets/sharedRetryBudget.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { EndpointDirectory } from "../membership/endpointDirectory.js";
import type { EndpointReports } from "../membership/endpointReports.js";
import type { Metrics } from "../metrics.js";
import type { Eligibility } from "../placement/eligibility.js";
import type { FailureTracker } from "../placement/failureTracker.js";
import type { PlacementClient } from "../placement/placementClient.js";
import type { SharedLoadEstimator } from "../placement/sharedLoadEstimator.js";
import type { CrashDetector } from "../quarantine/crashDetector.js";
import type { PartTrials } from "../quarantine/partTrials.js";
import type { Quarantine } from "../quarantine/quarantine.js";
import type { SilentEnds } from "../quarantine/silentEnds.js";
import type { EndedProcesses } from "../reachability/endedProcesses.js";
import type { EndpointChecker } from "../reachability/endpointChecker.js";
import type { LossReports } from "../reachability/lossReports.js";
import type { StandstillProbes } from "../reachability/standstillProbes.js";
import type { SchedulingPolicy } from "../scheduling/schedulingPolicy.js";
import type { AnswerDurations } from "./answerDurations.js";

/** A planned stop of this entry. Times are on the local clock. */
export interface PlannedStop {
    startedAt: Milliseconds;
    /** When the requests still in progress are cut. */
    endsAt: Milliseconds;
}

/** Everything that a request task needs. */
export interface ForwardingDependencies {
    clock: Clock;
    random: Random;
    log: PartLog;
    configuration: ActiveConfiguration;
    directory: EndpointDirectory;
    endpointPort: Pick<EndpointPort, "send">;
    memoryPort: MemoryPort;
    placementClient: PlacementClient;
    schedulingPolicy: SchedulingPolicy;
    loadEstimator: SharedLoadEstimator;
    failureTracker: FailureTracker;
    lossReports: LossReports;
    endedProcesses: EndedProcesses;
    endpointChecker: Pick<EndpointChecker, "check">;
    standstillProbes: StandstillProbes;
    retryBudget: SharedRetryBudget;
    coldBudget: ColdBudget;
    eligibility: Eligibility;
    endpointLimits: EndpointLimits;
    endpointReports: EndpointReports;
    silentEnds: SilentEnds;
    crashDetector: CrashDetector;
    quarantine: Quarantine;
    quarantineStore: QuarantineStorePort;
    /** Resolves when this entry knows what was quarantined before it started. */
    quarantineLoaded: Promise<void>;
    partTrials: PartTrials;
    metrics: Metrics;
    answerDurations: AnswerDurations;
    /** Identifier of this entry. */
    entryId: string;
    dataCentre: string;
    /** Whether the store responds to this entry. */
    isStoreReachable: () => boolean;
    /** The planned stop; undefined while this entry isn't stopping. */
    plannedStop: () => PlannedStop | undefined;
}
