/** Callers of the ports for entries whose messages have no end, and entries whose responses have none. */
import net, { type AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { StoreClient } from "../platform/storeClient.js";
import { PeerStateClient, type PeerStateSource, servePeerState } from "../src/adapters/forwarding/peerStateServer.js";
import { connectByRelay } from "../src/adapters/forwarding/relayConnection.js";
import { servePeers } from "../src/adapters/peerServer.js";
import type { EntryNode } from "../src/internal.js";
import { ConnectFailure } from "../src/ports/forwardingPorts.js";
import { StateKind } from "../src/ports/statePort.js";
import { splitAddress } from "../src/utils/address.js";
import { systemClock } from "../src/utils/clock.js";
import { listen, type Listener } from "../src/utils/httpServer.js";
import { silentLog } from "../src/utils/log.js";
import { endpointRecord } from "./forwarding/support/endpointRecord.js";

const servers: [string, () => Promise<Listener>][] = [
    ["state queries", () => servePeerState("127.0.0.1:0", {} as PeerStateSource, systemClock, silentLog)],
    ["calls", () => servePeers(() => ({}) as EntryNode, "127.0.0.1:0", systemClock)],
];

const requestHead = "POST / HTTP/1.1\r\nHost: peer\r\nTransfer-Encoding: chunked\r\n\r\n";
const largePiece = "x".repeat(64 * 1024);
const largeChunk = `${largePiece.length.toString(16)}\r\n${largePiece}\r\n`;

const connect = async (address: string): Promise<{ socket: net.Socket; closed: Promise<unknown>; }> => {
    const socket = net.connect(splitAddress(address));
    socket.on("error", () => {});
    socket.resume();
    const closed = new Promise(resolve => socket.once("close", resolve));
    await new Promise(resolve => socket.once("connect", resolve));
    return { socket, closed };
};

/** Guards against a rejected body that the server reads on for as long as its sender goes on. */
test.each(servers)("port for %s closes the connection of a body without end", async (...[, serve]) => {
    const listener = await serve();
    const { socket, closed } = await connect(listener.address);
    const writeMore = () => {
        while (!socket.destroyed && socket.write(largeChunk)) {
            // The connection takes more.
        }
    };
    socket.on("drain", writeMore);
    socket.write(requestHead);
    writeMore();
    await closed;
    await listener.close();
});

/** Guards against a body in small pieces that keeps its connection and memory for good. */
test.each(servers)("port for %s closes the connection of a body that drips", async (...[, serve]) => {
    const listener = await serve();
    const { socket, closed } = await connect(listener.address);
    socket.write(requestHead);
    const timer = setInterval(() => socket.write("1\r\nx\r\n"), 20);
    await closed;
    clearInterval(timer);
    await listener.close();
});

/** A server that answers each request with `piece` again and again. */
const serveWithoutEnd = async (
    piece: string,
): Promise<{ server: net.Server; address: string; closed: Promise<void>; }> => {
    let reportClosed = () => {};
    const closed = new Promise<void>(resolve => reportClosed = resolve);
    const server = net.createServer(socket => {
        socket.on("error", () => {});
        socket.on("close", reportClosed);
        const writeMore = () => {
            while (!socket.destroyed && socket.write(piece)) {
                // The connection takes more.
            }
        };
        socket.on("drain", writeMore);
        socket.once("data", writeMore);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, closed };
};

const interimResponses = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n".repeat(1_000);

/** Guards against an entry that keeps its caller reading until the timeout of the connection. */
test("relayed connection is given up after too many bytes before its answer", async () => {
    const { server, address, closed } = await serveWithoutEnd("\r\n".repeat(10_000));
    const startedAt = performance.now();
    const connection = await connectByRelay(systemClock, address, endpointRecord("endpoint"), 10_000);
    expect(connection).toMatchObject({ type: "Failed", failure: ConnectFailure.RelayUnavailable });
    expect(performance.now() - startedAt).toBeLessThan(5_000);
    await closed;
    server.close();
});

/** Guards against a state query that reads what precedes a head without a limit. */
test("state query is given up after too many bytes before its response", async () => {
    const { server, address, closed } = await serveWithoutEnd(interimResponses);
    const client = new PeerStateClient(systemClock, silentLog);
    const startedAt = performance.now();
    expect(await client.fetchUpdate(address, StateKind.Endpoints, 0, 10_000)).toBeUndefined();
    expect(performance.now() - startedAt).toBeLessThan(5_000);
    await closed;
    server.close();
});

/** Guards against a list that is read for ever, because the store repeats one page. */
test("list whose pages repeat ends with an error", async () => {
    const spec = { address: "127.0.0.1:1" };
    const items = [{ metadata: { name: "same", revision: 1 }, spec }];
    const store = await listen("127.0.0.1:0", async (request, response) => {
        request.resume();
        await new Promise(resolve => setImmediate(resolve));
        response.end(JSON.stringify({ items, more: true, current_rev: 1 }));
    });
    const client = new StoreClient(store.address, systemClock);
    await expect(client.list(StateKind.Endpoints, AbortSignal.timeout(10_000))).rejects.toThrow("repeats the page");
    await store.close();
});
