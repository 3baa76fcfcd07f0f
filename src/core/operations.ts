/** What operators change: configuration objects by conditional write, and outs that hold even in an outage. */
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

const writeMilliseconds = 3_000;
const writeRetryMilliseconds = 100;
const provisionalRetryMilliseconds = 500;

/** Lifted outs that are remembered; more than can wait at the same time. */
const liftsKept = 64;

/** Every out that an object has ever held or lifted, as far as it is remembered. */
const liftsOf = (serving: Serving | undefined): string[] => {
    const lifts = serving?.lifts ?? [];
    const own = serving?.state === ServingState.Out && serving.change !== undefined ? [serving.change] : [];
    return [...lifts, ...own].slice(-liftsKept);
};

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
        if (kind === ObjectKind.DataCentre || kind === ObjectKind.Instance) {
            throw new InvalidObjectError(`${kind}: change its state with the commands out and in`);
        }
        const expected = expectedVersion ?? (await this.current(kind, name))?.version ?? absentVersion;
        if (value === undefined) {
            return this.settle(kind, name, expected, undefined);
        }
        const checked = parseConfigurationObject(kind, name, value) as Record<string, unknown>;
        const identified = { ...checked, change: randomIdentifier(this.parts.random) };
        return this.settle(kind, name, expected, identified);
    }

    /** Takes a data centre or an instance out; in an outage provisionally. It holds until somebody brings it back in. */
    async takeOut(kind: ProvisionalOut["kind"], name: string): Promise<ChangeOutcome> {
        const out: ProvisionalOut = { kind, name, outId: randomIdentifier(this.parts.random) };
        // In force here and at the peers first: a slow platform must not delay it.
        this.spread([out]);
        const until = this.tryUntil();
        while (true) {
            const outcome = await this.storeOut(out);
            if (outcome?.type === "Accepted") {
                return outcome;
            }
            if (this.parts.clock.now() >= until) {
                this.parts.log.warn("An out is provisional until the platform returns.", { kind, name });
                return { type: "Provisional" };
            }
            await this.parts.clock.sleep(writeRetryMilliseconds);
        }
    }

    /** Brings a data centre or an instance back in. Needs the platform. */
    async bringIn(kind: ProvisionalOut["kind"], name: string): Promise<ChangeOutcome> {
        const objectKind = servingKindOf(kind);
        const stored = await this.current(objectKind, name);
        const serving = stored?.value as Serving | undefined;
        const pending = this.parts.restrictions.pendingOf(kind, name).map(out => out.outId);
        const value: Serving = {
            state: ServingState.In,
            change: randomIdentifier(this.parts.random),
            lifts: [...liftsOf(serving), ...pending].slice(-liftsKept),
        };
        return this.settle(objectKind, name, stored?.version ?? absentVersion, value);
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
                await this.storeOut(out);
            }
            await this.parts.clock.sleep(provisionalRetryMilliseconds, signal);
        }
    }

    /** Tries once to store an out against the version held; undefined when the platform doesn't answer. */
    private async storeOut(out: ProvisionalOut): Promise<ChangeOutcome | undefined> {
        const kind = servingKindOf(out.kind);
        const held = this.parts.configuration.object(kind, out.name);
        const value: Serving = {
            state: ServingState.Out,
            change: out.outId,
            lifts: liftsOf(held?.value as Serving | undefined),
        };
        try {
            const outcome = await this.parts.platform.write(kind, out.name, held?.version ?? absentVersion, value);
            return this.learn(kind, out.name, outcome, value);
        }
        catch (error) {
            if (error instanceof PlatformError) {
                return undefined;
            }
            throw error;
        }
    }

    private async current(kind: ObjectKind, name: string): Promise<StoredObject | undefined> {
        const until = this.tryUntil();
        while (true) {
            try {
                return await this.parts.platform.read(kind, name);
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
