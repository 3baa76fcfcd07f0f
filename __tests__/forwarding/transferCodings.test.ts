/** Responses whose body has another transfer coding than chunks. */
import { afterEach, beforeEach, expect, test } from "vitest";
import { serveRelay } from "../../src/adapters/forwarding/relayServer.js";
import { systemClock } from "../../src/utils/clock.js";
import { listen, type Listener } from "../../src/utils/httpServer.js";
import { attemptOn, newClient, type RawEndpoint, rawHead, send, startEndpoint } from "./support/rawEndpoint.js";

let carrier: Listener;
let endpoint: RawEndpoint;

beforeEach(async () => {
    carrier = await listen("127.0.0.1:0", () => Promise.resolve());
    const guard = { openConnections: 0, admit: () => endpoint.record, judgesFailure: () => Promise.resolve(true) };
    serveRelay(carrier.server, { clock: systemClock, guard, onCarried: () => {}, onConnected: () => {} });
});

afterEach(() => carrier.close());

const chunks = "4\r\nhalf\r\n";
const codings = ["gzip", "x-chunked", "chunked, identity", "gzip, chunked", "chunked, gzip", "chunked, chunked"];

for (const coding of codings) {
    test(`response with the transfer coding ${coding} is broken`, async () => {
        // Guards against a body that callers get as whole with its coding in it, though its own end is missing.
        endpoint = await startEndpoint((socket, id) =>
            socket.end(`${rawHead(id, "200 OK", [`Transfer-Encoding: ${coding}`])}${chunks}${chunks}0\r\n\r\n`)
        );
        for (const relay of [undefined, carrier.address]) {
            for (const isStreaming of [false, true]) {
                const outcome = await send(newClient(), attemptOn(endpoint, { relay, isStreaming }));
                expect(outcome.type).toBe("Broken");
            }
        }
    });
}

test("response without a coding, by its head, that is reset is broken", async () => {
    // Guards against half a body that looks whole: it ends with its connection, as one without the header does.
    endpoint = await startEndpoint((socket, id) => {
        socket.write(`${rawHead(id, "200 OK", ["Transfer-Encoding: identity"])}half`);
        socket.resetAndDestroy();
    });
    for (const relay of [undefined, carrier.address]) {
        const outcomes = await Promise.all(
            Array.from({ length: 50 }, () => send(newClient(), attemptOn(endpoint, { relay }))),
        );
        expect(outcomes.filter(({ type }) => type !== "Broken")).toEqual([]);
    }
});
