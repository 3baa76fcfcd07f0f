/**
 * Decides which instances must not get new work: those that operators took out of service, alone or with their data
 * centre, and those that are leaving.
 */
import {
    ChangeSignal,
    Configuration,
    InstanceRecord,
    InstanceState,
    ObjectKind,
    ProvisionalOut,
    Serving,
} from "../internal.js";

/** Kind of the configuration object that stores the serving state of a data centre or an instance. */
export const servingKindOf = (kind: ProvisionalOut["kind"]): ObjectKind.DataCentre | ObjectKind.Instance =>
    kind === "dataCentre" ? ObjectKind.DataCentre : ObjectKind.Instance;

/**
 * Combines the outs stored in the configuration with provisional outs, which entries send to one another.
 *
 * Operators take a data centre out because it is about to fail, often in the incident that also makes the platform
 * unavailable, and new work must not go there. A provisional out therefore takes effect at once on all entries that
 * peers reach, until it is stored or lifted by its identifier. A higher version of the object doesn't end it: an earlier
 * order to bring the data centre in can be written after the out was given, if the platform was slow.
 */
export class Restrictions {
    /** Notified when a provisional out is added. */
    readonly changed = new ChangeSignal();
    private readonly provisional = new Map<string, ProvisionalOut>();

    constructor(private readonly configuration: Configuration) {}

    /** Whether an instance must not get new work. */
    forbids(record: InstanceRecord): boolean {
        return record.state === InstanceState.Leaving
            || this.isOut("dataCentre", record.dataCentre)
            || this.isOut("instance", record.id);
    }

    isOut(kind: ProvisionalOut["kind"], name: string): boolean {
        return this.configuration.isOut(servingKindOf(kind), name) || this.pendingOf(kind, name).length > 0;
    }

    /** Adds outs from an operator or a peer. Returns whether any of them was new. */
    add(outs: readonly ProvisionalOut[]): boolean {
        let added = false;
        for (const out of outs) {
            if (!this.isSettled(out) && !this.provisional.has(out.outId)) {
                this.provisional.set(out.outId, out);
                added = true;
            }
        }
        if (added) {
            this.changed.notify();
        }
        return added;
    }

    /** The provisional outs that are neither stored nor lifted. */
    pending(): ProvisionalOut[] {
        for (const [outId, out] of this.provisional) {
            if (this.isSettled(out)) {
                this.provisional.delete(outId);
            }
        }
        return [...this.provisional.values()];
    }

    /** The pending outs of one data centre or instance. */
    pendingOf(kind: ProvisionalOut["kind"], name: string): ProvisionalOut[] {
        if (this.provisional.size === 0) {
            return [];
        }
        return this.pending().filter(out => out.kind === kind && out.name === name);
    }

    private isSettled(out: ProvisionalOut): boolean {
        const serving = this.configuration.object(servingKindOf(out.kind), out.name)?.value as Serving | undefined;
        return serving?.change === out.outId || (serving?.lifts ?? []).includes(out.outId);
    }
}
