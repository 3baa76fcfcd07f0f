/** What entries tell one another, over real datagrams. */
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

const knows = (entry: string, other: string): boolean => timesMet(entry, other) > 0;

const timesMet = (entry: string, other: string): number =>
    site.lines.filter(line =>
        line.entry === entry && line.message === "peers: Entries are there."
        && (line.fields.entries as string[]).includes(other)
    ).length;

test("entries find one another", async () => {
    await Promise.all(["entry-1", "entry-2", "entry-3"].map(id => site.start(id)));
    for (const one of ["entry-1", "entry-2", "entry-3"]) {
        for (const other of ["entry-1", "entry-2", "entry-3"].filter(id => id !== one)) {
            await until(() => knows(one, other));
        }
    }
});

test("entries that place at the same time choose different endpoints", async () => {
    // Two entries that don't know of one another both take the first idle endpoint, and one reply waits for the other's read.
    const first = await site.start("entry-1");
    const second = await site.start("entry-2");
    await until(() => knows("entry-1", "entry-2") && knows("entry-2", "entry-1"));
    // Too long to be read beside writers, so that it doesn't matter how far the first has come.
    const promptTokens = 90_000;
    const long = call(first.callers, "/replies/a", { headers: generation(promptTokens, 1_200) });
    const believed = () => [...site.replicas.keys()].some(id => second.entry.loadOf(id).requestCount > 0);
    await until(() => believed() && [...site.replicas.values()].some(replica => replica.arrivals.length > 0));
    const taken = [...site.replicas.values()].find(replica => replica.arrivals.length > 0)!;
    await call(second.callers, "/replies/a", { headers: generation(promptTokens, 8) });
    expect(taken.arrivals).toHaveLength(1);
    await long;
});

test("stopping entry is counted no more", async () => {
    const first = await site.start("entry-1");
    const second = await site.start("entry-2");
    await until(() => knows("entry-1", "entry-2"));
    void second.entry.stop();
    await until(() =>
        site.lines.some(({ entry, message }) => entry === "entry-1" && message === "peers: An entry is stopping.")
    );
    await until(() => site.store.model.get("entries", "entry-2") === undefined);
    expect(first.entry.ready).toBe(true);
});

test("entry that the store turns away learns from others", async () => {
    // The store turns one entry away and serves the others. A key is taken away, a route moves, a replica leaves and a data
    // centre goes out meanwhile. Callers of that entry would go on being served by what holds no more.
    const served = await site.start("entry-1");
    const { entry, door } = await site.start("entry-2");
    await until(() => knows("entry-1", "entry-2") && knows("entry-2", "entry-1"));
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

test("entry that starts while the store turns it away", async () => {
    // A replaced entry would stay without configuration, and refuse everything, although its neighbours know all of it.
    await site.start("entry-1");
    const first = await site.start("entry-2");
    await until(() => knows("entry-1", "entry-2"));
    await first.entry.close();
    const again = await site.start("entry-2", false, { refusal: Refusal.Silent, peers: first.peers });
    await until(() => again.entry.ready);
});

test("restarted entry learns the work in progress", async () => {
    // Entries are restarted in turn. A new process knows nothing of what the others have placed, takes all endpoints for
    // idle, and sends short prompts behind long reads.
    const first = await site.start("entry-1");
    const long = call(first.callers, "/replies/a", { headers: generation(40_000, 1_000) });
    await until(() => [...site.replicas.keys()].some(id => first.entry.loadOf(id).requestCount > 0));
    const taken = [...site.replicas.keys()].find(id => first.entry.loadOf(id).requestCount > 0)!;
    const second = await site.start("entry-2");
    await until(() => second.entry.loadOf(taken).requestCount === 1);
    await long;
});

test("work of a stopping entry still counts", async () => {
    // A stopping entry goes on serving what it has for seconds. If it were forgotten at once, its long reads would seem to be
    // over, and its next message would make it a new entry.
    const first = await site.start("entry-1");
    const second = await site.start("entry-2");
    await until(() => knows("entry-1", "entry-2") && knows("entry-2", "entry-1"));
    const long = call(first.callers, "/replies/a", { headers: generation(40_000, 1_500) });
    await until(() => [...site.replicas.keys()].some(id => second.entry.loadOf(id).requestCount > 0));
    const taken = [...site.replicas.keys()].find(id => second.entry.loadOf(id).requestCount > 0)!;
    void first.entry.stop();
    const stopped = () => site.lines.some(({ entry, message }) => entry === "entry-2" && /is stopping/.test(message));
    await until(stopped);
    // Long enough for its next sign of life.
    await systemClock.sleep(700);
    expect(second.entry.loadOf(taken).requestCount).toBe(1);
    expect(timesMet("entry-2", "entry-1")).toBe(1);
    await long;
});
