/** The serving program beside a list of endpoints with records of another writer. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { afterAll, afterEach, beforeAll, beforeEach, expect, test } from "vitest";
import type { ReplicaServer } from "../../platform/standins/replicaServer.js";
import { type Milliseconds, systemClock } from "../../src/utils/clock.js";
import { buildProgram, EntryProcess, settingsText } from "./support/entryProgram.js";
import { startEndpoint } from "./support/rawEndpoint.js";
import { call, type CallerResponse, Site } from "./support/site.js";

const folder = mkdtempSync(path.join(tmpdir(), "dandelionramp-foreign-"));
const program = path.join(folder, "main.cjs");
const settingsFile = path.join(folder, "entry.ini");

let site: Site;
let running: EntryProcess | undefined;

beforeAll(() => buildProgram(program));

afterAll(() => rmSync(folder, { recursive: true }));

beforeEach(() => {
    site = new Site();
    site.configure(1);
});

afterEach(async () => {
    running?.child.kill("SIGKILL");
    await site.close();
});

const unusable = {
    "of no service, with an unknown port and missing fields": {
        service: "print-queue",
        address: "127.0.0.1:80800",
        zone: "depot",
        version: undefined,
        sequence: undefined,
        born: undefined,
    },
    "of the served service, with port 65536": { service: "bookings", address: "127.0.0.1:65536", zone: "depot" },
    "of the served service, with a port of 400 digits": {
        service: "bookings",
        address: `127.0.0.1:${"9".repeat(400)}`,
        zone: "depot",
    },
};

/** How long the replicas work on a request, and when one of them crashes meanwhile. */
const workDuration: Milliseconds = 600;
const crashDelay: Milliseconds = 150;
const requestCount = 8;

const startReplica = async (id: string, dataCentre: string): Promise<ReplicaServer> => {
    const replica = await site.replica(id, "bookings", dataCentre);
    replica.fault = (arrival, response) => {
        setTimeout(() => response.writeHead(200, replica.responseHeaders(arrival.id)).end(), workDuration);
        return true;
    };
    return replica;
};

test("record of a service that isn't configured says nothing about links", async () => {
    // Guards against an entry that takes a link for sound, or for lost, because of an address that serves no route.
    await startReplica("i-1", "north-a");
    const crashing = await startReplica("i-2", "north-b");
    const other = await startEndpoint(() => {});
    site.record("prn-4", { service: "print-queue", address: other.record.address, zone: "depot" });
    const { callers } = await site.start("entry-1");
    const answered = Promise.all(
        Array.from({ length: requestCount }, () => call(callers, "/places/a").catch(() => undefined)),
    );
    await systemClock.sleep(crashDelay);
    crashing.crash();
    await answered;
    expect(other.connectionCount).toBe(0);
});

for (const [description, record] of Object.entries(unusable)) {
    test(`endpoint crashes beside a record ${description}`, async () => {
        // Guards against an entry that ends by itself, with all requests in progress, when it checks its links to endpoints.
        await startReplica("i-1", "north-a");
        const crashing = await startReplica("i-2", "north-b");
        site.record("prn-4", record);
        writeFileSync(settingsFile, await settingsText(site));
        running = new EntryProcess(program, settingsFile);
        const { callers } = await running.started();
        const answered = Promise.all(
            Array.from({ length: requestCount }, () => call(callers, "/places/a").catch(() => undefined)),
        );
        await systemClock.sleep(crashDelay);
        crashing.crash();
        const statuses = (await answered).map(answer => answer?.status);
        expect(statuses.filter(status => status === 200).length).toBeGreaterThan(0);
        expect(statuses.filter(status => status !== 200 && status !== 502)).toEqual([]);
        expect(running.child.exitCode ?? undefined).toBeUndefined();
    });
}

/** Objects that say nothing, of which another writer has left hundreds. */
const oddObjectCount = 300;
const oddContents = [
    5,
    "text",
    [[[[]]]],
    { address: "127.0.0.1:65536", request: "", crashes: [{}], version: 1e308 },
    { service: "x".repeat(5_000), zone: 1e308, slots: -1 },
];

/** Asks until an answer is as wanted, for some five seconds. */
const untilAnswer = async (
    address: string,
    target: string,
    isWanted: (answer: CallerResponse) => boolean,
): Promise<void> => {
    const attempts = 250;
    for (let attempt = 0; attempt < attempts; attempt++) {
        if (isWanted(await call(address, target, { method: "GET" }))) {
            return;
        }
        await systemClock.sleep(20);
    }
    throw new Error(`${target} was not as wanted within five seconds`);
};

test("program that starts beside hundreds of odd objects of every kind", async () => {
    // Guards against an entry that ends, isn't ready or doesn't follow changes because of objects that were there before it.
    await startReplica("i-1", "north-a");
    for (const kind of ["servers", "config", "entries", "quarantined", "crashes"]) {
        for (let index = 0; index < oddObjectCount; index++) {
            const name = `a-${index}${index % 2 === 0 ? "" : "\ud800"}`;
            site.store.model.put(kind, name, oddContents[index % oddContents.length]);
        }
    }
    writeFileSync(settingsFile, await settingsText(site));
    running = new EntryProcess(program, settingsFile);
    const { callers, metrics, readiness } = await running.started();
    await untilAnswer(readiness, "/", ({ status }) => status === 200);
    site.configure(2);
    await untilAnswer(metrics, "/metrics", ({ body }) => /configuration_version 2\b/.test(body));
    expect((await call(callers, "/lookups/a", { method: "GET" })).status).toBe(200);
    expect(running.hasExited).toBe(false);
    const maximumLineCount = 50;
    expect(running.output.split("\n").length).toBeLessThan(maximumLineCount);
});
