/** Objects of another writer in the store, many at once, beside those that entries follow. */
import { afterEach, beforeEach, expect, test } from "vitest";
import { CrashObjects } from "../../platform/crashObjects.js";
import { QuarantineObjects } from "../../platform/quarantineObjects.js";
import { Refusal } from "../../platform/standins/storeServer.js";
import { StoreClient } from "../../platform/storeClient.js";
import { StateKind } from "../../src/ports/statePort.js";
import { systemClock } from "../../src/utils/clock.js";
import { listen, type Listener } from "../../src/utils/httpServer.js";
import { call, operatorConfiguration, Site, type SiteEntry, until } from "./support/site.js";

let site: Site;

beforeEach(async () => {
    site = new Site();
    await site.replica("i-1", "bookings");
    site.configure(1);
});

afterEach(() => site.close());

/** Writes `count` objects of `kind`. */
const writeOdd = (kind: string, count: number, name: (index: number) => string, value: (index: number) => unknown) => {
    for (let index = 0; index < count; index++) {
        site.store.model.put(kind, name(index), value(index));
    }
};

const soundRecord = (name: string) => ({
    metadata: { name, revision: 2 },
    spec: {
        service: "bookings",
        address: "127.0.0.1:80",
        zone: "north-a",
        version: 1,
        slots: 1,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 1,
    },
});

const expectServed = async (entries: SiteEntry[]): Promise<void> => {
    const statuses = await Promise.all(
        entries.map(async ({ callers }) => (await call(callers, "/lookups/a", { method: "GET" })).status),
    );
    expect(statuses).toEqual(entries.map(() => 200));
};

/** Each entry gets to know an endpoint and a configuration that come now. */
const expectFollowing = async (entries: SiteEntry[]): Promise<void> => {
    const version = Math.max(...entries.map(({ entry }) => entry.configuration.version)) + 1;
    const id = `zz-${version}`;
    await site.replica(id, "bookings");
    site.configure(version);
    await until(() => entries.every(({ entry }) => entry.directory.get(id) && entry.configuration.version === version));
    await expectServed(entries);
};

test("pages of objects whose names can't be encoded", async () => {
    // Guards against entries that never learn of endpoints, as they can't ask for the page behind such a name.
    writeOdd("servers", 1_100, index => `a-${index}\ud800`, () => ({ service: 5 }));
    const entry = await site.start("entry-1");
    await expectFollowing([entry]);
});

test("changes that exceed the limit on a response", async () => {
    // Guards against entries that ask again and again for changes that they can't read, and learn of no later ones.
    const entry = await site.start("entry-1");
    const zone = "z".repeat(1_000_000);
    writeOdd("servers", 40, index => `a-${index}`, () => ({ service: 5, zone }));
    await expectFollowing([entry]);
});

test("configurations that the operator hasn't written", async () => {
    // Guards against a configuration under another name that is in force for good, as its version is the highest.
    const entry = await site.start("entry-1");
    writeOdd("config", 3, index => `main-${index}`, index => operatorConfiguration(10 ** (index + 5)));
    await expectFollowing([entry]);
    expect(entry.entry.configuration.version).toBe(2);
});

test("entries whose addresses nothing can be sent to", async () => {
    // Guards against datagrams, and look-ups of host names, for each of them at every heartbeat.
    const addresses = ["127.0.0.1:65536", "127.0.0.1:0", "no-host:80", "", `127.0.0.1:${"9".repeat(400)}`, 5];
    writeOdd("entries", 300, index => `e-${index}`, index => ({ address: addresses[index % addresses.length] }));
    writeOdd("entries", 20, index => `f-${index}\ud800`, () => ({ address: "127.0.0.1:9" }));
    const first = await site.start("entry-1");
    const second = await site.start("entry-2");
    await until(() => first.entry.livingCount === 2 && second.entry.livingCount === 2);
    await expectFollowing([first, second]);
    expect(site.lines.filter(({ message }) => message.startsWith("peers: A datagram"))).toEqual([]);
    const { items } = await new StoreClient(first.door.address, systemClock)
        .list(StateKind.Entries, AbortSignal.timeout(5_000));
    expect(items.flatMap(({ name, value }) => value ? [name] : [])).toEqual(["entry-1", "entry-2"]);
});

test("stored crashes and quarantined requests behind pages of odd objects", async () => {
    // Guards against a start after which a request that crashes endpoints is sent to more of them.
    const { address } = await site.store.openListener();
    const signal = AbortSignal.timeout(5_000);
    const quarantine = { request: "request", crashes: [{ endpoint: "i-1", incarnation: 1 }], trialCount: 0 };
    const report = { endpoint: "i-1", incarnation: 1, age: 5, requests: [{ request: "request", servedFor: 1 }] };
    writeOdd("quarantined", 600, index => `0-${index}`, () => ({ request: 5 }));
    writeOdd("crashes", 600, index => `0-${index}`, () => ({ crashes: { length: 1e308 } }));
    const quarantineStore = new QuarantineObjects(address, systemClock);
    const crashStore = new CrashObjects(address, systemClock);
    await quarantineStore.create(quarantine, signal);
    await crashStore.write({ entry: "entry-1", crashes: [report] }, signal);
    expect(await quarantineStore.list(signal)).toEqual([quarantine]);
    expect((await crashStore.list(signal)).items).toEqual([{ entry: "entry-1", crashes: [report] }]);
});

test("entry without access to the store beside one unreadable object", async () => {
    // Guards against updates of other entries that are dropped as a whole for one object in them.
    writeOdd("servers", 1, () => "a", () => ({ service: 5 }));
    const first = await site.start("entry-1");
    const second = await site.start("entry-2", true, { seeds: [first.peers], refusal: Refusal.Busy });
    writeOdd("servers", 1, () => "b", () => ({ service: 5 }));
    await expectFollowing([first, second]);
    const invalid = site.lines.filter(({ message }) => message === "peers: A datagram is invalid.");
    expect(invalid).toEqual([]);
});

test("entry without access to the store beside records of 1 MB", async () => {
    // Guards against records of another writer that are kept, and that entries tell one another.
    const record = { ...soundRecord("").spec, state: "draining", zone: "z".repeat(1_000_000) };
    writeOdd("servers", 40, index => `a-${index}`, () => record);
    const first = await site.start("entry-1");
    const second = await site.start("entry-2", true, { seeds: [first.peers], refusal: Refusal.Busy });
    await expectFollowing([first, second]);
});

/** A store that answers each call with the text that `respond` returns for its path. */
const startStore = async (respond: (target: string) => string): Promise<Listener> =>
    await listen("127.0.0.1:0", (request, response) => {
        response.end(respond(request.url ?? ""));
        return Promise.resolve();
    });

test("page with nothing but unreadable objects isn't the last one", async () => {
    // Guards against endpoints on later pages that count as gone.
    const store = await startStore(target =>
        JSON.stringify(
            target.includes("after=")
                ? { items: [soundRecord("i-2")], more: false, current_rev: 2 }
                : { items: [{ metadata: { name: "a", revision: "2" } }, 5], more: true, current_rev: 2 },
        )
    );
    const { items } = await new StoreClient(store.address, systemClock)
        .list(StateKind.Endpoints, AbortSignal.timeout(5_000));
    expect(items.map(({ name }) => name)).toEqual(["i-2"]);
    await store.close();
});

test("values that aren't JSON among sound objects", async () => {
    // Guards against entries that stop following a list because of one number that the store writes as Infinity.
    const odd =
        "{\"metadata\":{\"name\":\"a\",\"revision\":2},\"spec\":{\"slots\":Infinity,\"zone\":NaN,\"port\":0x50}}";
    const sound = JSON.stringify(soundRecord("i-2"));
    const store = await startStore(target =>
        target.includes("watch=")
            ? `\ufeff{"events":[{"object":${odd}},{"object":${sound}}],"current_rev":2}`
            : `\ufeff{"items":[${odd},${sound}],"more":false,"current_rev":2}`
    );
    const client = new StoreClient(store.address, systemClock);
    const { items } = await client.list(StateKind.Endpoints, AbortSignal.timeout(5_000));
    const { changes } = await client.watch(StateKind.Endpoints, 1, 100, AbortSignal.timeout(5_000));
    for (const objects of [items, changes]) {
        expect(objects.map(({ name, value }) => [name, value?.id])).toEqual([["a", undefined], ["i-2", "i-2"]]);
    }
    await store.close();
});

test("events and objects without content", async () => {
    // Guards against entries that stop following because of one event, and against an endpoint that stays after its removal.
    const bare = (name: string) => ({ metadata: { name, revision: 3 } });
    const events = [{ deleted: true }, { object: bare("i-1"), deleted: true }, { object: bare("i-2") }];
    const store = await startStore(() =>
        JSON.stringify({ events: [...events, { object: soundRecord("i-3") }], current_rev: 3 })
    );
    const { changes } = await new StoreClient(store.address, systemClock)
        .watch(StateKind.Endpoints, 1, 100, AbortSignal.timeout(5_000));
    expect(changes.map(({ name, value, removed }) => [name, value?.id, removed])).toEqual([
        ["i-1", undefined, true],
        ["i-2", undefined, false],
        ["i-3", "i-3", false],
    ]);
    await store.close();
});
