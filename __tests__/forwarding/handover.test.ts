/** Answers that the entry owes are handed over whole when it closes a caller's connection. */
import { once } from "node:events";
import net, { type AddressInfo, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { LingeringCloser } from "../../src/adapters/forwarding/lingeringClose.js";
import { systemClock } from "../../src/utils/clock.js";
import { TurnShare } from "../../src/utils/turnShare.js";
import { RawCaller, requestHead } from "./support/rawCaller.js";
import { callerKey, generation, operatorConfiguration, Site, type SiteEntry, until } from "./support/site.js";

const megabyte = 1024 * 1024;
const bodyBytes = 16 * megabyte;
/** Fits into the buffers of the operating system. */
const answerBytes = 3 * megabyte;
const readingPause = 300;
/** Not exceeded where this process stands still for a while. */
const patientHeaderTimeout = 10_000;
const shortHeaderTimeout = 500;
/** Longer than the short header timeout and the interval of its checks. */
const longRun = 1_800;

let site: Site;

beforeEach(async () => {
    site = new Site();
    await site.replica("i-1", "bookings");
    configure(1, patientHeaderTimeout);
});

afterEach(() => site.close());

const configure = (version: number, headerTimeout: number): void => {
    const configuration = operatorConfiguration(version);
    const limits = { ...configuration.limits, header_timeout_ms: headerTimeout };
    site.store.model.put("config", "main", { ...configuration, limits });
};

/** Answers each request with `size` bytes. */
const answerWith = (size: number): void => {
    const replica = site.replicas.get("i-1")!;
    replica.fault = ({ id }, response) => {
        response.writeHead(200, { ...replica.responseHeaders(id), "content-length": size }).end(Buffer.alloc(size));
        return true;
    };
};

const announcedBody = `Content-Length: ${bodyBytes}`;
const rejections = [
    { name: "too large", head: requestHead("a", "/lookups/a", [announcedBody]), status: 413 },
    { name: "without a route", head: requestHead("a", "/nothing/a", [announcedBody]), status: 404 },
    {
        name: "with an unknown key",
        head: requestHead("a", "/lookups/a", [announcedBody]).replace(callerKey, "unknown"),
        status: 401,
    },
    {
        name: "with two identifiers",
        head: requestHead("a", "/lookups/a", ["Dandelionramp-Request-Id: b", announcedBody]),
        status: 400,
    },
    {
        name: "with large headers",
        head: requestHead("a", "/lookups/a", [`Filler: ${"x".repeat(5_000)}`, announcedBody]),
        status: 431,
    },
    { name: "that can't be parsed", head: requestHead("a", "/lookups/a", ["Content-Length: x"]), status: 400 },
];

test.each(rejections)("caller that still sends its body gets the rejection of a request $name", async rejection => {
    // Guards against a connection that is reset because the entry closes it with unread bytes.
    const { callers } = await site.start("entry-1");
    const caller = await RawCaller.connect(callers);
    caller.socket.write(Buffer.concat([Buffer.from(rejection.head), Buffer.alloc(bodyBytes)]));
    await caller.closed;
    expect(caller.error).toBeUndefined();
    expect(caller.statuses).toEqual([rejection.status]);
    expect(caller.text).toMatch(/"execution":"not-run".*\}$/);
});

test("caller that still sends chunks gets the rejection of a request too large", async () => {
    // Guards against the same where the entry has read a part of the body.
    const { callers } = await site.start("entry-1");
    const caller = await RawCaller.connect(callers);
    caller.socket.write(requestHead("a", "/lookups/a", ["Transfer-Encoding: chunked"]));
    const chunk = Buffer.concat([
        Buffer.from(`${megabyte.toString(16)}\r\n`),
        Buffer.alloc(megabyte),
        Buffer.from("\r\n"),
    ]);
    for (let sentBytes = 0; sentBytes < bodyBytes; sentBytes += megabyte) {
        caller.socket.write(chunk);
    }
    caller.socket.write("0\r\n\r\n");
    await caller.closed;
    expect(caller.error).toBeUndefined();
    expect(caller.statuses).toEqual([413]);
});

test("caller that sends bytes while it reads the last answer of its connection gets the whole answer", async () => {
    // Guards against a reset that drops the part of the answer that its caller hasn't received yet.
    const { callers, entry } = await site.start("entry-1");
    answerWith(answerBytes);
    const caller = await RawCaller.connect(callers);
    const stopped = entry.stop();
    caller.socket.write(requestHead("a", "/lookups/a", ["Content-Length: 0"]));
    await until(() => caller.statuses.length === 1);
    caller.socket.pause();
    await systemClock.sleep(readingPause);
    caller.socket.write("\r\n");
    await systemClock.sleep(readingPause);
    caller.socket.resume();
    await caller.closed;
    expect(caller.error).toBeUndefined();
    expect(caller.answerLength).toBe(answerBytes);
    await stopped;
});

test("requests in progress on one connection are answered beside a stop, in their order", async () => {
    // Guards against a request that runs and whose connection is closed after the answer to the request before it.
    const { callers, entry } = await site.start("entry-1");
    const replica = site.replicas.get("i-1")!;
    replica.fault = ({ id }, response) => {
        setTimeout(() => response.writeHead(200, replica.responseHeaders(id)).end(id), readingPause);
        return true;
    };
    const caller = await RawCaller.connect(callers);
    const requests = ["a", "b"].map(id => requestHead(id, "/places/a", ["Content-Length: 0"]));
    caller.socket.write(requests.join(""));
    await until(() => replica.arrivals.length === requests.length);
    const stopped = entry.stop();
    await caller.closed;
    expect(caller.statuses).toEqual([200, 200]);
    expect(caller.text.indexOf("Request-Id: a")).toBeLessThan(caller.text.indexOf("Request-Id: b"));
    expect(caller.text.match(/Connection: close/g)).toHaveLength(1);
    await stopped;
});

test("request that comes behind the announced close of its connection doesn't run", async () => {
    // Guards against a request that runs and can't be answered.
    const { callers, entry } = await site.start("entry-1");
    answerWith(2 * answerBytes);
    const caller = await RawCaller.connect(callers);
    const stopped = entry.stop();
    caller.socket.write(requestHead("a", "/lookups/a", ["Content-Length: 0"]));
    await until(() => caller.text.includes("Connection: close"));
    caller.socket.pause();
    caller.socket.write(requestHead("b", "/places/b", ["Content-Length: 0"]));
    await systemClock.sleep(readingPause);
    caller.socket.resume();
    await caller.closed;
    expect(site.replicas.get("i-1")!.arrivals.map(({ id }) => id)).toEqual(["a"]);
    expect(caller.answerLength).toBe(2 * answerBytes);
    await stopped;
});

const unreadable = [
    { name: "no request", bytes: "no request\r\n\r\n", status: 400 },
    { name: "a part of a head", bytes: "GET /lookups/b HTTP/1.1\r\nHost: desk", status: 408 },
    {
        name: "a request with a broken body",
        bytes: `${requestHead("b", "/lookups/b", ["Transfer-Encoding: chunked"])}no chunk\r\n`,
        status: 400,
    },
];

test.each(unreadable)("request is answered before the rejection of $name behind it", async ({ bytes, status }) => {
    // Guards against a request that runs while its caller gets an answer that says that it has not.
    configure(2, shortHeaderTimeout);
    const { callers } = await site.start("entry-1");
    const replica = site.replicas.get("i-1")!;
    replica.fault = ({ id }, response) => {
        setTimeout(() => response.writeHead(200, replica.responseHeaders(id)).end(id), longRun);
        return true;
    };
    const caller = await RawCaller.connect(callers);
    caller.socket.write(requestHead("a", "/places/a", ["Content-Length: 0"]) + bytes);
    await caller.closed;
    expect(caller.error).toBeUndefined();
    expect(caller.statuses).toEqual([200, status]);
    expect(caller.text).toMatch(/"execution":"not-run".*\}$/);
});

const cutStream = async (cut: (entry: SiteEntry, replicaSocket: Socket) => void): Promise<RawCaller> => {
    const { callers, entry, ...rest } = await site.start("entry-1");
    const replica = await site.replica("m-1", "models");
    let replicaSocket: Socket | undefined;
    replica.fault = ({ id }, response, ...[, socket]) => {
        replicaSocket = socket;
        response.writeHead(200, { ...replica.responseHeaders(id), "content-type": "text/event-stream" });
        response.write("id: 1\ndata: a\n\n");
        return true;
    };
    await until(() => entry.directory.get("m-1") !== undefined);
    const caller = await RawCaller.connect(callers);
    const lines = [
        "Content-Length: 0",
        ...Object.entries(generation(10, 10)).map(([name, value]) => `${name}: ${value}`),
    ];
    caller.socket.write(requestHead("a", "/once/a", lines).replace("HTTP/1.1", "HTTP/1.0"));
    await until(() => caller.text.includes("data: a"));
    cut({ callers, entry, ...rest }, replicaSocket!);
    await caller.closed;
    return caller;
};

test("stream of HTTP/1.0 that its endpoint cuts ends with a reset", async () => {
    // Guards against a stream that looks complete, as it ends with its connection.
    const caller = await cutStream((...[, socket]) => socket.resetAndDestroy());
    expect(caller.error).toBe("ECONNRESET");
});

test("stream of HTTP/1.0 that the end of the entry cuts ends with a reset", async () => {
    // Guards against the same.
    const caller = await cutStream(({ entry }) => void entry.close());
    expect(caller.error).toBe("ECONNRESET");
});

/** Closes connections after a rejection, as the entry does. */
const listenAndReject = async (): Promise<net.Server> => {
    const closer = new LingeringCloser({ clock: systemClock, share: new TurnShare() });
    const server = net.createServer({ allowHalfOpen: true }, socket => {
        socket.on("error", () => {});
        socket.write("HTTP/1.1 413 Too large\r\n\r\n");
        closer.close(socket);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return server;
};

test.each([
    { name: "sends without an end", isSending: true },
    { name: "neither sends nor closes", isSending: false },
])("caller that $name doesn't hold its connection", async ({ isSending }) => {
    // Guards against connections that stay open for as long as their callers want.
    const server = await listenAndReject();
    const { port } = server.address() as AddressInfo;
    const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    const piece = Buffer.alloc(megabyte);
    const send = () => socket.write(piece, error => error || send());
    socket.on("error", () => {}).resume();
    if (isSending) {
        send();
    }
    const [connection] = await once(server, "connection") as [Socket];
    await once(connection, "close");
    socket.destroy();
    server.close();
});
