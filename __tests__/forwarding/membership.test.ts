/** Counting and ranking entries for site-wide budgets, and partitioning them into groups. */
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
    readonly recipients: (readonly string[])[] = [];
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
            channel: { send: addresses => this.recipients.push(addresses) },
            loads: new SharedLoadEstimator(new LoadEstimator(this.clock, () => undefined), this.clock),
            publishesLoads: false,
            self: { id: self, address: "10.0.0.0:1", incarnation: "a" },
            dataCentre: "north",
            knownRevisions: () => ({}),
            readAges: () => ({}),
            isStoreReachable: () => true,
            activeRequestIds: () => [],
        });
        this.membership = new Membership(this.peers, self);
    }

    applyListing(count: number): void {
        this.peers.applyListing(
            [...Array(count).keys()].map(index => ({ id: `entry-${index}`, address: `10.0.0.${index}:1` })),
        );
    }

    receiveFrom(id: string): void {
        const from = { id, address: `${id}:1`, incarnation: "a" };
        this.peers.receive({ messages: [{ from, news: [] }], passOn: RelayScope.None });
    }
}

test("entry that has found no other assumes a large site", () => {
    // After a power loss 80 entries start within a second without knowing each other. If each took a ninth of a cold
    // endpoint's budget, together they would send it nine times the budget.
    const fixture = new Fixture();
    expect(fixture.membership.budgetDivisor).toBeGreaterThanOrEqual(85);
    fixture.applyListing(6);
    expect(fixture.membership.budgetDivisor).toBe(9);
});

test("unresponsive entries count toward the budget divisor", () => {
    // A network partition separates two data centres. Each half receives only from itself, and both send to the same endpoints.
    const fixture = new Fixture();
    fixture.applyListing(40);
    fixture.time = 60_000;
    expect(fixture.peers.livingCount).toBe(1);
    expect(fixture.membership.budgetDivisor).toBe(40);
});

test("all entries agree on their ranks", () => {
    const fixtures = [...Array(12).keys()].map(index => new Fixture(`entry-${index}`));
    for (const fixture of fixtures) {
        fixture.applyListing(12);
    }
    const ranks = fixtures.map(({ membership }) => membership.rank("endpoint")).sort((left, right) => left - right);
    expect(ranks).toEqual([...Array(12).keys()]);
});

test("name of a lost entry is removed by one of the others", () => {
    // Entries are replaced under new names, and records on the list don't expire. Without removal the list would grow without
    // bound, and with it the divisor of every budget.
    const fixtures = [0, 1, 2].map(index => new Fixture(`entry-${index}`));
    for (const fixture of fixtures) {
        fixture.applyListing(4);
        fixture.time = 150_000;
        for (const other of ["entry-0", "entry-1", "entry-2"]) {
            fixture.receiveFrom(other);
        }
        expect(fixture.peers.lostEntries()).toEqual(["entry-3"]);
    }
    expect(fixtures.filter(({ membership }) => membership.isRemoverOf("entry-3"))).toHaveLength(1);
});

test("entry that was partitioned for 30 seconds is not lost", () => {
    const fixture = new Fixture();
    fixture.applyListing(2);
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
    test(`message reaches all of ${count} entries once, with few datagrams per entry`, () => {
        // The datagrams that an entry sends per placement must not grow in proportion to the number of entries: over a slow
        // link the last of 60 would receive the placement 25 ms later, and choose the same endpoints meanwhile.
        const members = membersOf(count);
        const [self, ...others] = members;
        const groups = formGroups(self!, others);
        const direct = groups.ownGroup;
        const relays = selectRelays(groups, 12_345);
        const reached = [...direct, ...relays];
        for (const relay of relays) {
            const member = members.find(({ address }) => address === relay)!;
            const relayed = formGroups(member, members.filter(other => other !== member)).ownGroup;
            expect(relayed.length).toBeLessThanOrEqual(Math.max(12, Math.sqrt(count)));
            reached.push(...relayed);
        }
        expect(reached.sort()).toEqual(others.map(({ address }) => address).sort());
        expect(direct.length + relays.length).toBeLessThanOrEqual(Math.max(12, 2.2 * Math.sqrt(3 * count)));
    });
}
