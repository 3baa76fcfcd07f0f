/** Updates between entries and their cost at several site sizes, in simulated time without sockets. */
import { expect, test } from "vitest";
import { Peers } from "../../src/core/membership/peers.js";
import { LoadEstimator } from "../../src/core/placement/loadEstimator.js";
import { SharedLoadEstimator } from "../../src/core/placement/sharedLoadEstimator.js";
import type { StateDelta } from "../../src/ports/peerChannelPort.js";
import { StateKind } from "../../src/ports/statePort.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { silentLog } from "../../src/utils/log.js";
import { Site, workOf } from "./support/simulatedSite.js";

for (const count of [7, 30, 91]) {
    test(`all of ${count} entries know one another within three seconds`, async () => {
        const site = new Site(count);
        await site.clock.run(3_000);
        expect(site.members.map(({ peers }) => peers.livingCount)).toEqual(site.members.map(() => count));
    });

    test(`half of ${count} entries killed at once are detected as lost, and found again`, async () => {
        // Half of a site loses power. The remaining entries must soon detect that the watchers of the store are gone, and must
        // find the others again after their restart.
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

    test(`placement and its end reach all placers of ${count} entries`, async () => {
        // Guards against placers that choose an endpoint in use because they haven't received its placement.
        const site = new Site(count);
        await site.clock.run(5_000);
        site.members[0]!.loads.recordPlaced([workOf("entry-0")]);
        const placers = site.members.filter(({ peers }) => peers.placers().self);
        const informedCount = () => placers.filter(({ loads }) => loads.loadOf("e").requestCount === 1).length;
        // 30 ms, the tolerable delay until placers have a placement: a tenth of the shortest latency target.
        await site.clock.run(5_030);
        expect(placers.length).toBeGreaterThan(1);
        expect(informedCount()).toBe(placers.length);
        site.members[0]!.loads.recordEnded(["e"], "r");
        await site.clock.run(5_400);
        expect(informedCount()).toBe(0);
    });
}

test("restarted placer keeps the work in progress that it learned", async () => {
    // Guards against a placer that takes its first contact with each entry for that entry's restart: it told all other placers
    // that the work of every entry had ended, and they chose full endpoints until that work was gone.
    const site = new Site(30);
    await site.clock.run(5_000);
    const owner = site.members.findIndex(({ peers }) => !peers.placers().self);
    site.members[owner]!.active.push("r");
    site.members[owner]!.loads.recordPlaced([workOf(`entry-${owner}`)]);
    await site.clock.run(5_100);
    const [restarted, informed] = [...site.members.keys()].filter(index => site.members[index]!.peers.placers().self);
    site.stop(restarted!);
    await site.clock.run(6_000);
    const { loads } = site.start(restarted!, "second");
    loads.merge(site.members[informed!]!.loads.inProgress());
    await site.clock.run(8_000);
    const placers = site.members.filter(({ peers }) => peers.placers().self);
    expect(placers.map(placer => placer.loads.loadOf("e").requestCount)).toEqual(placers.map(() => 1));
});

test("work of an entry's earlier process ends with its restart", async () => {
    // Guards against endpoints that seem in use until the deadline of requests that were cut when their entry was killed.
    const site = new Site(7);
    await site.clock.run(5_000);
    site.members[3]!.loads.recordPlaced([workOf("entry-3")]);
    await site.clock.run(5_010);
    expect(site.members[0]!.loads.loadOf("e").requestCount).toBe(1);
    site.stop(3);
    site.start(3, "second");
    await site.clock.run(5_060);
    expect(site.members[0]!.loads.loadOf("e").requestCount).toBe(0);
});

test("datagrams per entry grow no faster than the square root of the number of entries", async () => {
    // 90 entries that received each other's heartbeats twice a second spent 5% of a core on them. With three times as many
    // entries, each may send about sqrt(3) times as much.
    const sent = new Map<number, number>();
    for (const count of [30, 91, 273]) {
        const site = new Site(count);
        await site.clock.run(6_000);
        sent.set(count, await site.sentPerSecond(4));
    }
    expect(sent.get(91)! / sent.get(30)!).toBeLessThan(Math.sqrt(3) * 1.3);
    expect(sent.get(273)! / sent.get(91)!).toBeLessThan(Math.sqrt(3) * 1.3);
});

test("update on a store read carries a small delta", async () => {
    // An endpoint leaves. If each of 90 entries had to fetch the change, two entries would answer fifteen requests each.
    const site = new Site(30);
    await site.clock.run(5_000);
    const receivers = new Set<string>();
    for (const { id, peers } of site.members) {
        peers.onStateDelta = () => receivers.add(id);
    }
    const change: StateDelta = { kind: StateKind.Endpoints, after: 3, revision: 4, wasAway: false, changes: [] };
    site.members[4]!.peers.publishStoreRead(change);
    await site.clock.run(5_100);
    expect(receivers.size).toBe(29);
});

test("failure of a watcher is detected before a change is overdue", async () => {
    // An entry that watches the store is killed. All others depend on the watchers and must get a change within two seconds.
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

test("entry that becomes able to choose endpoints tells the others at once", async () => {
    // Guards against entries that start together and choose by themselves until their next heartbeats.
    const clock = new SimulatedClock();
    const statuses: { at: number; places: boolean; }[] = [];
    let places = false;
    const peers = new Peers({
        clock,
        log: silentLog,
        channel: {
            send: (...[, { messages }]) => {
                for (const update of messages.flatMap(({ news }) => news)) {
                    if (update.type === "Alive") {
                        statuses.push({ at: clock.now(), places: update.status.places });
                    }
                }
            },
        },
        loads: new SharedLoadEstimator(new LoadEstimator(clock, () => undefined), clock),
        publishesLoads: true,
        self: { id: "entry-1", address: "10.0.0.1:1", incarnation: "1" },
        dataCentre: "centre-1",
        knownRevisions: () => ({}),
        readAges: () => ({}),
        isStoreReachable: () => true,
        activeRequestIds: () => [],
        mayPlaceForOthers: () => places,
    });
    peers.applyListing([{ id: "entry-2", address: "10.0.0.2:1" }]);
    const ending = new AbortController();
    void peers.runHeartbeats(ending.signal);
    await clock.run(120);
    places = true;
    await clock.run(300);
    ending.abort();
    expect(statuses.map(({ places: announced }) => announced)).toEqual([false, true]);
    expect(statuses[1]!.at).toBeLessThanOrEqual(200);
});
