/** Servers whose responses have no end, at the clients for orders, the store and services. */
import http from "node:http";
import net, { type AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { ReplicaOrders } from "../platform/replicaOrders.js";
import { StoreCalls } from "../platform/storeCalls.js";
import { ServiceClient } from "../src/internal.js";
import { ReservationResult } from "../src/ports/memoryPort.js";
import { systemClock } from "../src/utils/clock.js";
import { requestJson } from "../src/utils/httpClient.js";
import { silentLog } from "../src/utils/log.js";
import { HeadTooLargeError, maximumHeadBytes } from "../src/utils/responseHeadLimit.js";
import { endpointRecord } from "./forwarding/support/endpointRecord.js";

type Respond = (socket: net.Socket) => void;

/** A server that answers each request with `respond`. */
interface RawServer extends AsyncDisposable {
    address: string;
    /** Resolves when the first connection is closed. */
    closed: Promise<void>;
}

const serve = async (respond: Respond): Promise<RawServer> => {
    let reportClosed = () => {};
    const closed = new Promise<void>(resolve => reportClosed = resolve);
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.on("close", reportClosed);
        socket.on("data", () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        closed,
        [Symbol.asyncDispose]: () => {
            for (const socket of sockets) {
                socket.destroy();
            }
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
};

/** Counts the bytes that arrive on the connections of a client. */
class CountingAgent extends http.Agent {
    private readonly opened: net.Socket[] = [];

    get receivedBytes(): number {
        return this.opened.reduce((sum, { bytesRead }) => sum + bytesRead, 0);
    }

    override createConnection(...parameters: Parameters<http.Agent["createConnection"]>) {
        const socket = super.createConnection(...parameters) as net.Socket;
        this.opened.push(socket);
        return socket;
    }
}

const largePiece = "x".repeat(64 * 1024);
const chunkOf = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const interimResponse = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";
const oneMegabyte = 1024 * 1024;

const withoutEnd = (head: string, piece: string): Respond => socket => {
    const writeMore = () => {
        while (!socket.destroyed && socket.write(piece)) {
            // The connection takes more.
        }
    };
    socket.on("drain", writeMore);
    socket.write(head);
    writeMore();
};

const drip = (head: string, piece: string): Respond => socket => {
    socket.write(head);
    const timer = setInterval(() => socket.write(piece), 5);
    socket.once("close", () => clearInterval(timer));
};

const endless: [string, Respond][] = [
    ["a body in chunks", withoutEnd(chunkedHead, chunkOf(largePiece))],
    ["a body until the close", withoutEnd("HTTP/1.1 200 OK\r\n\r\n", largePiece)],
    ["a body with a huge length", withoutEnd("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", largePiece)],
    ["interim responses", withoutEnd("", interimResponse.repeat(1_000))],
    ["empty lines", withoutEnd("", "\r\n".repeat(10_000))],
];

/** Guards against a client that reads megabytes of a response whose status is all that it uses. */
test.each(endless)("JSON exchange gives up %s within 1 MB", async (...[, respond]) => {
    await using server = await serve(respond);
    const agent = new CountingAgent();
    await expect(requestJson({ address: server.address, method: "GET", path: "/", agent })).rejects.toThrow();
    await server.closed;
    expect(agent.receivedBytes).toBeLessThan(oneMegabyte);
});

/** Guards against a failure that is reported as another one, so that nobody learns what the server sends. */
test("too many bytes before the head are named as the cause", async () => {
    await using server = await serve(withoutEnd("", interimResponse.repeat(maximumHeadBytes)));
    const failure = await requestJson({ address: server.address, method: "GET", path: "/" }).catch((error: Error) =>
        error
    );
    expect((failure as Error).cause).toBeInstanceOf(HeadTooLargeError);
});

const memoryAt = (address: string) => ({
    id: "reservation",
    endpoint: { ...endpointRecord("endpoint"), address },
    tokens: 1_000,
    onReport: () => {},
});

/** Guards against memory that counts as held or as refused although the endpoint's response never ended. */
test.each(endless)("order answered with %s has an unknown outcome at once", async (...[, respond]) => {
    await using server = await serve(respond);
    const orders = new ReplicaOrders(systemClock, silentLog);
    const startedAt = performance.now();
    expect(await orders.reserve(memoryAt(server.address), 2_500, 10_000)).toBe(ReservationResult.Unknown);
    expect(await orders.release(memoryAt(server.address), 10_000)).toBe(false);
    expect(performance.now() - startedAt).toBeLessThan(2_000);
    await server.closed;
});

/** Guards against a junk body behind a status that would count as memory held. */
test.each([200, 409])(
    "order answered with status %i and a body that isn't JSON has an unknown outcome",
    async status => {
        const response = `HTTP/1.1 ${status} Status\r\nContent-Length: 4\r\n\r\njunk`;
        await using server = await serve(socket => socket.write(response));
        const orders = new ReplicaOrders(systemClock, silentLog);
        expect(await orders.reserve(memoryAt(server.address), 2_500, 1_000)).toBe(ReservationResult.Unknown);
    },
);

/** Guards against a limit that rejects the sound responses to orders. */
test("order answered after interim responses is held", async () => {
    const response = `${interimResponse.repeat(20)}HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"free":1}`;
    await using server = await serve(socket => socket.write(response));
    const orders = new ReplicaOrders(systemClock, silentLog);
    expect(await orders.reserve(memoryAt(server.address), 2_500, 1_000)).toBe(ReservationResult.Held);
});

/** Guards against a drip that keeps an order or a call to the store open beyond its timeout. */
test.each([
    ["a body", drip(chunkedHead, chunkOf("[1],"))],
    ["a head", drip("", "HTTP/1.1 100 Continue\r\n\r\n")],
])("calls to the store end at their timeout while %s drips", async (...[, respond]) => {
    await using server = await serve(respond);
    const calls = new StoreCalls(server.address, systemClock);
    const startedAt = performance.now();
    const { signal } = new AbortController();
    await expect(calls.send({ method: "GET", path: "/", signal, timeout: 300 })).rejects.toThrow("longer than");
    await server.closed;
    expect(performance.now() - startedAt).toBeLessThan(800);
});

/** Guards against a limit that rejects a page of large objects, or several events of a watch. */
test("response of 8 MB from the store is read", async () => {
    const body = JSON.stringify({ items: Array(8).fill("v".repeat(oneMegabyte)) });
    await using server = await serve(socket => {
        socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
    });
    const calls = new StoreCalls(server.address, systemClock);
    const response = await calls.send({
        method: "GET",
        path: "/",
        signal: new AbortController().signal,
        timeout: 20_000,
    });
    expect((response.value as { items: string[]; }).items).toHaveLength(8);
});

const serviceRequest = {
    requestId: "request",
    method: "GET",
    path: "/",
    body: Buffer.alloc(0),
    contentType: undefined,
    idempotencyKey: undefined,
};

/** Guards against a rejected body that is read on for as long as the service sends it. */
test.each(endless)("service that sends %s loses its connection", async (...[, respond]) => {
    await using server = await serve(respond);
    const client = new ServiceClient(systemClock);
    await expect(client.call(server.address, serviceRequest, new AbortController().signal)).rejects.toThrow();
    await server.closed;
});

/** Guards against a check of the announced length where there is no body. */
test("response to HEAD may announce a length above the limit", async () => {
    await using server = await serve(socket => {
        socket.end("HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n");
    });
    const request = { ...serviceRequest, method: "HEAD" };
    const response = await new ServiceClient(systemClock).call(server.address, request, new AbortController().signal);
    expect(response).toMatchObject({ status: 200, body: Buffer.alloc(0) });
});

/** Guards against bodies of which each is within its limit, and which exhaust the memory together. */
test("many large bodies of services are limited together, and a small one is whole", async () => {
    const largeBodyBytes = 10 * oneMegabyte;
    const head = `HTTP/1.1 200 OK\r\nContent-Length: ${largeBodyBytes + 1}\r\n\r\n`;
    await using large = await serve(socket => socket.write(head + "x".repeat(largeBodyBytes)));
    await using small = await serve(socket => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    const client = new ServiceClient(systemClock);
    const controller = new AbortController();
    const callOnce = (address: string) => client.call(address, serviceRequest, controller.signal);
    let failureCount = 0;
    const calls = Array.from({ length: 10 }, () =>
        callOnce(large.address).catch(() => {
            failureCount++;
        }));
    // Ten bodies of 10 MB exceed the 64 MB by four of them.
    while (failureCount < 4) {
        await systemClock.sleep(10);
    }
    await systemClock.sleep(300);
    expect(failureCount).toBe(4);
    expect((await callOnce(small.address)).body.toString()).toBe("ok");
    controller.abort();
    await Promise.all(calls);
});
