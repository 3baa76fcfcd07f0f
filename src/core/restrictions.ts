/** Who must not get new work: what operators took out, and what leaves by itself. */
import { ChangeSignal, Configuration, InstanceRecord, InstanceState, ObjectKind, ProvisionalOut } from "../internal.js";

const keyOf = (out: ProvisionalOut): string => `${out.kind}/${out.name}`;

const objectKindOf = (out: ProvisionalOut): ObjectKind.DataCentre | ObjectKind.Instance =>
    out.kind === "dataCentre" ? ObjectKind.DataCentre : ObjectKind.Instance;

/**
 * Joins the configuration's outs with provisional ones that spread from peer to peer.
 *
 * Operators take a data centre out because it is about to fail, often in the same incident that took the platform
 * down. They would notice crews still being sent there. A provisional out holds at once and everywhere the peers
 * reach, until the stored object moves past the version it was given against.
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
        const objectKind = kind === "dataCentre" ? ObjectKind.DataCentre : ObjectKind.Instance;
        if (this.configuration.isOut(objectKind, name)) {
            return true;
        }
        const out = this.provisional.get(`${kind}/${name}`);
        return out !== undefined && !this.superseded(out);
    }

    /** Takes outs from an operator or a peer; returns whether any was new. */
    add(outs: readonly ProvisionalOut[]): boolean {
        let added = false;
        for (const out of outs) {
            const held = this.provisional.get(keyOf(out));
            if (this.superseded(out) || (held && held.againstVersion >= out.againstVersion)) {
                continue;
            }
            this.provisional.set(keyOf(out), out);
            added = true;
        }
        if (added) {
            this.changed.notify();
        }
        return added;
    }

    /** The outs that still wait to be written to the platform. */
    pending(): ProvisionalOut[] {
        for (const [key, out] of this.provisional) {
            if (this.superseded(out)) {
                this.provisional.delete(key);
            }
        }
        return [...this.provisional.values()];
    }

    private superseded(out: ProvisionalOut): boolean {
        return this.configuration.version(objectKindOf(out), out.name) > out.againstVersion;
    }
}
