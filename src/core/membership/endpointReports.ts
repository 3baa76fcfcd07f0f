/** Turns what endpoints report about themselves in their responses into this entry's state of them. */
import type { EndpointReport } from "../../ports/forwardingPorts.js";
import type { EndpointRecord } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { EndpointLimits } from "../budgets/endpointLimits.js";
import type { EndpointPauses } from "../budgets/endpointPauses.js";
import type { ReportedStates } from "./reportedStates.js";

/** Records the reports of endpoints, each part where it is applied. */
export class EndpointReports {
    constructor(
        private readonly limits: EndpointLimits,
        private readonly pauses: EndpointPauses,
        private readonly states: ReportedStates,
    ) {}

    /** Records the report in a response of `endpoint` to a request that was sent at `sentAt`. */
    record(endpoint: EndpointRecord, report: EndpointReport, sentAt: Milliseconds): void {
        const { limitPerSecond, mayLiftLimit, coldFor, retryAfter, isLeaving } = report;
        if (limitPerSecond !== undefined) {
            this.limits.recordLimit(endpoint.id, limitPerSecond);
        }
        else if (mayLiftLimit) {
            this.limits.recordNoLimit(endpoint.id, sentAt);
        }
        if (coldFor !== undefined && coldFor > 0) {
            this.states.recordCold(endpoint, coldFor);
        }
        if (retryAfter !== undefined && retryAfter > 0) {
            this.pauses.record(endpoint, retryAfter);
        }
        if (isLeaving) {
            this.states.recordLeaving(endpoint);
        }
    }
}
