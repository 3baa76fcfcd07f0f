/** Tests streams that come with neither a length nor chunks, so that they end with their connection. */
import type { Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import type { ReplicaArrival, ReplicaServer } from "../../platform/standins/replicaServer.js";
import { systemClock } from "../../src/utils/clock.js";
import { call, eventIds, generation, Site, type SiteEntry } from "./support/site.js";

let site: Site;
let entry: SiteEntry;
let replicas: ReplicaServer[];

/** Until an entry knows how many there are, it assumes so many that its share of the retries is less than one. */
const untilEntriesAreKnown = async (): Promise<void> => {
    const assumedCount = /counted_entries 100\b/;
    while (assumedCount.test((await call(entry.metrics, "/metrics", { method: "GET" })).body)) {
        await systemClock.sleep(10);
    }
};

beforeEach(async () => {
    site = new Site();
    replicas = [await site.replica("m-1", "models"), await site.replica("m-2", "models")];
    site.configure(1);
    entry = await site.start("entry-1");
    await untilEntriesAreKnown();
});

afterEach(() => site.close());

const eventText = (id: number): string => `id: ${id}\ndata: event ${id}\n\n`;

/** Sends a stream without framing from the event after the one that the request names; `cutAt` ends it inside that event. */
const streamUnframed = (arrival: ReplicaArrival, socket: Socket, replica: ReplicaServer, cutAt?: number): void => {
    const head = Object.entries(replica.responseHeaders(arrival.id)).map(([name, value]) => `${name}: ${value}`);
    socket.write(["HTTP/1.1 200 OK", ...head, "Content-Type: text/event-stream", "", ""].join("\r\n"));
    const first = Number(arrival.headers["last-event-id"] ?? 0) + 1;
    for (let id = first; id <= 5; id++) {
        if (id === cutAt) {
            socket.end(eventText(id).slice(0, 9));
            return;
        }
        socket.write(eventText(id));
    }
    socket.end();
};

const serveUnframed = (cutAtOnce?: number): void => {
    let cutAt = cutAtOnce;
    for (const replica of replicas) {
        replica.fault = (...[arrival, , own, socket]) => {
            streamUnframed(arrival, socket, own, cutAt);
            cutAt = undefined;
            return true;
        };
    }
};

test("whole stream that ends with its connection", async () => {
    serveUnframed();
    const answer = await call(entry.callers, "/once/a", { headers: generation(1_000, 20) });
    expect([answer.status, answer.whole]).toEqual([200, true]);
    expect(eventIds(answer.body)).toEqual([1, 2, 3, 4, 5]);
});

test("resumable stream that ends inside an event goes on at another endpoint", async () => {
    // Guards against a caller who takes a stream that was broken off for a whole one.
    serveUnframed(3);
    const answer = await call(entry.callers, "/replies/a", { headers: generation(1_000, 20) });
    expect([answer.status, answer.whole]).toEqual([200, true]);
    expect(eventIds(answer.body)).toEqual([1, 2, 3, 4, 5]);
    expect(replicas.flatMap(({ arrivals }) => arrivals)).toHaveLength(2);
});

test("stream that may not be resumed and ends inside an event is cut", async () => {
    serveUnframed(3);
    const answer = await call(entry.callers, "/once/a", { headers: generation(1_000, 20) });
    expect(answer.whole).toBe(false);
    expect(eventIds(answer.body)).toEqual([1, 2]);
    expect(replicas.flatMap(({ arrivals }) => arrivals)).toHaveLength(1);
});

test("stream that ends inside its first event", async () => {
    serveUnframed(1);
    const answer = await call(entry.callers, "/once/a", { headers: generation(1_000, 20) });
    expect(answer.status).toBe(502);
});
