/** Which entry is an endpoint's home: the only one that may let work onto it while it is cold. */
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

/** How long one confirmation of the table lets a home act. */
export const homeLeaseMilliseconds = 3_000;
/** Time between two confirmations. */
export const homeConfirmMilliseconds = 800;
/** A permit must be used within this time of being asked for. */
export const permitSendMilliseconds = 1_000;
/** What a new home waits out: the old home's lease and the permits it may still have given. */
export const handOverMilliseconds = homeLeaseMilliseconds + permitSendMilliseconds;
/** Silence after which a member is proposed for removal. */
const memberLostMilliseconds = 4_000;

/** The stored table. An endpoint's home is the member with the highest rendezvous hash. */
export interface HomesTable {
    members: HomesMember[];
    /** Version of the table that this one replaced. */
    previous: number;
}

/** An entry of the table; a restarted entry is another member. */
export interface HomesMember {
    instance: string;
    incarnation: string;
}

/** What homes work with. */
export interface HomesParts {
    clock: Clock;
    random: Random;
    platform: PlatformPort;
    health: PlatformHealth;
    membership: Membership;
    log: PartLog;
    timeline: Timeline;
    self: HomesMember;
    /** Whether this entry should be a member: it is ready and not stopping. */
    serving: () => boolean;
}

const tableName = "table";

/** A table as this entry saw it. */
interface SeenTable {
    version: number;
    /** Names of the members. */
    names: string[];
    seenAt: Milliseconds;
    /** Whether it followed directly on the table seen before it. */
    continuous: boolean;
}

const nameOf = (member: HomesMember): string => `${member.instance}/${member.incarnation}`;

/**
 * The home table and this entry's lease on it.
 *
 * Several entries that each send "a little" overwhelm an endpoint in cold start; one would notice it falling over as
 * soon as it comes back. The table names one home for each endpoint. A home that was paused, or cut off while another
 * took over, must not act: each act needs a confirmation of the table that was begun less than a lease ago, and a new
 * home waits until every older confirmation and permit has run out.
 */
export class Homes {
    /** The tables seen lately, oldest first. */
    private tables: SeenTable[] = [];
    private confirmedAt: Milliseconds = -Infinity;
    private readonly silentSince = new Map<string, Milliseconds>();

    constructor(private readonly parts: HomesParts) {}

    /** Version of the table seen last. */
    get tableVersion(): number {
        return this.latest?.version ?? absentVersion;
    }

    /** Instance that is home of an endpoint by the table seen last. */
    homeOf(endpoint: string): string | undefined {
        return this.homeName(endpoint)?.split("/")[0];
    }

    /** Whether this entry may let work onto the endpoint now. Ask in the same synchronous step as the send. */
    mayAct(endpoint: string): boolean {
        const now = this.parts.clock.now();
        if (this.homeName(endpoint) !== nameOf(this.parts.self)) {
            return false;
        }
        return now < this.leaseEnd() && now >= this.mineSince(endpoint) + handOverMilliseconds;
    }

    /** Confirms the table, joins it and proposes removals, until `signal` aborts. */
    async follow(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                await this.confirm();
                await this.repair();
            }
            catch (error) {
                this.parts.log.warn("The home table can't be confirmed.", { reason: describeError(error) });
            }
            const jitter = fullJitter(this.parts.random, homeConfirmMilliseconds / 4, 0, homeConfirmMilliseconds);
            await this.parts.clock.sleep(homeConfirmMilliseconds + jitter, signal);
        }
    }

    /** Leaves the table on a planned stop; its endpoints pass on after the hand-over time. */
    async leave(): Promise<void> {
        const members = this.members();
        const rest = members.filter(member => nameOf(member) !== nameOf(this.parts.self));
        if (rest.length < members.length) {
            await this.write(rest);
        }
    }

    private get latest(): SeenTable | undefined {
        return this.tables.at(-1);
    }

    private members(): HomesMember[] {
        return (this.latest?.names ?? []).map(name => {
            const [instance, incarnation] = name.split("/") as [string, string];
            return { instance, incarnation };
        });
    }

    private homeName(endpoint: string, table = this.latest): string | undefined {
        return table && rendezvous(endpoint, table.names);
    }

    /** Since when this entry has been home by an unbroken run of tables. */
    private mineSince(endpoint: string): Milliseconds {
        let since = Infinity;
        for (const table of this.tables.slice().reverse()) {
            if (this.homeName(endpoint, table) !== nameOf(this.parts.self)) {
                break;
            }
            since = table.seenAt;
            // Between two tables that don't follow on each other another home may have acted unseen.
            if (!table.continuous) {
                break;
            }
        }
        return since;
    }

    private leaseEnd(): Milliseconds {
        return Math.max(this.confirmedAt, this.sharedOutageAt()) + homeLeaseMilliseconds;
    }

    /**
     * When a majority of the table was last known to see the outage too, and no newer table.
     *
     * In an outage nobody can change the table, so its homes may go on; an entry that is merely cut off from the
     * platform must not, because the others can move its endpoints to a new home.
     */
    private sharedOutageAt(): Milliseconds {
        if (!this.parts.health.down) {
            return -Infinity;
        }
        const times: Milliseconds[] = [];
        const members = this.members();
        for (const member of members) {
            const peer = this.parts.membership.peer(member.instance);
            const heartbeat = peer?.heartbeat;
            if (heartbeat && heartbeat.homesVersion > this.tableVersion) {
                return -Infinity;
            }
            if (peer && heartbeat?.incarnation === member.incarnation && heartbeat.platformDown) {
                times.push(peer.askedAt);
            }
        }
        const others = Math.floor(members.length / 2);
        if (others === 0) {
            return this.parts.clock.now();
        }
        times.sort((first, second) => second - first);
        return times[others - 1] ?? -Infinity;
    }

    private async confirm(): Promise<void> {
        const askedAt = this.parts.clock.now();
        const stored = await this.parts.health.watch(this.parts.platform.read(ObjectKind.Homes, tableName));
        this.take(stored);
        if ((stored?.version ?? absentVersion) === this.tableVersion) {
            this.confirmedAt = askedAt;
        }
    }

    /**
     * Takes a table that differs from the one held, also an older one: a platform restored from an old copy has lost
     * ours, and nobody would be home of anything again. Whatever table comes, a home by it waits out the hand-over
     * time, in which every lease on another table ends.
     */
    private take(stored: StoredObject | undefined): void {
        if ((stored?.version ?? absentVersion) === this.tableVersion) {
            return;
        }
        if (!stored) {
            this.tables = [];
            return;
        }
        const { members, previous } = stored.value as HomesTable;
        const now = this.parts.clock.now();
        this.tables.push({
            version: stored.version,
            names: members.map(nameOf),
            seenAt: now,
            continuous: previous === this.tableVersion,
        });
        while (this.tables.length > 1 && this.tables[1]!.seenAt < now - handOverMilliseconds) {
            this.tables.shift();
        }
        const detail = `version ${stored.version}, ${members.length} members`;
        this.parts.timeline.record("homes", "table", undefined, detail);
    }

    private async repair(): Promise<void> {
        const self = nameOf(this.parts.self);
        const before = this.members();
        const lost = this.lostMembers(before);
        let members = before.filter(member => !lost.has(nameOf(member)));
        if (this.parts.serving() && !members.some(member => nameOf(member) === self)) {
            members = members.filter(member => member.instance !== this.parts.self.instance);
            members.push(this.parts.self);
        }
        const changed = members.length !== before.length
            || members.some((member, index) => nameOf(member) !== nameOf(before[index]!));
        if (changed) {
            await this.write(members);
        }
    }

    private lostMembers(members: readonly HomesMember[]): Set<string> {
        const lost = new Set<string>();
        const now = this.parts.clock.now();
        for (const member of members) {
            if (nameOf(member) === nameOf(this.parts.self)) {
                continue;
            }
            const peer = this.parts.membership.peer(member.instance);
            const present = peer && this.parts.membership.answers(peer)
                && peer.heartbeat?.incarnation === member.incarnation;
            if (present) {
                this.silentSince.delete(nameOf(member));
                continue;
            }
            const since = this.silentSince.get(nameOf(member)) ?? now;
            this.silentSince.set(nameOf(member), since);
            if (now - since >= memberLostMilliseconds) {
                lost.add(nameOf(member));
            }
        }
        return lost;
    }

    private async write(members: HomesMember[]): Promise<void> {
        const value: HomesTable = { members, previous: this.tableVersion };
        const outcome = await this.parts.health.watch(
            this.parts.platform.write(ObjectKind.Homes, tableName, this.tableVersion, value),
        );
        if (outcome.type === "Conflict") {
            this.take(outcome.current);
            return;
        }
        this.take({ kind: ObjectKind.Homes, name: tableName, version: outcome.version, value });
    }
}
