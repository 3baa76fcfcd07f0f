/**
 * Carries out operators' changes: conditional writes of configuration objects, and orders that take a data centre or an
 * instance out of service ("outs"). An out takes effect even while the platform is unavailable.
 */
import {
    absentVersion,
    Clock,
    Configuration,
    DandelionrampError,
    describeError,
    InvalidObjectError,
    Membership,
    Milliseconds,
    ObjectKind,
    parseConfigurationObject,
    PartLog,
    PlatformError,
    PlatformHealth,
    PlatformPort,
    ProvisionalOut,
    Random,
    randomIdentifier,
    Restrictions,
    Serving,
    servingKindOf,
    ServingState,
    StoredObject,
    Timeline,
    WriteOutcome,
} from "../internal.js";

const writeTimeoutMilliseconds = 3_000;
const writeRetryDelayMilliseconds = 100;
const provisionalRetryIntervalMilliseconds = 500;

/** Number of lifted outs that an object lists; more than are pending at the same time. */
const maximumLifts = 64;

/** The outs that a new state of the object supersedes: those already lifted and the one in force, the latest ones only. */
const supersededOuts = (serving: Serving | undefined): string[] => {
    const lifts = serving?.lifts ?? [];
    const current = serving?.state === ServingState.Out && serving.change !== undefined ? [serving.change] : [];
    return [...lifts, ...current].slice(-maximumLifts);
};

/** Result of an operator's change. */
export type ChangeOutcome =
    /** The platform has stored the change; the other entries receive it from the platform or from peers. */
    | { type: "Accepted"; version: number; }
    /** The stored version was not `expectedVersion`; no part of this change is in force. */
    | { type: "Conflict"; current: StoredObject | undefined; }
    /** The platform is unavailable. The out is in force on all reachable entries and is stored once it is available. */
    | { type: "Provisional"; };

/** The platform failed to read or write an object. A change whose write failed may still take effect. */
export class ChangeUncertainError extends DandelionrampError {}

export interface OperationsDependencies {
    clock: Clock;
    random: Random;
    platform: PlatformPort;
    health: PlatformHealth;
    configuration: Configuration;
    restrictions: Restrictions;
    membership: Membership;
    log: PartLog;
    timeline: Timeline;
}

/** Carries out operators' changes. */
export class Operations {
    constructor(private readonly dependencies: OperationsDependencies) {}

    /**
     * Writes a configuration object, or removes it if `value` is undefined.
     *
     * `expectedVersion` is the version that the operator read; by default the version that the platform stores now.
     * Throws InvalidObjectError for an invalid value and {@link ChangeUncertainError} if the platform's calls fail.
     */
    async change(kind: ObjectKind, name: string, value: unknown, expectedVersion?: number): Promise<ChangeOutcome> {
        if (kind === ObjectKind.DataCentre || kind === ObjectKind.Instance) {
            throw new InvalidObjectError(`${kind}: use the commands "out" and "in" to change its state`);
        }
        const expected = expectedVersion ?? (await this.readStored(kind, name))?.version ?? absentVersion;
        if (value === undefined) {
            return this.writeWithRetry(kind, name, expected, undefined);
        }
        const checked = parseConfigurationObject(kind, name, value) as Record<string, unknown>;
        const identified = { ...checked, change: randomIdentifier(this.dependencies.random) };
        return this.writeWithRetry(kind, name, expected, identified);
    }

    /**
     * Takes a data centre or an instance out of service until an operator brings it back in. While the platform is
     * unavailable, the out is provisional.
     */
    async takeOut(kind: ProvisionalOut["kind"], name: string): Promise<ChangeOutcome> {
        const out: ProvisionalOut = { kind, name, outId: randomIdentifier(this.dependencies.random) };
        // The out takes effect on this entry and its peers before it is stored, so a slow platform doesn't delay it.
        this.applyOuts([out]);
        const until = this.retryDeadline();
        while (true) {
            const outcome = await this.storeOut(out);
            if (outcome?.type === "Accepted") {
                return outcome;
            }
            if (this.dependencies.clock.now() >= until) {
                this.dependencies.log.warn("An out is provisional until the platform stores it.", { kind, name });
                return { type: "Provisional" };
            }
            await this.dependencies.clock.sleep(writeRetryDelayMilliseconds);
        }
    }

    /** Brings a data centre or an instance back into service. Requires the platform. */
    async bringIn(kind: ProvisionalOut["kind"], name: string): Promise<ChangeOutcome> {
        const objectKind = servingKindOf(kind);
        const stored = await this.readStored(objectKind, name);
        const serving = stored?.value as Serving | undefined;
        const pending = this.dependencies.restrictions.pendingOf(kind, name).map(out => out.outId);
        const value: Serving = {
            state: ServingState.In,
            change: randomIdentifier(this.dependencies.random),
            lifts: [...supersededOuts(serving), ...pending].slice(-maximumLifts),
        };
        return this.writeWithRetry(objectKind, name, stored?.version ?? absentVersion, value);
    }

    /** Applies outs from an operator or a peer and sends new ones to the peers. */
    applyOuts(outs: readonly ProvisionalOut[]): void {
        if (this.dependencies.restrictions.add(outs)) {
            for (const out of outs) {
                this.dependencies.timeline.record(
                    "operations",
                    "provisional-out",
                    undefined,
                    `${out.kind} ${out.name}`,
                );
            }
            this.dependencies.membership.sendHeartbeatsNow();
        }
    }

    /** Retries storing the provisional outs at an interval until `signal` aborts. */
    async writeProvisional(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            for (const out of this.dependencies.restrictions.pending()) {
                await this.storeOut(out);
            }
            await this.dependencies.clock.sleep(provisionalRetryIntervalMilliseconds, signal);
        }
    }

    /** Tries once to store an out, expecting the version held. Returns undefined if the platform call fails. */
    private async storeOut(out: ProvisionalOut): Promise<ChangeOutcome | undefined> {
        const kind = servingKindOf(out.kind);
        const held = this.dependencies.configuration.object(kind, out.name);
        const value: Serving = {
            state: ServingState.Out,
            change: out.outId,
            lifts: supersededOuts(held?.value as Serving | undefined),
        };
        try {
            const outcome = await this.dependencies.platform.write(
                kind,
                out.name,
                held?.version ?? absentVersion,
                value,
            );
            return this.applyOutcome(kind, out.name, outcome, value);
        }
        catch (error) {
            if (error instanceof PlatformError) {
                return undefined;
            }
            throw error;
        }
    }

    private async readStored(kind: ObjectKind, name: string): Promise<StoredObject | undefined> {
        const until = this.retryDeadline();
        while (true) {
            try {
                return await this.dependencies.platform.read(kind, name);
            }
            catch (error) {
                await this.delayOrThrow(error, until, "the platform could not be read; nothing was changed");
            }
        }
    }

    private async writeWithRetry(
        kind: ObjectKind,
        name: string,
        expected: number,
        value: unknown,
    ): Promise<ChangeOutcome> {
        const until = this.retryDeadline();
        while (true) {
            try {
                const outcome = value === undefined
                    ? await this.dependencies.platform.remove(kind, name, expected)
                    : await this.dependencies.platform.write(kind, name, expected, value);
                return this.applyOutcome(kind, name, outcome, value);
            }
            catch (error) {
                // The next attempt expects the same version. If this one succeeded and its response was lost, the next
                // one conflicts with it, and `applyOutcome` recognizes the change by its identifier.
                await this.delayOrThrow(
                    error,
                    until,
                    "the platform could not confirm the change; it may still take effect",
                );
            }
        }
    }

    /** During a known outage there is one attempt only, so that an operator's out isn't delayed by retries. */
    private retryDeadline(): Milliseconds {
        return this.dependencies.clock.now() + (this.dependencies.health.isDown ? 0 : writeTimeoutMilliseconds);
    }

    private async delayOrThrow(error: unknown, until: Milliseconds, message: string): Promise<void> {
        if (!(error instanceof PlatformError)) {
            throw error;
        }
        if (this.dependencies.clock.now() >= until) {
            throw new ChangeUncertainError(`${message} (${describeError(error)})`, { cause: error });
        }
        await this.dependencies.clock.sleep(writeRetryDelayMilliseconds);
    }

    private applyOutcome(kind: ObjectKind, name: string, outcome: WriteOutcome, value: unknown): ChangeOutcome {
        if (outcome.type === "Written") {
            this.applyObject({ kind, name, version: outcome.version, value });
            return { type: "Accepted", version: outcome.version };
        }
        const { current } = outcome;
        if (current) {
            this.applyObject(current);
        }
        const ownChange = (value as { change?: string; } | undefined)?.change;
        if (ownChange !== undefined && (current?.value as { change?: string; } | undefined)?.change === ownChange) {
            return { type: "Accepted", version: current!.version };
        }
        return { type: "Conflict", current };
    }

    private applyObject(object: StoredObject): void {
        this.dependencies.configuration.merge({ revision: 0, objects: [object] });
        this.dependencies.membership.sendHeartbeatsNow();
    }
}
