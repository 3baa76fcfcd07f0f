/** Tests that an endpoint which reports that it shuts down, or is cold, is treated so by all entries. */
import { afterEach, beforeEach, expect, test } from "vitest";
import { readEndpointReport } from "../../platform/endpointReport.js";
import { header } from "../../platform/names.js";
import type { ReplicaServer } from "../../platform/standins/replicaServer.js";
import { ReportedStates } from "../../src/core/membership/reportedStates.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { silentLog } from "../../src/utils/log.js";
import { endpointRecord } from "./support/endpointRecord.js";
import { call, eventIds, generation, Site, until } from "./support/site.js";

let site: Site;

beforeEach(() => {
    site = new Site();
});

afterEach(() => site.close());

/** Makes the replica answer all requests, with `headers` beside its own. */
const answerWith = (replica: ReplicaServer, headers: Record<string, string>): void => {
    replica.fault = (arrival, response, own) => {
        response.writeHead(200, { ...own.responseHeaders(arrival.id), ...headers, "content-length": "0" }).end();
        return true;
    };
};

const hasLine = (text: string, entry?: string): boolean =>
    site.lines.some(line => line.message.includes(text) && (entry === undefined || line.entry === entry));

test("endpoint that shuts down gets no more requests, also from entries that it didn't answer", async () => {
    const [leaving] = await Promise.all([site.replica("d-1", "bookings"), site.replica("d-2", "bookings")]);
    site.configure(1);
    const [first, second] = [await site.start("entry-1"), await site.start("entry-2")];
    answerWith(leaving, { [header.leaving]: "1" });
    while (leaving.arrivals.length === 0) {
        await call(first.callers, "/lookups/a");
    }
    await until(() => hasLine("shuts down", "entry-2"));
    for (const { callers } of [first, second]) {
        for (let index = 0; index < 6; index++) {
            expect((await call(callers, "/lookups/a")).status).toBe(200);
        }
    }
    expect(leaving.arrivals).toHaveLength(1);
});

test("stream of an endpoint that shuts down goes on to its end", async () => {
    const replica = await site.replica("m-1", "models");
    site.configure(1);
    const { callers } = await site.start("entry-1");
    replica.fault = (arrival, response) => {
        response.setHeader(header.leaving, "1");
        void arrival;
        return false;
    };
    const answer = await call(callers, "/replies/a", { headers: generation(100, 40) });
    expect(eventIds(answer.body)).toHaveLength(10);
    expect(hasLine("shuts down")).toBe(true);
    expect((await call(callers, "/replies/a", { headers: generation(100, 40) })).status).toBe(503);
    expect(replica.arrivals).toHaveLength(1);
});

test("answer to an order tells that an endpoint shuts down", async () => {
    // Guards against parts of long prompts on an endpoint that exits while it reads them.
    const replicas = await Promise.all(["m-1", "m-2", "m-3"].map(id => site.replica(id, "models")));
    site.configure(1);
    const { callers } = await site.start("entry-1");
    let leaving: ReplicaServer | undefined;
    for (const replica of replicas) {
        replica.orderFault = (...[, response]) => {
            leaving ??= replica;
            if (replica === leaving) {
                response.setHeader(header.leaving, "1");
            }
            return false;
        };
    }
    const headers = { ...generation(150_000, 20), "dandelionramp-deadline-ms": "5000" };
    expect((await call(callers, "/replies/a", { headers })).status).toBe(200);
    expect(hasLine("shuts down")).toBe(true);
    expect(leaving!.arrivals).toEqual([]);
    const helpersOfAll = replicas.flatMap(({ arrivals }) =>
        arrivals.map(arrival => arrival.headers["dandelionramp-helpers"])
    );
    expect(helpersOfAll.join()).not.toContain(leaving!.address);
});

test("answer of another endpoint at the address says nothing about the one that was meant", async () => {
    const replica = await site.replica("d-1", "bookings");
    site.configure(1);
    const { callers } = await site.start("entry-1");
    replica.fault = (arrival, response) => {
        replica.fault = undefined;
        response.writeHead(421, { [header.requestId]: arrival.id, [header.notExecuted]: "1", [header.leaving]: "1" })
            .end();
        return true;
    };
    await call(callers, "/lookups/a");
    expect(hasLine("shuts down")).toBe(false);
});

const isLeaving = (headers: Record<string, string>): boolean =>
    readEndpointReport(200, name => headers[name], true).isLeaving;

test("only the value 1 means that an endpoint shuts down", () => {
    expect(isLeaving({ [header.leaving]: "1" })).toBe(true);
    expect(isLeaving({ [header.leaving]: "0" })).toBe(false);
    expect(isLeaving({ [header.leaving]: "" })).toBe(false);
    expect(isLeaving({})).toBe(false);
});

const endpoint = endpointRecord("m-1");

test("endpoint that shut down is used again after its restart", async () => {
    const clock = new SimulatedClock();
    const states = new ReportedStates(clock, silentLog);
    states.recordLeaving(endpoint);
    await clock.run(9_000);
    const restarted = { ...endpoint, incarnation: 2 };
    // The new process may have reported before the list showed it.
    expect(states.isLeaving(restarted)).toBe(true);
    await clock.run(10_000);
    expect(states.isLeaving(restarted)).toBe(false);
    expect(states.isLeaving(endpoint)).toBe(true);
});

test("older state from another entry changes nothing", async () => {
    const clock = new SimulatedClock();
    const states = new ReportedStates(clock, silentLog);
    await clock.run(5_000);
    states.recordLeaving({ ...endpoint, incarnation: 2 });
    states.merge([{ endpoint: "m-1", incarnation: 1, isLeaving: false, coldFor: 500, age: 100 }]);
    expect(states.isLeaving({ ...endpoint, incarnation: 2 })).toBe(true);
    states.merge([{ endpoint: "m-1", incarnation: 2, isLeaving: false, coldFor: 0, age: 0 }]);
    expect(states.isLeaving({ ...endpoint, incarnation: 2 })).toBe(true);
});

test("shared state loses its time on the way", async () => {
    const clock = new SimulatedClock();
    const [first, second] = [new ReportedStates(clock, silentLog), new ReportedStates(clock, silentLog)];
    first.recordCold(endpoint, 3_000);
    await clock.run(1_000);
    second.merge(first.snapshot());
    expect(second.coldUntil(endpoint)).toBe(3_000);
    await clock.run(3_000);
    expect(first.snapshot()).toEqual([]);
});
