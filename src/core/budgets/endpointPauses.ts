/**
 * Keeps the pauses for which overloaded endpoints asked this entry.
 *
 * Load pattern: an endpoint of a small service refuses requests and names a time in which it wants no more. It looks idle
 * at once, so that without its pause the next requests would go there first.
 */
import type { EndpointRecord } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import { restartGracePeriod } from "../membership/endpointRestart.js";

interface Pause {
    incarnation: number;
    requestedAt: Milliseconds;
    endsAt: Milliseconds;
}

/** The pauses of endpoints. They hold for this entry alone, as each entry is refused by itself. */
export class EndpointPauses {
    private readonly pauseByEndpoint = new Map<string, Pause>();

    constructor(private readonly clock: Clock, private readonly log: PartLog) {}

    /** Number of endpoints that have asked this entry for a pause that lasts. */
    get count(): number {
        this.removeEnded();
        return this.pauseByEndpoint.size;
    }

    /** Records that `endpoint` asked for a pause. A shorter one doesn't end an earlier one. */
    record({ id, incarnation }: Pick<EndpointRecord, "id" | "incarnation">, duration: Milliseconds): void {
        this.removeEnded();
        const now = this.clock.now();
        const endsAt = Math.max(now + duration, this.pauseByEndpoint.get(id)?.endsAt ?? 0);
        this.pauseByEndpoint.set(id, { incarnation, requestedAt: now, endsAt });
        this.log.info("An endpoint asks for a pause.", { endpoint: id, duration, endsIn: endsAt - now });
    }

    /** Remaining time of the endpoint's pause; zero where there is none. */
    remaining({ id, incarnation }: EndpointRecord): Milliseconds {
        const pause = this.pauseByEndpoint.get(id);
        if (!pause) {
            return 0;
        }
        const endsAt = pause.incarnation === incarnation
            ? pause.endsAt
            : Math.min(pause.endsAt, pause.requestedAt + restartGracePeriod);
        return Math.max(0, endsAt - this.clock.now());
    }

    private removeEnded(): void {
        const now = this.clock.now();
        for (const [id, { endsAt }] of this.pauseByEndpoint) {
            if (endsAt <= now) {
                this.pauseByEndpoint.delete(id);
            }
        }
    }
}
