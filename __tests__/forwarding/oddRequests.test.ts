/** Odd requests, and what callers send beside requests: each request that was accepted gets its own answer. */
import net from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { splitAddress } from "../../src/utils/address.js";
import { systemClock } from "../../src/utils/clock.js";
import { requestHead } from "./support/rawCaller.js";
import { call, eventIds, operatorConfiguration, sendRaw, Site, type SiteEntry } from "./support/site.js";

const closeAfter = 4_000;
/** Longer than the header timeout of the site, and than Node takes to notice it. */
const workDuration = 2_000;

let site: Site;
let entry: SiteEntry;

beforeEach(async () => {
    site = new Site();
    const replica = await site.replica("i-1", "bookings");
    replica.fault = ({ id }, response) => {
        setTimeout(() => response.writeHead(200, replica.responseHeaders(id)).end(`booked ${id}.`), workDuration);
        return true;
    };
    site.configure(1, { places: { timeout_ms: 10_000 } });
    entry = await site.start("entry-1");
});

afterEach(() => site.close());

const head = (id: string, lines: readonly string[]): string => requestHead(id, "/places/a", lines);

const booking = head("first", ["Content-Length: 3"]) + "abc";

/** Status of each answer, and the booking that it confirms. */
const answersIn = (text: string): string[] =>
    text.split("HTTP/1.1 ").slice(1).map(answer =>
        [answer.slice(0, 3), /booked (\w+)\./.exec(answer)?.[1]].filter(part => part !== undefined).join(" ")
    );

const followers: Record<string, { bytes: string; answers: string[]; }> = {
    "more bytes than announced": { bytes: "def", answers: ["200 first", "400"] },
    "a broken head": { bytes: "POST\r\n\r\n", answers: ["200 first", "400"] },
    "a head that stops": { bytes: "POST /places/a HTTP/1.1\r\nHost: desk", answers: ["200 first", "408"] },
    "a broken body": {
        bytes: `${head("second", ["Transfer-Encoding: chunked"])}zz\r\n`,
        answers: ["200 first", "400"],
    },
    "a request and then bytes": {
        bytes: `${head("second", ["Content-Length: 0"])}GET\r\n\r\n`,
        answers: ["200 first", "200 second", "400"],
    },
};

test.each(Object.entries(followers))("request in progress is answered before %s", async (...[, { bytes, answers }]) => {
    // Guards against an accepted booking whose caller gets the answer to the bytes behind it: 400 or 408, "not run".
    const text = await sendRaw(entry.callers, booking + bytes, 2 * closeAfter);
    expect(answersIn(text)).toEqual(answers);
});

test("caller that leaves after bytes that can't be parsed is noticed", async () => {
    // Guards against endpoints that work for a caller that has left.
    await sendRaw(entry.callers, `${booking}GET\r\n\r\n`, 200);
    const replica = site.replicas.get("i-1")!;
    await expect.poll(() => replica.arrivals.length).toBe(1);
    await expect.poll(() => site.lines.some(({ message }) => message.includes("The caller has left."))).toBe(true);
});

const tunnel = "CONNECT a.example:80 HTTP/1.1\r\nHost: a.example:80\r\n\r\n";

test("CONNECT requests are answered", async () => {
    // Guards against a request whose connection is closed without an answer.
    expect(answersIn(await sendRaw(entry.callers, tunnel))).toEqual(["400"]);
    expect(answersIn(await sendRaw(entry.callers, booking + tunnel, closeAfter))).toEqual(["200 first", "400"]);
    expect(answersIn(await sendRaw(entry.readiness, tunnel))).toEqual(["405"]);
    expect(answersIn(await sendRaw(entry.metrics, tunnel))).toEqual(["405"]);
});

test.each(["GET\r\n\r\n", tunnel])(
    "caller that keeps its side open after a rejection of %j holds no connection",
    async bytes => {
        // Guards against connections that pile up until no descriptor is left, and that delay a planned stop.
        const socket = net.connect({ ...splitAddress(entry.callers), allowHalfOpen: true });
        socket.write(bytes);
        socket.resume();
        await new Promise(resolve => socket.once("end", resolve));
        const openConnections = async () => {
            const { body } = await call(entry.metrics, "/metrics", { method: "GET" });
            return Number(/caller_connections (\d+)/.exec(body)?.[1]);
        };
        await expect.poll(openConnections, { timeout: 5_000 }).toBe(0);
        socket.destroy();
    },
);

test("request behind one without a host doesn't run unless it is answered", async () => {
    // Guards against a request that runs and whose connection is closed with the rejection of the request before it.
    const withoutHost = head("second", ["Content-Length: 0"]).replace("Host: desk.example\r\n", "");
    const text = await sendRaw(entry.callers, booking + withoutHost + head("third", ["Content-Length: 0"]), closeAfter);
    expect(answersIn(text)).toEqual(["200 first", "400"]);
    expect(site.replicas.get("i-1")!.arrivals.map(({ id }) => id)).toEqual(["first"]);
});

test("stream in progress that its caller reads slowly goes on beside a CONNECT request", async () => {
    // Guards against a stream that stops, as Node no longer tells when the connection accepts more.
    const engine = await site.replica("m-1", "models");
    const eventCount = 200;
    engine.fault = ({ id }, response) => {
        response.writeHead(200, { ...engine.responseHeaders(id), "content-type": "text/event-stream" });
        for (let event = 1; event <= eventCount; event++) {
            response.write(`id: ${event}\ndata: ${"x".repeat(60_000)}\n\n`);
        }
        response.end();
        return true;
    };
    await expect.poll(() => entry.entry.directory.get("m-1")).toBeDefined();
    const socket = net.connect(splitAddress(entry.callers));
    const closed = new Promise(resolve => socket.once("close", resolve));
    let text = "";
    socket.on("data", (bytes: Buffer) => text += bytes.toString("latin1")).pause();
    socket.write(head("stream", ["Content-Length: 0"]).replace("/places/a", "/replies/a"));
    await expect.poll(() => engine.arrivals.length).toBe(1);
    await systemClock.sleep(200);
    socket.write(tunnel);
    await systemClock.sleep(200);
    socket.resume();
    setTimeout(() => socket.destroy(), closeAfter).unref();
    await closed;
    expect(eventIds(text).length).toBe(eventCount);
    expect(answersIn(text)).toEqual(["200", "400"]);
});

test("entry with a CONNECT request behind a request in progress can be closed", async () => {
    // Guards against a stop that waits forever for a connection that Node has handed over.
    const answers = sendRaw(entry.callers, booking + tunnel, closeAfter);
    await expect.poll(() => site.replicas.get("i-1")!.arrivals.length).toBe(1);
    await entry.entry.close();
    expect(await answers).toBe("");
});

test("negative idle timeout of a configuration is none", async () => {
    // Guards against an exception behind each response, which ended the process, because of one odd value of a configuration.
    const configuration = operatorConfiguration(2, { places: { timeout_ms: 10_000 } });
    const limits = { ...configuration.limits, idle_timeout_ms: -5_000 };
    site.store.model.put("config", "main", { ...configuration, limits });
    await expect.poll(() => entry.entry.configuration.version).toBe(2);
    const text = await sendRaw(entry.callers, head("first", ["Content-Length: 0"]), closeAfter);
    expect(answersIn(text)).toEqual(["200 first"]);
    expect(text).toContain("\r\nKeep-Alive: timeout=1\r\n");
});
