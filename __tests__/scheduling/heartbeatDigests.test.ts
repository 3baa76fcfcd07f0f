/** Heartbeats by way of the placers: what they save, and that entries keep knowing one another when something fails. */
import { expect, test } from "vitest";
import {
    DigestPublisher,
    DigestScope,
    FollowedList,
    type MemberState,
} from "../../src/core/membership/memberDigest.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { seededRandom } from "../../src/utils/random.js";
import { type Member, Site } from "../forwarding/support/simulatedSite.js";

const always = () => true;

const livingCounts = (members: readonly Member[]): number[] => members.map(({ peers }) => peers.livingCount);

const placersOf = (site: Site): number[] =>
    [...site.members.keys()].filter(index => site.members[index]!.peers.placers().self);

const memberState = (id: string, changes: Partial<MemberState> = {}): MemberState => ({
    id,
    address: `${id}:1`,
    incarnation: "first",
    dataCentre: "centre-0",
    processors: 1,
    places: true,
    reads: true,
    reachesEndpoints: true,
    usesDigests: true,
    ...changes,
});

for (const count of [30, 145]) {
    test(`all of ${count} entries know one another`, async () => {
        const site = new Site(count, always);
        await site.clock.run(3_000);
        expect(livingCounts(site.members)).toEqual(site.members.map(() => count));
        await site.clock.run(20_000);
        expect(livingCounts(site.members)).toEqual(site.members.map(() => count));
    });

    test(`half of ${count} entries killed at once are detected as lost, and found again`, async () => {
        const site = new Site(count, always);
        await site.clock.run(8_000);
        const half = Math.floor(count / 2);
        for (let index = 0; index < half; index++) {
            site.stop(index);
        }
        await site.clock.run(8_000 + 9_500);
        const left = site.members.slice(half);
        expect(livingCounts(left)).toEqual(left.map(() => count - half));
        for (let index = 0; index < half; index++) {
            site.start(index, "second");
        }
        await site.clock.run(23_000);
        expect(livingCounts(site.members)).toEqual(site.members.map(() => count));
    });

    test(`all placers of ${count} entries killed at once`, async () => {
        // The placers tell all others who lives. If nobody took over in time, each entry would take itself for alone and place
        // without knowing of the others.
        const site = new Site(count, always);
        await site.clock.run(8_000);
        const killed = placersOf(site);
        for (const index of killed) {
            site.stop(index);
        }
        const left = site.members.filter((...[, index]) => !killed.includes(index));
        for (let now = 8_500; now <= 16_000; now += 500) {
            await site.clock.run(now);
            expect(Math.min(...livingCounts(left))).toBeGreaterThanOrEqual(left.length);
        }
        expect(livingCounts(left)).toEqual(left.map(() => left.length));
        expect(placersOf(site).some(index => !killed.includes(index))).toBe(true);
    });
}

test("entries send a third of the datagrams, and fewer than in proportion to their number", async () => {
    // Guards against heartbeats that take most of a small instance's processor time on a site of hundreds of entries.
    const sent = async (count: number, usesDigests: boolean) => {
        const site = new Site(count, () => usesDigests);
        await site.clock.run(8_000);
        return await site.sentPerSecond(4);
    };
    expect(await sent(145, true)).toBeLessThan(await sent(145, false) / 2);
    expect(await sent(273, true) / await sent(91, true)).toBeLessThan(Math.sqrt(3) * 1.3);
});

test("entries of an earlier build keep getting heartbeats", async () => {
    // While a new version is rolled out, entries that don't know digests would lose sight of all others.
    const site = new Site(30, index => index % 2 === 0);
    await site.clock.run(12_000);
    expect(livingCounts(site.members)).toEqual(site.members.map(() => 30));
});

test("one datagram in ten is lost", async () => {
    const site = new Site(91, always);
    const random = seededRandom(1);
    await site.clock.run(5_000);
    site.isLost = () => random.next() < 0.1;
    await site.clock.run(10_000);
    for (let now = 11_000; now <= 30_000; now += 1_000) {
        await site.clock.run(now);
        expect(Math.min(...livingCounts(site.members))).toBe(91);
    }
});

test("data centres that reach each other only by a third one", async () => {
    // Entries on both sides of the cut must not count as living there because placers confirm one another's lists.
    const site = new Site(30, always);
    await site.clock.run(8_000);
    const centreOf = ({ id }: Member) => Number(id.split("-")[1]) % 3;
    site.isLost = (from, to) => centreOf(from) + centreOf(to) === 1;
    await site.clock.run(24_000);
    expect(livingCounts(site.members)).toEqual(site.members.map(member => centreOf(member) === 2 ? 30 : 20));
    site.isLost = () => false;
    await site.clock.run(32_000);
    expect(livingCounts(site.members)).toEqual(site.members.map(() => 30));
});

test("paused placers wake with old lists", async () => {
    // A placer that stood still would confirm entries that have failed meanwhile.
    const site = new Site(30, always);
    await site.clock.run(8_000);
    const paused = new Set(placersOf(site).map(index => site.members[index]!.id));
    const killed = [...site.members.keys()].find(index => !paused.has(`entry-${index}`))!;
    site.isLost = (from, to) => paused.has(from.id) || paused.has(to.id);
    site.stop(killed);
    await site.clock.run(11_000);
    site.isLost = () => false;
    await site.clock.run(21_000);
    const left = site.members.filter((...[, index]) => index !== killed);
    expect(livingCounts(left)).toEqual(left.map(() => 29));
});

test("restarted entry replaces its earlier process", async () => {
    const site = new Site(30, always);
    await site.clock.run(8_000);
    const index = [...site.members.keys()].find(candidate => !placersOf(site).includes(candidate))!;
    site.stop(index);
    site.start(index, "second");
    await site.clock.run(12_000);
    const incarnations = site.members.filter((...[, other]) => other !== index).map(({ peers }) =>
        peers.livingPeers().find(({ identity }) => identity.id === `entry-${index}`)?.identity.incarnation
    );
    expect(new Set(incarnations)).toEqual(new Set(["second"]));
});

test("list follows by changes, and needs the whole list after a gap", () => {
    // Guards against an entry that misses a change for good because the datagram with it was lost.
    const clock = new SimulatedClock();
    const publisher = new DigestPublisher(clock, DigestScope.All);
    const list = new FollowedList();
    const first = publisher.digest([memberState("a")]);
    expect(list.apply(first)).toBe(false);
    list.replace(publisher.list([memberState("a")]));
    expect(list.apply(publisher.digest([memberState("a"), memberState("b")]))).toBe(true);
    expect(list.apply(publisher.digest([memberState("b", { places: false })]))).toBe(true);
    expect([...list.members]).toEqual([memberState("b", { places: false })]);
    void clock.run(10_000);
});

test("digest that arrives late changes nothing", () => {
    const publisher = new DigestPublisher(new SimulatedClock(), DigestScope.All);
    const list = new FollowedList();
    list.replace(publisher.list([memberState("a")]));
    const late = publisher.digest([memberState("a"), memberState("b")]);
    expect(list.apply(publisher.digest([memberState("a")]))).toBe(true);
    expect(list.apply(late)).toBe(true);
    expect(list.has("b")).toBe(false);
});
