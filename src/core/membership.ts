/**
 * Tracks the instance list, which peers respond, and the last heartbeat of each peer. While the platform is unavailable,
 * the last list stays in force, and an entry without any list contacts its configured seed addresses.
 */
import {
    ChangeSignal,
    Clock,
    describeError,
    Heartbeat,
    InstanceRecord,
    InstanceRole,
    InstanceState,
    Milliseconds,
    PartLog,
    PeerPort,
    PlatformHealth,
    PlatformPort,
} from "../internal.js";

/** Interval at which the instance list is read. */
export const instanceListIntervalMilliseconds = 1_000;
/** Longest time between a heartbeat exchange with a peer and the next one. */
export const heartbeatIntervalMilliseconds = 400;
/** A peer is unresponsive if its last heartbeat was requested longer ago than this. */
export const peerTimeoutMilliseconds = 2_000;

/** State of one peer as received by this entry. */
export interface PeerState {
    record: InstanceRecord;
    /** The last heartbeat that the peer returned. */
    heartbeat: Heartbeat | undefined;
    /** When this entry began the exchange that returned `heartbeat`, on its own clock. */
    heartbeatRequestedAt: Milliseconds;
    /** When this entry began the first exchange with the peer's current process. */
    incarnationSeenAt: Milliseconds;
}

export interface MembershipDependencies {
    clock: Clock;
    platform: PlatformPort;
    health: PlatformHealth;
    peers: PeerPort;
    log: PartLog;
    self: () => InstanceRecord;
    ownHeartbeat: () => Heartbeat;
    /** Called with each heartbeat that a peer returns. */
    onHeartbeat: (address: string, heartbeat: Heartbeat) => Promise<void>;
    /** Addresses of peers to contact while no instance list is available. */
    seeds: readonly string[];
}

/** Holds the instance list and runs one heartbeat task for each peer. */
export class Membership {
    /** Notified after each list that is applied. */
    readonly changed = new ChangeSignal();
    private records = new Map<string, InstanceRecord>();
    private readonly peerStates = new Map<string, PeerState>();
    private readonly peerTasks = new Map<string, AbortController>();
    private heartbeatsDue = new ChangeSignal();
    private peerStateLostAt: Milliseconds = -Infinity;

    constructor(private readonly dependencies: MembershipDependencies) {}

    /** All records of the instance list as last applied. */
    instances(): InstanceRecord[] {
        return [...this.records.values()];
    }

    instance(id: string): InstanceRecord | undefined {
        return this.records.get(id);
    }

    /** The other entries on the list, or the seed peers while there is no list. */
    peers(): PeerState[] {
        return [...this.peerStates.values()];
    }

    peer(id: string): PeerState | undefined {
        return this.peerStates.get(id);
    }

    /** Whether a peer returned a heartbeat within the peer timeout. */
    isResponsive(peer: PeerState): boolean {
        return peer.heartbeat !== undefined
            && this.dependencies.clock.now() - peer.heartbeatRequestedAt < peerTimeoutMilliseconds;
    }

    /** When this entry last found that an entry had ended without a planned stop, so that its in-memory state is lost. */
    get lastPeerLoss(): Milliseconds {
        return this.peerStateLostAt;
    }

    /** Names of the responsive entries, this entry included. */
    responsiveEntries(): string[] {
        const names = this.peers().filter(peer => this.isResponsive(peer)).map(peer => peer.record.id);
        return [...names, this.dependencies.self().id];
    }

    /**
     * Exchanges one heartbeat with every peer, to get updates that this entry missed during a pause. Returns how many
     * peers responded whose process was seen before the time `before`. Peers that started later aren't counted: their
     * state may be as stale as this entry's.
     */
    async exchangeHeartbeats(before: Milliseconds): Promise<number> {
        const peers = this.peers();
        const responded = await Promise.all(peers.map(peer => this.exchangeHeartbeat(peer)));
        return peers.filter((peer, index) => responded[index] && peer.incarnationSeenAt < before).length;
    }

    /** Sends the next heartbeat to every peer without waiting for the interval, because it carries an update. */
    sendHeartbeatsNow(): void {
        this.heartbeatsDue.notify();
    }

    /** Replaces the instance list by one from the platform or a peer. */
    applyList(list: readonly InstanceRecord[]): void {
        this.records = new Map(list.map(record => [record.id, record]));
        this.detectPredecessor();
        this.updatePeers();
        this.changed.notify();
    }

    /** Reads the list and announces this instance if its record is missing or outdated, until `signal` aborts. */
    async pollList(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.readList();
            await this.dependencies.clock.sleep(instanceListIntervalMilliseconds, signal);
        }
        for (const task of this.peerTasks.values()) {
            task.abort();
        }
    }

    private async readList(): Promise<void> {
        try {
            const list = await this.dependencies.health.track(this.dependencies.platform.instances());
            this.applyList(list);
            if (!this.includesSelf(list)) {
                await this.dependencies.health.track(this.dependencies.platform.announce(this.dependencies.self()));
            }
        }
        catch (error) {
            // During an outage the last list stays in force: an empty list would remove all endpoints at once.
            this.dependencies.log.warn("The instance list can't be read.", { reason: describeError(error) });
            this.addSeedPeers();
        }
    }

    private includesSelf(list: readonly InstanceRecord[]): boolean {
        const self = this.dependencies.self();
        return list.some(record =>
            record.id === self.id && record.incarnation === self.incarnation && record.state === self.state
        );
    }

    private addSeedPeers(): void {
        if (this.records.size > 0) {
            return;
        }
        for (const address of this.dependencies.seeds) {
            const id = `seed-${address}`;
            this.addOrUpdatePeer({
                id,
                role: InstanceRole.Entry,
                dataCentre: "",
                address,
                incarnation: "",
                state: InstanceState.Live,
            });
        }
    }

    private updatePeers(): void {
        const self = this.dependencies.self();
        for (const [id, task] of this.peerTasks) {
            if (!this.records.has(id)) {
                this.recordPeerLoss(this.peerStates.get(id));
                task.abort();
                this.peerTasks.delete(id);
                this.peerStates.delete(id);
            }
        }
        for (const record of this.records.values()) {
            if (record.role === InstanceRole.Entry && record.id !== self.id) {
                this.addOrUpdatePeer(record);
            }
        }
    }

    /** Detects that an earlier process of this instance ended without a planned stop. Its in-memory state is lost. */
    private detectPredecessor(): void {
        const self = this.dependencies.self();
        const listed = this.records.get(self.id);
        if (listed && listed.incarnation !== self.incarnation && listed.state !== InstanceState.Leaving) {
            this.peerStateLostAt = this.dependencies.clock.now();
        }
    }

    private recordPeerLoss(peer: PeerState | undefined): void {
        if (peer?.heartbeat && peer.heartbeat.state !== InstanceState.Leaving) {
            this.peerStateLostAt = this.dependencies.clock.now();
        }
    }

    private addOrUpdatePeer(record: InstanceRecord): void {
        const existing = this.peerStates.get(record.id);
        if (existing) {
            existing.record = record;
            return;
        }
        const task = new AbortController();
        const state: PeerState = {
            record,
            heartbeat: undefined,
            heartbeatRequestedAt: -Infinity,
            incarnationSeenAt: Infinity,
        };
        this.peerStates.set(record.id, state);
        this.peerTasks.set(record.id, task);
        void this.runHeartbeats(state, task.signal);
    }

    private async runHeartbeats(peer: PeerState, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.exchangeHeartbeat(peer);
            const waiting = new AbortController();
            const stopWaiting = () => waiting.abort();
            signal.addEventListener("abort", stopWaiting, { once: true });
            await Promise.race([
                this.dependencies.clock.sleep(heartbeatIntervalMilliseconds, waiting.signal),
                this.heartbeatsDue.next(waiting.signal),
            ]);
            signal.removeEventListener("abort", stopWaiting);
            waiting.abort();
        }
    }

    private async exchangeHeartbeat(peer: PeerState): Promise<boolean> {
        const requestedAt = this.dependencies.clock.now();
        try {
            const heartbeat = await this.dependencies.peers.heartbeat(
                peer.record.address,
                this.dependencies.ownHeartbeat(),
            );
            if (peer.heartbeat?.incarnation !== heartbeat.incarnation) {
                this.recordPeerLoss(peer);
                peer.incarnationSeenAt = requestedAt;
            }
            peer.heartbeat = heartbeat;
            peer.heartbeatRequestedAt = requestedAt;
            await this.dependencies.onHeartbeat(peer.record.address, heartbeat);
            return true;
        }
        catch (error) {
            this.dependencies.log.warn("A heartbeat exchange with a peer failed.", {
                peer: peer.record.id,
                reason: describeError(error),
            });
            return false;
        }
    }
}
