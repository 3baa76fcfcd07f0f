/**
 * At-most-once execution of service calls that carry an idempotency key. The entry stores a claim in the platform before
 * it sends the call, and stores the response in that claim afterwards. Repeats of the key get the stored response.
 */
import {
    absentVersion,
    ClaimProgress,
    Clock,
    Deadline,
    describeError,
    Execution,
    FailureKind,
    fingerprint,
    KeyHistory,
    Membership,
    Milliseconds,
    ObjectKind,
    PartLog,
    PeerLostError,
    PeerPort,
    PlatformError,
    PlatformHealth,
    PlatformPort,
    Random,
    randomIdentifier,
    rendezvous,
    RequestFailure,
    ServiceResponse,
    StoredObject,
    TimeLimitError,
    Timeline,
    withTimeout,
    withTimeoutOrUndefined,
} from "../internal.js";

/** Time for creating a claim before the call. When it is over, the request is rejected as in a platform outage. */
const createTimeoutMilliseconds = 2_000;
const createRetryDelayMilliseconds = 50;
/** How long the caller's response is delayed until it is stored; after that, storing continues in the background. */
const storeTimeoutMilliseconds = 1_000;
const storeRetryDelayMilliseconds = 250;
const maximumStoreAttempts = 60;
/** Interval at which a claim held by another entry is read again. */
const pollIntervalMilliseconds = 100;
/** Largest response body that is stored for repeats. The platform stores values of up to one megabyte. */
export const maximumKeptAnswerBytes = 256 * 1024;
const platformRetryAfterSeconds = 2;
const maximumReleasedNonces = 10_000;
const maximumSeenClaims = 50_000;
/** Callers repeat a request within this time. After the loss of a process, key histories are incomplete for this long. */
const keyReuseWindowMilliseconds = 10 * 60_000;
const collectionIntervalMilliseconds = 30_000;
const maximumRemovalsPerCollection = 20;
/** Claims are stored for this long, so that repeats find them. */
export const claimLifetimeMilliseconds = 24 * 3_600_000;

/** State of the call, as stored in its claim. */
export enum ClaimState {
    /** The call may be running. */
    Claimed = "claimed",
    Answered = "answered",
    /** The call was sent, but its outcome is not known. */
    Lost = "lost",
}

/** A response as stored in a claim. */
export interface KeptAnswer {
    status: number;
    contentType?: string;
    bodyBase64: string;
}

/** A claim as stored in the platform. */
export interface ClaimValue {
    nonce: string;
    holder: string;
    holderIncarnation: string;
    bodyFingerprint: string;
    state: ClaimState;
    answer?: KeptAnswer;
    /** Wall-clock time of the claim, by which expired claims are removed. */
    claimedAt: Milliseconds;
}

/** A claim that this entry holds. */
export interface HeldClaim {
    name: string;
    version: number;
    value: ClaimValue;
}

/** Result of {@link Claims.claim}. */
export type ClaimOutcome =
    | { type: "Held"; claim: HeldClaim; }
    | { type: "Answered"; answer: ServiceResponse; };

export interface ClaimsDependencies {
    clock: Clock;
    random: Random;
    platform: PlatformPort;
    peers: PeerPort;
    health: PlatformHealth;
    membership: Membership;
    log: PartLog;
    timeline: Timeline;
    self: { instance: string; incarnation: string; };
}

/** Name of the claim object for a customer's idempotency key. */
export const claimName = (customer: string, key: string): string => fingerprint(customer, key);

const platformDownFailure = (execution: Execution): RequestFailure => {
    const detail = execution === Execution.NotRun
        ? "the platform is unavailable and can't store the claim of this request, so the request was not run"
        : "the platform is unavailable; this request was not run, but an earlier one with this key may have run";
    return new RequestFailure(FailureKind.PlatformDown, execution, detail, platformRetryAfterSeconds);
};

const outcomeUnknownFailure = (detail: string): RequestFailure =>
    new RequestFailure(FailureKind.OutcomeUnknown, Execution.Unknown, detail, platformRetryAfterSeconds);

/**
 * Creates, checks and completes claims.
 *
 * An entry creates the claim by a conditional write before it sends the call, so only one of several entries with the
 * same key can send. Another entry takes a claim over only after the holder has confirmed that it released the claim.
 * A timeout would not be safe: a paused holder could resume and send its call, and a booking would be charged twice.
 * If the holder has died, the outcome of its claim stays `unknown`.
 */
export class Claims {
    /** Nonces of this entry's claims that are still in use. */
    private readonly runningNonces = new Set<string>();
    /** Nonces of claims that this entry released before sending. Their calls must never be sent. */
    private readonly releasedNonces = new Set<string>();
    /** Names of claims that this entry created or found in the platform. Their calls may have run. */
    private readonly seenClaimNames = new Set<string>();

    constructor(private readonly dependencies: ClaimsDependencies) {}

    /**
     * Claims a key. If the key has an earlier claim, waits for that claim's holder and returns its stored response.
     *
     * Throws {@link RequestFailure}: status 422 if the key was used with another body; execution `not-run` while the
     * platform is unavailable; execution `unknown` if the earlier call's outcome can't be determined.
     */
    async claim(customer: string, key: string, bodyFingerprint: string, deadline: Deadline): Promise<ClaimOutcome> {
        const name = claimName(customer, key);
        const value = this.createValue(bodyFingerprint);
        this.runningNonces.add(value.nonce);
        try {
            const outcome = await withTimeout(
                this.dependencies.clock,
                deadline.remaining(),
                "creating a claim",
                () => this.createOrFindAnswer(name, value, deadline),
            );
            if (outcome.type === "Answered") {
                this.release(value.nonce);
            }
            return outcome;
        }
        catch (error) {
            this.release(value.nonce);
            if (error instanceof TimeLimitError) {
                throw outcomeUnknownFailure("timed out before the outcome of the first call with this key was known");
            }
            throw error;
        }
    }

    /** Whether the call of a held claim may still be sent. Call this in the same synchronous step as the send. */
    maySend(claim: HeldClaim): boolean {
        return !this.releasedNonces.has(claim.value.nonce);
    }

    /** Releases a claim whose call was not sent, so that a repeat can run. */
    async releaseUnsent(claim: HeldClaim): Promise<void> {
        this.release(claim.value.nonce);
        this.seenClaimNames.delete(claim.name);
        try {
            await this.dependencies.platform.remove(ObjectKind.Claim, claim.name, claim.version);
        }
        catch (error) {
            // A repeat that finds the claim asks this entry for its progress and takes the claim over.
            this.dependencies.log.warn("A released claim could not be removed.", { reason: describeError(error) });
        }
    }

    /**
     * Stores the response for repeats; an undefined `answer` marks the outcome as lost. Resolves once the claim is
     * written or the timeout is over. Writing then continues in the background.
     */
    async storeOutcome(claim: HeldClaim, answer: ServiceResponse | undefined): Promise<void> {
        const value: ClaimValue = { ...claim.value, ...this.encodeOutcome(answer) };
        const written = this.writeOutcome(claim, value).finally(() => this.runningNonces.delete(claim.value.nonce));
        await withTimeoutOrUndefined(
            this.dependencies.clock,
            storeTimeoutMilliseconds,
            "storing a response",
            () => written,
        );
    }

    /** Progress of a claim of this entry, for a peer that found the claim. */
    progress(nonce: string): ClaimProgress {
        if (this.runningNonces.has(nonce)) {
            return ClaimProgress.Running;
        }
        return this.releasedNonces.has(nonce) ? ClaimProgress.Released : ClaimProgress.Unknown;
    }

    /**
     * Whether this entry has seen a claim of the key.
     *
     * During a platform outage an entry can't distinguish a repeat from a first request. If it rejected a repeat as "not run"
     * although the first request had run, the caller would book elsewhere and be charged twice. An entry therefore
     * asks its peers for their history of the key before it answers "not run".
     */
    keyHistory(name: string): KeyHistory {
        if (this.seenClaimNames.has(name)) {
            return KeyHistory.Seen;
        }
        const sinceLoss = this.dependencies.clock.now() - this.dependencies.membership.lastPeerLoss;
        return sinceLoss < keyReuseWindowMilliseconds ? KeyHistory.Incomplete : KeyHistory.NotSeen;
    }

    /** Removes expired claims periodically until `signal` aborts. One entry, chosen by rendezvous hashing, does this. */
    async collectExpired(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.dependencies.clock.sleep(collectionIntervalMilliseconds, signal);
            const entries = this.dependencies.membership.responsiveEntries();
            if (!signal.aborted && rendezvous("claims", entries) === this.dependencies.self.instance) {
                await this.removeExpired();
            }
        }
    }

    /** Number of this entry's claims that are in use. */
    get runningCount(): number {
        return this.runningNonces.size;
    }

    private createValue(bodyFingerprint: string): ClaimValue {
        return {
            nonce: randomIdentifier(this.dependencies.random),
            holder: this.dependencies.self.instance,
            holderIncarnation: this.dependencies.self.incarnation,
            bodyFingerprint,
            state: ClaimState.Claimed,
            claimedAt: this.dependencies.clock.wallTime(),
        };
    }

    private async removeExpired(): Promise<void> {
        try {
            const { objects } = await this.dependencies.platform.list([ObjectKind.Claim]);
            const expiredBefore = this.dependencies.clock.wallTime() - claimLifetimeMilliseconds;
            const expired = objects.filter(object => (object.value as ClaimValue).claimedAt < expiredBefore);
            for (const object of expired.slice(0, maximumRemovalsPerCollection)) {
                await this.dependencies.platform.remove(ObjectKind.Claim, object.name, object.version);
            }
        }
        catch (error) {
            this.dependencies.log.warn("Expired claims could not be removed.", { reason: describeError(error) });
        }
    }

    private recordSeen(name: string): void {
        this.seenClaimNames.add(name);
        if (this.seenClaimNames.size > maximumSeenClaims) {
            this.seenClaimNames.delete(this.seenClaimNames.values().next().value!);
        }
    }

    /** Builds the failure of a request whose claim can't be written. */
    private async outageFailure(name: string): Promise<RequestFailure> {
        const histories = this.dependencies.membership.peers().map(async peer => {
            try {
                return await this.dependencies.peers.keyHistory(peer.record.address, name);
            }
            catch {
                return KeyHistory.Incomplete;
            }
        });
        const allHistories = [this.keyHistory(name), ...await Promise.all(histories)];
        const neverSeen = allHistories.every(history => history === KeyHistory.NotSeen);
        return platformDownFailure(neverSeen ? Execution.NotRun : Execution.Unknown);
    }

    private release(nonce: string): void {
        this.runningNonces.delete(nonce);
        this.releasedNonces.add(nonce);
        if (this.releasedNonces.size > maximumReleasedNonces) {
            // For a nonce that was dropped here, `progress` returns Unknown. This is safe: the claim isn't taken over.
            this.releasedNonces.delete(this.releasedNonces.values().next().value!);
        }
    }

    private async createOrFindAnswer(name: string, value: ClaimValue, deadline: Deadline): Promise<ClaimOutcome> {
        let expectedVersion = absentVersion;
        while (true) {
            const created = await this.createOrFindClaim(name, value, expectedVersion, deadline);
            if (created.type === "Held") {
                return created;
            }
            const earlierClaim = await this.waitForHolder(created.current, value, deadline);
            if (earlierClaim.type === "Answered") {
                return earlierClaim;
            }
            expectedVersion = earlierClaim.takeOverVersion;
        }
    }

    /**
     * Creates the claim or returns the existing one. If the response to a write was lost, the nonce in the stored claim
     * shows whether the write succeeded.
     */
    private async createOrFindClaim(
        name: string,
        value: ClaimValue,
        expectedVersion: number,
        deadline: Deadline,
    ): Promise<{ type: "Held"; claim: HeldClaim; } | { type: "Exists"; current: StoredObject | undefined; }> {
        // During a known outage the entry tries once only, so that the caller gets the failure without delay.
        const timeout = this.dependencies.health.isDown ? 0 : createTimeoutMilliseconds;
        const retryUntil = this.dependencies.clock.now() + deadline.bounded(timeout);
        while (true) {
            try {
                const outcome = await this.dependencies.platform.write(ObjectKind.Claim, name, expectedVersion, value);
                if (outcome.type === "Written") {
                    this.recordSeen(name);
                    return { type: "Held", claim: { name, version: outcome.version, value } };
                }
                const current = outcome.current;
                if (current) {
                    this.recordSeen(name);
                }
                if (current && (current.value as ClaimValue | undefined)?.nonce === value.nonce) {
                    return { type: "Held", claim: { name, version: current.version, value } };
                }
                return { type: "Exists", current };
            }
            catch (error) {
                if (!(error instanceof PlatformError)) {
                    throw error;
                }
                this.dependencies.timeline.record("claims", "write-failed", undefined, describeError(error));
            }
            // The next write has the same expected version. If the lost write succeeded, the next one conflicts with it
            // and returns the stored claim.
            if (this.dependencies.clock.now() >= retryUntil) {
                throw await this.outageFailure(name);
            }
            await this.dependencies.clock.sleep(createRetryDelayMilliseconds);
        }
    }

    /** Polls an existing claim until its response is stored, it can be taken over, or its outcome is known to be lost. */
    private async waitForHolder(
        existing: StoredObject | undefined,
        ownValue: ClaimValue,
        deadline: Deadline,
    ): Promise<{ type: "Answered"; answer: ServiceResponse; } | { type: "TakeOver"; takeOverVersion: number; }> {
        let current = existing;
        while (true) {
            const value = current?.value as ClaimValue | undefined;
            if (!current || !value) {
                return { type: "TakeOver", takeOverVersion: current?.version ?? absentVersion };
            }
            if (value.bodyFingerprint !== ownValue.bodyFingerprint) {
                const detail = "Idempotency-Key was already used with a different request";
                throw new RequestFailure(FailureKind.KeyReused, Execution.NotRun, detail);
            }
            if (value.state === ClaimState.Answered) {
                return { type: "Answered", answer: this.decodeAnswer(value) };
            }
            if (value.state === ClaimState.Lost) {
                throw outcomeUnknownFailure("the first call with this key was sent, but its response was lost");
            }
            if (await this.holderProgress(value, current.name) === ClaimProgress.Released) {
                return { type: "TakeOver", takeOverVersion: current.version };
            }
            if (deadline.expired) {
                throw outcomeUnknownFailure("the first call with this key is still running");
            }
            await this.dependencies.clock.sleep(deadline.bounded(pollIntervalMilliseconds));
            current = await this.reread(current, deadline);
        }
    }

    private async reread(current: StoredObject, deadline: Deadline): Promise<StoredObject | undefined> {
        try {
            return await this.dependencies.platform.read(ObjectKind.Claim, current.name);
        }
        catch (error) {
            if (!(error instanceof PlatformError)) {
                throw error;
            }
            if (deadline.expired) {
                throw outcomeUnknownFailure(
                    "the platform is unavailable, so the state of the first call with this key can't be read",
                );
            }
            return current;
        }
    }

    /** Asks the holder for its claim's progress. Throws a failure with execution `unknown` if the holder has died. */
    private async holderProgress(value: ClaimValue, name: string): Promise<ClaimProgress> {
        if (
            value.holder === this.dependencies.self.instance
            && value.holderIncarnation === this.dependencies.self.incarnation
        ) {
            return this.progress(value.nonce);
        }
        const peer = this.dependencies.membership.peer(value.holder);
        const restarted = peer?.heartbeat && peer.heartbeat.incarnation !== value.holderIncarnation;
        if (!peer || restarted) {
            throw outcomeUnknownFailure("the entry that claimed this key first has died; its call may have run");
        }
        try {
            const progress = await this.dependencies.peers.claimProgress(peer.record.address, name, value.nonce);
            if (progress === ClaimProgress.Unknown) {
                throw outcomeUnknownFailure(
                    "the entry that claimed this key first has no record of the claim; its call may have run",
                );
            }
            return progress;
        }
        catch (error) {
            if (error instanceof PeerLostError) {
                return ClaimProgress.Running;
            }
            throw error;
        }
    }

    private decodeAnswer(value: ClaimValue): ServiceResponse {
        const { answer } = value;
        if (!answer) {
            const detail = "the first call with this key ran, but its response was too large to be stored";
            throw new RequestFailure(FailureKind.AnswerNotKept, Execution.Ran, detail);
        }
        return {
            status: answer.status,
            contentType: answer.contentType,
            body: Buffer.from(answer.bodyBase64, "base64"),
        };
    }

    private encodeOutcome(answer: ServiceResponse | undefined): Pick<ClaimValue, "state" | "answer"> {
        if (!answer) {
            return { state: ClaimState.Lost };
        }
        if (answer.body.length > maximumKeptAnswerBytes) {
            return { state: ClaimState.Answered };
        }
        const { status, contentType } = answer;
        return {
            state: ClaimState.Answered,
            answer: { status, contentType, bodyBase64: answer.body.toString("base64") },
        };
    }

    private async writeOutcome(claim: HeldClaim, value: ClaimValue): Promise<void> {
        for (let attempt = 0; attempt < maximumStoreAttempts; attempt++) {
            try {
                // A conflict means that an earlier attempt of this write succeeded and its response was lost: no other
                // entry takes over a claim that is in use. The outcome of the write is therefore not checked.
                await this.dependencies.platform.write(ObjectKind.Claim, claim.name, claim.version, value);
                return;
            }
            catch (error) {
                if (!(error instanceof PlatformError)) {
                    throw error;
                }
                await this.dependencies.clock.sleep(storeRetryDelayMilliseconds);
            }
        }
        this.dependencies.log.error("A response could not be stored. Repeats of its key will not get it.", {
            claim: claim.name,
        });
    }
}
