/**
 * Tracks the streams and reservations that this entry holds on engines. It also reclaims holdings whose owner has died or
 * whose release was lost, because they would use the engine's memory forever.
 */
import {
    Clock,
    describeError,
    Endpoint,
    EndpointTable,
    EngineHolding,
    EnginePort,
    fullJitter,
    InstanceRole,
    Membership,
    Milliseconds,
    PartLog,
    PeerLostError,
    PeerPort,
    Random,
    rendezvous,
    Timeline,
} from "../internal.js";

/** Interval between two checks of an engine's holdings. */
export const reclaimIntervalMilliseconds = 2_000;
/** A holding is released after its owner hasn't claimed it for this long. */
export const unclaimedGracePeriodMilliseconds = 5_000;
const maximumReleaseAttempts = 4;
const releaseRetryDelayMilliseconds = 200;

/** Dependencies of {@link Holdings}. */
export interface HoldingsDependencies {
    clock: Clock;
    random: Random;
    engines: EnginePort;
    peers: PeerPort;
    membership: Membership;
    table: EndpointTable;
    log: PartLog;
    timeline: Timeline;
    self: { instance: string; incarnation: string; };
}

/**
 * Registers this entry's holdings and reclaims those of lost owners.
 *
 * An entry that dies, or whose release message is lost, leaves a stream or a reservation behind that leaks the engine's
 * memory. For each engine one entry, chosen by rendezvous hashing, lists the engine's holdings, asks their owners, and
 * releases the holdings that no owner claims. An owner that is slow or unreachable keeps its holdings as long as the
 * instance list shows it with the same incarnation.
 */
export class Holdings {
    private readonly liveIds = new Set<string>();
    private readonly unclaimedSinceByHolding = new Map<string, Milliseconds>();

    constructor(private readonly dependencies: HoldingsDependencies) {}

    /** Registers a holding; call it before the holding is requested from the engine. */
    register(holdingId: string): void {
        this.liveIds.add(holdingId);
    }

    /** Removes a holding that has ended on the engine. */
    unregister(holdingId: string): void {
        this.liveIds.delete(holdingId);
    }

    /** Returns those of `holdingIds` that this entry still uses. */
    filterLive(holdingIds: readonly string[]): string[] {
        return holdingIds.filter(id => this.liveIds.has(id));
    }

    get count(): number {
        return this.liveIds.size;
    }

    /** Releases a holding on an engine, with retries. If all retries fail, the holding is reclaimed later. */
    async release(address: string, holdingId: string): Promise<void> {
        this.liveIds.delete(holdingId);
        for (let attempt = 0; attempt < maximumReleaseAttempts; attempt++) {
            try {
                await this.dependencies.engines.release(address, holdingId);
                return;
            }
            catch {
                await this.dependencies.clock.sleep(
                    fullJitter(this.dependencies.random, releaseRetryDelayMilliseconds, attempt, 2_000),
                );
            }
        }
    }

    /** Reclaims the holdings of the engines that are assigned to this entry, until `signal` aborts. */
    async reclaim(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const entries = this.dependencies.membership.responsiveEntries();
            for (const endpoint of this.dependencies.table.all()) {
                const isResponsible = rendezvous(endpoint.id, entries) === this.dependencies.self.instance;
                if (isResponsible && endpoint.record.role === InstanceRole.Engine && !signal.aborted) {
                    await this.reclaimFrom(endpoint);
                }
            }
            await this.dependencies.clock.sleep(reclaimIntervalMilliseconds, signal);
        }
    }

    private async reclaimFrom(endpoint: Endpoint): Promise<void> {
        try {
            const holdings = await this.dependencies.engines.holdings(endpoint.record.address);
            const unclaimedIds = await this.findUnclaimed(holdings);
            await this.releaseAfterGrace(endpoint, holdings, unclaimedIds);
        }
        catch (error) {
            this.dependencies.log.warn("An engine's holdings can't be reclaimed.", {
                endpoint: endpoint.id,
                reason: describeError(error),
            });
        }
    }

    private async findUnclaimed(holdings: readonly EngineHolding[]): Promise<Set<string>> {
        const holdingsByOwner = new Map<string, EngineHolding[]>();
        for (const holding of holdings) {
            const owner = `${holding.owner}/${holding.ownerIncarnation}`;
            holdingsByOwner.set(owner, [...holdingsByOwner.get(owner) ?? [], holding]);
        }
        const unclaimedIds = new Set<string>();
        for (const ownerHoldings of holdingsByOwner.values()) {
            for (const id of await this.findUnclaimedOfOwner(ownerHoldings)) {
                unclaimedIds.add(id);
            }
        }
        return unclaimedIds;
    }

    private async findUnclaimedOfOwner(ownerHoldings: readonly EngineHolding[]): Promise<string[]> {
        const { owner, ownerIncarnation } = ownerHoldings[0]!;
        const ids = ownerHoldings.map(holding => holding.id);
        if (owner === this.dependencies.self.instance) {
            const liveIds = ownerIncarnation === this.dependencies.self.incarnation ? this.filterLive(ids) : [];
            return ids.filter(id => !liveIds.includes(id));
        }
        const peer = this.dependencies.membership.peer(owner);
        if (!peer || (peer.record.incarnation !== "" && peer.record.incarnation !== ownerIncarnation)) {
            return ids;
        }
        try {
            const response = await this.dependencies.peers.liveHoldings(peer.record.address, ids);
            const liveIds = response.incarnation === ownerIncarnation ? response.live : [];
            return ids.filter(id => !liveIds.includes(id));
        }
        catch (error) {
            if (error instanceof PeerLostError) {
                return [];
            }
            throw error;
        }
    }

    private async releaseAfterGrace(
        endpoint: Endpoint,
        holdings: readonly EngineHolding[],
        unclaimedIds: ReadonlySet<string>,
    ): Promise<void> {
        const now = this.dependencies.clock.now();
        for (const holding of holdings) {
            const key = `${endpoint.id}/${holding.id}`;
            if (!unclaimedIds.has(holding.id)) {
                this.unclaimedSinceByHolding.delete(key);
                continue;
            }
            const unclaimedSince = this.unclaimedSinceByHolding.get(key) ?? now;
            this.unclaimedSinceByHolding.set(key, unclaimedSince);
            if (now - unclaimedSince < unclaimedGracePeriodMilliseconds) {
                continue;
            }
            this.unclaimedSinceByHolding.delete(key);
            await this.dependencies.engines.release(endpoint.record.address, holding.id);
            this.dependencies.timeline.record("holdings", "reclaimed", undefined, `${holding.id} on ${endpoint.id}`);
        }
    }
}
