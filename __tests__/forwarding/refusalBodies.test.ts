/** Bodies of refusals, which are read only so that their connections can be used again. */
import type { Socket } from "node:net";
import { expect, test } from "vitest";
import {
    attemptOn,
    drip,
    newClient,
    rawHead,
    refusalHead,
    send,
    startEndpoint,
    writeWithoutEnd,
} from "./support/rawEndpoint.js";
import { until } from "./support/site.js";

const chunk = (size: number): string => `${size.toString(16)}\r\n${"b".repeat(size)}\r\n`;

const refusals: [string, (socket: Socket, id: string) => void][] = [
    ["fast", (socket, id) => {
        socket.write(refusalHead(id, ["Transfer-Encoding: chunked"]));
        writeWithoutEnd(socket, chunk(4_096));
    }],
    ["drip", (socket, id) => {
        socket.write(refusalHead(id, ["Transfer-Encoding: chunked"]));
        drip(socket, chunk(1));
    }],
    ["silent", (socket, id) => socket.write(refusalHead(id, ["Content-Length: 50"]))],
];

/** Guards against connections that a refusal without end keeps, and against reading it on for nobody. */
test.each(refusals)("connection of a refusal whose body doesn't end is closed (%s)", async (...[, respond]) => {
    const endpoint = await startEndpoint(respond);
    expect(await send(newClient(), attemptOn(endpoint))).toMatchObject({ type: "Refused" });
    await until(() => endpoint.sockets.size === 0);
});

/** Guards against an attempt that waits for the body of a response which it doesn't use. */
test("busy status without the guarantee doesn't wait for its body", async () => {
    const endpoint = await startEndpoint((socket, id) => {
        socket.write(rawHead(id, "503 Service Unavailable", ["Transfer-Encoding: chunked"]));
        drip(socket, chunk(1));
    });
    expect(await send(newClient(), attemptOn(endpoint))).toMatchObject({ type: "Broken" });
    await until(() => endpoint.sockets.size === 0);
});

/** Guards against a new connection for each refusal. */
test("connection of a refusal with a small body is used again", async () => {
    const endpoint = await startEndpoint((socket, id) => socket.write(`${refusalHead(id, ["Content-Length: 4"])}busy`));
    const client = newClient();
    for (let request = 0; request < 5; request++) {
        expect(await send(client, attemptOn(endpoint))).toMatchObject({ type: "Refused" });
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    expect(endpoint.connectionCount).toBe(1);
});
