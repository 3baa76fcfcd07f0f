/** What entries tell one another, and what it costs them, at the sizes of sites: in simulated time, without sockets. */
import { expect, test } from "vitest";
import { Membership } from "../../src/core/membership/membership.js";
import { Peers } from "../../src/core/membership/peers.js";
import { WorkPart } from "../../src/core/placement/engineEstimate.js";
import { LoadEstimator } from "../../src/core/placement/loadEstimator.js";
import { SharedLoadEstimator } from "../../src/core/placement/sharedLoadEstimator.js";
import type { PeerPacket, StateDelta } from "../../src/ports/peerChannelPort.js";
import { StateKind } from "../../src/ports/statePort.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { silentLog } from "../../src/utils/log.js";

const delay = 1;

interface Member {
    id: string;
    address: string;
    peers: Peers;
    membership: Membership;
    loads: SharedLoadEstimator;
    ending: AbortController;
    sent: number;
    /** Whether datagrams to it arrive. */
    reached: boolean;
}

/** Entries that all start together and know a few of each other, as settings name them. */
class Site {
    readonly clock = new SimulatedClock();
    readonly members: Member[] = [];

    constructor(count: number) {
        for (let index = 0; index < count; index++) {
            this.start(index, "first");
        }
    }

    start(index: number, incarnation: string): Member {
        const { clock } = this;
        const id = `entry-${index}`;
        const address = `10.0.0.${index}:1`;
        const loads = new SharedLoadEstimator(new LoadEstimator(clock, () => undefined), clock);
        const peers = new Peers({
            clock,
            log: silentLog,
            channel: { send: (addresses, packet) => this.send(member, addresses, packet) },
            loads,
            publishesLoads: true,
            self: { id, address, incarnation },
            dataCentre: `centre-${index % 3}`,
            known: () => ({}),
            readAges: () => ({}),
            reads: () => true,
            inProgress: () => [],
        });
        const ending = new AbortController();
        const member: Member = {
            id,
            address,
            peers,
            membership: new Membership(peers, id),
            loads,
            ending,
            sent: 0,
            reached: true,
        };
        this.members[index] = member;
        peers.sendGreetings(this.members.slice(0, 3).filter(other => other !== member).map(other => other.address));
        void peers.runHeartbeats(ending.signal);
        return member;
    }

    stop(index: number): void {
        this.members[index]!.ending.abort();
        this.members[index]!.reached = false;
    }

    /** Datagrams that an entry sends in a second, on average and over `seconds`. */
    async sentPerSecond(seconds: number): Promise<number> {
        for (const member of this.members) {
            member.sent = 0;
        }
        await this.clock.run(this.clock.now() + seconds * 1_000);
        return this.members.reduce((sum, { sent }) => sum + sent, 0) / this.members.length / seconds;
    }

    private send(from: Member, addresses: readonly string[], packet: PeerPacket): void {
        for (const address of addresses) {
            from.sent++;
            this.clock.after(delay, () => {
                const to = this.members.find(member => member.address === address);
                if (to?.reached) {
                    to.peers.receive(packet);
                }
            });
        }
    }
}

for (const count of [7, 30, 91]) {
    test(`all of ${count} entries know one another within three seconds`, async () => {
        const site = new Site(count);
        await site.clock.run(3_000);
        expect(site.members.map(({ peers }) => peers.livingCount)).toEqual(site.members.map(() => count));
    });

    test(`half of ${count} entries killed at once are missed, and found again`, async () => {
        // Half of a site loses its power. Who is left must notice soon that nobody watches the store for all, and the others
        // must be known again when they are back.
        const site = new Site(count);
        await site.clock.run(5_000);
        const half = Math.floor(count / 2);
        for (let index = 0; index < half; index++) {
            site.stop(index);
        }
        await site.clock.run(5_000 + 9_000);
        const left = site.members.slice(half);
        expect(left.map(({ peers }) => peers.livingCount)).toEqual(left.map(() => count - half));
        for (let index = 0; index < half; index++) {
            site.start(index, "second");
        }
        await site.clock.run(18_000);
        expect(site.members.map(({ peers }) => peers.livingCount)).toEqual(site.members.map(() => count));
    });

    test(`placement is known by all who choose endpoints for ${count} entries, and its end`, async () => {
        // Guards against endpoints that are taken twice, as who chooses for others doesn't know what was placed.
        const site = new Site(count);
        await site.clock.run(5_000);
        site.members[0]!.loads.recordPlaced([{
            id: "r",
            owner: "entry-0",
            endpoint: "e",
            contextTokens: 10,
            readTokens: 10,
            readTime: 0,
            targetGap: 200,
            value: 1,
            yielding: false,
            part: WorkPart.Main,
            firstEventIn: undefined,
            endsBy: 60_000,
        }]);
        const placers = site.members.filter(({ peers }) => peers.placers().self);
        const known = () => placers.filter(({ loads }) => loads.load("e").requests === 1).length;
        // As long as a caller can wait for its placement to be known: a tenth of the shortest target.
        await site.clock.run(5_030);
        expect(placers.length).toBeGreaterThan(1);
        expect(known()).toBe(placers.length);
        site.members[0]!.loads.recordEnded(["e"], "r");
        await site.clock.run(5_400);
        expect(known()).toBe(0);
    });
}

test("what an entry sends grows no faster than the root of their number", async () => {
    // Ninety entries that heard each other twice a second spent a twentieth of a core on it. With three times as many entries
    // each may send about the root of three as much.
    const sent = new Map<number, number>();
    for (const count of [30, 91, 273]) {
        const site = new Site(count);
        await site.clock.run(6_000);
        sent.set(count, await site.sentPerSecond(4));
    }
    expect(sent.get(91)! / sent.get(30)!).toBeLessThan(Math.sqrt(3) * 1.3);
    expect(sent.get(273)! / sent.get(91)!).toBeLessThan(Math.sqrt(3) * 1.3);
});

test("small change goes with the news of it", async () => {
    // An endpoint leaves. If each of ninety entries had to ask for the change, two entries would answer fifteen questions each.
    const site = new Site(30);
    await site.clock.run(5_000);
    const heard = new Set<string>();
    for (const { id, peers } of site.members) {
        peers.onStateDelta = () => heard.add(id);
    }
    const change: StateDelta = { kind: StateKind.Endpoints, after: 3, revision: 4, wasAway: false, changes: [] };
    site.members[4]!.peers.publishStoreRead(change);
    await site.clock.run(5_100);
    expect(heard.size).toBe(29);
});

test("entry that watches is missed before a change is overdue", async () => {
    // The entries that watch the store are killed. All others rely on them, and are held to a change within two seconds.
    const site = new Site(30);
    for (const { peers } of site.members) {
        peers.isWatcher = () => true;
    }
    await site.clock.run(5_000);
    site.stop(3);
    await site.clock.run(6_800);
    const others = site.members.filter((...[, index]) => index !== 3);
    expect(others.every(({ peers }) => peers.livingCount === 29)).toBe(true);
});
