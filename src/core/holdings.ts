/** What this entry holds on engines, and the reclaiming of what nobody claims. */
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

/** Time between two looks at what an engine holds. */
export const reclaimMilliseconds = 2_000;
/** A holding must stay unclaimed this long before it is released. */
export const unclaimedGraceMilliseconds = 5_000;
const releaseTries = 4;
const releaseRetryMilliseconds = 200;

/** What holdings work with. */
export interface HoldingsParts {
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
 * Keeps account of streams and reservations.
 *
 * An entry that dies, or whose cancel is lost, leaves a stream or a reservation behind that nobody will ever end; one
 * would notice an engine's free memory shrinking for good. One entry for each engine lists what the engine holds,
 * asks the named owner, and releases what no owner claims. An owner that is only slow or cut off keeps its holdings
 * as long as the instance list shows it with the same incarnation.
 */
export class Holdings {
    private readonly live = new Set<string>();
    private readonly unclaimedSince = new Map<string, Milliseconds>();

    constructor(private readonly parts: HoldingsParts) {}

    /** Notes a holding before it is asked for. */
    claim(holdingId: string): void {
        this.live.add(holdingId);
    }

    /** Notes that a holding ended by itself. */
    ended(holdingId: string): void {
        this.live.delete(holdingId);
    }

    /** Which of these holdings this entry still uses. */
    liveOf(holdingIds: readonly string[]): string[] {
        return holdingIds.filter(id => this.live.has(id));
    }

    get count(): number {
        return this.live.size;
    }

    /** Ends a holding on an engine in the background. What several tries can't end is reclaimed later. */
    async release(address: string, holdingId: string): Promise<void> {
        this.live.delete(holdingId);
        for (let attempt = 0; attempt < releaseTries; attempt++) {
            try {
                await this.parts.engines.release(address, holdingId);
                return;
            }
            catch {
                await this.parts.clock.sleep(fullJitter(this.parts.random, releaseRetryMilliseconds, attempt, 2_000));
            }
        }
    }

    /** Looks after the engines that fall to this entry until `signal` aborts. */
    async reclaim(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const entries = this.parts.membership.responsiveEntries();
            for (const endpoint of this.parts.table.all()) {
                const mine = rendezvous(endpoint.id, entries) === this.parts.self.instance;
                if (mine && endpoint.record.role === InstanceRole.Engine && !signal.aborted) {
                    await this.reclaimFrom(endpoint);
                }
            }
            await this.parts.clock.sleep(reclaimMilliseconds, signal);
        }
    }

    private async reclaimFrom(endpoint: Endpoint): Promise<void> {
        try {
            const holdings = await this.parts.engines.holdings(endpoint.record.address);
            const unclaimed = await this.unclaimed(holdings);
            await this.releaseAfterGrace(endpoint, holdings, unclaimed);
        }
        catch (error) {
            this.parts.log.warn("What an engine holds can't be read.", {
                endpoint: endpoint.id,
                reason: describeError(error),
            });
        }
    }

    private async unclaimed(holdings: readonly EngineHolding[]): Promise<Set<string>> {
        const byOwner = new Map<string, EngineHolding[]>();
        for (const holding of holdings) {
            const owner = `${holding.owner}/${holding.ownerIncarnation}`;
            byOwner.set(owner, [...byOwner.get(owner) ?? [], holding]);
        }
        const unclaimed = new Set<string>();
        for (const owned of byOwner.values()) {
            for (const id of await this.unclaimedOf(owned)) {
                unclaimed.add(id);
            }
        }
        return unclaimed;
    }

    private async unclaimedOf(owned: readonly EngineHolding[]): Promise<string[]> {
        const { owner, ownerIncarnation } = owned[0]!;
        const ids = owned.map(holding => holding.id);
        if (owner === this.parts.self.instance) {
            const live = ownerIncarnation === this.parts.self.incarnation ? this.liveOf(ids) : [];
            return ids.filter(id => !live.includes(id));
        }
        const peer = this.parts.membership.peer(owner);
        if (!peer || (peer.record.incarnation !== "" && peer.record.incarnation !== ownerIncarnation)) {
            return ids;
        }
        try {
            const answer = await this.parts.peers.liveHoldings(peer.record.address, ids);
            const live = answer.incarnation === ownerIncarnation ? answer.live : [];
            return ids.filter(id => !live.includes(id));
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
        unclaimed: ReadonlySet<string>,
    ): Promise<void> {
        const now = this.parts.clock.now();
        for (const holding of holdings) {
            const key = `${endpoint.id}/${holding.id}`;
            if (!unclaimed.has(holding.id)) {
                this.unclaimedSince.delete(key);
                continue;
            }
            const since = this.unclaimedSince.get(key) ?? now;
            this.unclaimedSince.set(key, since);
            if (now - since < unclaimedGraceMilliseconds) {
                continue;
            }
            this.unclaimedSince.delete(key);
            await this.parts.engines.release(endpoint.record.address, holding.id);
            this.parts.timeline.record("holdings", "reclaimed", undefined, `${holding.id} on ${endpoint.id}`);
        }
    }
}
