/**
 * Tells the other entries that an endpoint was lost, once it is clear that not only this entry's link to it was. Without the
 * check, an entry that loses its links makes all others avoid sound endpoints.
 */
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import type { FailureTracker, SendResult } from "../placement/failureTracker.js";
import { type EndpointChecker, EndpointCondition } from "./endpointChecker.js";

/** Reports the losses that this entry observes. */
export class LossReports {
    constructor(private readonly checker: EndpointChecker, private readonly failures: FailureTracker) {}

    /** Records that `endpoint` broke off or fell silent. */
    async record(endpoint: KnownEndpoint, result: SendResult.Lost | SendResult.Silent): Promise<void> {
        this.failures.recordSuspected(endpoint, result);
        const condition = await this.checker.check(endpoint.record);
        switch (condition) {
            case EndpointCondition.Accepting:
            case EndpointCondition.Refusing:
            case EndpointCondition.Unresponsive:
                this.failures.publishSuspected(endpoint, result);
                return;
            case EndpointCondition.LinkLost:
            case EndpointCondition.Unknown:
                this.failures.clearSuspected(endpoint);
                return;
        }
    }
}
