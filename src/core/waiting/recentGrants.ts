/** Remembers the placements that a placer has granted, so that a question that is asked again gets the same answer. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PlacementAnswer } from "../placement/placementQuestion.js";

type Grant = Extract<PlacementAnswer, { type: "Chosen"; }>;

interface GrantRecord {
    owner: string;
    requestId: string;
    grant: Grant;
    endsAt: Milliseconds;
}

const keyOf = (owner: string, requestId: string, serial: number): string => `${serial}/${owner}/${requestId}`;

/** The grants of the last moments, the oldest first. */
export class RecentGrants {
    private readonly grants = new Map<string, GrantRecord>();

    constructor(private readonly clock: Clock, private readonly retention: Milliseconds) {}

    record(owner: string, requestId: string, grant: Grant): void {
        const now = this.clock.now();
        for (const [key, { endsAt }] of this.grants) {
            if (endsAt > now) {
                break;
            }
            this.grants.delete(key);
        }
        const key = keyOf(owner, requestId, grant.serial);
        this.grants.set(key, { owner, requestId, grant, endsAt: now + this.retention });
    }

    /** Returns the grant for a question that was asked before; undefined where there is none. */
    find(owner: string, requestId: string, serial: number): Grant | undefined {
        const record = this.grants.get(keyOf(owner, requestId, serial));
        return record && record.endsAt > this.clock.now() ? record.grant : undefined;
    }

    /** Removes and returns the grants of a request. */
    take(owner: string, requestId: string): Grant[] {
        const taken: Grant[] = [];
        for (const [key, record] of this.grants) {
            if (record.owner === owner && record.requestId === requestId) {
                this.grants.delete(key);
                taken.push(record.grant);
            }
        }
        return taken;
    }
}
