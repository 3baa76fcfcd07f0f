/** Tests that an entry sends nothing to an endpoint that refused a request and asked for a pause. */
import type { ServerResponse } from "node:http";
import { afterEach, beforeEach, expect, test } from "vitest";
import { readEndpointReport } from "../../platform/endpointReport.js";
import { header } from "../../platform/names.js";
import type { ReplicaServer } from "../../platform/standins/replicaServer.js";
import { EndpointPauses } from "../../src/core/budgets/endpointPauses.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { silentLog } from "../../src/utils/log.js";
import { endpointRecord } from "./support/endpointRecord.js";
import { call, generation, Site, until } from "./support/site.js";

let site: Site;

beforeEach(() => {
    site = new Site();
});

afterEach(() => site.close());

const refuse = (response: ServerResponse, id: string, headers: Record<string, string>): void => {
    response.writeHead(503, { [header.requestId]: id, [header.notExecuted]: "1", ...headers }).end();
};

/** Makes the replica refuse its first request with `headers`. */
const refuseFirst = (replica: ReplicaServer, headers: Record<string, string>): void => {
    replica.fault = (arrival, response) => {
        replica.fault = undefined;
        refuse(response, arrival.id, headers);
        return true;
    };
};

test("endpoint that asks for a pause gets nothing meanwhile, and requests again after it", async () => {
    const replica = await site.replica("d-1", "bookings");
    site.configure(1);
    const { callers } = await site.start("entry-1");
    refuseFirst(replica, { [header.retryAfter]: "0.8" });
    const first = await call(callers, "/lookups/a");
    const second = await call(callers, "/lookups/a");
    expect([first.status, second.status]).toEqual([503, 503]);
    expect(replica.arrivals).toHaveLength(1);
    // Both callers are told to return once the pause is over.
    for (const { headers } of [first, second]) {
        expect(Number(headers["retry-after"])).toBeGreaterThan(0.5);
        expect(Number(headers["retry-after"])).toBeLessThan(1.1);
    }
    await until(() => site.entries[0]!.entry.isReady);
    await new Promise(resolve => setTimeout(resolve, 900));
    expect((await call(callers, "/lookups/a")).status).toBe(200);
});

test("refusal without a pause leaves the endpoint in use", async () => {
    const replica = await site.replica("d-1", "bookings");
    site.configure(1);
    const { callers } = await site.start("entry-1");
    refuseFirst(replica, {});
    await call(callers, "/lookups/a");
    expect((await call(callers, "/lookups/a")).status).toBe(200);
    expect(replica.arrivals).toHaveLength(2);
});

test("second try goes to an endpoint without a pause", async () => {
    const replicas = await Promise.all([site.replica("d-1", "bookings"), site.replica("d-2", "bookings")]);
    site.configure(1);
    const { callers } = await site.start("entry-1");
    const sendRequests = async () => {
        for (let index = 0; index < 12; index++) {
            expect((await call(callers, "/lookups/a")).status).toBe(200);
        }
    };
    // The retry budget grows with the requests.
    await sendRequests();
    const [paused] = replicas;
    const sentBefore = paused!.arrivals.length;
    refuseFirst(paused!, { [header.retryAfter]: "5" });
    await sendRequests();
    expect(paused!.arrivals).toHaveLength(sentBefore + 1);
});

test("pause without the guarantee that the request has not run", async () => {
    // Guards against an overloaded endpoint that gets repeats because its refusal lacks the guarantee.
    const replica = await site.replica("d-1", "bookings");
    site.configure(1);
    const { callers } = await site.start("entry-1");
    replica.fault = (arrival, response, own) => {
        response.writeHead(503, { ...own.responseHeaders(arrival.id), [header.retryAfter]: "5" }).end("full");
        return true;
    };
    await call(callers, "/lookups/a");
    await call(callers, "/lookups/a");
    expect(replica.arrivals).toHaveLength(1);
});

test("prompt that waited for memory is not sent to an endpoint that paused meanwhile", async () => {
    // Guards against a long prompt that reaches an endpoint hundreds of milliseconds after it asked for a pause.
    const replicas = await Promise.all(["m-1", "m-2", "m-3"].map(id => site.replica(id, "models")));
    site.configure(1);
    const { callers } = await site.start("entry-1");
    const paused = new Set<ReplicaServer>();
    for (const replica of replicas) {
        replica.orderFault = ({ operation, id, tokens }, response) => {
            if (operation !== "reserve" || paused.size > 0) {
                return false;
            }
            // The endpoint holds the memory, and asks for a pause in the same response.
            paused.add(replica);
            site.engines.get(replica.id)!.reserve(id, tokens ?? 0, 1_900, false);
            response.writeHead(503, { [header.retryAfter]: "30" }).end("{}");
            return true;
        };
    }
    const headers = { ...generation(150_000, 20), "dandelionramp-deadline-ms": "5000" };
    expect((await call(callers, "/replies/a", { headers })).status).toBe(200);
    expect(paused.size).toBe(1);
    for (const replica of paused) {
        expect(replica.arrivals).toEqual([]);
        expect(replica.orders.filter(({ operation }) => operation === "reserve")).toHaveLength(1);
    }
});

test("request that waits for a connection is given up before a pause binds", async () => {
    // Guards against requests that reach a paused endpoint long after, from the queue behind its busy connections.
    const maximumConnections = 48;
    const replica = await site.replica("d-1", "bookings");
    site.configure(1);
    const { callers } = await site.start("entry-1");
    replica.fault = () => true;
    const calls = Promise.allSettled([...Array(maximumConnections).keys()].map(() => call(callers, "/lookups/a")));
    await until(() => replica.arrivals.length === maximumConnections);
    const { status, took } = await call(callers, "/lookups/a");
    expect(status).toBe(503);
    expect(took).toBeLessThan(1_000);
    expect(replica.arrivals).toHaveLength(maximumConnections);
    await calls;
    expect(replica.arrivals).toHaveLength(maximumConnections);
});

const reportOf = (status: number, headers: Record<string, string>) =>
    readEndpointReport(status, name => headers[name], false).retryAfter;

const date = "Thu, 03 Dec 2026 16:00:00 GMT";
const laterDate = "Thu, 03 Dec 2026 16:00:04 GMT";
const retryAfterCases: [text: string, status: number, expected: number | undefined][] = [
    ["3", 503, 3_000],
    ["0.25", 503, 250],
    [" 2 ", 503, 2_000],
    ["0", 503, 0],
    ["1e9", 503, 1e12],
    [laterDate, 503, 4_000],
    ["Thu, 03 Dec 2026 15:59:00 GMT", 503, 0],
    ["-1", 503, undefined],
    ["soon", 503, undefined],
    ["3, 4", 503, undefined],
    ["", 503, undefined],
    ["3", 200, undefined],
    ["3", 500, undefined],
];

for (const [text, status, expected] of retryAfterCases) {
    test(`Retry-After "${text}" with status ${status}`, () => {
        expect(reportOf(status, { [header.retryAfter]: text, Date: date })).toBe(expected);
    });
}

test("Retry-After with a date needs the date of the response", () => {
    expect(reportOf(503, { [header.retryAfter]: laterDate })).toBeUndefined();
});

const endpoint = endpointRecord("m-1");

test("shorter pause doesn't end an earlier one", async () => {
    const clock = new SimulatedClock();
    const pauses = new EndpointPauses(clock, silentLog);
    pauses.record(endpoint, 3_000);
    await clock.run(1_000);
    pauses.record(endpoint, 500);
    expect(pauses.remaining(endpoint)).toBe(2_000);
    await clock.run(3_000);
    expect(pauses.remaining(endpoint)).toBe(0);
    expect(pauses.count).toBe(0);
});

test("restarted endpoint is not paused for as long as its earlier process asked", async () => {
    const clock = new SimulatedClock();
    const pauses = new EndpointPauses(clock, silentLog);
    pauses.record(endpoint, 1e12);
    const restarted = { ...endpoint, incarnation: 2 };
    // The new process may have asked before the list showed it.
    expect(pauses.remaining(restarted)).toBeGreaterThan(0);
    await clock.run(10_000);
    expect(pauses.remaining(restarted)).toBe(0);
    expect(pauses.remaining(endpoint)).toBeGreaterThan(0);
});
