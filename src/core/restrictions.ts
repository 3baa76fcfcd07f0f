/** Who must not get new work: what operators took out, and what leaves by itself. */
import {
    ChangeSignal,
    Configuration,
    InstanceRecord,
    InstanceState,
    ObjectKind,
    ProvisionalOut,
    Serving,
} from "../internal.js";

/** Kind of the object that holds the state of a data centre or an instance. */
export const servingKindOf = (kind: ProvisionalOut["kind"]): ObjectKind.DataCentre | ObjectKind.Instance =>
    kind === "dataCentre" ? ObjectKind.DataCentre : ObjectKind.Instance;

/**
 * Joins the configuration's outs with provisional ones that spread from peer to peer.
 *
 * Operators take a data centre out because it is about to fail, often in the same incident that took the platform
 * down. They would notice crews still being sent there. A provisional out holds at once and everywhere the peers
 * reach, until it is stored or lifted by name. A higher version alone must not end it: an older order to bring the data
 * centre in, written while the platform was slow, can take effect after the out was given.
 */
export class Restrictions {
    /** Notified when a provisional out is new. */
    readonly changed = new ChangeSignal();
    private readonly provisional = new Map<string, ProvisionalOut>();

    constructor(private readonly configuration: Configuration) {}

    /** Whether an instance of the list may get new work. */
    forbids(record: InstanceRecord): boolean {
        return record.state === InstanceState.Leaving
            || this.isOut("dataCentre", record.dataCentre)
            || this.isOut("instance", record.id);
    }

    isOut(kind: ProvisionalOut["kind"], name: string): boolean {
        return this.configuration.isOut(servingKindOf(kind), name) || this.pendingOf(kind, name).length > 0;
    }

    /** Takes outs from an operator or a peer; returns whether any was new. */
    add(outs: readonly ProvisionalOut[]): boolean {
        let added = false;
        for (const out of outs) {
            if (!this.settled(out) && !this.provisional.has(out.outId)) {
                this.provisional.set(out.outId, out);
                added = true;
            }
        }
        if (added) {
            this.changed.notify();
        }
        return added;
    }

    /** The outs that still wait to be written to the platform. */
    pending(): ProvisionalOut[] {
        for (const [outId, out] of this.provisional) {
            if (this.settled(out)) {
                this.provisional.delete(outId);
            }
        }
        return [...this.provisional.values()];
    }

    /** The waiting outs of one data centre or instance. */
    pendingOf(kind: ProvisionalOut["kind"], name: string): ProvisionalOut[] {
        if (this.provisional.size === 0) {
            return [];
        }
        return this.pending().filter(out => out.kind === kind && out.name === name);
    }

    private settled(out: ProvisionalOut): boolean {
        const serving = this.configuration.object(servingKindOf(out.kind), out.name)?.value as Serving | undefined;
        return serving?.change === out.outId || (serving?.lifts ?? []).includes(out.outId);
    }
}
