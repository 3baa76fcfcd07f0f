/** Following stored objects with the help of other entries: no socket, a store and entries in memory. */
import { expect, test } from "vitest";
import {
    StateFollower,
    type StateFollowerDependencies,
    type StatePeers,
} from "../../src/core/configuration/stateFollower.js";
import { StateMirror, type StateUpdate } from "../../src/core/configuration/stateMirror.js";
import { StateError, StateKind, type StatePort, type StateValues } from "../../src/ports/statePort.js";
import { systemClock } from "../../src/utils/clock.js";
import { seededRandom } from "../../src/utils/random.js";
import { ChangeSignal } from "../../src/utils/signal.js";
import { until } from "./support/site.js";

const kind = StateKind.DataCentresOut;
type Value = StateValues[typeof kind];

const item = (name: string, revision: number) => ({ name, revision, value: true as const });

class Fixture {
    watches = 0;
    lists = 0;
    newest = 0;
    /** When the store last answered another entry. */
    readAt = -Infinity;
    news: StateUpdate<Value> | undefined;
    readonly out = new Set<string>();
    readonly ending = new AbortController();
    /** Never answers unless a test says so. */
    watch: StatePort["watch"] = () => new Promise(() => {});
    readonly peers: StatePeers & { isWatcher: boolean; } = {
        livingCount: 62,
        changed: new ChangeSignal(),
        publishRead: () => {},
        isWatcher: true,
        pollRank: 0,
        peersWithoutStoreCount: 0,
        lastReadAt: () => this.readAt,
        hasNewer: (asked, revision) => asked === kind && this.newest > (revision ?? -1),
        fetchUpdate: <Kind extends StateKind>() =>
            Promise.resolve(this.news as StateUpdate<StateValues[Kind]> | undefined),
    };
    readonly follower: StateFollower<typeof kind>;

    constructor(changes: Partial<StatePort> = {}) {
        const store: StatePort = {
            list: () => {
                this.lists++;
                return Promise.resolve({ revision: 10, items: [] });
            },
            watch: (...call) => {
                this.watches++;
                return this.watch(...call);
            },
            announce: () => Promise.resolve(),
            withdraw: () => Promise.resolve(),
            ...changes,
        };
        const log = { info: () => {}, warn: () => {}, error: () => {} };
        const parts: StateFollowerDependencies = {
            store,
            peers: this.peers,
            clock: systemClock,
            random: seededRandom(1),
            log,
            peerWaitTimeout: 0,
        };
        this.follower = new StateFollower(parts, kind, {
            replace: ({ items }) => {
                this.out.clear();
                for (const { name } of items) {
                    this.out.add(name);
                }
            },
            apply: ({ changes }) => {
                for (const { name } of changes) {
                    this.out.add(name);
                }
            },
        });
        void this.follower.run(this.ending.signal);
    }

    /** Another entry learns that `name` is out. */
    told(name: string, revision: number): void {
        this.newest = revision;
        const changes = [{ ...item(name, revision), removed: false }];
        this.news = { type: "Changes", revision, wasAway: false, changes };
        this.peers.changed.notify();
    }

    /** Time goes on for the entry, as its timer tells it. */
    async ticks(holds: () => boolean): Promise<void> {
        const ticking = setInterval(() => this.peers.changed.notify(), 50);
        await until(holds);
        clearInterval(ticking);
    }
}

test("watch on a silent connection", async () => {
    // One connection falls silent for good; the other entries' watches work. A watch waits 12 s, and all
    // that time this entry would send to a data centre that is out.
    const fixture = new Fixture();
    await until(() => fixture.watches === 1);
    fixture.told("north", 12);
    await fixture.ticks(() => fixture.out.has("north"));
    expect(fixture.follower.mirror.revision).toBe(12);
    fixture.ending.abort();
});

test("entry that doesn't watch makes no call for a change", async () => {
    // A change answers every watch that waits. If 62 entries watched, each change would cost 62 calls.
    const fixture = new Fixture();
    fixture.peers.isWatcher = false;
    await until(() => fixture.lists === 1);
    await fixture.ticks(() => fixture.watches <= 1);
    fixture.told("north", 12);
    await fixture.ticks(() => fixture.out.has("north"));
    expect(fixture.watches).toBeLessThanOrEqual(1);
    fixture.ending.abort();
});

test("store turns this entry away", async () => {
    const fixture = new Fixture();
    fixture.watch = () => Promise.reject(new StateError("refused"));
    await until(() => fixture.watches > 0);
    fixture.told("north", 12);
    await fixture.ticks(() => fixture.out.has("north"));
    fixture.ending.abort();
});

test("nothing known yet, and the store turns this entry away", async () => {
    const fixture = new Fixture({ list: () => Promise.reject(new StateError("refused")) });
    fixture.told("north", 12);
    await fixture.ticks(() => fixture.out.has("north"));
    fixture.ending.abort();
});

test("older news changes nothing", async () => {
    // An entry that was frozen for seconds wakes and tells of what has long changed again.
    const fixture = new Fixture();
    await until(() => fixture.watches === 1);
    fixture.told("north", 9);
    fixture.newest = 99;
    await fixture.ticks(() => fixture.watches >= 2);
    expect(fixture.out.size).toBe(0);
    fixture.ending.abort();
});

const mirrorOf = (...revisions: number[]): StateMirror<Value> => {
    const mirror = new StateMirror<Value>();
    mirror.replace({ revision: 10, items: [item("old", 3)] }, false);
    for (const revision of revisions) {
        mirror.apply({ revision, changes: [{ ...item(`n-${revision}`, revision), removed: false }] }, false);
    }
    return mirror;
};

test("changes for who is a little behind", () => {
    const news = mirrorOf(12, 15, 20).updateSince(12);
    expect(news).toMatchObject({ type: "Changes", revision: 20 });
    expect(news?.type === "Changes" && news.changes.map(({ name }) => name)).toEqual(["n-15", "n-20"]);
});

test("everything for who is further behind", () => {
    const news = mirrorOf(12, 15).updateSince(5);
    expect(news).toMatchObject({ type: "Snapshot", revision: 15 });
    expect(news?.type === "Snapshot" && news.items.map(({ name }) => name)).toEqual(["old", "n-12", "n-15"]);
});

test("nothing for who knows all", () => {
    expect(mirrorOf(12).updateSince(12)).toBeUndefined();
    expect(new StateMirror<Value>().updateSince(0)).toBeUndefined();
});

test("removal counts as a change", () => {
    const mirror = mirrorOf(12);
    mirror.apply({ revision: 14, changes: [{ ...item("n-12", 12), removed: true }] }, false);
    expect(mirror.lastChange).toBe(14);
    mirror.replace({ revision: 20, items: [] }, false);
    expect(mirror.lastChange).toBe(20);
});

test("store's absence travels with the changes", () => {
    // Records lapse while the store is away and come back within two seconds. An entry that hears of the lapses from another
    // one must give the endpoints the same time.
    const mirror = mirrorOf(12);
    mirror.apply({ revision: 14, changes: [{ ...item("n-12", 12), removed: true }] }, true);
    expect(mirror.updateSince(12)?.wasAway).toBe(true);
});
