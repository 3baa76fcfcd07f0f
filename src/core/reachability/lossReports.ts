/**
 * Tells the other entries that an endpoint was lost, once it is clear that not only this entry's link to it was. Without the
 * check, an entry that loses its links makes all others avoid sound endpoints.
 */
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import type { FailureTracker } from "../placement/failureTracker.js";
import type { AttemptPath } from "./attemptPath.js";
import { type EndpointChecker, EndpointCondition } from "./endpointChecker.js";

/** Reports the losses that this entry observes. */
export class LossReports {
    constructor(private readonly checker: Pick<EndpointChecker, "check">, private readonly failures: FailureTracker) {}

    /** Records that `endpoint` broke off a response that came over `path`; undefined for this entry's own connection. */
    async recordBroken(endpoint: KnownEndpoint, path?: AttemptPath): Promise<void> {
        if (await this.isAtFault(endpoint, path)) {
            this.failures.recordLost(endpoint);
        }
    }

    /** Records that `endpoint` has been silent for long. This entry avoids it until the check has ended, as it may be slow. */
    async recordSilent(endpoint: KnownEndpoint, path?: AttemptPath): Promise<void> {
        this.failures.suspectSilent(endpoint);
        if (await this.isAtFault(endpoint, path)) {
            this.failures.publishSilent(endpoint);
        }
        else {
            this.failures.clearSuspicion(endpoint);
        }
    }

    private async isAtFault({ record }: KnownEndpoint, path: AttemptPath | undefined): Promise<boolean> {
        const condition = await this.checker.check(record, path);
        return condition !== EndpointCondition.LinkLost && condition !== EndpointCondition.Unknown;
    }
}
