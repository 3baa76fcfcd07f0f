/** Which instances exist, which peers answer, and what the peers last said. */
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

/** Time between two readings of the instance list. */
export const instanceListMilliseconds = 1_000;
/** Time between two heartbeats to one peer. */
export const heartbeatMilliseconds = 400;
/** Silence after which a peer counts as lost. */
export const peerLostMilliseconds = 2_000;

/** What is known of one peer. */
export interface PeerState {
    record: InstanceRecord;
    /** The peer's last answer. */
    heartbeat: Heartbeat | undefined;
    /** When the exchange that brought it was begun, on this entry's clock. */
    askedAt: Milliseconds;
    /** When the peer's present process first answered. */
    knownSince: Milliseconds;
}

/** What membership works with. */
export interface MembershipParts {
    clock: Clock;
    platform: PlatformPort;
    health: PlatformHealth;
    peers: PeerPort;
    log: PartLog;
    self: () => InstanceRecord;
    ownHeartbeat: () => Heartbeat;
    /** Takes in what a peer said, from either direction. */
    heard: (address: string, heartbeat: Heartbeat) => Promise<void>;
    /** Addresses of peers to ask when the platform gives no list. */
    seeds: readonly string[];
}

/** The instances of the list and one heartbeat task for each peer. */
export class Membership {
    /** Notified when the list changed. */
    readonly changed = new ChangeSignal();
    private records = new Map<string, InstanceRecord>();
    private readonly peerStates = new Map<string, PeerState>();
    private readonly peerTasks = new Map<string, AbortController>();
    private urgent = new ChangeSignal();
    private peerLostAt: Milliseconds = -Infinity;

    constructor(private readonly parts: MembershipParts) {}

    /** Every line of the list as last read. */
    instances(): InstanceRecord[] {
        return [...this.records.values()];
    }

    instance(id: string): InstanceRecord | undefined {
        return this.records.get(id);
    }

    /** Other entries on the list. */
    peers(): PeerState[] {
        return [...this.peerStates.values()];
    }

    peer(id: string): PeerState | undefined {
        return this.peerStates.get(id);
    }

    /** Whether a peer answered lately. */
    answers(peer: PeerState): boolean {
        return peer.heartbeat !== undefined && this.parts.clock.now() - peer.askedAt < peerLostMilliseconds;
    }

    /** When a peer was last found to have ended without a planned stop: what it knew is lost. */
    get lastPeerLoss(): Milliseconds {
        return this.peerLostAt;
    }

    /** Names of the entries that answer, this one included. */
    answeringEntries(): string[] {
        const names = this.peers().filter(peer => this.answers(peer)).map(peer => peer.record.id);
        return [...names, this.parts.self().id];
    }

    /**
     * Exchanges one heartbeat with every peer, for news missed during a pause; returns how many answered whose
     * process was known `before`. One that started meanwhile may know no more than this entry.
     */
    async askPeers(before: Milliseconds): Promise<number> {
        const peers = this.peers();
        const answers = await Promise.all(peers.map(peer => this.askPeer(peer)));
        return peers.filter((peer, index) => answers[index] && peer.knownSince < before).length;
    }

    /** Sends the next heartbeat to every peer at once, because there is news. */
    hurry(): void {
        this.urgent.notify();
    }

    /** Takes a list, from the platform or a peer. */
    takeList(list: readonly InstanceRecord[]): void {
        this.records = new Map(list.map(record => [record.id, record]));
        this.notePredecessor();
        this.followPeers();
        this.changed.notify();
    }

    /** Announces this instance and reads the list until `signal` aborts. */
    async followList(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.readList();
            await this.parts.clock.sleep(instanceListMilliseconds, signal);
        }
        for (const task of this.peerTasks.values()) {
            task.abort();
        }
    }

    private async readList(): Promise<void> {
        try {
            const list = await this.parts.health.watch(this.parts.platform.instances());
            this.takeList(list);
            if (!this.listsSelf(list)) {
                await this.parts.health.watch(this.parts.platform.announce(this.parts.self()));
            }
        }
        catch (error) {
            // In an outage the last list stays in force: an empty one would take every endpoint away at once.
            this.parts.log.warn("The instance list can't be read.", { reason: describeError(error) });
            this.seedPeers();
        }
    }

    private listsSelf(list: readonly InstanceRecord[]): boolean {
        const self = this.parts.self();
        return list.some(record =>
            record.id === self.id && record.incarnation === self.incarnation && record.state === self.state
        );
    }

    private seedPeers(): void {
        if (this.records.size > 0) {
            return;
        }
        for (const address of this.parts.seeds) {
            const id = `seed-${address}`;
            this.startPeer({
                id,
                role: InstanceRole.Entry,
                dataCentre: "",
                address,
                incarnation: "",
                state: InstanceState.Live,
            });
        }
    }

    private followPeers(): void {
        const self = this.parts.self();
        for (const [id, task] of this.peerTasks) {
            if (!this.records.has(id)) {
                this.noteLoss(this.peerStates.get(id));
                task.abort();
                this.peerTasks.delete(id);
                this.peerStates.delete(id);
            }
        }
        for (const record of this.records.values()) {
            if (record.role === InstanceRole.Entry && record.id !== self.id) {
                this.startPeer(record);
            }
        }
    }

    /** A process that replaces one of its own instance has lost what that one knew. */
    private notePredecessor(): void {
        const self = this.parts.self();
        const listed = this.records.get(self.id);
        if (listed && listed.incarnation !== self.incarnation && listed.state !== InstanceState.Leaving) {
            this.peerLostAt = this.parts.clock.now();
        }
    }

    private noteLoss(peer: PeerState | undefined): void {
        if (peer?.heartbeat && peer.heartbeat.state !== InstanceState.Leaving) {
            this.peerLostAt = this.parts.clock.now();
        }
    }

    private startPeer(record: InstanceRecord): void {
        const known = this.peerStates.get(record.id);
        if (known) {
            known.record = record;
            return;
        }
        const task = new AbortController();
        const state: PeerState = { record, heartbeat: undefined, askedAt: -Infinity, knownSince: Infinity };
        this.peerStates.set(record.id, state);
        this.peerTasks.set(record.id, task);
        void this.followPeer(state, task.signal);
    }

    private async followPeer(peer: PeerState, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.askPeer(peer);
            const stop = new AbortController();
            const end = () => stop.abort();
            signal.addEventListener("abort", end, { once: true });
            await Promise.race([
                this.parts.clock.sleep(heartbeatMilliseconds, stop.signal),
                this.urgent.next(stop.signal),
            ]);
            signal.removeEventListener("abort", end);
            stop.abort();
        }
    }

    private async askPeer(peer: PeerState): Promise<boolean> {
        const askedAt = this.parts.clock.now();
        try {
            const heartbeat = await this.parts.peers.heartbeat(peer.record.address, this.parts.ownHeartbeat());
            if (peer.heartbeat?.incarnation !== heartbeat.incarnation) {
                this.noteLoss(peer);
                peer.knownSince = askedAt;
            }
            peer.heartbeat = heartbeat;
            peer.askedAt = askedAt;
            await this.parts.heard(peer.record.address, heartbeat);
            return true;
        }
        catch (error) {
            this.parts.log.warn("A peer does not answer.", { peer: peer.record.id, reason: describeError(error) });
            return false;
        }
    }
}
