/** What entries tell one another, over real datagrams. */
import { afterEach, beforeEach, expect, test } from "vitest";
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

const knows = (entry: string, other: string): boolean =>
    site.lines.some(line =>
        line.entry === entry && line.message === "peers: An entry is there." && line.fields.entry === other
    );

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
    const long = call(first.callers, "/replies/a", { headers: generation(40_000, 400) });
    const believed = () => [...site.replicas.keys()].some(id => second.entry.loadOf(id).requests > 0);
    await until(() => believed() && [...site.replicas.values()].some(replica => replica.arrivals.length > 0));
    const taken = [...site.replicas.values()].find(replica => replica.arrivals.length > 0)!;
    await call(second.callers, "/replies/a", { headers: generation(40_000, 8) });
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
