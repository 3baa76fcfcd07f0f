/** Keeps one request from endpoints while it is quarantined, and records what becomes of it there. */
import type { Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import { FailureKind } from "../failures.js";
import type { CrashedRequest } from "../quarantine/crashDetector.js";
import { partsOfKey } from "../quarantine/partSet.js";
import { survivalDuration } from "../quarantine/partSurvivals.js";
import type { TrialEnd } from "../quarantine/partTrials.js";
import { describeCrashes, type QuarantinedRequest } from "../quarantine/quarantinedRequest.js";
import { EndpointCondition } from "../reachability/endpointChecker.js";
import type { Attempt } from "./attempt.js";
import type { RequestProgress } from "./requestProgress.js";

/** Longest delay of a further send, until it is known whether an endpoint that broke the request off has crashed. */
const crashCheckTimeout: Milliseconds = 50;

/** Retry-After of a prompt with suspect parts: about the time until it is known which of them crash endpoints. */
const suspectRetrySeconds = 1;

/** Time after a crash in which it is decided what caused it. Until then, a trial that broke off allows no further one. */
const decisionDuration: Milliseconds = 500;

/** The quarantine as one request meets it. */
export class QuarantineGate {
    /** Whether the request is quarantined and sent to find out whether it still crashes endpoints. */
    private isTrial = false;
    /** Suspect parts of the prompt that are on trial with the request. */
    private partsOnTrial: readonly string[] = [];
    private endPartTrial: TrialEnd = () => {};
    private hasSurvived = false;
    private hasBroken = false;

    constructor(private readonly progress: RequestProgress) {}

    /** Must be called before each send. Throws a `RequestFailure` while the request is quarantined. */
    async pass(): Promise<void> {
        const { quarantine, clock, quarantineLoaded } = this.progress.dependencies;
        const { fingerprint } = this.progress;
        await quarantineLoaded;
        await this.waitForChecks();
        // A timer may run a little before its time.
        for (let wait = quarantine.timeUntilKnown(fingerprint); wait > 0;) {
            await clock.sleep(wait, this.progress.ended);
            this.progress.throwIfEnded();
            wait = quarantine.timeUntilKnown(fingerprint);
        }
        const quarantined = quarantine.find(fingerprint, this.progress.request.sharedParts);
        if (quarantined) {
            if (!await this.mayTry(quarantined)) {
                this.reject(quarantined);
            }
            return;
        }
        this.startPartTrial();
    }

    /** Whether the request may run at a second endpoint beside the first: neither it nor a part of it is suspect. */
    mayRunTwice(): boolean {
        const { quarantine, crashDetector } = this.progress.dependencies;
        const { fingerprint, request: { sharedParts } } = this.progress;
        return crashDetector.pendingChecks(fingerprint).length === 0
            && quarantine.timeUntilKnown(fingerprint) <= 0
            && quarantine.find(fingerprint, sharedParts) === undefined
            && quarantine.suspectParts(sharedParts) === undefined;
    }

    /** Records that the endpoint goes on writing the answer. */
    recordEvent(attempt: Attempt): void {
        if (attempt.writingFor >= survivalDuration && !this.hasSurvived) {
            this.recordSurvived(attempt);
        }
    }

    /** Must be called when the request has ended. */
    end(): void {
        if (this.hasBroken) {
            this.progress.dependencies.clock.after(decisionDuration, this.endPartTrial);
        }
        else {
            this.endPartTrial();
        }
    }

    /** Records that the endpoint of `attempt` broke off its response. */
    recordBroken(attempt: Attempt): void {
        this.hasBroken = true;
        // An endpoint that has survived the parts of a prompt hasn't crashed by them.
        const { sharedParts } = this.progress.request;
        const suspectParts = attempt.writingFor >= survivalDuration ? [] : sharedParts;
        this.progress.dependencies.crashDetector.recordBroken(
            attempt.endpoint.record,
            this.presentRequest(attempt, suspectParts),
            attempt.path,
        );
    }

    /**
     * Records that `attempt` was given up, as its endpoint had sent nothing more. A loss of power silences many endpoints, and
     * nearly all prompts share some part; no part is suspected for it.
     */
    recordAbandoned(attempt: Attempt): void {
        this.progress.dependencies.silentEnds.recordAbandoned(
            attempt.endpoint.record,
            this.presentRequest(attempt, []),
        );
    }

    /** Records that the endpoint of `attempt` has served the request to its end. */
    recordCompletion(attempt: Attempt): void {
        const { quarantine, silentEnds, clock } = this.progress.dependencies;
        quarantine.recordCompletion(this.progress.fingerprint);
        silentEnds.recordServed(attempt.endpoint.record, attempt.servingSince);
        // A response that is no stream may come before the endpoint writes anything.
        if (this.hasSurvived || attempt.writingSince === undefined) {
            return;
        }
        clock.after(
            Math.max(0, survivalDuration - attempt.writingFor),
            () => void this.recordSurvivedUnlessCrashed(attempt),
        );
    }

    /** A short answer may end just before its endpoint crashes by it, with no other response that breaks off. */
    private async recordSurvivedUnlessCrashed(attempt: Attempt): Promise<void> {
        const { quarantine, endpointChecker } = this.progress.dependencies;
        const endpoint = attempt.endpoint.record;
        const isSuspect = quarantine.suspectParts(this.progress.request.sharedParts) !== undefined;
        const condition = isSuspect ? await endpointChecker.check(endpoint, attempt.path) : EndpointCondition.Accepting;
        if (condition === EndpointCondition.Accepting && !quarantine.hasCrashed(endpoint)) {
            this.recordSurvived(attempt);
        }
    }

    private recordSurvived(attempt: Attempt): void {
        const { request, dependencies: { quarantine } } = this.progress;
        this.hasSurvived = true;
        this.endPartTrial();
        if (request.sharedParts.length > 0) {
            quarantine.recordSurvived(request.sharedParts, attempt.writingSince!);
        }
    }

    /** The request as it was present at a crash that these parts of its prompt may have caused. */
    private presentRequest(attempt: Attempt, parts: readonly string[]): CrashedRequest {
        return {
            request: this.progress.fingerprint.value,
            servedFor: attempt.servedFor,
            suspectParts: new Map(parts.map(part => [part, { isTrial: this.partsOnTrial.includes(part) }])),
        };
    }

    /** Starts a trial if the prompt has suspect parts. Throws a `RequestFailure` if there are enough others. */
    private startPartTrial(): void {
        const { quarantine, partTrials } = this.progress.dependencies;
        if (this.partsOnTrial.length > 0 && !this.progress.attempts.mayHaveRun) {
            return;
        }
        const suspects = quarantine.suspectParts(this.progress.request.sharedParts);
        if (suspects === undefined) {
            return;
        }
        const endTrial = this.progress.attempts.mayHaveRun ? undefined : partTrials.tryStart(suspects);
        if (endTrial === undefined) {
            this.rejectSuspect(suspects.parts);
        }
        this.partsOnTrial = suspects.parts;
        this.endPartTrial = endTrial;
        this.progress.log("A prompt with suspect parts is tried.", undefined, { parts: suspects.parts });
    }

    private rejectSuspect(parts: readonly string[]): never {
        this.progress.dependencies.metrics.count("suspect_rejections_total");
        throw this.progress.createFailure(
            FailureKind.Quarantined,
            `endpoints crashed under prompts with the parts ${parts.join(", ")}, and others are being tried`,
            suspectRetrySeconds,
        );
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
            this.partsOnTrial = partsOfKey(quarantined.request) ?? [];
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
