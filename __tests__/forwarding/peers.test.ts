/** Updates between entries over UDP sockets. */
import { afterEach, beforeEach, expect, test } from "vitest";
import { Refusal } from "../../platform/standins/storeServer.js";
import { systemClock } from "../../src/utils/clock.js";
import { call, generation, Site, until } from "./support/site.js";

let site: Site;

beforeEach(async () => {
    site = new Site();
    for (const id of ["m-1", "m-2", "m-3", "m-4"]) {
        await site.replica(id, "models");
    }
    site.configure(1);
});

afterEach(() => site.close());

const hasFound = (entry: string, other: string): boolean => contactCount(entry, other) > 0;

const contactCount = (entry: string, other: string): number =>
    site.lines.filter(line =>
        line.entry === entry && line.message === "peers: Entries are there."
        && (line.fields.entries as string[]).includes(other)
    ).length;

test("entries find one another", async () => {
    await Promise.all(["entry-1", "entry-2", "entry-3"].map(id => site.start(id)));
    for (const one of ["entry-1", "entry-2", "entry-3"]) {
        for (const other of ["entry-1", "entry-2", "entry-3"].filter(id => id !== one)) {
            await until(() => hasFound(one, other));
        }
    }
});

test("entries that place at the same time choose different endpoints", async () => {
    // Without each other's placements, two entries choose the same idle endpoint, and one request waits behind the other's
    // prefill.
    const first = await site.start("entry-1");
    const second = await site.start("entry-2");
    await until(() => hasFound("entry-1", "entry-2") && hasFound("entry-2", "entry-1"));
    // Too long to be prefilled beside decoding, so that the progress of the first request doesn't matter.
    const promptTokens = 90_000;
    const long = call(first.callers, "/replies/a", { headers: generation(promptTokens, 1_200) });
    const isEstimated = () => [...site.replicas.keys()].some(id => second.entry.loadOf(id).requestCount > 0);
    await until(() => isEstimated() && [...site.replicas.values()].some(replica => replica.arrivals.length > 0));
    const usedEndpoint = [...site.replicas.values()].find(replica => replica.arrivals.length > 0)!;
    await call(second.callers, "/replies/a", { headers: generation(promptTokens, 8) });
    expect(usedEndpoint.arrivals).toHaveLength(1);
    await long;
});

test("stopping entry is announced and removed from the list", async () => {
    const first = await site.start("entry-1");
    const second = await site.start("entry-2");
    await until(() => hasFound("entry-1", "entry-2"));
    void second.entry.stop();
    await until(() =>
        site.lines.some(({ entry, message }) => entry === "entry-1" && message === "peers: An entry is stopping.")
    );
    await until(() => site.store.model.get("entries", "entry-2") === undefined);
    expect(first.entry.isReady).toBe(true);
});

test("entry that the store rejects gets changes from its peers", async () => {
    // The store rejects one entry and serves the others, while the configuration changes, an endpoint drains and a data centre
    // is excluded. Without its peers the entry would serve its callers with stale state.
    const served = await site.start("entry-1");
    const { entry, door } = await site.start("entry-2");
    await until(() => hasFound("entry-1", "entry-2") && hasFound("entry-2", "entry-1"));
    door.refusal = Refusal.Busy;
    site.configure(2);
    site.record("m-1", { state: "draining" });
    site.record("m-2", { zone: "south-a" });
    site.store.model.put("evacuations", "south-a", {});
    await until(() => served.entry.configuration.version === 2);
    await until(() => entry.configuration.version === 2);
    const usable = () => entry.directory.usable("models").map(({ record }) => record.id);
    await until(() => !usable().includes("m-1") && !usable().includes("m-2"));
});

test("entry that starts without access to the store gets its state from peers", async () => {
    // Otherwise a replaced entry would stay without configuration and reject every request, although its peers have one.
    await site.start("entry-1");
    const first = await site.start("entry-2");
    await until(() => hasFound("entry-1", "entry-2"));
    await first.entry.close();
    const again = await site.start("entry-2", false, { refusal: Refusal.Silent, peers: first.peers });
    await until(() => again.entry.isReady);
});

test("restarted entry fetches the work in progress", async () => {
    // Entries are restarted one by one. Without the others' placements a new process estimates all endpoints as idle and
    // sends short prompts behind long prefills.
    const first = await site.start("entry-1");
    const long = call(first.callers, "/replies/a", { headers: generation(40_000, 1_000) });
    await until(() => [...site.replicas.keys()].some(id => first.entry.loadOf(id).requestCount > 0));
    const usedEndpoint = [...site.replicas.keys()].find(id => first.entry.loadOf(id).requestCount > 0)!;
    const second = await site.start("entry-2");
    await until(() => second.entry.loadOf(usedEndpoint).requestCount === 1);
    await long;
});

test("work of a stopping entry still counts", async () => {
    // A stopping entry serves its open requests for seconds. If it were removed at once, its long prefills would count as
    // ended, and its next message would register it as a new entry.
    const first = await site.start("entry-1");
    const second = await site.start("entry-2");
    await until(() => hasFound("entry-1", "entry-2") && hasFound("entry-2", "entry-1"));
    const long = call(first.callers, "/replies/a", { headers: generation(40_000, 1_500) });
    await until(() => [...site.replicas.keys()].some(id => second.entry.loadOf(id).requestCount > 0));
    const usedEndpoint = [...site.replicas.keys()].find(id => second.entry.loadOf(id).requestCount > 0)!;
    void first.entry.stop();
    const stopped = () => site.lines.some(({ entry, message }) => entry === "entry-2" && /is stopping/.test(message));
    await until(stopped);
    // Long enough for its next heartbeat.
    await systemClock.sleep(700);
    expect(second.entry.loadOf(usedEndpoint).requestCount).toBe(1);
    expect(contactCount("entry-2", "entry-1")).toBe(1);
    await long;
});
