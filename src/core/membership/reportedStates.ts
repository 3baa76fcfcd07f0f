/**
 * Keeps the states that endpoints reported in their responses: shutting down, or cold.
 *
 * The list of endpoints shows both later than a response does, and not at all while the store is unavailable. Entries
 * share what they received, because each of hundreds of entries gets responses of a few endpoints only.
 */
import type { ReportedState } from "../../ports/peerChannelPort.js";
import type { EndpointRecord } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import { restartGracePeriod } from "./endpointRestart.js";
import { newestReports } from "./newestReports.js";

/** How long a state is sent to other entries. */
const sharingDuration: Milliseconds = 30_000;
/** A state that was not reported again for this long is forgotten; an endpoint has left or warmed up by then. */
const retentionDuration: Milliseconds = 600_000;

interface KnownState {
    incarnation: number;
    isLeaving: boolean;
    /** When the endpoint stops being cold, on the local clock. */
    coldUntil: Milliseconds;
    /** When this entry learned that the endpoint is cold. */
    coldSince: Milliseconds;
    reportedAt: Milliseconds;
}

/** States that endpoints reported to this entry or to another one. */
export class ReportedStates {
    /** Called when a response to this entry reports a new state. */
    onChange: () => void = () => {};
    private readonly stateByEndpoint = new Map<string, KnownState>();

    constructor(private readonly clock: Clock, private readonly log: PartLog) {}

    /** Number of endpoints that have reported that they shut down. */
    get leavingCount(): number {
        return [...this.stateByEndpoint.values()].filter(({ isLeaving }) => isLeaving).length;
    }

    /** Whether `endpoint` has reported that it shuts down. */
    isLeaving(endpoint: EndpointRecord): boolean {
        return this.find(endpoint)?.isLeaving ?? false;
    }

    /** When `endpoint` stops being cold by its reports, on the local clock; zero where none is known. */
    coldUntil(endpoint: EndpointRecord): Milliseconds {
        return this.find(endpoint)?.coldUntil ?? 0;
    }

    /** Records that `endpoint` shuts down. */
    recordLeaving(endpoint: EndpointRecord): void {
        const wasLeaving = this.isLeaving(endpoint);
        this.update(endpoint.id, endpoint.incarnation, { isLeaving: true, coldUntil: 0 }, this.clock.now());
        if (!wasLeaving) {
            this.onChange();
        }
    }

    /** Records that `endpoint` stays cold for `duration`. */
    recordCold(endpoint: EndpointRecord, duration: Milliseconds): void {
        const now = this.clock.now();
        const wasCold = this.coldUntil(endpoint) > now;
        this.update(endpoint.id, endpoint.incarnation, { isLeaving: false, coldUntil: now + duration }, now);
        if (!wasCold) {
            this.onChange();
        }
    }

    /** When this entry learned that `endpoint` is cold; meaningful only while it is. */
    coldSince(endpoint: EndpointRecord): Milliseconds {
        return this.find(endpoint)?.coldSince ?? -Infinity;
    }

    /** Returns the states to send to other entries. */
    snapshot(): ReportedState[] {
        const now = this.clock.now();
        const states: ReportedState[] = [];
        for (const [endpoint, { incarnation, isLeaving, coldUntil, reportedAt }] of this.stateByEndpoint) {
            const age = now - reportedAt;
            if (age >= retentionDuration) {
                this.stateByEndpoint.delete(endpoint);
                continue;
            }
            if (age < sharingDuration && (isLeaving || coldUntil > now)) {
                const coldFor = Math.max(0, Math.round(coldUntil - now));
                states.push({ endpoint, incarnation, isLeaving, coldFor, age: Math.round(age) });
            }
        }
        return newestReports(states);
    }

    /** Merges states that another entry sent. */
    merge(states: readonly ReportedState[]): void {
        const now = this.clock.now();
        for (const { endpoint, incarnation, isLeaving, coldFor, age } of states) {
            const coldUntil = coldFor > 0 ? now + coldFor : 0;
            this.update(endpoint, incarnation, { isLeaving, coldUntil }, now - age);
        }
    }

    /** An endpoint that shuts down doesn't change its mind, and only time ends a cold start. */
    private update(
        id: string,
        incarnation: number,
        { isLeaving, coldUntil }: Pick<KnownState, "isLeaving" | "coldUntil">,
        reportedAt: Milliseconds,
    ): void {
        const previous = this.stateByEndpoint.get(id);
        if (previous && previous.incarnation > incarnation) {
            return;
        }
        const known = previous?.incarnation === incarnation ? previous : undefined;
        const wasLeaving = known?.isLeaving ?? false;
        const wasCold = (known?.coldUntil ?? 0) > this.clock.now();
        this.stateByEndpoint.set(id, {
            incarnation,
            isLeaving: wasLeaving || isLeaving,
            coldSince: wasCold ? known!.coldSince : this.clock.now(),
            coldUntil: Math.max(known?.coldUntil ?? 0, coldUntil),
            reportedAt: Math.max(known?.reportedAt ?? -Infinity, reportedAt),
        });
        if (isLeaving && !wasLeaving) {
            this.log.info("An endpoint reports that it shuts down.", { endpoint: id });
        }
        if (coldUntil > this.clock.now() && known === undefined) {
            this.log.info("An endpoint reports that it is cold.", { endpoint: id });
        }
    }

    private find({ id, incarnation }: EndpointRecord): KnownState | undefined {
        const state = this.stateByEndpoint.get(id);
        const isCurrent = state?.incarnation === incarnation
            || (state && this.clock.now() - state.reportedAt < restartGracePeriod);
        return isCurrent ? state : undefined;
    }
}
