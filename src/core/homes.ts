/**
 * Assigns each endpoint to one entry, its home. Only the home may admit work to the endpoint while the endpoint is cold.
 * The assignment follows from a table of entries that is stored in the platform.
 */
import {
    absentVersion,
    Clock,
    describeError,
    fullJitter,
    Membership,
    Milliseconds,
    ObjectKind,
    PartLog,
    PlatformHealth,
    PlatformPort,
    Random,
    rendezvous,
    StoredObject,
    Timeline,
} from "../internal.js";

/** Lease duration: how long a home may act after it began to confirm the table. */
export const homeLeaseDurationMilliseconds = 3_000;
/** Shortest time between two confirmations of the table; a random delay is added. */
export const homeConfirmIntervalMilliseconds = 800;
/** A permit is valid for this long after it was requested. */
export const permitSendTimeoutMilliseconds = 1_000;
/** How long a new home waits until the previous home's lease and the permits that it granted have expired. */
export const handoverDelayMilliseconds = homeLeaseDurationMilliseconds + permitSendTimeoutMilliseconds;
/** A member that has been unresponsive for this long is removed from the table. */
const memberTimeoutMilliseconds = 4_000;

/** The stored home table. An endpoint's home is the member with the highest rendezvous hash for it. */
export interface HomesTable {
    members: HomesMember[];
    /** Version of the table that this table replaced. */
    previous: number;
}

/** A member of the home table: one process of an entry. A restarted entry is a different member. */
export interface HomesMember {
    instance: string;
    incarnation: string;
}

export interface HomesDependencies {
    clock: Clock;
    random: Random;
    platform: PlatformPort;
    health: PlatformHealth;
    membership: Membership;
    log: PartLog;
    timeline: Timeline;
    self: HomesMember;
    /** Whether this entry is ready and not stopping, and therefore should be a member. */
    isServing: () => boolean;
}

const tableName = "table";

/** A table version as read by this entry. */
interface ObservedTable {
    version: number;
    memberNames: string[];
    observedAt: Milliseconds;
    /** Whether this version directly replaced the version that this entry read before it. */
    followsPrevious: boolean;
}

const memberName = (member: HomesMember): string => `${member.instance}/${member.incarnation}`;

/**
 * Maintains the home table and this entry's lease on it.
 *
 * If several entries each sent a few requests to an endpoint during its cold start, they would overload it, and it would
 * crash as soon as it came back. The table therefore assigns one home to each endpoint. A home that was paused, or was
 * partitioned while another entry became home, must not act. It may act only while its last confirmation of the table
 * was begun less than a lease ago, and a new home waits until all older leases and permits have expired.
 */
export class Homes {
    /** Table versions read within the handover delay, and the one in force before them; oldest first. */
    private recentTables: ObservedTable[] = [];
    private confirmedAt: Milliseconds = -Infinity;
    private readonly unresponsiveSince = new Map<string, Milliseconds>();

    constructor(private readonly dependencies: HomesDependencies) {}

    /** Version of the table that was read last. */
    get tableVersion(): number {
        return this.latest?.version ?? absentVersion;
    }

    /** Instance that is the endpoint's home according to the table that was read last. */
    homeOf(endpoint: string): string | undefined {
        return this.homeMemberName(endpoint)?.split("/")[0];
    }

    /** Whether this entry may admit work to the endpoint now. Call this in the same synchronous step as the send. */
    mayAct(endpoint: string): boolean {
        const now = this.dependencies.clock.now();
        if (this.homeMemberName(endpoint) !== memberName(this.dependencies.self)) {
            return false;
        }
        return now < this.leaseEnd() && now >= this.homeSince(endpoint) + handoverDelayMilliseconds;
    }

    /** Confirms the table, adds this entry and removes unresponsive members, periodically until `signal` aborts. */
    async maintain(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                await this.confirmTable();
                await this.updateMembers();
            }
            catch (error) {
                this.dependencies.log.warn("The home table can't be confirmed or updated.", {
                    reason: describeError(error),
                });
            }
            const jitter = fullJitter(
                this.dependencies.random,
                homeConfirmIntervalMilliseconds / 4,
                0,
                homeConfirmIntervalMilliseconds,
            );
            await this.dependencies.clock.sleep(homeConfirmIntervalMilliseconds + jitter, signal);
        }
    }

    /** Removes this entry from the table at a planned stop. Its endpoints' new homes act after the handover delay. */
    async leave(): Promise<void> {
        const members = this.members();
        const remaining = members.filter(member => memberName(member) !== memberName(this.dependencies.self));
        if (remaining.length < members.length) {
            await this.writeMembers(remaining);
        }
    }

    private get latest(): ObservedTable | undefined {
        return this.recentTables.at(-1);
    }

    private members(): HomesMember[] {
        return (this.latest?.memberNames ?? []).map(name => {
            const [instance, incarnation] = name.split("/") as [string, string];
            return { instance, incarnation };
        });
    }

    private homeMemberName(endpoint: string, table = this.latest): string | undefined {
        return table && rendezvous(endpoint, table.memberNames);
    }

    /** When this entry became the endpoint's home in an uninterrupted sequence of table versions; Infinity if it isn't. */
    private homeSince(endpoint: string): Milliseconds {
        let since = Infinity;
        for (const table of this.recentTables.slice().reverse()) {
            if (this.homeMemberName(endpoint, table) !== memberName(this.dependencies.self)) {
                break;
            }
            since = table.observedAt;
            // If this entry missed a version, that version may have made another entry the home.
            if (!table.followsPrevious) {
                break;
            }
        }
        return since;
    }

    private leaseEnd(): Milliseconds {
        return Math.max(this.confirmedAt, this.outageConfirmedAt()) + homeLeaseDurationMilliseconds;
    }

    /**
     * When a majority of the table's members, this entry included, was last known to be in the outage; -Infinity if this
     * entry has no outage or a member has read a newer table.
     *
     * During an outage no entry can change the table, so its homes may continue. An entry that alone has lost its
     * connection to the platform must not continue, because other entries can assign its endpoints to a new home.
     */
    private outageConfirmedAt(): Milliseconds {
        if (!this.dependencies.health.isDown) {
            return -Infinity;
        }
        const confirmationTimes: Milliseconds[] = [];
        const members = this.members();
        for (const member of members) {
            const peer = this.dependencies.membership.peer(member.instance);
            const heartbeat = peer?.heartbeat;
            if (heartbeat && heartbeat.homesVersion > this.tableVersion) {
                return -Infinity;
            }
            if (peer && heartbeat?.incarnation === member.incarnation && heartbeat.platformDown) {
                confirmationTimes.push(peer.heartbeatRequestedAt);
            }
        }
        const requiredPeers = Math.floor(members.length / 2);
        if (requiredPeers === 0) {
            return this.dependencies.clock.now();
        }
        confirmationTimes.sort((first, second) => second - first);
        return confirmationTimes[requiredPeers - 1] ?? -Infinity;
    }

    private async confirmTable(): Promise<void> {
        const requestedAt = this.dependencies.clock.now();
        const stored = await this.dependencies.health.track(
            this.dependencies.platform.read(ObjectKind.Homes, tableName),
        );
        this.applyTable(stored);
        if ((stored?.version ?? absentVersion) === this.tableVersion) {
            this.confirmedAt = requestedAt;
        }
    }

    /**
     * Applies any table whose version differs from the current one, even a lower version. A platform that was restored
     * from a backup has lost the current version; if entries ignored older ones, no endpoint would have a home again.
     * This is safe because a new home waits for the handover delay, in which every lease on another table expires.
     */
    private applyTable(stored: StoredObject | undefined): void {
        if ((stored?.version ?? absentVersion) === this.tableVersion) {
            return;
        }
        if (!stored) {
            this.recentTables = [];
            return;
        }
        const { members, previous } = stored.value as HomesTable;
        const now = this.dependencies.clock.now();
        this.recentTables.push({
            version: stored.version,
            memberNames: members.map(memberName),
            observedAt: now,
            followsPrevious: previous === this.tableVersion,
        });
        while (this.recentTables.length > 1 && this.recentTables[1]!.observedAt < now - handoverDelayMilliseconds) {
            this.recentTables.shift();
        }
        const detail = `version ${stored.version}, ${members.length} members`;
        this.dependencies.timeline.record("homes", "table", undefined, detail);
    }

    private async updateMembers(): Promise<void> {
        const self = memberName(this.dependencies.self);
        const before = this.members();
        const unresponsive = this.unresponsiveMembers(before);
        let members = before.filter(member => !unresponsive.has(memberName(member)));
        if (this.dependencies.isServing() && !members.some(member => memberName(member) === self)) {
            members = members.filter(member => member.instance !== this.dependencies.self.instance);
            members.push(this.dependencies.self);
        }
        const changed = members.length !== before.length
            || members.some((member, index) => memberName(member) !== memberName(before[index]!));
        if (changed) {
            await this.writeMembers(members);
        }
    }

    private unresponsiveMembers(members: readonly HomesMember[]): Set<string> {
        const unresponsive = new Set<string>();
        const now = this.dependencies.clock.now();
        for (const member of members) {
            if (memberName(member) === memberName(this.dependencies.self)) {
                continue;
            }
            const peer = this.dependencies.membership.peer(member.instance);
            const isResponsive = peer && this.dependencies.membership.isResponsive(peer)
                && peer.heartbeat?.incarnation === member.incarnation;
            if (isResponsive) {
                this.unresponsiveSince.delete(memberName(member));
                continue;
            }
            const since = this.unresponsiveSince.get(memberName(member)) ?? now;
            this.unresponsiveSince.set(memberName(member), since);
            if (now - since >= memberTimeoutMilliseconds) {
                unresponsive.add(memberName(member));
            }
        }
        return unresponsive;
    }

    private async writeMembers(members: HomesMember[]): Promise<void> {
        const value: HomesTable = { members, previous: this.tableVersion };
        const outcome = await this.dependencies.health.track(
            this.dependencies.platform.write(ObjectKind.Homes, tableName, this.tableVersion, value),
        );
        if (outcome.type === "Conflict") {
            this.applyTable(outcome.current);
            return;
        }
        this.applyTable({ kind: ObjectKind.Homes, name: tableName, version: outcome.version, value });
    }
}
