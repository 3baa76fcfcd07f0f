/** Drawn values of other writers and peers beside requests, some of them by way of another entry. SEEDS=N draws more. */
import dgram from "node:dgram";
import { afterEach, beforeEach, expect, test } from "vitest";
import { splitAddress } from "../../src/utils/address.js";
import { systemClock } from "../../src/utils/clock.js";
import { type Random, seededRandom } from "../../src/utils/random.js";
import { CutEndpointPort } from "./support/cutEndpointPort.js";
import { call, operatorConfiguration, Site, type SiteEntry, until } from "./support/site.js";

const seedCount = Number(process.env.SEEDS ?? 2);
const stepCount = 40;
/** Share of the records that have an odd value in any field. */
const mutatedShare = 0.3;
/** Every how many steps an endpoint resets one connection, so that entries check their links. */
const resetInterval = 4;
const datagramFormat = 4;

let site: Site;
let reported: unknown[];

/** Vitest fails a run for an unhandled rejection, but doesn't say in which test it came about. */
const report = (error: unknown): void => {
    reported.push(error);
};

beforeEach(() => {
    site = new Site();
    reported = [];
    process.on("unhandledRejection", report);
});

afterEach(async () => {
    process.off("unhandledRejection", report);
    await site.close();
});

const pick = <Value>(random: Random, values: readonly Value[]): Value =>
    values[Math.floor(random.next() * values.length)]!;

const oddNumbers = [-1, 0, 0.5, 65_536, 2 ** 31, 1e15, 1e308];
const oddTexts = ["", " ", "\u03a91", "a\r\nb", "a\u0000b", "__proto__", "x".repeat(20_000)];
const oddAddresses = [
    "127.0.0.1:65536",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    `127.0.0.1:${"9".repeat(400)}`,
    "999.1.1.1:80",
    "no host:80",
    "127.0.0.1",
    "\u03a9:80",
    "",
];
const oddValues = [...oddNumbers, ...oddTexts, [], {}, undefined, true];

/** A record of the served service or of another one, with odd fields. */
const writeRecord = (random: Random): string => {
    const id = pick(random, ["prn-1", "prn-2", "i-9", ...oddTexts.slice(1)]);
    const record: Record<string, unknown> = {
        service: pick(random, ["bookings", "print-queue"]),
        address: pick(random, ["127.0.0.1:1", ...oddAddresses]),
        zone: pick(random, ["depot", "north-a"]),
        version: 1,
        slots: pick(random, [1, 1e15]),
        state: pick(random, ["ready", "draining"]),
        cold_remaining_ms: pick(random, [0, 1e308]),
        sequence: 1,
    };
    if (random.next() < mutatedShare) {
        record[pick(random, [...Object.keys(record), "born"])] = pick(random, oddValues);
    }
    site.store.model.put("servers", id, record);
    return id;
};

const nestedValue = (depth: number): unknown => {
    let value: unknown = [];
    for (let level = 0; level < depth; level++) {
        value = level % 2 === 0 ? [value] : { a: value };
    }
    return value;
};

/** The stand-in of the store writes JSON by recursion, so its objects can't be nested as deep as those of other stores. */
const nested = nestedValue(1_500);

/** Objects of all kinds, as their own writers would write them. */
const objectsByKind: Record<string, () => Record<string, unknown>> = {
    config: () => operatorConfiguration(5),
    evacuations: () => ({}),
    entries: () => ({ address: "127.0.0.1:9" }),
    quarantined: () => ({ request: "r", crashes: [{ endpoint: "i-1", incarnation: 1 }], trialCount: 0 }),
    crashes: () => ({
        crashes: [{ endpoint: "i-1", incarnation: 1, age: 1, requests: [{ request: "r", servedFor: 1 }] }],
    }),
};

const oddNames = ["__proto__", "constructor", "half\ud800", "\ufeff", "x".repeat(2_000), "main-2"];

/** Some objects of any kind, with an odd value in any field of theirs, or in one of its own. */
const writeObjects = (random: Random): void => {
    const values = [...oddValues, ...oddAddresses, nested, [nested], [{}], -1e308];
    for (let count = 0; count < 5; count++) {
        const kind = pick(random, Object.keys(objectsByKind));
        const object = objectsByKind[kind]!();
        const field = pick(random, [...Object.keys(object), "other", "__proto__", "constructor"]);
        // An assignment to __proto__ would set no field.
        Object.defineProperty(object, field, { value: pick(random, values), enumerable: true });
        const name = pick(random, oddNames);
        site.store.model.put(kind, name, random.next() < 0.2 ? pick(random, values) : object);
        if (random.next() < 0.3) {
            site.store.model.remove(kind, name);
        }
    }
};

/** A datagram of an entry that names itself, or others, by odd addresses. */
const sendDatagram = (random: Random, socket: dgram.Socket, { peers }: SiteEntry): void => {
    const address = () => pick(random, oddAddresses);
    const news = pick(random, [
        [{ type: "Greeting" }],
        [{
            type: "Entries",
            entries: [{ id: "e-1", address: address() }, { id: pick(random, oddTexts), address: address() }],
        }],
        [{ type: "Stopping" }],
        [{ type: "AllowanceAsked", serial: pick(random, oddNumbers) }],
        [{ type: "Outcome", endpoint: pick(random, oddTexts), fate: pick(random, oddTexts) }],
        [pick(random, oddValues)],
    ]);
    const from = { id: pick(random, ["e-1", "e-2", ...oddTexts]), address: address(), incarnation: "1" };
    const params = {
        format: datagramFormat,
        messages: [{ from, news }],
        passOn: pick(random, ["nobody", "group", "placers"]),
    };
    const { host, port } = splitAddress(peers);
    socket.send(JSON.stringify({ jsonrpc: "2.0", method: "news", params }).slice(0, 9_000), port, host);
};

/** The next request at any replica is answered by a reset. */
const resetNextRequest = (): void => {
    for (const replica of site.replicas.values()) {
        replica.fault = (...[, , , connection]) => {
            site.replicas.forEach(other => other.fault = undefined);
            connection.resetAndDestroy();
            return true;
        };
    }
};

for (let seed = 1; seed <= seedCount; seed++) {
    test(`values of other writers, seed ${seed}`, async () => {
        // Guards against a value of another writer that ends an entry or fails the requests of callers.
        const random = seededRandom(seed);
        // Its own, so that the records and datagrams of a seed stay the same.
        const objectRandom = seededRandom(1_000 + seed);
        for (const id of ["i-1", "i-2", "i-3"]) {
            await site.replica(id, "bookings", `north-${id}`);
        }
        site.configure(1);
        const links = new CutEndpointPort();
        const cut = await site.start("cut", true, { endpointPort: links });
        const other = await site.start("other", true, { seeds: [cut.peers] });
        await until(() => site.entries.every(({ entry }) => entry.livingCount === 2));
        links.isCut = true;
        const socket = dgram.createSocket("udp4");
        const statuses: number[] = [];
        for (let step = 0; step < stepCount; step++) {
            const written = writeRecord(random);
            if (step % resetInterval === 0) {
                resetNextRequest();
            }
            sendDatagram(random, socket, pick(random, [cut, other]));
            writeObjects(objectRandom);
            const answers = await Promise.all(
                [cut, other].map(({ callers }) => call(callers, "/lookups/a", { method: "GET" })),
            );
            statuses.push(...answers.map(({ status }) => status));
            if (random.next() < 0.7) {
                site.store.model.remove("servers", written);
            }
            await systemClock.sleep(10);
        }
        socket.close();
        await site.replica("i-4", "bookings");
        site.configure(2);
        await until(() =>
            site.entries.every(({ entry }) => entry.directory.get("i-4") && entry.configuration.version === 2)
        );
        expect(reported).toEqual([]);
        expect(statuses.filter(status => status !== 200)).toEqual([]);
    });
}
