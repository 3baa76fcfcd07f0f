/** Invalid requests: the entry rejects each at once with a matching status and forwards nothing. */
import { afterEach, beforeEach, expect, test } from "vitest";
import { call, callerKey, sendRaw, Site, type SiteEntry } from "./support/site.js";

let site: Site;
let entry: SiteEntry;

beforeEach(async () => {
    site = new Site();
    await site.replica("i-1", "bookings");
    site.configure(1);
    entry = await site.start("entry-1");
});

afterEach(async () => {
    const arrivals = [...site.replicas.values()].flatMap(replica => replica.arrivals);
    await site.close();
    expect(arrivals).toEqual([]);
});

const head = (lines: string[]): string =>
    [
        "POST /lookups/a HTTP/1.1",
        "Host: desk.example",
        "Dandelionramp-Request-Id: raw-1",
        `Authorization: Bearer ${callerKey}`,
        ...lines,
        "",
        "",
    ].join("\r\n");

const problem = (body: string) => JSON.parse(body) as { status: number; execution: string; title: string; };

test("unknown host", async () => {
    const answer = await call(entry.callers, "/lookups/a", { host: "other.example" });
    expect(problem(answer.body)).toMatchObject({ status: 404, title: "Unknown route", execution: "not-run" });
});

test("unknown path", async () => {
    expect((await call(entry.callers, "/lookups")).status).toBe(404);
});

test("unknown key", async () => {
    const answer = await call(entry.callers, "/lookups/a", { headers: { authorization: "Bearer nobody" } });
    expect(problem(answer.body)).toMatchObject({ status: 401, title: "Unknown customer", execution: "not-run" });
});

test("no key", async () => {
    expect((await call(entry.callers, "/lookups/a", { headers: { authorization: "" } })).status).toBe(401);
});

test("body over the limit by its length", async () => {
    expect((await call(entry.callers, "/lookups/a", { body: "x".repeat(20_001) })).status).toBe(413);
});

test("body over the limit in chunks", async () => {
    const chunk = `${(8_000).toString(16)}\r\n${"x".repeat(8_000)}\r\n`;
    const text = await sendRaw(entry.callers, `${head(["Transfer-Encoding: chunked"])}${chunk.repeat(3)}0\r\n\r\n`);
    expect(text).toMatch(/^HTTP\/1.1 413 /);
});

test("headers over the limit", async () => {
    expect((await call(entry.callers, "/lookups/a", { headers: { "x-long": "x".repeat(5_000) } })).status).toBe(431);
});

test("headers far over the limit", async () => {
    const text = await sendRaw(entry.callers, head([`X-Long: ${"x".repeat(200_000)}`]));
    expect(text).toMatch(/^HTTP\/1.1 431 /);
});

test("two lengths", async () => {
    const text = await sendRaw(entry.callers, `${head(["Content-Length: 3", "Content-Length: 5"])}abcde`);
    expect(text).toMatch(/^HTTP\/1.1 400 /);
});

test("length and chunks", async () => {
    const text = await sendRaw(entry.callers, `${head(["Content-Length: 3", "Transfer-Encoding: chunked"])}0\r\n\r\n`);
    expect(text).toMatch(/^HTTP\/1.1 400 /);
});

test("slow headers", async () => {
    const text = await sendRaw(entry.callers, "POST /lookups/a HTTP/1.1\r\nHost: desk.example\r\nX-Slow: ", 4_000);
    expect(text).toMatch(/^HTTP\/1.1 408 /);
});

test("broken chunk", async () => {
    const text = await sendRaw(entry.callers, `${head(["Transfer-Encoding: chunked"])}zz\r\nabc\r\n0\r\n\r\n`);
    expect(text).toMatch(/^HTTP\/1.1 400 /);
});

test("no identifier", async () => {
    const text = await sendRaw(
        entry.callers,
        "GET /lookups/a HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n",
    );
    expect(text).toMatch(/^HTTP\/1.1 400 /);
});

test("two identifiers", async () => {
    const text = await sendRaw(
        entry.callers,
        head(["Dandelionramp-Request-Id: raw-2", "Content-Length: 0", "Connection: close"]),
    );
    expect(text).toMatch(/^HTTP\/1.1 400 /);
});

const unsendable: Record<string, string> = {
    "a header without a name": head([": a", "Content-Length: 0"]),
    "a space in the name of a header": head(["X A: b", "Content-Length: 0"]),
    "a space behind the name of a header": head(["X-A : b", "Content-Length: 0"]),
    "a tab in its target": head(["Content-Length: 0"]).replace("/lookups/a", "/lookups/\ta"),
};

test.each(Object.entries(unsendable))("request with %s harms no endpoint", async (...[, text]) => {
    // Guards against endpoints in back-off at all entries because a caller sent what Node accepts and doesn't send on.
    expect(await sendRaw(entry.callers, text, 500)).toMatch(/^HTTP\/1.1 400 /);
    expect(site.lines.filter(({ message }) => message.includes("back-off"))).toEqual([]);
});

test("no configuration yet", async () => {
    // An entry that has just started has no routes. A 404 or 401 would tell callers that their route or key no longer exists.
    const bare = new Site();
    const early = await bare.start("entry-1", false);
    try {
        const answer = await call(early.callers, "/lookups/a");
        expect(answer.status).toBe(503);
        expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
        expect(early.entry.isReady).toBe(false);
    }
    finally {
        await bare.close();
    }
});
