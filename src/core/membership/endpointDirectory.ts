/**
 * Keeps the endpoints of each service that may receive new work. The directory applies the store's endpoint records and its
 * list of excluded data centres, and gives endpoints whose records expired during a store outage time to renew them.
 */
import type { StateChanges, StateSink, StateSnapshot } from "../../ports/statePort.js";
import { EndpointRecord, EndpointState, unknownIncarnation } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";

/**
 * How long an endpoint stays usable after its record expired during a store outage. Endpoints can't renew their records
 * during an outage and write them again within about two seconds of the store's return. Without a grace period, no endpoint
 * would be left after each outage.
 */
const expiredRecordGracePeriod: Milliseconds = 2_000;

/**
 * How long an endpoint gets no requests after another process responded at its address. The list shows its end within this
 * time unless it can't be read, and then one request in a while finds out again.
 */
const addressTakenDuration: Milliseconds = 5_000;

/** An endpoint with this entry's local state for it. */
export interface KnownEndpoint {
    record: EndpointRecord;
    /** Store revision of the record. */
    revision: number;
    /** When the endpoint stops being cold by its record, on the local clock. */
    coldUntil: Milliseconds;
    /** When the grace period of a record that expired during a store outage ends; undefined while the record exists. */
    expiresAt: Milliseconds | undefined;
}

/** Endpoints from the store, with a cache of the usable ones of each service. */
export class EndpointDirectory implements StateSink<EndpointRecord> {
    /** Called with the earlier record when an endpoint is listed with another process than before. */
    onReplaced: (previous: EndpointRecord) => void = () => {};
    /** Called when an endpoint is no longer listed. It may have ended, or shuts down and still serves. */
    onGone: (endpoint: EndpointRecord) => void = () => {};
    private readonly endpointById = new Map<string, KnownEndpoint>();
    private readonly excludedDataCentreNames = new Set<string>();
    private usableByService = new Map<string, KnownEndpoint[]>();
    /** When endpoints at whose addresses other processes responded may be used again, by identifier. */
    private readonly takenUntilById = new Map<string, Milliseconds>();
    /** When the next grace period of an expired record, or the next exclusion of a taken address, ends. */
    private nextExpiryAt: Milliseconds = Infinity;
    private isLoaded = false;

    /** Receives the data centres whose endpoints must not get work. */
    readonly excludedDataCentres: StateSink<true> = {
        replace: snapshot => {
            const names = new Set(snapshot.items.map(item => item.name));
            for (const name of [...this.excludedDataCentreNames]) {
                if (!names.has(name)) {
                    this.setExcluded(name, false);
                }
            }
            for (const name of names) {
                this.setExcluded(name, true);
            }
        },
        apply: changes => {
            for (const { name, removed } of changes.changes) {
                this.setExcluded(name, !removed);
            }
        },
    };

    constructor(private readonly clock: Clock, private readonly log: PartLog) {}

    /** Whether a first snapshot of the endpoints has been applied. */
    get isReady(): boolean {
        return this.isLoaded;
    }

    /** Endpoints of `service` that may receive new work. */
    usable(service: string): readonly KnownEndpoint[] {
        if (this.clock.now() >= this.nextExpiryAt) {
            this.dropExpired();
        }
        const cached = this.usableByService.get(service);
        if (cached) {
            return cached;
        }
        const found = [...this.endpointById.values()].filter(endpoint => this.mayServe(endpoint, service));
        this.usableByService.set(service, found);
        return found;
    }

    /** Whether `endpoint` may receive new work of `service`. */
    isUsable(endpoint: KnownEndpoint, service: string): boolean {
        const isExpired = endpoint.expiresAt !== undefined && this.clock.now() >= endpoint.expiresAt;
        return !isExpired && this.endpointById.get(endpoint.record.id) === endpoint && this.mayServe(endpoint, service);
    }

    /** Records that another process responded at the address of `endpoint`. */
    recordAddressTaken({ id, incarnation }: EndpointRecord): void {
        if (this.endpointById.get(id)?.record.incarnation !== incarnation) {
            return;
        }
        this.takenUntilById.set(id, this.clock.now() + addressTakenDuration);
        this.log.info("Another process responds at the address of an endpoint.", { endpoint: id, incarnation });
        this.invalidateCache();
    }

    /** All endpoints, usable or not. */
    listed(): KnownEndpoint[] {
        return [...this.endpointById.values()];
    }

    get(id: string): KnownEndpoint | undefined {
        return this.endpointById.get(id);
    }

    /** Finds an endpoint by its identifier or address. */
    find(name: string): KnownEndpoint | undefined {
        const named = this.endpointById.get(name);
        if (named) {
            return named;
        }
        for (const endpoint of this.endpointById.values()) {
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
            this.applyRecord(item.name, item.revision, item.value, wasAway);
        }
        for (const id of [...this.endpointById.keys()]) {
            if (!listed.has(id)) {
                this.handleMissingRecord(id, wasAway);
            }
        }
        this.isLoaded = true;
        this.invalidateCache();
    }

    apply(changes: StateChanges<EndpointRecord>, wasAway: boolean): void {
        for (const { name, revision, value, removed } of changes.changes) {
            if (removed) {
                this.handleMissingRecord(name, wasAway);
            }
            else {
                this.applyRecord(name, revision, value, wasAway);
            }
        }
        if (changes.changes.length > 0) {
            this.invalidateCache();
        }
    }

    private applyRecord(id: string, revision: number, read: EndpointRecord | undefined, wasAway: boolean): void {
        if (!read) {
            // An unreadable record counts as missing.
            this.handleMissingRecord(id, wasAway);
            return;
        }
        const previous = this.endpointById.get(id);
        if (previous && previous.revision === revision) {
            previous.expiresAt = undefined;
            return;
        }
        // A record that names no process comes from another writer, and tells of no new one.
        const incarnation = read.incarnation === unknownIncarnation
            ? previous?.record.incarnation ?? unknownIncarnation
            : read.incarnation;
        const record = { ...read, incarnation };
        if (previous?.record.state !== record.state || previous.record.incarnation !== record.incarnation) {
            this.log.info("An endpoint has changed.", {
                endpoint: id,
                service: record.service,
                state: record.state,
                coldFor: record.coldFor,
                revision,
            });
        }
        if (previous?.record.address !== record.address || previous.record.incarnation !== record.incarnation) {
            this.takenUntilById.delete(id);
        }
        const coldUntil = record.coldFor > 0 ? this.clock.now() + record.coldFor : 0;
        this.endpointById.set(id, { record, revision, coldUntil, expiresAt: undefined });
        const wasKnown = previous && previous.record.incarnation !== unknownIncarnation;
        if (wasKnown && previous.record.incarnation !== record.incarnation) {
            this.onReplaced(previous.record);
        }
    }

    private handleMissingRecord(id: string, wasAway: boolean): void {
        const endpoint = this.endpointById.get(id);
        if (!endpoint) {
            return;
        }
        if (wasAway && endpoint.record.state === EndpointState.Ready) {
            endpoint.expiresAt ??= this.clock.now() + expiredRecordGracePeriod;
            this.log.info("An endpoint's record lapsed while the store was away.", { endpoint: id });
            return;
        }
        if (endpoint.expiresAt === undefined) {
            this.remove(endpoint);
        }
    }

    private remove({ record }: KnownEndpoint): void {
        this.endpointById.delete(record.id);
        this.takenUntilById.delete(record.id);
        this.log.info("An endpoint is gone.", { endpoint: record.id });
        this.onGone(record);
    }

    private dropExpired(): void {
        const now = this.clock.now();
        for (const endpoint of [...this.endpointById.values()]) {
            if (endpoint.expiresAt !== undefined && now >= endpoint.expiresAt) {
                this.remove(endpoint);
            }
        }
        for (const [id, takenUntil] of this.takenUntilById) {
            if (now >= takenUntil) {
                this.takenUntilById.delete(id);
            }
        }
        this.invalidateCache();
    }

    private setExcluded(dataCentre: string, isExcluded: boolean): void {
        if (this.excludedDataCentreNames.has(dataCentre) === isExcluded) {
            return;
        }
        if (isExcluded) {
            this.excludedDataCentreNames.add(dataCentre);
        }
        else {
            this.excludedDataCentreNames.delete(dataCentre);
        }
        this.log.info(isExcluded ? "A data centre is out." : "A data centre is back.", { dataCentre });
        this.invalidateCache();
    }

    private invalidateCache(): void {
        this.usableByService = new Map();
        this.nextExpiryAt = Infinity;
        for (const { expiresAt } of this.endpointById.values()) {
            this.nextExpiryAt = Math.min(this.nextExpiryAt, expiresAt ?? Infinity);
        }
        for (const takenUntil of this.takenUntilById.values()) {
            this.nextExpiryAt = Math.min(this.nextExpiryAt, takenUntil);
        }
    }

    private mayServe({ record }: KnownEndpoint, service: string): boolean {
        return record.service === service
            && record.state === EndpointState.Ready
            && !this.takenUntilById.has(record.id)
            && !this.excludedDataCentreNames.has(record.dataCentre);
    }
}
