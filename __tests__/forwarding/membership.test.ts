/** Who counts as an entry, for budgets that hold over all of them. */
import { expect, test } from "vitest";
import { formGroups, type GroupMember, selectRelays } from "../../src/core/membership/fanOut.js";
import { Membership } from "../../src/core/membership/membership.js";
import { Peers } from "../../src/core/membership/peers.js";
import { LoadEstimator } from "../../src/core/placement/loadEstimator.js";
import { SharedLoadEstimator } from "../../src/core/placement/sharedLoadEstimator.js";
import { RelayScope } from "../../src/ports/peerChannelPort.js";
import type { Clock } from "../../src/utils/clock.js";

class Fixture {
    time = 0;
    readonly told: (readonly string[])[] = [];
    readonly clock: Clock = {
        now: () => this.time,
        wallTime: () => this.time,
        sleep: () => Promise.resolve(),
        after: () => () => {},
    };
    readonly peers: Peers;
    readonly membership: Membership;

    constructor(self = "entry-0") {
        this.peers = new Peers({
            clock: this.clock,
            log: { info: () => {}, warn: () => {}, error: () => {} },
            channel: { send: addresses => this.told.push(addresses) },
            loads: new SharedLoadEstimator(new LoadEstimator(this.clock, () => undefined), this.clock),
            publishesLoads: false,
            self: { id: self, address: "10.0.0.0:1", incarnation: "a" },
            dataCentre: "north",
            known: () => ({}),
            readAges: () => ({}),
            reads: () => true,
            inProgress: () => [],
        });
        this.membership = new Membership(this.peers, self);
    }

    list(count: number): void {
        this.peers.applyListing(
            [...Array(count).keys()].map(index => ({ id: `entry-${index}`, address: `10.0.0.${index}:1` })),
        );
    }

    hear(id: string): void {
        const from = { id, address: `${id}:1`, incarnation: "a" };
        this.peers.receive({ messages: [{ from, news: [] }], passOn: RelayScope.Nobody });
    }
}

test("entry that has met nobody takes itself for one of many", () => {
    // After a loss of power eighty entries start within a second, and none knows another yet. Each taking a ninth of what a
    // cold endpoint bears, they would send it nine times as much.
    const fixture = new Fixture();
    expect(fixture.membership.size).toBeGreaterThanOrEqual(85);
    fixture.list(6);
    expect(fixture.membership.size).toBe(9);
});

test("silent entries count", () => {
    // A bridge between two data centres is cut. Each half hears only itself and both go on sending to the same endpoints.
    const fixture = new Fixture();
    fixture.list(40);
    fixture.time = 60_000;
    expect(fixture.peers.livingCount).toBe(1);
    expect(fixture.membership.size).toBe(40);
});

test("all entries agree on their places", () => {
    const fixtures = [...Array(12).keys()].map(index => new Fixture(`entry-${index}`));
    for (const fixture of fixtures) {
        fixture.list(12);
    }
    const places = fixtures.map(({ membership }) => membership.rank("endpoint")).sort((left, right) => left - right);
    expect(places).toEqual([...Array(12).keys()]);
});

test("name of a lost entry is removed by one of the others", () => {
    // Entries are replaced under new names, and nothing on the list lapses by itself. It would grow for ever, and every
    // budget would be divided by it.
    const fixtures = [0, 1, 2].map(index => new Fixture(`entry-${index}`));
    for (const fixture of fixtures) {
        fixture.list(4);
        fixture.time = 150_000;
        for (const other of ["entry-0", "entry-1", "entry-2"]) {
            fixture.hear(other);
        }
        expect(fixture.peers.lostEntries()).toEqual(["entry-3"]);
    }
    expect(fixtures.filter(({ membership }) => membership.isRemoverOf("entry-3"))).toHaveLength(1);
});

test("entry that was cut off for a while is not lost", () => {
    const fixture = new Fixture();
    fixture.list(2);
    fixture.time = 30_000;
    expect(fixture.peers.lostEntries()).toEqual([]);
});

const membersOf = (count: number): GroupMember[] =>
    [...Array(count).keys()].map(index => ({
        id: `e-${index}`,
        address: `10.0.0.${index}:1`,
        dataCentre: `z-${index % 3}`,
        isFresh: true,
    }));

for (const count of [1, 6, 13, 14, 62, 85, 330]) {
    test(`message reaches all of ${count} entries once, and costs each little`, () => {
        // What one entry sends for each placement must not grow with the number of entries: over a thin link the last of sixty
        // would hear of it 25 ms later, and choose the same endpoints meanwhile.
        const members = membersOf(count);
        const [self, ...others] = members;
        const groups = formGroups(self!, others);
        const direct = groups.ownGroup;
        const relays = selectRelays(groups, 12_345);
        const reached = [...direct, ...relays];
        for (const relay of relays) {
            const member = members.find(({ address }) => address === relay)!;
            const passed = formGroups(member, members.filter(other => other !== member)).ownGroup;
            expect(passed.length).toBeLessThanOrEqual(Math.max(12, Math.sqrt(count)));
            reached.push(...passed);
        }
        expect(reached.sort()).toEqual(others.map(({ address }) => address).sort());
        expect(direct.length + relays.length).toBeLessThanOrEqual(Math.max(12, 2.2 * Math.sqrt(3 * count)));
    });
}
