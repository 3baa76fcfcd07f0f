/** Large whole bodies: they arrive unchanged, and other connections run meanwhile. */
import http from "node:http";
import { expect, test } from "vitest";
import { splitAddress } from "../../src/utils/address.js";
import { collectBody } from "../../src/utils/bodies.js";
import { ByteCollector } from "../../src/utils/byteCollector.js";
import { seededRandom } from "../../src/utils/random.js";
import { attemptOn, newClient, rawHead, send, startEndpoint } from "./support/rawEndpoint.js";

const megabyte = 1024 * 1024;

/** Guards against bytes that are lost or reordered where reading is paused or pieces are joined. */
test("large whole bodies arrive unchanged", async () => {
    const body = Buffer.from(Array.from({ length: 10 * megabyte }, (...[, index]) => (index * 31) >> 5));
    const endpoint = await startEndpoint((socket, id) => {
        const isChunked = Number(id.split("-")[1]) % 2 === 0;
        if (!isChunked) {
            socket.write(rawHead(id, "200 OK", [`Content-Length: ${body.length}`]));
            socket.write(body);
            return;
        }
        socket.write(rawHead(id, "200 OK", ["Transfer-Encoding: chunked"]));
        const size = 1_000;
        for (let index = 0; index < body.length; index += size) {
            const piece = body.subarray(index, index + size);
            socket.write(`${piece.length.toString(16)}\r\n`);
            socket.write(piece);
            socket.write("\r\n");
        }
        socket.write("0\r\n\r\n");
    });
    const client = newClient();
    for (let request = 0; request < 2; request++) {
        const outcome = await send(client, attemptOn(endpoint));
        expect(outcome.type === "Answered" && outcome.body.equals(body)).toBe(true);
    }
});

/** Guards against one connection that keeps timers and other connections waiting. */
test("body delivers a bounded number of bytes in one turn", async () => {
    const endpoint = await startEndpoint((socket, id) => {
        socket.write(rawHead(id, "200 OK", [`Content-Length: ${12 * megabyte}`]));
        socket.write(Buffer.alloc(12 * megabyte));
    });
    const response = await new Promise<http.IncomingMessage>(resolve => {
        http.get({ ...splitAddress(endpoint.record.address), agent: false }, resolve);
    });
    let turnBytes = 0;
    let highest = 0;
    let isReading = true;
    const countTurns = () => {
        turnBytes = 0;
        if (isReading) {
            setImmediate(countTurns);
        }
    };
    countTurns();
    const body = collectBody(response, { bytes: 16 * megabyte });
    response.on("data", (bytes: Buffer) => {
        turnBytes += bytes.length;
        highest = Math.max(highest, turnBytes);
    });
    expect((await body).length).toBe(12 * megabyte);
    isReading = false;
    expect(highest).toBeLessThanOrEqual(256 * 1024);
});

test("pieces of any size are joined in order", () => {
    // Guards against pieces that are lost or reordered where some are joined early.
    const random = seededRandom(7);
    for (const count of [0, 1, 2, 511, 512, 513, 1_024, 5_000]) {
        const collector = new ByteCollector();
        const pieces = Array.from(
            { length: count },
            (...[, index]) => Buffer.alloc(Math.floor(random.next() * 5), index),
        );
        for (const piece of pieces) {
            collector.add(piece);
        }
        expect(collector.join().equals(Buffer.concat(pieces))).toBe(true);
    }
});

test("collector keeps nothing of a body that it has handed over", () => {
    // Guards against bodies that take twice their size as long as their requests are in progress: listeners hold the collector.
    const collector = new ByteCollector();
    for (let index = 0; index < 1_000; index++) {
        collector.add(Buffer.alloc(10));
    }
    expect(collector.join()).toHaveLength(10_000);
    expect(collector.join()).toHaveLength(0);
});
