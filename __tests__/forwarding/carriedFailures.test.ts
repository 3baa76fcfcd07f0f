/** Tests over sockets that replicas which fail behind another entry count as those which fail on an entry's own connections. */
import type { Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import type { ReplicaServer } from "../../platform/standins/replicaServer.js";
import { type Milliseconds, systemClock } from "../../src/utils/clock.js";
import { CutEndpointPort } from "./support/cutEndpointPort.js";
import { call, Site, type SiteEntry, until } from "./support/site.js";

const replicaCount = 3;
/** Longer than the check of an endpoint that broke off. */
const checkDuration: Milliseconds = 400;
const requestCount = 240;
const concurrency = 4;
/** Requests that may fail at entries without links, by the recovery rule: some, and a share of all. */
const toleratedFailures = 10 + requestCount / 50;

let site: Site;

beforeEach(() => {
    site = new Site();
});

afterEach(() => site.close());

interface FailingSite {
    /** The entry that the callers use. */
    entry: SiteEntry;
    links: CutEndpointPort;
    carrier: SiteEntry;
    replicas: ReplicaServer[];
    bad: ReplicaServer;
}

const startSite = async (isCut: boolean): Promise<FailingSite> => {
    const replicas: ReplicaServer[] = [];
    for (let index = 0; index < replicaCount; index++) {
        replicas.push(await site.replica(`r-${index}`, "bookings", `north-${index}`));
    }
    site.configure(1);
    const links = new CutEndpointPort();
    const entry = await site.start("asking", true, { endpointPort: links });
    const carrier = await site.start("carrying", true, { seeds: [entry.peers] });
    await until(() => site.entries.every(({ entry: { livingCount } }) => livingCount === 2));
    links.isCut = isCut;
    return { entry, links, carrier, replicas, bad: replicas[0]! };
};

/** Sends look-ups and bookings by turns from several callers; resolves with the number of those that failed. */
const countFailures = async ({ callers }: SiteEntry): Promise<number> => {
    let failed = 0;
    let sent = 0;
    const callAgain = async () => {
        while (sent < requestCount) {
            const target = sent++ % 2 === 0 ? "/lookups/a" : "/places/a";
            const { status } = await call(callers, target);
            failed += Number(status !== 200);
        }
    };
    await Promise.all(Array.from({ length: concurrency }, callAgain));
    return failed;
};

interface Break {
    name: string;
    breakOff: (socket: Socket, head: string) => void;
}

const breaks: Break[] = [
    { name: "closes in the head of its answers", breakOff: (socket, head) => socket.end(head.slice(0, 30)) },
    {
        name: "resets in the head of its answers",
        breakOff: (socket, head) => {
            socket.write(head.slice(0, 30));
            socket.resetAndDestroy();
        },
    },
    { name: "closes in the body of its answers", breakOff: (socket, head) => socket.end(`${head}half`) },
    {
        name: "resets in the body of its answers",
        breakOff: (socket, head) => socket.write(`${head}half`, () => setTimeout(() => socket.resetAndDestroy(), 5)),
    },
];

const headOf = (replica: ReplicaServer, id: string): string => {
    const headers = Object.entries(replica.responseHeaders(id)).map(([name, value]) => `${name}: ${value}\r\n`);
    return `HTTP/1.1 200 OK\r\n${headers.join("")}Content-Length: 8\r\n\r\n`;
};

for (const isCut of [false, true]) {
    for (const { name, breakOff } of breaks) {
        test(`replica that ${name} fails few requests, ${isCut ? "carried" : "direct"}`, async () => {
            // Guards against callers who get 502 again and again because a carried break doesn't count against its replica.
            const { entry, bad } = await startSite(isCut);
            bad.fault = ({ id }, ...[, replica, socket]) => {
                breakOff(socket, headOf(replica, id));
                return true;
            };
            const failures = await countFailures(entry);
            expect(failures).toBeLessThanOrEqual(toleratedFailures);
        });
    }
}

const linesOf = (text: string) => site.lines.filter(({ message }) => message.includes(text));

test("request under which an endpoint crashes behind another entry and starts again is known", async () => {
    // Guards against a request that crashes one replica after the other because its entry has no links to them.
    const { entry, bad } = await startSite(true);
    await call(entry.callers, "/lookups/before");
    bad.fault = (...[, , , socket]) => {
        socket.end();
        return true;
    };
    const target = "/places/a";
    for (let count = 0; count < replicaCount * 2 && !bad.arrivals.some(arrival => arrival.target === target); count++) {
        await call(entry.callers, target);
    }
    await systemClock.sleep(checkDuration);
    site.record("r-0", { born: 2 });
    await until(() => linesOf("An endpoint crashed").length === 1);
    expect(linesOf("An endpoint crashed")[0]).toMatchObject({ entry: "asking", fields: { endpoint: "r-0" } });
});

test("endpoints don't answer for the end of the entry that carried their responses", async () => {
    // Guards against sound replicas that all entries avoid, and sound requests that count as crashes, because an entry ended.
    const { entry, links, carrier, replicas } = await startSite(true);
    await call(entry.callers, "/lookups/before");
    for (const replica of replicas) {
        replica.fault = () => true;
    }
    const answers = [...Array(6).keys()].map(() => call(entry.callers, "/places/a"));
    await until(() => replicas.every(({ arrivals }) => arrivals.some(({ target }) => target === "/places/a")));
    links.isCut = false;
    await until(() => linesOf("Links to endpoints are back").length === 1);
    await carrier.entry.close();
    expect((await Promise.all(answers)).map(({ status }) => status)).toEqual(answers.map(() => 502));
    await systemClock.sleep(checkDuration);
    for (const { id } of replicas) {
        site.record(id, { born: 2 });
    }
    await systemClock.sleep(checkDuration);
    expect(linesOf("in back-off")).toEqual([]);
    expect(linesOf("An endpoint crashed")).toEqual([]);
});
