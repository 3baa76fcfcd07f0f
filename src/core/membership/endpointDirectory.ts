/** Which endpoints may get work now, from what the store says of endpoints and of data centres that are out. */
import type { StateChanges, StateSink, StateSnapshot } from "../../ports/statePort.js";
import { EndpointRecord, EndpointState } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";

/**
 * How long an endpoint without a record is still used after the store was away. Records lapse while endpoints can't
 * renew them, and are back within about two seconds of the store's return; dropping them at once would leave no
 * endpoint at all after each outage.
 */
const lapsedRecordGrace: Milliseconds = 2_000;

/** An endpoint as an entry knows it. */
export interface KnownEndpoint {
    record: EndpointRecord;
    /** The store's revision of the record. */
    revision: number;
    /** Cold until then, on the local clock. */
    coldUntil: Milliseconds;
    /** No longer used from then on: its record lapsed while the store was away. */
    dropAt: Milliseconds | undefined;
}

/** The endpoints that are known, by service. */
export class EndpointDirectory implements StateSink<EndpointRecord> {
    private readonly known = new Map<string, KnownEndpoint>();
    private readonly dataCentresOut = new Set<string>();
    private usableByService = new Map<string, KnownEndpoint[]>();
    /** When a lapsed record next changes what is usable. */
    private recheckAt: Milliseconds = Infinity;
    private loaded = false;

    /** Data centres that must get nothing, as a sink of its own. */
    readonly excludedDataCentres: StateSink<true> = {
        replace: snapshot => {
            const names = new Set(snapshot.items.map(item => item.name));
            for (const name of [...this.dataCentresOut]) {
                if (!names.has(name)) {
                    this.setOut(name, false);
                }
            }
            for (const name of names) {
                this.setOut(name, true);
            }
        },
        apply: changes => {
            for (const { name, removed } of changes.changes) {
                this.setOut(name, !removed);
            }
        },
    };

    constructor(private readonly clock: Clock, private readonly log: PartLog) {}

    /** Whether a first list was read. */
    get ready(): boolean {
        return this.loaded;
    }

    /** Endpoints of `service` that may get new work. */
    usable(service: string): readonly KnownEndpoint[] {
        if (this.clock.now() >= this.recheckAt) {
            this.dropLapsed();
        }
        const cached = this.usableByService.get(service);
        if (cached) {
            return cached;
        }
        const found = [...this.known.values()].filter(endpoint => this.mayServe(endpoint, service));
        this.usableByService.set(service, found);
        return found;
    }

    /** Whether this endpoint may still get work, for work that waited since it was chosen. */
    stillUsable(endpoint: KnownEndpoint): boolean {
        return this.usable(endpoint.record.service).includes(endpoint);
    }

    get(id: string): KnownEndpoint | undefined {
        return this.known.get(id);
    }

    /** The endpoint with this identifier or address. */
    find(name: string): KnownEndpoint | undefined {
        const named = this.known.get(name);
        if (named) {
            return named;
        }
        for (const endpoint of this.known.values()) {
            if (endpoint.record.address === name) {
                return endpoint;
            }
        }
        return undefined;
    }

    replace(snapshot: StateSnapshot<EndpointRecord>, wasAway: boolean): void {
        const listed = new Set<string>();
        for (const item of snapshot.items) {
            listed.add(item.name);
            this.take(item.name, item.revision, item.value, wasAway);
        }
        for (const id of [...this.known.keys()]) {
            if (!listed.has(id)) {
                this.lapse(id, wasAway);
            }
        }
        this.loaded = true;
        this.changed();
    }

    apply(changes: StateChanges<EndpointRecord>, wasAway: boolean): void {
        for (const { name, revision, value, removed } of changes.changes) {
            if (removed) {
                this.lapse(name, wasAway);
            }
            else {
                this.take(name, revision, value, wasAway);
            }
        }
        if (changes.changes.length > 0) {
            this.changed();
        }
    }

    /** An endpoint said by itself that it is cold for so much longer. */
    noteCold(id: string, coldFor: Milliseconds): void {
        const endpoint = this.known.get(id);
        if (endpoint) {
            endpoint.coldUntil = Math.max(endpoint.coldUntil, this.clock.now() + coldFor);
        }
    }

    private take(id: string, revision: number, record: EndpointRecord | undefined, wasAway: boolean): void {
        if (!record) {
            // A record that can't be read names no endpoint to use.
            this.lapse(id, wasAway);
            return;
        }
        const before = this.known.get(id);
        if (before && before.revision === revision) {
            before.dropAt = undefined;
            return;
        }
        if (before?.record.state !== record.state || before.record.incarnation !== record.incarnation) {
            this.log.info("An endpoint has changed.", {
                endpoint: id,
                service: record.service,
                state: record.state,
                coldFor: record.coldFor,
                revision,
            });
        }
        const coldUntil = record.coldFor > 0 ? this.clock.now() + record.coldFor : 0;
        this.known.set(id, { record, revision, coldUntil, dropAt: undefined });
    }

    private lapse(id: string, wasAway: boolean): void {
        const endpoint = this.known.get(id);
        if (!endpoint) {
            return;
        }
        if (wasAway && endpoint.record.state === EndpointState.Ready) {
            endpoint.dropAt ??= this.clock.now() + lapsedRecordGrace;
            this.log.info("An endpoint's record lapsed while the store was away.", { endpoint: id });
            return;
        }
        if (endpoint.dropAt === undefined) {
            this.known.delete(id);
            this.log.info("An endpoint is gone.", { endpoint: id });
        }
    }

    private dropLapsed(): void {
        const now = this.clock.now();
        for (const [id, { dropAt }] of this.known) {
            if (dropAt !== undefined && now >= dropAt) {
                this.known.delete(id);
                this.log.info("An endpoint is gone.", { endpoint: id });
            }
        }
        this.changed();
    }

    private setOut(dataCentre: string, out: boolean): void {
        if (this.dataCentresOut.has(dataCentre) === out) {
            return;
        }
        if (out) {
            this.dataCentresOut.add(dataCentre);
        }
        else {
            this.dataCentresOut.delete(dataCentre);
        }
        this.log.info(out ? "A data centre is out." : "A data centre is back.", { dataCentre });
        this.changed();
    }

    private changed(): void {
        this.usableByService = new Map();
        this.recheckAt = Infinity;
        for (const { dropAt } of this.known.values()) {
            this.recheckAt = Math.min(this.recheckAt, dropAt ?? Infinity);
        }
    }

    private mayServe({ record }: KnownEndpoint, service: string): boolean {
        return record.service === service
            && record.state === EndpointState.Ready
            && !this.dataCentresOut.has(record.dataCentre);
    }
}
