/** Endpoints and entries whose names or addresses can't be used. Records of earlier versions of an entry may hold them. */
import fc from "fast-check";
import { expect, test } from "vitest";
import { PeerSocket } from "../../src/adapters/forwarding/peerSocket.js";
import { connectByRelay } from "../../src/adapters/forwarding/relayConnection.js";
import { serveRelay } from "../../src/adapters/forwarding/relayServer.js";
import { ConnectFailure, ConnectionCheck } from "../../src/ports/forwardingPorts.js";
import { RelayScope } from "../../src/ports/peerChannelPort.js";
import { systemClock } from "../../src/utils/clock.js";
import { listen } from "../../src/utils/httpServer.js";
import { silentLog } from "../../src/utils/log.js";
import { endpointRecord } from "./support/endpointRecord.js";
import { attemptOn, newClient, send, startEndpoint } from "./support/rawEndpoint.js";
import { until } from "./support/site.js";

const unusableAddresses = ["127.0.0.1:65536", "127.0.0.1:80800", `127.0.0.1:${"9".repeat(400)}`, "127.0.0.1:-1"];
const timeout = 200;

for (const address of unusableAddresses) {
    test(`checks of an endpoint at ${address.slice(0, 20)} resolve`, async () => {
        // Guards against a process that ends because a check rejects, which nobody expects.
        const client = newClient();
        const endpoint = { ...endpointRecord("r-0"), address };
        expect(await client.checkConnection(endpoint, timeout)).toBe(ConnectionCheck.NoResponse);
        expect(await client.isReplaced(endpoint, "/healthz", timeout)).toBe(false);
        expect(await client.checkConnection(endpoint, timeout, address)).toBe(ConnectionCheck.RelayUnavailable);
    });

    test(`another entry carries no connection to ${address.slice(0, 20)}`, async () => {
        // Guards against an entry that ends because another one names such an address.
        const endpoint = { ...endpointRecord("r-0"), address };
        const guard = { openConnections: 0, admit: () => endpoint, judgesFailure: () => Promise.resolve(true) };
        const carrier = await listen("127.0.0.1:0", () => Promise.resolve());
        serveRelay(carrier.server, { clock: systemClock, guard, onCarried: () => {}, onConnected: () => {} });
        const connection = await connectByRelay(systemClock, carrier.address, endpoint, timeout);
        expect(connection).toMatchObject({ type: "Failed", failure: ConnectFailure.RelayUnavailable });
        expect(guard.openConnections).toBe(0);
        await carrier.close();
    });
}

const namesOutsideHeaders = ["\u03a91", "i\r\n1", "i\u0000"];

for (const id of namesOutsideHeaders) {
    test(`attempt on an endpoint named ${JSON.stringify(id)} is not sent`, async () => {
        // Guards against 500 without a second attempt, although nothing was sent.
        const endpoint = await startEndpoint(() => {});
        const named = { ...endpoint.record, id };
        expect(await send(newClient(), attemptOn(endpoint, { endpoint: named }))).toMatchObject({ type: "Unreached" });
        expect(await newClient().isReplaced(named, "/healthz", timeout)).toBe(false);
        const connection = await connectByRelay(systemClock, endpoint.record.address, named, timeout);
        expect(connection).toMatchObject({ type: "Failed", failure: ConnectFailure.RelayUnavailable });
        expect(endpoint.connectionCount).toBe(0);
    });
}

test("datagrams reach the entries behind an unusable address, and those named by a host name", async () => {
    // Guards against entries that hear nothing because another one is listed with such an address.
    const received: string[] = [];
    const receiver = new PeerSocket(silentLog, ({ messages }) => received.push(...messages.map(({ from }) => from.id)));
    const sender = new PeerSocket(silentLog, () => {});
    const address = await receiver.listen("127.0.0.1:0");
    await sender.listen("127.0.0.1:0");
    const from = { id: "e-1", address: "127.0.0.1:1", incarnation: "1" };
    const byName = address.replace("127.0.0.1", "localhost");
    sender.send([...unusableAddresses, address, byName], {
        messages: [{ from, news: [{ type: "Stopping" }] }],
        passOn: RelayScope.None,
    });
    await until(() => received.length === 2);
    sender.close();
    receiver.close();
});

test("drawn names, paths and ports never reject", async () => {
    // Guards against further values that Node refuses by an exception.
    const odd = fc.string({ unit: "binary", maxLength: 12 });
    const ports = fc.oneof(fc.integer({ min: 65_536 }).map(String), fc.constantFrom("", "x", "1e9", "-1", "0.5"));
    await fc.assert(
        fc.asyncProperty(odd, odd, ports, async (id, path, port) => {
            const client = newClient();
            const endpoint = { ...endpointRecord(id), address: `127.0.0.1:${port}` };
            expect(await client.isReplaced(endpoint, path, 1)).toBe(false);
            expect(await client.checkConnection(endpoint, 1)).not.toBe(ConnectionCheck.Accepted);
            expect((await connectByRelay(systemClock, endpoint.address, endpoint, 1)).type).toBe("Failed");
        }),
        { seed: 1, numRuns: 300 },
    );
});
