/** State from a store that is unavailable, slow, stalled or without its history. */
import { afterEach, beforeEach, expect, test } from "vitest";
import { Refusal } from "../../platform/standins/storeServer.js";
import { parseConfiguration, parseEndpoint } from "../../platform/storedObjects.js";
import type { ForwardingEntry } from "../../src/adapters/forwarding/forwardingEntry.js";
import { ActiveConfiguration } from "../../src/core/configuration/activeConfiguration.js";
import { systemClock } from "../../src/utils/clock.js";
import { call, operatorConfiguration, Site, until } from "./support/site.js";

let site: Site;

beforeEach(async () => {
    site = new Site();
    await site.replica("i-1", "bookings");
    site.configure(1);
});

afterEach(() => site.close());

const onlyUsable = (entry: ForwardingEntry, id: string): boolean => {
    const usable = entry.directory.usable("bookings");
    return usable.length === 1 && usable[0]!.record.id === id;
};

test("change reaches an entry by its watch", async () => {
    const { entry } = await site.start("entry-1");
    site.configure(2);
    await until(() => entry.configuration.version === 2);
});

test("no calls but watches while nothing changes", async () => {
    const { door } = await site.start("entry-1");
    await systemClock.sleep(200);
    const before = door.callCount;
    await systemClock.sleep(700);
    expect(door.callCount - before).toBeLessThanOrEqual(3);
});

test("entry lists again after the store has lost its history", async () => {
    // The store drops its history while an entry's watch is disconnected. No watch returns the changes made meanwhile, so
    // without a new list the entry would serve a stale configuration permanently.
    const { entry, door } = await site.start("entry-1");
    door.refusal = Refusal.Reset;
    await systemClock.sleep(2_100);
    site.configure(2);
    site.store.model.compactHistory();
    door.refusal = Refusal.None;
    await until(() => entry.configuration.version === 2);
});

for (const refusal of [Refusal.Busy, Refusal.TooMany, Refusal.Reset]) {
    test(`entry rejected by the store: ${refusal}`, async () => {
        const { entry, door, callers } = await site.start("entry-1");
        door.refusal = refusal;
        await systemClock.sleep(2_100);
        site.configure(2);
        expect(entry.isReady).toBe(true);
        expect((await call(callers, "/lookups/a")).status).toBe(200);
        door.refusal = Refusal.None;
        await until(() => entry.configuration.version === 2);
    });
}

test("watch on a stalled connection", async () => {
    // A connection to the store stalls permanently while new ones work. No error is reported, and a watch without a timeout
    // would never end.
    const { entry, door } = await site.start("entry-1");
    door.refusal = Refusal.Silent;
    await systemClock.sleep(2_100);
    door.refusal = Refusal.None;
    site.configure(2);
    await until(() => entry.configuration.version === 2);
});

test("request that arrives before the configuration waits for it", async () => {
    // After a power loss all entries restart and callers reconnect at once. An entry that rejected requests in the few
    // milliseconds before it has its configuration would fail each caller's first attempt.
    const entry = await site.start("entry-1", false, { delay: 150 });
    expect(entry.entry.isReady).toBe(false);
    expect((await call(entry.callers, "/lookups/a")).status).toBe(200);
});

test("request without a configuration is rejected at once during a store outage", async () => {
    const entry = await site.start("entry-1", false, { refusal: Refusal.Busy });
    await systemClock.sleep(100);
    const answer = await call(entry.callers, "/lookups/a");
    expect(answer.status).toBe(503);
    expect(answer.took).toBeLessThan(250);
});

test("entry with seeds fetches its state from them", async () => {
    // 90 entries start together. If each read the store itself, the start alone would cost a thousand calls.
    const first = await site.start("entry-1");
    const later = await Promise.all(
        ["entry-2", "entry-3", "entry-4", "entry-5", "entry-6"].map(id =>
            site.start(id, true, { seeds: [first.peers], firstStart: true })
        ),
    );
    for (const { entry, door } of later) {
        expect(entry.configuration.version).toBe(1);
        // Some of these entries watch the store for all; none has listed it.
        expect(door.callCount).toBeLessThanOrEqual(3);
    }
});

test("large configuration is compressed between entries", async () => {
    // A thousand routes occupy a slow link for 200 ms. A dozen entries fetch them from one at the same time, and the last of
    // them would use the old configuration for seconds.
    const routes = Array.from({ length: 1_000 }, (...[, index]) => ({
        name: `route-${index}`,
        hostname: "desk.example",
        path_prefix: `/route-${index}/`,
        kind: "idempotent",
        timeout_ms: 1_000,
        target_latency_ms: 300,
        service: "bookings",
    }));
    site.store.model.put("config", "main", { ...operatorConfiguration(2), routes });
    const first = await site.start("entry-1");
    const question = {
        jsonrpc: "2.0",
        id: 0,
        method: "stateSince",
        params: { format: 1, kind: "configuration", revision: -1 },
    };
    const answer = await fetch(`http://${first.peers}/`, { method: "POST", body: JSON.stringify(question) });
    expect(answer.headers.get("content-encoding")).toBe("gzip");
    expect(Number(answer.headers.get("content-length"))).toBeLessThan(40_000);
    expect(JSON.parse(await answer.text()).result.items[0].value.routes).toHaveLength(1_000);
    const second = await site.start("entry-2", true, { seeds: [first.peers], firstStart: true });
    expect(second.entry.configuration.routes!.configuration.routes).toHaveLength(1_000);
});

test("entry becomes ready after the store was down at its start", async () => {
    const started = site.start("entry-1", false);
    site.entries.forEach(({ door }) => door.refusal = Refusal.Busy);
    const { entry, door } = await started;
    door.refusal = Refusal.Busy;
    await systemClock.sleep(300);
    door.refusal = Refusal.None;
    await until(() => entry.isReady);
});

test("lower version is never applied", () => {
    // A list call that was in flight when a watch returned a newer version ends after that watch. Adopting the listed version
    // would restore removed routes and keys.
    const configuration = new ActiveConfiguration();
    expect(configuration.adopt(parseConfiguration(operatorConfiguration(5))!)).toBe(true);
    expect(configuration.adopt(parseConfiguration(operatorConfiguration(4))!)).toBe(false);
    expect(configuration.adopt(parseConfiguration(operatorConfiguration(5))!)).toBe(false);
    expect(configuration.version).toBe(5);
});

test("removed key is rejected", async () => {
    const { entry, callers } = await site.start("entry-1");
    const configuration = operatorConfiguration(2);
    configuration.tenants = [{ name: "south", api_keys: ["another"] }];
    site.store.model.put("config", "main", configuration);
    await until(() => entry.configuration.version === 2);
    expect((await call(callers, "/lookups/a")).status).toBe(401);
});

test("draining endpoint gets no new requests", async () => {
    const { entry, callers } = await site.start("entry-1");
    const other = await site.replica("i-2", "bookings");
    site.record("i-1", { state: "draining" });
    await until(() => onlyUsable(entry, "i-2"));
    const before = site.replicas.get("i-1")!.arrivals.length;
    for (let index = 0; index < 5; index++) {
        await call(callers, "/lookups/a");
    }
    expect(other.arrivals).toHaveLength(5);
    expect(site.replicas.get("i-1")!.arrivals).toHaveLength(before);
});

test("excluded data centre gets no new requests", async () => {
    const { entry, callers } = await site.start("entry-1");
    const other = await site.replica("i-2", "bookings", "north-b");
    site.store.model.put("evacuations", "north-a", {});
    await until(() => onlyUsable(entry, "i-2"));
    for (let index = 0; index < 5; index++) {
        await call(callers, "/lookups/a");
    }
    expect(other.arrivals).toHaveLength(5);
    site.store.model.remove("evacuations", "north-a");
    await until(() => entry.directory.usable("bookings").length === 2);
});

test("removed endpoint is dropped at once", async () => {
    const { entry } = await site.start("entry-1");
    site.store.model.remove("servers", "i-1");
    await until(() => entry.directory.usable("bookings").length === 0);
});

test("endpoint stays usable when its record expired during a store outage", async () => {
    // Endpoints can't renew their records while the store is down, so the records expire. Dropping the endpoints at the store's
    // return would leave none until they have written their records again.
    const { entry, door } = await site.start("entry-1");
    const record = site.store.model.get("servers", "i-1")!.value as object;
    door.refusal = Refusal.Busy;
    await systemClock.sleep(2_100);
    site.store.model.remove("servers", "i-1");
    door.refusal = Refusal.None;
    await systemClock.sleep(600);
    expect(entry.directory.usable("bookings")).toHaveLength(1);
    site.store.model.put("servers", "i-1", record);
    await systemClock.sleep(2_000);
    expect(entry.directory.usable("bookings")).toHaveLength(1);
    site.store.model.remove("servers", "i-1");
    await until(() => entry.directory.usable("bookings").length === 0);
});

test("endpoint is dropped when its expired record isn't renewed", async () => {
    const { entry, door } = await site.start("entry-1");
    door.refusal = Refusal.Busy;
    await systemClock.sleep(2_100);
    site.store.model.remove("servers", "i-1");
    door.refusal = Refusal.None;
    await until(() => entry.directory.usable("bookings").length === 0);
});

/** Record of an endpoint as the platform's page shows it. */
const platformRecord = {
    service: "s",
    address: "10.0.0.1:80",
    zone: "a",
    version: "v1",
    slots: 2,
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 4,
};

test("unreadable records define no endpoint", () => {
    expect(parseEndpoint("i", platformRecord)).toMatchObject({ service: "s", incarnation: 0 });
    expect(parseEndpoint("i", { ...platformRecord, version: 1 })).toBeDefined();
    const faults = [
        { slots: "2" },
        { state: "asleep" },
        { address: 7 },
        { cold_remaining_ms: undefined },
        { zone: {} },
        { version: undefined },
        { version: [] },
        { sequence: undefined },
        { sequence: "4" },
    ];
    for (const fault of faults) {
        expect(parseEndpoint("i", { ...platformRecord, ...fault })).toBeUndefined();
    }
    expect(parseEndpoint("i", "bytes")).toBeUndefined();
});

for (
    const address of [
        "10.0.0.1:80800",
        "10.0.0.1:65536",
        "10.0.0.1:0",
        "10.0.0.1:",
        "10.0.0.1",
        `10.0.0.1:${"9".repeat(400)}`,
        "10.0.0.256:80",
        "replica.example:80",
    ]
) {
    test(`record with the address ${address.slice(0, 20)} defines no endpoint`, () => {
        // Guards against connection attempts that throw, and against look-ups of host names.
        expect(parseEndpoint("i", { ...platformRecord, address })).toBeUndefined();
    });
}

test("record whose name can't stand in a header defines no endpoint", () => {
    // Guards against requests that fail because their endpoint can't be named.
    for (const name of ["\u03a91", "", "i 1", "i\r\n1", "i\u0000"]) {
        expect(parseEndpoint(name, platformRecord)).toBeUndefined();
    }
    expect(parseEndpoint("i-7f3a91c2", { ...platformRecord, address: "10.0.0.1:65535" })).toBeDefined();
});

test("write is repeated after its response was lost", async () => {
    // The store writes an entry's record, but its response is lost. The entry writes again, and must not mistake its own record
    // for another entry's.
    const door = await site.store.openListener();
    door.losesResponses = true;
    const { StoreClient } = await import("../../platform/storeClient.js");
    const client = new StoreClient(door.address, systemClock);
    const { signal } = new AbortController();
    await expect(client.announce("entry-9", { address: "127.0.0.1:9" }, signal)).rejects.toThrow();
    door.losesResponses = false;
    await client.announce("entry-9", { address: "127.0.0.1:9" }, signal);
    expect(site.store.model.get("entries", "entry-9")?.value).toEqual({ address: "127.0.0.1:9" });
});

test("conditional writes of the store stand-in", () => {
    const { model } = site.store;
    expect(model.create("entries", "a", 1).type).toBe("Written");
    expect(model.create("entries", "a", 2).type).toBe("Conflict");
    const { revision } = model.get("entries", "a")!;
    expect(model.replace("entries", "a", 2, revision).type).toBe("Written");
    expect(model.replace("entries", "a", 3, revision).type).toBe("Conflict");
    expect(model.replace("entries", "b", 3, undefined).type).toBe("Missing");
    const unchanged = model.currentRevision;
    model.replace("entries", "a", 2, undefined);
    expect(model.currentRevision).toBe(unchanged);
});
