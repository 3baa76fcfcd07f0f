/**
 * Sends this entry's updates to its peers and relays the updates of other groups within its own group.
 *
 * Load pattern: dozens of entries, each with a request a second. Sending and receiving a datagram costs more than handling
 * its content, so updates are batched for as long as their receivers can tolerate the delay.
 */
import {
    type PeerChannelPort,
    type PeerIdentity,
    type PeerMessage,
    type PeerUpdate,
    RelayScope,
} from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { formGroups, type Groups, selectRelays } from "./fanOut.js";
import type { PeerRegistry } from "./peerRegistry.js";
import { fullMeshPeerLimit, type PlacerSet } from "./placers.js";

/** How long an update may wait in a batch: for direct receivers, and for the other groups. */
export interface BatchingDelays {
    ownGroup: Milliseconds;
    otherGroups: Milliseconds;
}

/** For updates that must be sent immediately. */
export const noBatching: BatchingDelays = { ownGroup: 0, otherGroups: 0 };
/** For placements, which aren't delayed since another entry may be choosing an endpoint in the same millisecond. */
export const placementBatching: BatchingDelays = { ownGroup: 0, otherGroups: 0 };
/** For work that starts to write or ends. Until such an update arrives, peers overestimate the endpoint's load slightly. */
export const completionBatching: BatchingDelays = { ownGroup: 40, otherGroups: 200 };

/** How long the groups are cached. Grouping hundreds of entries for each message would take 10% of a small instance's CPU. */
const recipientsCacheDuration: Milliseconds = 1_000;
const smallSiteRecipientsCacheDuration: Milliseconds = 250;
/** How long updates of other groups are batched before they are relayed. Heartbeats alone can wait longer. */
const relayBatchingDelay: Milliseconds = 20;
const heartbeatBatchingDelay: Milliseconds = 200;
/** Network delay of a datagram between data centres, plus the time to handle it. */
export const directPropagationDelay: Milliseconds = 2;
/** Number of messages that triggers sending the relay batch at once. */
const maximumRelayBatchSize = 64;

/** Dependencies of {@link UpdateSender}. */
export interface UpdateSenderDependencies {
    clock: Clock;
    channel: PeerChannelPort;
    registry: PeerRegistry;
    self: PeerIdentity;
    dataCentre: string;
    /** The current placers; `asked` leaves out those in back-off. */
    placers: () => PlacerSet;
}

interface Recipients {
    computedAt: Milliseconds;
    groups: Groups;
    unresponsive: readonly string[];
}

/** Sends, batches and relays updates between entries. */
export class UpdateSender {
    private recipients: Recipients | undefined;
    private readonly ownGroupBatch: Batcher<PeerUpdate>;
    private readonly otherGroupsBatch: Batcher<PeerUpdate>;
    private readonly relayBatch: Batcher<PeerMessage>;
    private readonly placerBatch: Batcher<PeerMessage>;

    constructor(private readonly dependencies: UpdateSenderDependencies) {
        const { clock } = dependencies;
        this.ownGroupBatch = new Batcher(clock, updates => this.deliverToOwnGroup(updates));
        this.otherGroupsBatch = new Batcher(clock, updates => this.deliverToOtherGroups(updates));
        this.relayBatch = new Batcher(
            clock,
            messages => this.sendPacket(this.currentRecipients().groups.ownGroup, messages),
        );
        this.placerBatch = new Batcher(clock, messages => this.deliverToPlacers(messages));
    }

    /** Sends an update to all other entries. */
    broadcast(update: PeerUpdate, delays: BatchingDelays): void {
        this.sendToOwnGroup(update, delays.ownGroup);
        this.sendToOtherGroups(update, delays.otherGroups);
    }

    /** Sends an update to this entry's group, which holds all entries of a small site. */
    sendToOwnGroup(update: PeerUpdate, maximumDelay: Milliseconds): void {
        this.ownGroupBatch.add(update, maximumDelay);
    }

    /** Sends an update to the relays of the other groups. */
    sendToOtherGroups(update: PeerUpdate, maximumDelay: Milliseconds): void {
        if (this.currentRecipients().groups.otherGroups.length > 0) {
            this.otherGroupsBatch.add(update, maximumDelay);
        }
    }

    /** Sends an update directly to every entry seen recently, without relays. */
    sendToAll(update: PeerUpdate): void {
        this.sendPacket(this.dependencies.registry.allAddresses(), [{ from: this.dependencies.self, news: [update] }]);
    }

    /** Sends updates directly to the given addresses. */
    sendTo(addresses: readonly string[], updates: PeerUpdate[]): void {
        this.sendPacket(addresses, [{ from: this.dependencies.self, news: updates }]);
    }

    /** Sends an update to the placers. */
    sendToPlacers(update: PeerUpdate, maximumDelay: Milliseconds): void {
        this.placerBatch.add({ from: this.dependencies.self, news: [update] }, maximumDelay);
    }

    /** Relays messages of other entries to `scope`. */
    relay(messages: readonly PeerMessage[], scope: RelayScope): void {
        switch (scope) {
            case RelayScope.None:
                return;
            case RelayScope.Group:
                for (const message of messages) {
                    this.relayBatch.add(message, isHeartbeat(message) ? heartbeatBatchingDelay : relayBatchingDelay);
                }
                if (this.relayBatch.size >= maximumRelayBatchSize) {
                    this.relayBatch.flush();
                }
                return;
            case RelayScope.Placers:
                if (this.dependencies.placers().self) {
                    for (const message of messages) {
                        this.placerBatch.add(
                            message,
                            isPlacement(message) ? placementBatching.ownGroup : completionBatching.ownGroup,
                        );
                    }
                }
                return;
        }
    }

    /** Recomputes the groups before the next update, after an entry joined or is stopping. */
    invalidateRecipients(): void {
        this.recipients = undefined;
    }

    private deliverToOwnGroup(updates: PeerUpdate[]): void {
        const { groups, unresponsive } = this.currentRecipients();
        this.sendPacket([...groups.ownGroup, ...unresponsive], [{ from: this.dependencies.self, news: updates }]);
    }

    private deliverToOtherGroups(updates: PeerUpdate[]): void {
        const relays = selectRelays(this.currentRecipients().groups, this.dependencies.clock.wallTime());
        this.sendPacket(relays, [{ from: this.dependencies.self, news: updates }], RelayScope.Group);
    }

    /** A placer sends to the other placers. Any other entry sends to one placer, which relays to the others. */
    private deliverToPlacers(messages: PeerMessage[]): void {
        const { self, others, asked } = this.dependencies.placers();
        if (self) {
            this.sendPacket(others.map(({ address }) => address), messages);
        }
        else if (asked.length > 0) {
            this.sendPacket([asked[0]!.address], messages, RelayScope.Placers);
        }
    }

    private sendPacket(addresses: readonly string[], messages: PeerMessage[], scope = RelayScope.None): void {
        if (addresses.length > 0) {
            this.dependencies.channel.send(addresses, { messages, passOn: scope });
        }
    }

    private currentRecipients(): Recipients {
        const { clock, registry, self, dataCentre } = this.dependencies;
        const now = clock.now();
        const cacheDuration = registry.living().length > fullMeshPeerLimit
            ? recipientsCacheDuration
            : smallSiteRecipientsCacheDuration;
        if (!this.recipients || now - this.recipients.computedAt >= cacheDuration) {
            const others = registry.living().map(peer => ({
                id: peer.identity.id,
                address: peer.identity.address,
                dataCentre: peer.dataCentre,
                isFresh: registry.isFresh(peer),
            }));
            const groups = formGroups({ ...self, dataCentre, isFresh: true }, others);
            this.recipients = { computedAt: now, groups, unresponsive: registry.unresponsiveAddresses() };
        }
        return this.recipients;
    }
}

const isHeartbeat = ({ news }: PeerMessage): boolean => news.every(({ type }) => type === "Alive");

const isPlacement = ({ news }: PeerMessage): boolean => news.some(({ type }) => type === "Placed");

/** Collects items and sends them together when the first maximum delay expires. */
class Batcher<Item> {
    private items: Item[] = [];
    private dueAt: Milliseconds = Infinity;
    private cancelTimer = () => {};

    constructor(private readonly clock: Clock, private readonly send: (items: Item[]) => void) {}

    get size(): number {
        return this.items.length;
    }

    add(item: Item, maximumDelay: Milliseconds): void {
        this.items.push(item);
        if (maximumDelay === 0) {
            this.flush();
            return;
        }
        const dueAt = this.clock.now() + maximumDelay;
        if (dueAt < this.dueAt) {
            this.cancelTimer();
            this.dueAt = dueAt;
            this.cancelTimer = this.clock.after(maximumDelay, () => this.flush());
        }
    }

    flush(): void {
        this.cancelTimer();
        this.dueAt = Infinity;
        const { items } = this;
        this.items = [];
        if (items.length > 0) {
            this.send(items);
        }
    }
}
