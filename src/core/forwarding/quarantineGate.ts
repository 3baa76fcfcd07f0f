/** Keeps one request from endpoints while it is quarantined, and records what becomes of it there. */
import type { EndpointRecord } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import { FailureKind } from "../failures.js";
import { describeCrashes, type QuarantinedRequest } from "../quarantine/quarantinedRequest.js";
import type { RequestProgress } from "./requestProgress.js";

/** Longest delay of a further send, until it is known whether an endpoint that broke the request off has crashed. */
const crashCheckTimeout: Milliseconds = 50;

/** The quarantine as one request meets it. */
export class QuarantineGate {
    private servingSince: Milliseconds = 0;
    /** Whether the request is quarantined and sent to find out whether it still crashes endpoints. */
    private isTrial = false;

    constructor(private readonly progress: RequestProgress) {}

    /** Must be called before each send. Throws a `RequestFailure` while the request is quarantined. */
    async pass(): Promise<void> {
        const { quarantine, clock } = this.progress.dependencies;
        const { fingerprint } = this.progress;
        await this.waitForChecks();
        // A timer may run a little before its time.
        for (let wait = quarantine.timeUntilKnown(fingerprint); wait > 0;) {
            await clock.sleep(wait, this.progress.ended);
            this.progress.throwIfEnded();
            wait = quarantine.timeUntilKnown(fingerprint);
        }
        const quarantined = quarantine.find(fingerprint);
        if (quarantined && !await this.mayTry(quarantined)) {
            this.reject(quarantined);
        }
    }

    /** Records that the request is sent, and later that the head of its response has arrived. */
    recordServing(): void {
        this.servingSince = this.progress.dependencies.clock.now();
    }

    /** Records that `endpoint` broke off its response to the request. */
    recordBroken(endpoint: EndpointRecord): void {
        const { crashDetector, clock } = this.progress.dependencies;
        const servedFor = clock.now() - this.servingSince;
        crashDetector.recordBroken(endpoint, {
            request: this.progress.fingerprint.value,
            servedFor,
            sharedParts: this.progress.request.sharedParts,
        });
    }

    /** Records that an endpoint has served the request to its end. */
    recordCompletion(): void {
        this.progress.dependencies.quarantine.recordCompletion(this.progress.fingerprint);
    }

    /** Whether the request is sent for a trial. One entry wins it, and sends the request to one endpoint. */
    private async mayTry(quarantined: QuarantinedRequest): Promise<boolean> {
        const { quarantine, quarantineStore, log } = this.progress.dependencies;
        if (this.isTrial) {
            return !this.progress.attempts.mayHaveRun;
        }
        if (this.progress.attempts.mayHaveRun || !quarantine.isTrialDue(quarantined)) {
            return false;
        }
        try {
            const { request, trialCount } = quarantined;
            this.isTrial = await quarantineStore.claimTrial(request, trialCount, this.progress.ended);
        }
        catch (error) {
            log.warn("A quarantined request can't be tried.", {
                requestId: this.progress.request.id,
                error: describeError(error),
            });
        }
        if (this.isTrial) {
            quarantine.recordTrial(quarantined);
        }
        return this.isTrial;
    }

    private async waitForChecks(): Promise<void> {
        const { crashDetector, clock } = this.progress.dependencies;
        const checks = crashDetector.pendingChecks(this.progress.fingerprint);
        if (checks.length > 0) {
            await Promise.race([Promise.all(checks), clock.sleep(crashCheckTimeout)]);
        }
    }

    private reject(quarantined: QuarantinedRequest): never {
        const { quarantine, clock, metrics } = this.progress.dependencies;
        metrics.count("quarantine_rejections_total");
        const crashes = describeCrashes(quarantined, clock.now());
        throw this.progress.createFailure(
            FailureKind.Quarantined,
            `the request crashed endpoints: ${crashes}`,
            quarantine.retryDelaySeconds(quarantined),
        );
    }
}
