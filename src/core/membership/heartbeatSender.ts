/**
 * Sends this entry's heartbeats, and decides which entries get them and how often.
 *
 * Load pattern: hundreds of entries would spend most of their time on heartbeats if each got those of every other twice a
 * second. Frequent heartbeats go only to the entries that depend on them: the placers of this entry, the entries that this
 * one places for, and all entries while this one watches the store.
 */
import type { PeerStatus, PeerUpdate } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { DigestScope, type MemberDigest } from "./memberDigest.js";
import type { PeerRegistry } from "./peerRegistry.js";
import type { PlacerSet } from "./placers.js";
import type { UpdateSender } from "./updateSender.js";

/** Default interval. A heartbeat lists the requests in progress, which makes up for a lost update on the end of a request. */
const heartbeatInterval: Milliseconds = 500;
/** Interval of an entry that watches the store for all, so that another one replaces it before a change is overdue. */
const watcherHeartbeatInterval: Milliseconds = 250;
/** Interval of an entry that asks placers: only the placers depend on its heartbeats, and they receive those of dozens. */
const rareHeartbeatInterval: Milliseconds = 1_000;
/**
 * Minimum interval of heartbeats to other groups, and its increment per entry. Hundreds of entries that got each other's
 * heartbeats twice a second would do little else; entries of other groups recover from lost updates later in return.
 */
const minimumRemoteHeartbeatInterval: Milliseconds = 2_000;
const remoteHeartbeatIntervalPerEntry: Milliseconds = 30;
/**
 * Number of first heartbeats that go to each entry directly. Until all entries have the same membership list they form
 * different groups, and relayed updates miss some entries.
 */
const initialHeartbeatCount = 4;

/** Dependencies of {@link HeartbeatSender}. */
export interface HeartbeatSenderDependencies {
    clock: Clock;
    registry: PeerRegistry;
    sender: UpdateSender;
    dataCentre: string;
    placers: () => PlacerSet;
    /** Identifiers of this entry's requests in progress. */
    activeRequestIds: () => string[];
    /** This entry's status, with the time until its next heartbeat. */
    status: (nextIn: Milliseconds) => PeerStatus;
    /** Whether the placers tell the others that this entry lives, and all that they need to know of its status. */
    isCoveredByDigests: () => boolean;
    /** The digest for a placer's heartbeat; undefined where there are none. */
    createDigest: (scope: DigestScope) => MemberDigest | undefined;
}

/** Addresses that get each heartbeat directly. */
interface DependentAddresses {
    /** The entries of this data centre that a placer places for, or the placers that this entry asks. */
    ownDataCentre: readonly string[];
    /** The other placers, for a placer. */
    others: readonly string[];
}

/** Sends this entry's heartbeats. */
export class HeartbeatSender {
    private initialHeartbeatsSent = 0;
    private remoteHeartbeatAt: Milliseconds = -Infinity;
    private lastInterval = heartbeatInterval;

    constructor(private readonly dependencies: HeartbeatSenderDependencies) {}

    /** Sends one heartbeat and returns the time until the next. `isWatcher`: all entries depend on this one's store watch. */
    send(isWatcher: boolean): Milliseconds {
        const { clock, sender, activeRequestIds } = this.dependencies;
        const { everyone, self } = this.dependencies.placers();
        const defaultInterval = everyone || self ? heartbeatInterval : rareHeartbeatInterval;
        const interval = isWatcher ? watcherHeartbeatInterval : defaultInterval;
        this.lastInterval = interval;
        if (this.initialHeartbeatsSent < initialHeartbeatCount && !this.dependencies.isCoveredByDigests()) {
            this.initialHeartbeatsSent++;
            sender.sendToAll(this.createHeartbeat(interval, activeRequestIds()));
            return interval;
        }
        if (!everyone) {
            this.sendToDependents(interval, activeRequestIds());
            if (this.dependencies.isCoveredByDigests()) {
                return interval;
            }
        }
        sender.sendToOwnGroup(this.createHeartbeat(interval, everyone ? activeRequestIds() : undefined), 0);
        const { remoteInterval } = this;
        if (isWatcher || clock.now() - this.remoteHeartbeatAt >= remoteInterval - interval / 2) {
            this.remoteHeartbeatAt = clock.now();
            sender.sendToOtherGroups(this.createHeartbeat(isWatcher ? interval : remoteInterval, undefined), 0);
        }
        return interval;
    }

    /** Sends this entry's status to all entries without waiting for the next heartbeat. */
    sendStatusAhead(): void {
        const { sender, placers } = this.dependencies;
        const status = this.createHeartbeat(this.lastInterval, undefined);
        sender.sendToOwnGroup(status, 0);
        if (!placers().everyone) {
            const { others, ownDataCentre } = this.dependentAddresses();
            sender.sendTo([...new Set([...ownDataCentre, ...others])], [status]);
        }
        sender.sendToOtherGroups(this.createHeartbeat(this.remoteInterval, undefined), 0);
    }

    private get remoteInterval(): Milliseconds {
        return Math.max(
            minimumRemoteHeartbeatInterval,
            remoteHeartbeatIntervalPerEntry * (this.dependencies.registry.living().length + 1),
        );
    }

    /** Creates a heartbeat message; the defaults are for the response to a greeting. */
    createHeartbeat(
        nextIn = heartbeatInterval,
        inProgress: string[] | undefined = this.dependencies.activeRequestIds(),
        digest?: MemberDigest,
    ): PeerUpdate {
        return { type: "Alive", inProgress, status: { ...this.dependencies.status(nextIn), digest } };
    }

    /** Sends a heartbeat with the requests in progress to the entries that depend on it, from a placer with a digest. */
    private sendToDependents(interval: Milliseconds, inProgress: string[]): void {
        const { sender, createDigest } = this.dependencies;
        const { ownDataCentre, others } = this.dependentAddresses();
        const send = (addresses: readonly string[], scope: DigestScope) => {
            if (addresses.length > 0) {
                sender.sendTo(addresses, [this.createHeartbeat(interval, inProgress, createDigest(scope))]);
            }
        };
        send(ownDataCentre, DigestScope.All);
        send(others, DigestScope.DataCentre);
        this.probeUnresponsive(interval);
    }

    /** As a placer, sends heartbeats to entries that don't seem to live, so that both sides of a partition find one another. */
    private probeUnresponsive(interval: Milliseconds): void {
        const { sender, registry, placers, isCoveredByDigests } = this.dependencies;
        const unresponsive = registry.unresponsiveAddresses();
        if (placers().self && isCoveredByDigests() && unresponsive.length > 0) {
            sender.sendTo(unresponsive, [this.createHeartbeat(interval, undefined)]);
        }
    }

    /**
     * Addresses that get each heartbeat directly. The placers of an entry's data centre receive its requests in progress and
     * inform the other placers of ended work. A placer sends its heartbeats to all entries that it places for and to the
     * other placers.
     */
    private dependentAddresses(): DependentAddresses {
        const { dataCentre, registry } = this.dependencies;
        const { self, others } = this.dependencies.placers();
        if (!self) {
            const placers = others.filter(placer => placer.dataCentre === dataCentre);
            return { ownDataCentre: placers.map(({ address }) => address), others: [] };
        }
        const placerAddresses = new Set(others.map(({ address }) => address));
        const ownDataCentre = registry.living().filter(peer => peer.dataCentre === dataCentre)
            .map(({ identity }) => identity.address).filter(address => !placerAddresses.has(address));
        return { ownDataCentre, others: [...placerAddresses] };
    }
}
