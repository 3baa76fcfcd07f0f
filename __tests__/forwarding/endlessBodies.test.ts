/** Endpoints whose bodies don't end, beside sound ones. */
import type { Socket } from "node:net";
import { expect, test } from "vitest";
import {
    attemptOn,
    newClient,
    rawHead,
    ReceivedBytes,
    send,
    startEndpoint,
    writeWithoutEnd,
} from "./support/rawEndpoint.js";
import { until } from "./support/site.js";

const megabyte = 1024 * 1024;

/** Guards against an attempt that waits for a body which it will not take. */
test("length above the limit is given up at the head", async () => {
    const endpoint = await startEndpoint((socket, id) =>
        socket.write(rawHead(id, "200 OK", ["Content-Length: 99999999999"]))
    );
    expect(await send(newClient(), attemptOn(endpoint))).toMatchObject({ type: "Broken" });
    await until(() => endpoint.sockets.size === 0);
});

/** Guards against the length of a body that is not sent being taken for one that is. */
test("response to HEAD has any length", async () => {
    const endpoint = await startEndpoint((socket, id) =>
        socket.write(rawHead(id, "200 OK", ["Content-Length: 99999999999"]))
    );
    expect(await send(newClient(), attemptOn(endpoint, { method: "HEAD" }))).toMatchObject({ type: "Answered" });
});

const chunk = (size: number): string => `${size.toString(16)}\r\n${"b".repeat(size)}\r\n`;
const endlessBodies: [string, string, string[], string][] = [
    ["with a huge length", "200 OK", ["Content-Length: 99999999999"], "b"],
    ["in chunks", "200 OK", ["Transfer-Encoding: chunked"], chunk(4_096)],
    ["until the connection closes", "200 OK", ["Connection: close"], "b"],
    ["of a failure", "500 Internal Server Error", ["Transfer-Encoding: chunked"], chunk(4_096)],
];

/** The same for a status whose responses have no body. */
test("response with status 304 has any length", async () => {
    const lines = ["Content-Length: 99999999999"];
    const endpoint = await startEndpoint((socket, id) => socket.write(rawHead(id, "304 Not Modified", lines)));
    expect(await send(newClient(), attemptOn(endpoint))).toMatchObject({ type: "Answered", head: { status: 304 } });
});

/** Guards against a bound for endless bodies that large bodies of sound endpoints meet. */
test("sound bodies with a length are whole however many there are", async () => {
    const bodyBytes = 4 * megabyte;
    const body = "s".repeat(bodyBytes);
    const head = [`Content-Length: ${bodyBytes}`];
    const sound = await startEndpoint((socket, id) => socket.write(rawHead(id, "200 OK", head) + body));
    const client = newClient();
    const outcomes = await Promise.all(Array.from({ length: 24 }, () => send(client, attemptOn(sound))));
    for (const outcome of outcomes) {
        expect(outcome).toMatchObject({ type: "Answered", body: { length: bodyBytes } });
    }
});

/** Guards against memory that grows with the number of requests, and against the sound body being given up for the others. */
test.each(endlessBodies)("60 bodies %s stay within one bound", async (...[, status, lines, text]) => {
    const endless = await startEndpoint((socket, id) => {
        socket.write(rawHead(id, status, lines));
        writeWithoutEnd(socket, text);
    });
    const soundBytes = 6 * megabyte;
    let soundSocket: Socket | undefined;
    const sound = await startEndpoint((socket, id) => {
        soundSocket = socket;
        socket.write(rawHead(id, "200 OK", [`Content-Length: ${soundBytes}`]) + "s".repeat(soundBytes - 1));
    });
    const client = newClient();
    const received = new ReceivedBytes();
    const answered = send(client, attemptOn(sound, { memory: received.open() }));
    await until(() => received.held === soundBytes - 1);
    const outcomes = await Promise.all(
        Array.from({ length: 60 }, () => send(client, attemptOn(endless, { memory: received.open() }))),
    );
    expect(new Set(outcomes.map(({ type }) => type))).toEqual(new Set(["Broken"]));
    expect(received.highest).toBeLessThan(40 * megabyte);
    soundSocket!.write("s");
    expect(await answered).toMatchObject({ type: "Answered", body: { length: soundBytes } });
    expect(received.held).toBe(0);
    await until(() => endless.sockets.size === 0);
});

/** Guards against millions of small buffers: each takes far more memory than its byte. */
test("body in chunks of one byte is given up early", async () => {
    const endpoint = await startEndpoint((socket, id) => {
        socket.write(rawHead(id, "200 OK", ["Transfer-Encoding: chunked"]));
        writeWithoutEnd(socket, chunk(1));
    });
    const received = new ReceivedBytes();
    const outcome = await send(newClient(), attemptOn(endpoint, { memory: received.open() }));
    expect(outcome).toMatchObject({ type: "Broken" });
    expect(received.highest).toBeLessThan(megabyte);
});

/** Guards against bytes after a response that reach the next request, or that are read without end. */
test.each([["at once", 0], ["later", 50]])(
    "bytes without end after a whole response close the connection (%s)",
    async (...[, delay]) => {
        const endpoint = await startEndpoint((socket, id) => {
            const response = `${rawHead(id, "200 OK", ["Content-Length: 2"])}ok`;
            if (delay === 0) {
                writeWithoutEnd(socket, response);
                return;
            }
            socket.write(response);
            setTimeout(() => writeWithoutEnd(socket, "junk"), delay);
        });
        const client = newClient();
        expect(await send(client, attemptOn(endpoint))).toMatchObject({ type: "Answered", body: Buffer.from("ok") });
        await until(() => endpoint.sockets.size === 0);
    },
);
