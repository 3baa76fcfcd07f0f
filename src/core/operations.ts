/** What operators change: configuration objects by conditional write, and outs that hold even in an outage. */
import {
    absentVersion,
    Clock,
    Configuration,
    DandelionrampError,
    describeError,
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
    ServingState,
    StoredObject,
    Timeline,
    WriteOutcome,
} from "../internal.js";

const writeMilliseconds = 3_000;
const writeRetryMilliseconds = 100;
const provisionalRetryMilliseconds = 500;

/** What became of an operator's change. */
export type ChangeOutcome =
    /** In the platform: accepted, and spreading. */
    | { type: "Accepted"; version: number; }
    /** Somebody else changed the object since `expectedVersion`; nothing of this change is in force. */
    | { type: "Conflict"; current: StoredObject | undefined; }
    /** The platform is down; the out holds on all entries that peers reach and is written when it returns. */
    | { type: "Provisional"; };

/** The platform could not say whether it took a change. */
export class ChangeUncertainError extends DandelionrampError {}

/** What operations work with. */
export interface OperationsParts {
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

/** Carries out operators' orders. */
export class Operations {
    constructor(private readonly parts: OperationsParts) {}

    /**
     * Writes or, with an undefined `value`, removes a configuration object.
     *
     * `expectedVersion` is the version the operator saw; without it the version this entry holds is taken. Throws
     * InvalidObjectError for a bad value and {@link ChangeUncertainError} while the platform doesn't answer.
     */
    async change(kind: ObjectKind, name: string, value: unknown, expectedVersion?: number): Promise<ChangeOutcome> {
        const expected = expectedVersion ?? await this.currentVersion(kind, name);
        if (value === undefined) {
            return this.settle(kind, name, expected, undefined);
        }
        const checked = parseConfigurationObject(kind, name, value) as Record<string, unknown>;
        const identified = { ...checked, change: randomIdentifier(this.parts.random) };
        return this.settle(kind, name, expected, identified);
    }

    /** Takes a data centre or an instance out; in an outage provisionally. */
    async takeOut(kind: ProvisionalOut["kind"], name: string): Promise<ChangeOutcome> {
        const objectKind = kind === "dataCentre" ? ObjectKind.DataCentre : ObjectKind.Instance;
        const out: ProvisionalOut = { kind, name, againstVersion: this.parts.configuration.version(objectKind, name) };
        // In force here and at the peers first: a slow platform must not delay it.
        this.spread([out]);
        try {
            return await this.change(objectKind, name, { state: ServingState.Out });
        }
        catch (error) {
            if (error instanceof ChangeUncertainError) {
                this.parts.log.warn("An out is provisional until the platform returns.", { kind, name });
                return { type: "Provisional" };
            }
            throw error;
        }
    }

    /** Brings a data centre or an instance back in. Needs the platform. */
    bringIn(kind: ProvisionalOut["kind"], name: string): Promise<ChangeOutcome> {
        const objectKind = kind === "dataCentre" ? ObjectKind.DataCentre : ObjectKind.Instance;
        return this.change(objectKind, name, { state: ServingState.In });
    }

    /** Takes outs from an operator or a peer and passes news on. */
    spread(outs: readonly ProvisionalOut[]): void {
        if (this.parts.restrictions.add(outs)) {
            for (const out of outs) {
                this.parts.timeline.record("operations", "provisional-out", undefined, `${out.kind} ${out.name}`);
            }
            this.parts.membership.hurry();
        }
    }

    /** Writes provisional outs as soon as the platform takes them, until `signal` aborts. */
    async writeProvisional(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            for (const out of this.parts.restrictions.pending()) {
                await this.writeOut(out);
            }
            await this.parts.clock.sleep(provisionalRetryMilliseconds, signal);
        }
    }

    private async writeOut(out: ProvisionalOut): Promise<void> {
        const kind = out.kind === "dataCentre" ? ObjectKind.DataCentre : ObjectKind.Instance;
        const value = { state: ServingState.Out, change: randomIdentifier(this.parts.random) };
        try {
            const outcome = await this.parts.platform.write(kind, out.name, out.againstVersion, value);
            this.learn(kind, out.name, outcome, value);
        }
        catch (error) {
            if (!(error instanceof PlatformError)) {
                throw error;
            }
        }
    }

    private async currentVersion(kind: ObjectKind, name: string): Promise<number> {
        const until = this.tryUntil();
        while (true) {
            try {
                const stored = await this.parts.platform.read(kind, name);
                return stored?.version ?? absentVersion;
            }
            catch (error) {
                await this.pauseOrThrow(error, until, "the platform can't be read; nothing was changed");
            }
        }
    }

    private async settle(kind: ObjectKind, name: string, expected: number, value: unknown): Promise<ChangeOutcome> {
        const until = this.tryUntil();
        while (true) {
            try {
                const outcome = value === undefined
                    ? await this.parts.platform.remove(kind, name, expected)
                    : await this.parts.platform.write(kind, name, expected, value);
                return this.learn(kind, name, outcome, value);
            }
            catch (error) {
                // The same condition again: a write that took effect with its answer lost conflicts with itself.
                await this.pauseOrThrow(error, until, "the platform doesn't answer; the change may be in force later");
            }
        }
    }

    /** In a known outage one try is enough: an operator's out must not wait for more. */
    private tryUntil(): Milliseconds {
        return this.parts.clock.now() + (this.parts.health.down ? 0 : writeMilliseconds);
    }

    private async pauseOrThrow(error: unknown, until: Milliseconds, message: string): Promise<void> {
        if (!(error instanceof PlatformError)) {
            throw error;
        }
        if (this.parts.clock.now() >= until) {
            throw new ChangeUncertainError(`${message} (${describeError(error)})`, { cause: error });
        }
        await this.parts.clock.sleep(writeRetryMilliseconds);
    }

    private learn(kind: ObjectKind, name: string, outcome: WriteOutcome, value: unknown): ChangeOutcome {
        if (outcome.type === "Written") {
            this.take({ kind, name, version: outcome.version, value });
            return { type: "Accepted", version: outcome.version };
        }
        const { current } = outcome;
        if (current) {
            this.take(current);
        }
        const own = (value as { change?: string; } | undefined)?.change;
        if (own !== undefined && (current?.value as { change?: string; } | undefined)?.change === own) {
            return { type: "Accepted", version: current!.version };
        }
        return { type: "Conflict", current };
    }

    private take(object: StoredObject): void {
        this.parts.configuration.merge({ revision: 0, objects: [object] });
        this.parts.membership.hurry();
    }
}
