/** Bytes without end on connections that another entry carries. */
import type { Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { connectByRelay } from "../../src/adapters/forwarding/relayConnection.js";
import { type ConnectionGuard, serveRelay } from "../../src/adapters/forwarding/relayServer.js";
import { ConnectFailure, ConnectionCheck } from "../../src/ports/forwardingPorts.js";
import { systemClock } from "../../src/utils/clock.js";
import { listen, type Listener } from "../../src/utils/httpServer.js";
import { attemptOn, newClient, RawEndpoint, rawHead, send, writeWithoutEnd } from "./support/rawEndpoint.js";
import { until } from "./support/site.js";

let carrier: Listener;
let endpoint: RawEndpoint;
let guard: ConnectionGuard;

beforeEach(async () => {
    carrier = await listen("127.0.0.1:0", () => Promise.resolve());
    guard = { openConnections: 0, admit: () => endpoint.record, judgesFailure: () => Promise.resolve(true) };
    serveRelay(carrier.server, { clock: systemClock, guard, onCarried: () => {}, onConnected: () => {} });
});

afterEach(async () => {
    endpoint.close();
    await carrier.close();
});

const accept = () => {};

/** Guards against a response whose first bytes are missing, and against a request to an endpoint that is not sound. */
test("endpoint that sends before a request isn't connected to", async () => {
    endpoint = await RawEndpoint.start("r-0", accept, socket => writeWithoutEnd(socket, "junk\r\n"));
    // The first bytes of the endpoint may arrive with the response of the other entry or after it.
    const outcome = await send(newClient(), attemptOn(endpoint, { relay: carrier.address }));
    expect(["Unreached", "Broken"]).toContain(outcome.type);
    await until(() => endpoint.sockets.size === 0 && guard.openConnections === 0);
});

/** Guards against bytes that are dropped because they arrive together with the head. */
test("bytes that arrive with the other entry's response fail the connection", async () => {
    const carrying = await RawEndpoint.start("carrier", socket => socket.write("HTTP/1.1 200 Connected\r\n\r\njunk"));
    endpoint = await RawEndpoint.start("r-0", accept);
    const { address } = carrying.record;
    expect(await connectByRelay(systemClock, address, endpoint.record, 500)).toMatchObject({
        type: "Failed",
        failure: ConnectFailure.NoResponse,
    });
    expect(await newClient().checkConnection(endpoint.record, 500, address)).toBe(ConnectionCheck.NoResponse);
    await until(() => carrying.sockets.size === 0);
    carrying.close();
});

/** Guards against another entry that keeps this one reading until the timeout. */
test("empty lines without end of another entry are given up", async () => {
    const carrying = await RawEndpoint.start("carrier", socket => writeWithoutEnd(socket, "\r\n"));
    endpoint = await RawEndpoint.start("r-0", accept);
    const connection = await connectByRelay(systemClock, carrying.record.address, endpoint.record, 60_000);
    expect(connection).toMatchObject({ type: "Failed", failure: ConnectFailure.RelayUnavailable });
    carrying.close();
});

/** Guards against an entry that buffers for others what they don't read. */
test("carrier buffers little of what the other entry doesn't read, and closes both sides with it", async () => {
    let endpointSocket: Socket | undefined;
    endpoint = await RawEndpoint.start("r-0", socket => {
        endpointSocket = socket;
        writeWithoutEnd(socket, "b");
    });
    let carriedSocket: Socket | undefined;
    carrier.server.once("connect", (...[, socket]) => {
        carriedSocket = socket as Socket;
    });
    const connection = await connectByRelay(systemClock, carrier.address, endpoint.record, 500);
    if (connection.type === "Failed") {
        throw new Error(connection.reason);
    }
    connection.socket.pause();
    connection.socket.write("GET / HTTP/1.1\r\n\r\n");
    let writtenBytes = -1;
    await until(() => {
        // The operating system's buffers are full when nothing more is written for some time.
        const before = writtenBytes;
        writtenBytes = endpointSocket?.bytesWritten ?? 0;
        return writtenBytes > 0 && before === writtenBytes && carriedSocket!.writableNeedDrain;
    });
    expect(carriedSocket!.writableLength).toBeLessThan(512 * 1024);
    connection.socket.destroy();
    await until(() => endpoint.sockets.size === 0 && guard.openConnections === 0);
});

/** Guards against an attempt by way of another entry that is given up only at this end. */
test("body without end by way of another entry is given up at both ends", async () => {
    endpoint = await RawEndpoint.start("r-0", (socket, id) => {
        socket.write(rawHead(id, "200 OK", ["Connection: close"]));
        writeWithoutEnd(socket, "b");
    });
    const outcome = await send(newClient(), attemptOn(endpoint, { relay: carrier.address }));
    expect(outcome.type).toBe("Broken");
    await until(() => endpoint.sockets.size === 0 && guard.openConnections === 0);
});

/** Attempts at endpoints that reset their responses; a carrier reads the last bytes and the reset at once in some of them. */
const resetAttempts = 150;

/** Guards against half an answer passed on as a whole one, when the endpoint's reset arrives together with its last bytes. */
test("response without a length that is reset at once by way of another entry is broken", async () => {
    endpoint = await RawEndpoint.start("r-0", (socket, id) => {
        socket.write(rawHead(id, "200 OK", ["Connection: close"]) + "h".repeat(1_500));
        socket.resetAndDestroy();
    });
    const client = newClient();
    const outcomes = await Promise.all(
        Array.from({ length: resetAttempts }, () => send(client, attemptOn(endpoint, { relay: carrier.address }))),
    );
    expect(outcomes.filter(({ type }) => type !== "Broken")).toEqual([]);
});
