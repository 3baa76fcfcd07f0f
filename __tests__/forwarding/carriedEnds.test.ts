/** Responses that end with their connection, by way of another entry. */
import fc from "fast-check";
import http from "node:http";
import type { Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { connectByRelay } from "../../src/adapters/forwarding/relayConnection.js";
import { FrameDecoder } from "../../src/adapters/forwarding/relayFrames.js";
import { type ConnectionGuard, serveRelay } from "../../src/adapters/forwarding/relayServer.js";
import { AttemptPath } from "../../src/core/reachability/attemptPath.js";
import type { AttemptOutcome, StreamEvent } from "../../src/ports/forwardingPorts.js";
import { splitAddress } from "../../src/utils/address.js";
import { systemClock } from "../../src/utils/clock.js";
import { listen, type Listener } from "../../src/utils/httpServer.js";
import { SocketEnd } from "../../src/utils/socketEnd.js";
import { startEarlierCarrier } from "./support/earlierCarrier.js";
import {
    attemptOn,
    newClient,
    type RawEndpoint,
    rawHead,
    type RawResponder,
    send,
    startEndpoint,
} from "./support/rawEndpoint.js";
import { until } from "./support/site.js";

let carrier: Listener;
let endpoint: RawEndpoint;
let guard: ConnectionGuard;
let carriedSocket: Socket | undefined;

beforeEach(async () => {
    carrier = await listen("127.0.0.1:0", () => Promise.resolve());
    guard = { openConnections: 0, admit: () => endpoint.record, judgesFailure: () => Promise.resolve(true) };
    carriedSocket = undefined;
    serveRelay(carrier.server, { clock: systemClock, guard, onCarried: () => {}, onConnected: () => {} });
    carrier.server.on("connect", (...[, socket]) => {
        carriedSocket = socket as Socket;
    });
});

afterEach(() => carrier.close());

const unframed = (id: string, lines: string[] = []): string => rawHead(id, "200 OK", ["Connection: close", ...lines]);
const bodyOf = (outcome: AttemptOutcome): string =>
    outcome.type === "Answered" ? outcome.body.toString("latin1") : outcome.type;
const whole = "0123456789".repeat(20_000);

test("carried response without a length that its endpoint ends is whole", async () => {
    endpoint = await startEndpoint((socket, id) => socket.end(unframed(id) + whole));
    const outcome = await send(newClient(), attemptOn(endpoint, { relay: carrier.address }));
    expect(bodyOf(outcome)).toBe(whole);
    await until(() => endpoint.sockets.size === 0 && guard.openConnections === 0);
});

test("carried connection counts as open until the other entry has read all of the response", async () => {
    // Guards against a stop that resets the connection with the rest of a response that its endpoint has sent.
    const length = 3 * 1024 * 1024;
    endpoint = await startEndpoint(socket => socket.end(Buffer.alloc(length)));
    const connection = await connectByRelay(systemClock, carrier.address, endpoint.record, 500);
    if (connection.type === "Failed") {
        throw new Error(connection.reason);
    }
    const { socket } = connection;
    socket.pause();
    socket.write("request-id: a\r\n");
    await until(() => endpoint.connectionCount === 1 && endpoint.sockets.size === 0);
    await systemClock.sleep(100);
    expect(guard.openConnections).toBe(1);
    let receivedBytes = 0;
    socket.on("data", (bytes: Buffer) => receivedBytes += bytes.length);
    socket.once("end", () => socket.destroy()).resume();
    await until(() => guard.openConnections === 0);
    expect(receivedBytes).toBe(length);
});

test("carried response without a length is broken when the carrying process ends", async () => {
    // Guards against half an answer that looks whole: the system of a killed process closes its connections in the ordinary way.
    endpoint = await startEndpoint((socket, id) => socket.write(unframed(id) + "half"));
    const answered = send(newClient(), attemptOn(endpoint, { relay: carrier.address }));
    await until(() => (carriedSocket?.bytesWritten ?? 0) > unframed("").length);
    carriedSocket!.end();
    expect((await answered).type).toBe("Broken");
});

test("carried stream without a length is broken when the carrying process ends", async () => {
    // Guards against a stream whose last events are missing and that looks whole.
    endpoint = await startEndpoint((socket, id) => socket.write(`${unframed(id)}id: 1\ndata: a\n\n`));
    const outcome = await send(newClient(), attemptOn(endpoint, { relay: carrier.address, isStreaming: true }));
    if (outcome.type !== "Streaming") {
        throw new Error(`expected a stream, got ${outcome.type}`);
    }
    const iterator = outcome.events[Symbol.asyncIterator]();
    const first = await iterator.next() as IteratorResult<StreamEvent, undefined>;
    expect(first.done).toBeFalsy();
    carriedSocket!.end();
    await expect(iterator.next()).rejects.toThrow("the response was cut");
});

const responses = [
    { name: "a length", head: ["Content-Length: 4"], body: "four", expected: "four" },
    { name: "chunks", head: ["Transfer-Encoding: chunked"], body: "4\r\nfour\r\n0\r\n\r\n", expected: "four" },
    { name: "neither", head: [], body: "four", expected: "Broken" },
];

for (const { name, head, body, expected } of responses) {
    test(`response with ${name} by way of an entry of an earlier version`, async () => {
        // Guards against trust in an end that the other entry doesn't declare, during an upgrade.
        endpoint = await startEndpoint((socket, id) => socket.end(unframed(id, head) + body));
        const earlier = await startEarlierCarrier();
        const outcome = await send(newClient(), attemptOn(endpoint, { relay: earlier.address }));
        expect(bodyOf(outcome)).toBe(expected);
        earlier.close();
    });
}

test("response without a body by way of an entry of an earlier version", async () => {
    endpoint = await startEndpoint((socket, id) => socket.end(rawHead(id, "204 No Content")));
    const earlier = await startEarlierCarrier();
    const outcome = await send(newClient(), attemptOn(endpoint, { relay: earlier.address }));
    expect(bodyOf(outcome)).toBe("");
    earlier.close();
});

test("entry of an earlier version gets bytes without frames", async () => {
    // Guards against frames in an answer that an entry of an earlier version passes on to its caller.
    endpoint = await startEndpoint((socket, id) => socket.end(`${unframed(id)}four`));
    const { host, port } = splitAddress(carrier.address);
    const { address, id } = endpoint.record;
    const request = http.request({ host, port, method: "CONNECT", path: address, headers: { "endpoint-id": id } });
    const text = await new Promise<string>(resolve => {
        request.once("connect", (...[, socket]) => {
            let received = "";
            socket.on("data", (bytes: Buffer) => received += bytes.toString("latin1"));
            socket.once("end", () => resolve(received));
            socket.write("GET / HTTP/1.1\r\nRequest-Id: r\r\n\r\n");
        });
        request.end();
    });
    expect(text).toBe(`${unframed("r")}four`);
});

test("entry that doesn't ask for declared resets gets the endpoint's reset as one of its connection", async () => {
    // Guards against a frame that an entry of an earlier version takes for the length of content.
    endpoint = await startEndpoint(socket => socket.resetAndDestroy());
    const { host, port } = splitAddress(carrier.address);
    const { address, id } = endpoint.record;
    const headers = { "endpoint-id": id, "response-framing": "frames" };
    const request = http.request({ host, port, method: "CONNECT", path: address, headers });
    const received = await new Promise<string>(resolve => {
        request.once("connect", (...[, socket]) => {
            socket.on("error", ({ code }: NodeJS.ErrnoException) => resolve(code!));
            socket.on("data", (bytes: Buffer) => resolve(bytes.toString("hex")));
            socket.once("end", () => resolve("end"));
            socket.write("GET / HTTP/1.1\r\nRequest-Id: r\r\n\r\n");
        });
        request.end();
    });
    expect(received).toBe("ECONNRESET");
});

interface PathEnd {
    name: string;
    respond: RawResponder;
    /** What happens to the carried connection once half of the answer has arrived. */
    endCarried?: (socket: Socket) => void;
    isCut: boolean;
}

const half = (id: string): string => `${rawHead(id, "200 OK", ["Content-Length: 8"])}half`;
const pathEnds: PathEnd[] = [
    { name: "endpoint closes", respond: (socket, id) => socket.end(half(id)), isCut: false },
    {
        name: "endpoint resets",
        respond: (socket, id) => socket.write(half(id), () => socket.resetAndDestroy()),
        isCut: false,
    },
    { name: "endpoint sends no HTTP", respond: socket => socket.write("220 ready\r\n\r\n"), isCut: false },
    {
        name: "carrying entry closes",
        respond: (socket, id) => socket.write(half(id)),
        endCarried: socket => socket.end(),
        isCut: true,
    },
    {
        name: "carrying entry resets",
        respond: (socket, id) => socket.write(half(id)),
        endCarried: socket => socket.resetAndDestroy(),
        isCut: true,
    },
];

for (const { name, respond, endCarried, isCut } of pathEnds) {
    test(`path of a carried response that breaks off, ${name}`, async () => {
        // Guards against an end of the carrying entry that counts as the endpoint's, and the other way round.
        endpoint = await startEndpoint(respond);
        const path = new AttemptPath();
        const answered = send(newClient(), attemptOn(endpoint, { relay: carrier.address, path }));
        if (endCarried) {
            await until(() => (carriedSocket?.bytesWritten ?? 0) > half("").length);
            endCarried(carriedSocket!);
        }
        expect((await answered).type).toBe("Broken");
        expect(path.isCut).toBe(isCut);
        await until(() => endpoint.sockets.size === 0 && guard.openConnections === 0);
    });
}

test("carried response with a length that its endpoint resets after the last byte is whole", async () => {
    // Guards against bytes that are dropped because the reset behind them arrives with them.
    endpoint = await startEndpoint((socket, id) => {
        const response = rawHead(id, "200 OK", [`Content-Length: ${whole.length}`]) + whole;
        socket.write(response, () => setTimeout(() => socket.resetAndDestroy(), 50));
    });
    const outcome = await send(newClient(), attemptOn(endpoint, { relay: carrier.address }));
    expect(bodyOf(outcome)).toBe(whole);
});

test("frames are read alike however they arrive", () => {
    // Guards against content that is lost or taken for a header where a piece ends inside a frame.
    const anyEnd = fc.constantFrom(SocketEnd.Closed, SocketEnd.Reset);
    const contents = fc.array(fc.uint8Array({ minLength: 1, maxLength: 40 }), { maxLength: 8 });
    fc.assert(
        fc.property(
            contents,
            fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
            anyEnd,
            (frames, sizes, end) => {
                const headerOf = (length: number): Buffer => Buffer.from([0, 0, 0, length]);
                const lastFrame = end === SocketEnd.Closed ? headerOf(0) : Buffer.alloc(4, 0xff);
                const bytes = Buffer.concat([...frames.flatMap(frame => [headerOf(frame.length), frame]), lastFrame]);
                const decoder = new FrameDecoder();
                const read: Buffer[] = [];
                for (let position = 0, index = 0; position < bytes.length; index++) {
                    expect(decoder.isEnded).toBe(false);
                    const size = sizes[index % sizes.length]!;
                    read.push(...decoder.read(bytes.subarray(position, position + size)));
                    position += size;
                }
                expect(decoder.end).toBe(end);
                expect(Buffer.concat(read)).toEqual(Buffer.concat(frames));
            },
        ),
        { seed: 1 },
    );
});
