/** Tests over sockets that an entry without links to the endpoints connects by way of other entries. */
import { afterEach, beforeEach, expect, test } from "vitest";
import type { ReplicaServer } from "../../platform/standins/replicaServer.js";
import { connectByRelay } from "../../src/adapters/forwarding/relayConnection.js";
import { type ConnectionGuard, serveRelay } from "../../src/adapters/forwarding/relayServer.js";
import { systemClock } from "../../src/utils/clock.js";
import { listen } from "../../src/utils/httpServer.js";
import { CutEndpointPort } from "./support/cutEndpointPort.js";
import { endpointRecord } from "./support/endpointRecord.js";
import { call, eventIds, generation, Site, type SiteEntry, until } from "./support/site.js";

let site: Site;

beforeEach(() => {
    site = new Site();
});

afterEach(() => site.close());

interface CutSite {
    /** The entry whose links can be cut. */
    cut: SiteEntry;
    links: CutEndpointPort;
    /** The entries that reach the replicas. */
    others: SiteEntry[];
    replicas: ReplicaServer[];
}

const startCutSite = async (service: string, otherCount = 1): Promise<CutSite> => {
    const replicas: ReplicaServer[] = [];
    for (let index = 0; index < 3; index++) {
        replicas.push(await site.replica(`r-${index}`, service, `north-${index}`));
    }
    site.configure(1, { places: { timeout_ms: 4_000 } });
    const links = new CutEndpointPort();
    const cut = await site.start("cut", true, { endpointPort: links });
    const others: SiteEntry[] = [];
    for (let index = 0; index < otherCount; index++) {
        others.push(await site.start(`other-${index}`, true, { seeds: [cut.peers] }));
    }
    await until(() => site.entries.every(({ entry }) => entry.livingCount === otherCount + 1));
    links.isCut = true;
    return { cut, links, others, replicas };
};

const linesOf = (text: string) => site.lines.filter(({ message }) => message.includes(text));

test("entry without links serves plain requests by way of another one, each once", async () => {
    // Guards against 503 for callers of the one entry that lost its links.
    const { cut } = await startCutSite("bookings");
    for (let index = 0; index < 8; index++) {
        const target = index % 2 === 0 ? "/lookups/a" : "/places/a";
        const id = `carried-${index}`;
        expect((await call(cut.callers, target, { id, body: "x" })).status).toBe(200);
        expect(site.runs(id)).toBe(1);
    }
    expect(linesOf("All links to endpoints are lost").map(({ entry }) => entry)).toEqual(["cut"]);
});

test("entry without links streams by way of another one, and by itself when its links are back", async () => {
    const { cut, links } = await startCutSite("models");
    const headers = generation(100, 12);
    expect(eventIds((await call(cut.callers, "/replies/a", { headers })).body)).toEqual([1, 2, 3]);
    expect(linesOf("goes by way of another entry").length).toBeGreaterThan(0);
    links.isCut = false;
    await until(() => linesOf("Links to endpoints are back").length === 1);
    expect(eventIds((await call(cut.callers, "/replies/a", { headers })).body)).toEqual([1, 2, 3]);
});

test("prompt larger than one engine is served by way of another entry", async () => {
    const { cut } = await startCutSite("models");
    await call(cut.callers, "/replies/a", { headers: generation(100, 4) });
    const response = await call(cut.callers, "/replies/a", { headers: generation(150_000, 8) });
    expect(response.status).toBe(200);
    expect(eventIds(response.body)).toEqual([1, 2]);
});

test("caller who leaves ends the request behind another entry", async () => {
    // Guards against endpoints that work on for nobody because the entry in between keeps the connection open.
    const { cut, replicas } = await startCutSite("bookings");
    for (const replica of replicas) {
        replica.fault = () => true;
    }
    const leaving = new AbortController();
    const left = call(cut.callers, "/lookups/a", { id: "left", signal: leaving.signal }).catch(() => "left");
    await until(() => replicas.some(({ arrivals }) => arrivals.length > 0));
    leaving.abort();
    expect(await left).toBe("left");
    await until(() => replicas.some(({ cancelledRequestIds }) => cancelledRequestIds.includes("left")));
});

test("response that is reset behind another entry doesn't look complete", async () => {
    // Guards against half an answer passed on as a whole one, since a response without a length ends with its connection.
    const { cut, replicas } = await startCutSite("bookings");
    for (const replica of replicas) {
        replica.fault = ({ id }, response, ...[, socket]) => {
            const headers = Object.entries(replica.responseHeaders(id)).map(([name, value]) => `${name}: ${value}\r\n`);
            socket.write(`HTTP/1.1 200 OK\r\n${headers.join("")}Connection: close\r\n\r\nhalf`);
            setTimeout(() => socket.resetAndDestroy(), 20);
            void response;
            return true;
        };
    }
    const response = await call(cut.callers, "/places/a", { body: "x" });
    expect(response.status).toBe(502);
});

test("stream goes on when the entry that carries it ends", async () => {
    const { cut, others, replicas } = await startCutSite("models", 2);
    const headers = generation(100, 120);
    const answered = call(cut.callers, "/replies/a", { headers, body: "x" });
    await until(() => replicas.some(({ arrivals }) => arrivals.length > 0));
    const relay = linesOf("goes by way of another entry").at(-1)!.fields.relay;
    await others[Number(String(relay).split("-")[1])]!.entry.close();
    const { body, whole } = await answered;
    expect(whole).toBe(true);
    expect(eventIds(body)).toEqual([...Array(30).keys()].map(index => index + 1));
});

test("entry that stops waits for the connections that it carries", async () => {
    // Guards against answers that are cut because only another entry's callers wait for them.
    const { cut, others, replicas } = await startCutSite("bookings");
    for (const replica of replicas) {
        replica.fault = ({ id }, response) => {
            setTimeout(() => response.writeHead(200, replica.responseHeaders(id)).end("late"), 3_000);
            return true;
        };
    }
    const answered = call(cut.callers, "/places/a", { body: "x", headers: { "dandelionramp-deadline-ms": "3900" } });
    await until(() => replicas.some(({ arrivals }) => arrivals.length > 0));
    const order: string[] = [];
    const stopped = others[0]!.entry.stop().then(() => order.push("stopped"));
    expect((await answered).body).toBe("late");
    order.push("answered");
    await stopped;
    expect(order).toEqual(["answered", "stopped"]);
});

test("pause that an endpoint asks for binds the entry that carried the response", async () => {
    // To the endpoint the request came from the carrying entry, so requests of that entry would break the pause.
    const { cut, others, replicas } = await startCutSite("bookings");
    for (const replica of replicas) {
        replica.fault = ({ id }, response) => {
            const headers = { ...replica.responseHeaders(id), "dandelionramp-not-executed": "1", "retry-after": "5" };
            response.writeHead(503, headers).end();
            return true;
        };
    }
    expect((await call(cut.callers, "/lookups/a")).status).toBe(503);
    await until(() => others[0]!.entry.pausedCount > 0);
    const arrivalCount = () => replicas.reduce((sum, { arrivals }) => sum + arrivals.length, 0);
    await until(() => others[0]!.entry.pausedCount === arrivalCount());
});

test("carried connection without traffic is reset", async () => {
    // Guards against connections that stay open for good because the entry that wanted them has lost power.
    const replica = await site.replica("r-0", "bookings");
    replica.fault = () => true;
    const listener = await listen("127.0.0.1:0", () => Promise.resolve());
    const record = { ...endpointRecord("r-0"), address: replica.address };
    const guard: ConnectionGuard = {
        openConnections: 0,
        admit: () => record,
        judgesFailure: () => Promise.resolve(true),
    };
    const noop = () => {};
    serveRelay(listener.server, {
        clock: systemClock,
        guard,
        onCarried: noop,
        onConnected: noop,
        idleTimeout: 100,
    });
    const connection = await connectByRelay(systemClock, listener.address, record, 500);
    expect(connection.type).toBe("Connected");
    expect(guard.openConnections).toBe(1);
    await until(() => guard.openConnections === 0);
    await listener.close();
});

test("request is rejected at once when no entry reaches an endpoint", async () => {
    // Guards against callers who wait until their deadline for endpoints that nobody reaches.
    const { cut, replicas, others } = await startCutSite("bookings");
    expect(others).toHaveLength(1);
    for (const replica of replicas) {
        replica.crash();
    }
    await call(cut.callers, "/lookups/a");
    const { status, took, headers } = await call(cut.callers, "/lookups/a");
    expect(status).toBe(503);
    expect(took).toBeLessThan(1_000);
    expect(headers["retry-after"]).toBeDefined();
});
