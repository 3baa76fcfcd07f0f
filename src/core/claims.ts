/** At most once: a claim in the platform before the call, the answer in the claim after it. */
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

/** Bound on settling a claim before the call: past it the platform counts as down. */
const settleMilliseconds = 2_000;
const settleRetryMilliseconds = 50;
/** Bound on keeping the answer before the caller gets it. */
const keepMilliseconds = 1_000;
const keepRetryMilliseconds = 250;
const keepTries = 60;
/** Time between two looks at a claim that another entry works on. */
const pollMilliseconds = 100;
/** Largest answer kept for repeats; the platform holds values up to a megabyte. */
export const keptAnswerBytes = 256 * 1024;
const platformRetrySeconds = 2;
const releasedAtMost = 10_000;
const seenAtMost = 50_000;
/** A caller that repeats a request does so within this time. */
const keyMemoryMilliseconds = 10 * 60_000;
const collectMilliseconds = 30_000;
const collectedAtOnce = 20;
/** Claims are kept this long for repeats. */
export const claimLifetimeMilliseconds = 24 * 3_600_000;

/** What a claim's object says of the call. */
export enum ClaimState {
    /** The call may be running. */
    Claimed = "claimed",
    Answered = "answered",
    /** The call was sent and its outcome was lost. */
    Lost = "lost",
}

/** An answer as it is kept. */
export interface KeptAnswer {
    status: number;
    contentType?: string;
    bodyBase64: string;
}

/** The stored claim. */
export interface ClaimValue {
    nonce: string;
    holder: string;
    holderIncarnation: string;
    bodyFingerprint: string;
    state: ClaimState;
    answer?: KeptAnswer;
    /** Wall time of the claim, for collecting old ones. */
    claimedAt: Milliseconds;
}

/** A claim that this entry holds. */
export interface HeldClaim {
    name: string;
    version: number;
    value: ClaimValue;
}

/** What claiming led to. */
export type ClaimOutcome =
    | { type: "Held"; claim: HeldClaim; }
    | { type: "Answered"; answer: ServiceResponse; };

/** What claims work with. */
export interface ClaimsParts {
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

/** Name of the claim of a customer's key. */
export const claimName = (customer: string, key: string): string => fingerprint(customer, key);

const platformDown = (execution: Execution): RequestFailure => {
    const detail = execution === Execution.NotRun
        ? "the platform can't record this request, so it was not run"
        : "the platform can't say whether an earlier request with this key ran; this one was not run";
    return new RequestFailure(FailureKind.PlatformDown, execution, detail, platformRetrySeconds);
};

const outcomeUnknown = (detail: string): RequestFailure =>
    new RequestFailure(FailureKind.OutcomeUnknown, Execution.Unknown, detail, platformRetrySeconds);

/**
 * Claims of calls that must not be repeated.
 *
 * The claim is created conditionally before the call is sent, so of two entries with the same key one loses. It is
 * never taken over unless its holder itself says that it gave it up: a holder that was paused may wake and send, and
 * a family would be charged twice. A claim whose holder died answers `unknown` for good.
 */
export class Claims {
    /** Nonces of this entry's calls that are still being worked on. */
    private readonly running = new Set<string>();
    /** Nonces that this entry gave up before sending; a send must never follow. */
    private readonly released = new Set<string>();
    /** Names of claims that were seen to stand: their calls may have run. */
    private readonly seen = new Set<string>();

    constructor(private readonly parts: ClaimsParts) {}

    /**
     * Claims a key, waits for the holder of an earlier claim, or returns its kept answer.
     *
     * Throws {@link RequestFailure}: 422 for another body, `not-run` while the platform is down, `unknown` where the
     * earlier call's outcome can't be known.
     */
    async claim(customer: string, key: string, bodyFingerprint: string, deadline: Deadline): Promise<ClaimOutcome> {
        const name = claimName(customer, key);
        const value = this.newClaim(bodyFingerprint);
        this.running.add(value.nonce);
        try {
            const outcome = await withTimeout(
                this.parts.clock,
                deadline.remaining(),
                "settling a claim",
                () => this.settle(name, value, deadline),
            );
            if (outcome.type === "Answered") {
                this.release(value.nonce);
            }
            return outcome;
        }
        catch (error) {
            this.release(value.nonce);
            if (error instanceof TimeLimitError) {
                throw outcomeUnknown("the first call with this key has not ended, or the platform can't say");
            }
            throw error;
        }
    }

    /** Whether a held claim may still be sent. Ask in the same synchronous step as the send. */
    maySend(claim: HeldClaim): boolean {
        return !this.released.has(claim.value.nonce);
    }

    /** Gives a claim up before anything was sent, so that a repeat can run. */
    async giveUp(claim: HeldClaim): Promise<void> {
        this.release(claim.value.nonce);
        this.seen.delete(claim.name);
        try {
            await this.parts.platform.remove(ObjectKind.Claim, claim.name, claim.version);
        }
        catch (error) {
            // A repeat finds the claim, asks this entry, and takes it over.
            this.parts.log.warn("A claim could not be removed.", { reason: describeError(error) });
        }
    }

    /** Keeps the answer for repeats; returns when it is kept or after a bound, and goes on in the background. */
    async keep(claim: HeldClaim, answer: ServiceResponse | undefined): Promise<void> {
        const value: ClaimValue = { ...claim.value, ...this.outcomeOf(answer) };
        const kept = this.writeOutcome(claim, value).finally(() => this.running.delete(claim.value.nonce));
        await withTimeoutOrUndefined(this.parts.clock, keepMilliseconds, "keeping an answer", () => kept);
    }

    /** Answers a peer that found a claim of this entry. */
    progress(nonce: string): ClaimProgress {
        if (this.running.has(nonce)) {
            return ClaimProgress.Running;
        }
        return this.released.has(nonce) ? ClaimProgress.Released : ClaimProgress.Unknown;
    }

    /**
     * What this entry remembers of a key.
     *
     * In an outage a repeat looks like a first request. Refusing it as "not run" while the first one ran would have
     * the family book elsewhere and be charged twice, so the entries ask one another first.
     */
    keyHistory(name: string): KeyHistory {
        if (this.seen.has(name)) {
            return KeyHistory.Seen;
        }
        const sinceLoss = this.parts.clock.now() - this.parts.membership.lastPeerLoss;
        return sinceLoss < keyMemoryMilliseconds ? KeyHistory.Incomplete : KeyHistory.NotSeen;
    }

    /** Removes claims that are too old to be repeated, until `signal` aborts. One entry at a time does it. */
    async collect(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.parts.clock.sleep(collectMilliseconds, signal);
            const entries = this.parts.membership.answeringEntries();
            if (!signal.aborted && rendezvous("claims", entries) === this.parts.self.instance) {
                await this.collectOnce();
            }
        }
    }

    /** Calls that are being worked on. */
    get count(): number {
        return this.running.size;
    }

    private newClaim(bodyFingerprint: string): ClaimValue {
        return {
            nonce: randomIdentifier(this.parts.random),
            holder: this.parts.self.instance,
            holderIncarnation: this.parts.self.incarnation,
            bodyFingerprint,
            state: ClaimState.Claimed,
            claimedAt: this.parts.clock.wallTime(),
        };
    }

    private async collectOnce(): Promise<void> {
        try {
            const { objects } = await this.parts.platform.list([ObjectKind.Claim]);
            const oldest = this.parts.clock.wallTime() - claimLifetimeMilliseconds;
            const old = objects.filter(object => (object.value as ClaimValue).claimedAt < oldest);
            for (const object of old.slice(0, collectedAtOnce)) {
                await this.parts.platform.remove(ObjectKind.Claim, object.name, object.version);
            }
        }
        catch (error) {
            this.parts.log.warn("Old claims were not collected.", { reason: describeError(error) });
        }
    }

    private remember(name: string): void {
        this.seen.add(name);
        if (this.seen.size > seenAtMost) {
            this.seen.delete(this.seen.values().next().value!);
        }
    }

    /** The refusal of a request whose claim the platform doesn't take. */
    private async refuseInOutage(name: string): Promise<RequestFailure> {
        const histories = this.parts.membership.peers().map(async peer => {
            try {
                return await this.parts.peers.keyHistory(peer.record.address, name);
            }
            catch {
                return KeyHistory.Incomplete;
            }
        });
        const all = [this.keyHistory(name), ...await Promise.all(histories)];
        const unused = all.every(history => history === KeyHistory.NotSeen);
        return platformDown(unused ? Execution.NotRun : Execution.Unknown);
    }

    private release(nonce: string): void {
        this.running.delete(nonce);
        this.released.add(nonce);
        if (this.released.size > releasedAtMost) {
            // A forgotten nonce is answered as unknown, which is safe.
            this.released.delete(this.released.values().next().value!);
        }
    }

    private async settle(name: string, value: ClaimValue, deadline: Deadline): Promise<ClaimOutcome> {
        let expectedVersion = absentVersion;
        while (true) {
            const existing = await this.create(name, value, expectedVersion, deadline);
            if (existing.type === "Held") {
                return existing;
            }
            const verdict = await this.judge(existing.current, value, deadline);
            if (verdict.type === "Answered") {
                return verdict;
            }
            expectedVersion = verdict.takeOverVersion;
        }
    }

    /** Creates the claim, or finds the one that stands; a lost answer is settled by reading the nonce back. */
    private async create(
        name: string,
        value: ClaimValue,
        expectedVersion: number,
        deadline: Deadline,
    ): Promise<{ type: "Held"; claim: HeldClaim; } | { type: "Exists"; current: StoredObject | undefined; }> {
        // In a known outage one try is enough: the caller is better told at once.
        const settle = this.parts.health.down ? 0 : settleMilliseconds;
        const until = this.parts.clock.now() + deadline.bounded(settle);
        while (true) {
            try {
                const outcome = await this.parts.platform.write(ObjectKind.Claim, name, expectedVersion, value);
                if (outcome.type === "Written") {
                    this.remember(name);
                    return { type: "Held", claim: { name, version: outcome.version, value } };
                }
                const current = outcome.current;
                if (current) {
                    this.remember(name);
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
                this.parts.timeline.record("claims", "write-failed", undefined, describeError(error));
            }
            // Writing again on the same condition is the reading back: it conflicts with its own lost write.
            if (this.parts.clock.now() >= until) {
                throw await this.refuseInOutage(name);
            }
            await this.parts.clock.sleep(settleRetryMilliseconds);
        }
    }

    /** Waits on a claim that stands until it is answered, can be taken over, or is known to be lost. */
    private async judge(
        found: StoredObject | undefined,
        own: ClaimValue,
        deadline: Deadline,
    ): Promise<{ type: "Answered"; answer: ServiceResponse; } | { type: "TakeOver"; takeOverVersion: number; }> {
        let current = found;
        while (true) {
            const value = current?.value as ClaimValue | undefined;
            if (!current || !value) {
                return { type: "TakeOver", takeOverVersion: current?.version ?? absentVersion };
            }
            if (value.bodyFingerprint !== own.bodyFingerprint) {
                const detail = "Idempotency-Key was used before with another request";
                throw new RequestFailure(FailureKind.KeyReused, Execution.NotRun, detail);
            }
            if (value.state === ClaimState.Answered) {
                return { type: "Answered", answer: this.keptAnswer(value) };
            }
            if (value.state === ClaimState.Lost) {
                throw outcomeUnknown("the first call with this key was sent and its answer was lost");
            }
            if (await this.holderProgress(value, current.name) === ClaimProgress.Released) {
                return { type: "TakeOver", takeOverVersion: current.version };
            }
            if (deadline.expired) {
                throw outcomeUnknown("the first call with this key has not ended yet");
            }
            await this.parts.clock.sleep(deadline.bounded(pollMilliseconds));
            current = await this.readAgain(current, deadline);
        }
    }

    private async readAgain(current: StoredObject, deadline: Deadline): Promise<StoredObject | undefined> {
        try {
            return await this.parts.platform.read(ObjectKind.Claim, current.name);
        }
        catch (error) {
            if (!(error instanceof PlatformError)) {
                throw error;
            }
            if (deadline.expired) {
                throw outcomeUnknown("the platform can't say what became of the first call with this key");
            }
            return current;
        }
    }

    /** What the holder says of its claim. Throws `unknown` when it is dead and can never say. */
    private async holderProgress(value: ClaimValue, name: string): Promise<ClaimProgress> {
        if (value.holder === this.parts.self.instance && value.holderIncarnation === this.parts.self.incarnation) {
            return this.progress(value.nonce);
        }
        const peer = this.parts.membership.peer(value.holder);
        const replaced = peer?.heartbeat && peer.heartbeat.incarnation !== value.holderIncarnation;
        if (!peer || replaced) {
            throw outcomeUnknown("the entry that held the first call with this key died; it may have run");
        }
        try {
            const progress = await this.parts.peers.claimProgress(peer.record.address, name, value.nonce);
            if (progress === ClaimProgress.Unknown) {
                throw outcomeUnknown("the entry that held the first call with this key no longer knows of it");
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

    private keptAnswer(value: ClaimValue): ServiceResponse {
        const { answer } = value;
        if (!answer) {
            const detail = "the first call with this key ran; its answer was too large to be kept";
            throw new RequestFailure(FailureKind.AnswerNotKept, Execution.Ran, detail);
        }
        return {
            status: answer.status,
            contentType: answer.contentType,
            body: Buffer.from(answer.bodyBase64, "base64"),
        };
    }

    private outcomeOf(answer: ServiceResponse | undefined): Pick<ClaimValue, "state" | "answer"> {
        if (!answer) {
            return { state: ClaimState.Lost };
        }
        if (answer.body.length > keptAnswerBytes) {
            return { state: ClaimState.Answered };
        }
        const { status, contentType } = answer;
        return {
            state: ClaimState.Answered,
            answer: { status, contentType, bodyBase64: answer.body.toString("base64") },
        };
    }

    private async writeOutcome(claim: HeldClaim, value: ClaimValue): Promise<void> {
        for (let attempt = 0; attempt < keepTries; attempt++) {
            try {
                // A conflict can only be this write's own lost answer: nobody takes over a claim that is running.
                await this.parts.platform.write(ObjectKind.Claim, claim.name, claim.version, value);
                return;
            }
            catch (error) {
                if (!(error instanceof PlatformError)) {
                    throw error;
                }
                await this.parts.clock.sleep(keepRetryMilliseconds);
            }
        }
        this.parts.log.error("An answer could not be kept. Repeats of its key get no answer.", { claim: claim.name });
    }
}
