/**
 * Tracks which endpoints this entry can connect to.
 *
 * Reachability belongs to a pair of an entry and an endpoint. An entry may lose its links to all endpoints while callers, the
 * store and the other entries still reach it. Every endpoint then looks down to this entry, and to no other.
 */
import { ConnectionCheck, type EndpointPort } from "../../ports/forwardingPorts.js";
import type { EndpointRecord } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import { type Random, shuffle } from "../../utils/random.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";

/** An instance responds within a few milliseconds, with or without a process that listens. */
const probeTimeout: Milliseconds = 100;
/** Endpoints that are probed to find out whether this entry reaches any, in as many data centres as there are. */
const verificationProbes = 3;
/** Interval at which a lost link is probed while requests need it, and how many are probed while all links are lost. */
const lostLinkProbeInterval: Milliseconds = 1_000;
const cutOffProbeInterval: Milliseconds = 250;
const cutOffProbes = 4;

interface LostLink {
    nextProbeAt: Milliseconds;
}

/** Dependencies of {@link LinkTracker}. */
export interface LinkTrackerDependencies {
    clock: Clock;
    random: Random;
    log: PartLog;
    endpointPort: EndpointPort;
    /** All listed endpoints. */
    listed: () => KnownEndpoint[];
}

/** The links of this entry to endpoints. */
export class LinkTracker {
    /** Called when this entry loses its links to all endpoints, and when it regains one. */
    onChange: () => void = () => {};
    private cutOffSince: Milliseconds | undefined;
    private lastConnectedAt: Milliseconds = -Infinity;
    private readonly lostByEndpoint = new Map<string, LostLink>();
    private verification: Promise<boolean> | undefined;

    constructor(private readonly dependencies: LinkTrackerDependencies) {
        dependencies.endpointPort.onConnected = endpoint => this.recordConnected(endpoint);
    }

    /** Whether this entry can connect to no endpoint. */
    get isCutOff(): boolean {
        return this.cutOffSince !== undefined;
    }

    /** Whether this entry can't connect to `endpoint`, by what it has found out so far. */
    isLost(endpoint: EndpointRecord): boolean {
        const lost = this.lostByEndpoint.get(endpoint.id);
        const now = this.dependencies.clock.now();
        if (lost && now >= lost.nextProbeAt) {
            lost.nextProbeAt = now + lostLinkProbeInterval;
            void this.probe(endpoint);
        }
        return lost !== undefined || this.isCutOff;
    }

    /** Records that another entry could connect to `endpoint` while this one couldn't. */
    recordLost({ id }: EndpointRecord): void {
        const { clock, log } = this.dependencies;
        if (!this.lostByEndpoint.has(id)) {
            this.forgetUnlisted();
            log.info("A link to an endpoint is lost.", { endpoint: id });
        }
        this.lostByEndpoint.set(id, { nextProbeAt: clock.now() + lostLinkProbeInterval });
    }

    /**
     * Finds out whether this entry has connected to an endpoint since `since`, or can connect to one other than `endpoint`. A
     * failure to connect says something about an endpoint only if it can.
     */
    async reachesOthers({ id }: EndpointRecord, since: Milliseconds): Promise<boolean> {
        if (this.lastConnectedAt >= since) {
            return true;
        }
        this.verification ??= this.verify(id).finally(() => {
            this.verification = undefined;
        });
        return await this.verification;
    }

    /** Probes endpoints while all links are lost, until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.dependencies;
        while (!signal.aborted) {
            if (this.isCutOff) {
                await Promise.all(this.pickForReturn().map(({ record }) => this.probe(record)));
            }
            await clock.sleep(cutOffProbeInterval, signal);
        }
    }

    /** Records that this entry has established a connection to an endpoint. */
    recordConnected({ id }: EndpointRecord): void {
        const { clock, log } = this.dependencies;
        this.lastConnectedAt = clock.now();
        if (this.lostByEndpoint.delete(id)) {
            log.info("A link to an endpoint is back.", { endpoint: id });
        }
        if (this.cutOffSince !== undefined) {
            log.info("Links to endpoints are back.", { endpoint: id, lostFor: clock.now() - this.cutOffSince });
            this.cutOffSince = undefined;
            this.onChange();
        }
    }

    private async verify(except: string): Promise<boolean> {
        const { clock, log } = this.dependencies;
        const startedAt = clock.now();
        const others = this.pickFromAllDataCentres(except);
        if (others.length === 0) {
            return true;
        }
        await Promise.all(others.map(({ record }) => this.probe(record)));
        if (this.lastConnectedAt >= startedAt) {
            return true;
        }
        if (this.cutOffSince === undefined) {
            this.cutOffSince = startedAt;
            log.warn("All links to endpoints are lost.", { probed: others.map(({ record }) => record.id) });
            this.onChange();
        }
        return false;
    }

    private async probe(endpoint: EndpointRecord): Promise<void> {
        const result = await this.dependencies.endpointPort.checkConnection(endpoint, probeTimeout);
        if (result === ConnectionCheck.Accepted) {
            this.recordConnected(endpoint);
        }
    }

    /** Random endpoints of different data centres first, as all of one may be down. */
    private pickFromAllDataCentres(except: string): KnownEndpoint[] {
        const candidates = this.shuffledListed().filter(({ record }) => record.id !== except);
        const dataCentres = new Set<string>();
        const firstOfDataCentre: KnownEndpoint[] = [];
        const others: KnownEndpoint[] = [];
        for (const candidate of candidates) {
            const isFirst = !dataCentres.has(candidate.record.dataCentre);
            dataCentres.add(candidate.record.dataCentre);
            (isFirst ? firstOfDataCentre : others).push(candidate);
        }
        return [...firstOfDataCentre, ...others].slice(0, verificationProbes);
    }

    /** Half of them are those whose records changed last: endpoints that have just started after all were down. */
    private pickForReturn(): KnownEndpoint[] {
        const candidates = this.shuffledListed();
        const newest = [...candidates].sort((left, right) => right.revision - left.revision).slice(0, cutOffProbes / 2);
        return [...new Set([...newest, ...candidates])].slice(0, cutOffProbes);
    }

    private shuffledListed(): KnownEndpoint[] {
        return shuffle(this.dependencies.listed(), this.dependencies.random);
    }

    private forgetUnlisted(): void {
        const listed = new Set(this.dependencies.listed().map(({ record }) => record.id));
        for (const id of this.lostByEndpoint.keys()) {
            if (!listed.has(id)) {
                this.lostByEndpoint.delete(id);
            }
        }
    }
}
