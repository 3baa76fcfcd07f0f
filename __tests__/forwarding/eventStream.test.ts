/** Streams of events beside bytes that are no event. */
import http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { EventStream } from "../../src/adapters/forwarding/eventStream.js";
import { StreamBrokenError } from "../../src/ports/forwardingPorts.js";
import { countBufferWork, ManualStream, nextTurn, readAll, readPieces, textsOf } from "./support/eventStreams.js";

const servers: http.Server[] = [];

afterEach(() => {
    for (const server of servers.splice(0)) {
        server.closeAllConnections();
        server.close();
    }
});

const streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const pieceBytes = 64 * 1024;

/** A stream from a server that writes `bytes` on and on until its connection closes. */
const streamWithoutEnd = async (bytes: string) => {
    const server = http.createServer();
    servers.push(server);
    server.on("connection", (socket: Socket) => {
        socket.on("error", () => {});
        socket.once("data", () => {
            socket.write(streamHead);
            const writeMore = () => {
                while (!socket.destroyed && socket.write(bytes)) {
                    // The connection takes more.
                }
            };
            socket.on("drain", writeMore);
            writeMore();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
        const request = http.request({ host: "127.0.0.1", port, agent: false }, resolve);
        request.on("error", reject);
        request.end();
    });
    const { socket } = response;
    return { response, socket, stream: new EventStream(response, () => {}, () => {}) };
};

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Guards against blocks without content that count as events: they would open the caller's response. */
test("empty lines, comments and other blocks without content precede the next event", async () => {
    const held = "\n\n\r\n\r\n: alive\n\nevent: ping\nretry: 5\r\n\r\ndatabase: x\n\n";
    const read = await readPieces([held, "id: 1\ndata: a\n\n", ": alive\n\n", "data\n\n", "id\n\n"]);
    expect(textsOf(read)).toEqual([`${held}id: 1\ndata: a\n\n`, ": alive\n\ndata\n\n", "id\n\n"]);
    expect(read.events.map(({ id }) => id)).toEqual(["1", undefined, undefined]);
    expect(read.error).toBeUndefined();
});

/** Guards against a head for the caller, or a reset clock of the silence, while nothing but comments arrives. */
test("comment alone doesn't settle a read", async () => {
    const manual = new ManualStream();
    const { stream } = manual;
    let isSettled = false;
    const reading = stream.next().finally(() => {
        isSettled = true;
    });
    manual.arrive(": alive\n\n");
    await nextTurn();
    expect(isSettled).toBe(false);
    manual.arrive("data: a\n\n");
    expect((await reading).value!.bytes.toString()).toBe(": alive\n\ndata: a\n\n");
});

/** Guards against a body that lacks its last bytes. */
test("held bytes are delivered at the end of a whole stream", async () => {
    const read = await readPieces(["id: 1\ndata: a\n\n", ": bye\n\n", "\n"]);
    expect(textsOf(read)).toEqual(["id: 1\ndata: a\n\n", ": bye\n\n\n"]);
    expect([read.events[1]!.id, read.error]).toEqual([undefined, undefined]);
});

test("stream that ends inside a comment is broken", async () => {
    const read = await readPieces(["id: 1\ndata: a\n\n", ": by"]);
    expect(textsOf(read)).toEqual(["id: 1\ndata: a\n\n"]);
    expect(read.error).toBeInstanceOf(StreamBrokenError);
});

/** Guards against a limit over the whole stream instead of one between two events. */
test("comments in a long stream are passed on", async () => {
    const block = `${": alive\n\n".repeat(100)}data: a\n\n`;
    const read = await readPieces(Array<string>(1_000).fill(block));
    expect(read.error).toBeUndefined();
    expect(textsOf(read)).toEqual(Array<string>(1_000).fill(block));
});

/** Guards against streams without events that are read on and on. */
test.each([
    ["empty lines", "\n"],
    ["empty lines with carriage returns", "\r\n"],
    ["comments", ": alive\n\n"],
    ["comment lines", ": alive\n"],
    ["a comment", "::::::::"],
    ["event names", "event: ping\n\n"],
])("%s without end are given up", async (...[, text]) => {
    const { stream, socket } = await streamWithoutEnd(chunk(text.repeat(pieceBytes / text.length)));
    const read = await readAll(stream);
    expect(read.events).toEqual([]);
    expect(read.error).toMatchObject({ name: "EventlessBytesError" });
    expect(read.error).toBeInstanceOf(StreamBrokenError);
    expect(socket.destroyed).toBe(true);
    expect(socket.bytesRead).toBeLessThan(1_000_000);
});

/** Guards against a limit on content alone: the connection carries several times as many bytes. */
test.each([
    ["empty lines", chunk("\n")],
    ["one line", chunk("d")],
    ["data", `${chunk("data: ")}${chunk("x").repeat(50_000)}`],
    ["empty lines with chunk extensions", `1;${"e".repeat(10_000)}\r\n\n\r\n`],
])("%s in chunks of a byte without end are given up", async (...[, text]) => {
    const { stream, socket } = await streamWithoutEnd(text.repeat(Math.ceil(pieceBytes / text.length)));
    const read = await readAll(stream);
    expect(read.error).toMatchObject({ name: "FramingTooLargeError" });
    expect(socket.destroyed).toBe(true);
    expect(socket.bytesRead).toBeLessThan(1_000_000);
});

test("event without end is given up", async () => {
    const { stream, socket } = await streamWithoutEnd(chunk("data: x\n".repeat(pieceBytes / 8)));
    const read = await readAll(stream);
    expect(read.error).toMatchObject({ name: "EventTooLargeError" });
    expect(socket.bytesRead).toBeLessThan(2 * 1024 * 1024);
});

/** Guards against a size limit that depends on the pieces. */
test.each([1, 1_000, 2_000_000])("event above the size limit in pieces of %i bytes", async length => {
    const bytes = Buffer.from(`data: a\n\ndata: ${"x".repeat(1024 * 1024)}\n\n`);
    const pieces = Array.from(
        { length: Math.ceil(bytes.length / length) },
        (...[, index]) => bytes.subarray(index * length, (index + 1) * length),
    );
    const read = await readPieces(pieces);
    expect(textsOf(read)).toEqual(["data: a\n\n"]);
    expect(read.error).toMatchObject({ name: "EventTooLargeError" });
});

/** Guards against work that grows with the square of an event's size. */
test("large event in pieces of a byte is searched and copied once or twice", async () => {
    const bytes = Buffer.from(`data: ${"x".repeat(200_000)}\n\n`);
    const pieces = Array.from(bytes, (...[, index]) => bytes.subarray(index, index + 1));
    let length = 0;
    const work = await countBufferWork(async () => {
        length = (await readPieces(pieces)).events[0]!.bytes.length;
    });
    expect(length).toBe(bytes.length);
    expect(work.searched).toBeLessThanOrEqual(bytes.length);
    expect(work.copied).toBeLessThanOrEqual(4 * bytes.length);
});

/** Guards against timers that wait while a piece with thousands of events is handed out. */
test("few events are handed out in one turn", async () => {
    const manual = new ManualStream();
    const { stream } = manual;
    let turn = 0;
    const eventsPerTurn: number[] = [];
    let hasEnded = false;
    const countTurns = () => {
        turn++;
        if (!hasEnded) {
            setImmediate(countTurns);
        }
    };
    setImmediate(countTurns);
    let received = 0;
    const reading = readAll(stream, () => {
        eventsPerTurn[turn] = (eventsPerTurn[turn] ?? 0) + 1;
        received++;
        if (received === 8_000) {
            void stream.return();
        }
    });
    manual.arrive("data\n\n".repeat(8_000));
    await reading;
    hasEnded = true;
    expect(received).toBe(8_000);
    expect(Math.max(...eventsPerTurn.filter(Boolean))).toBeLessThanOrEqual(32);
});

/** Guards against a limit for each turn that delays streams that are far below it. */
test("sixteen events of one piece are handed out in one turn", async () => {
    const manual = new ManualStream();
    const { stream } = manual;
    for (let round = 0; round < 20; round++) {
        await nextTurn();
        let received = 0;
        manual.arrive("data: a\n\n".repeat(16));
        for (let index = 0; index < 16; index++) {
            void stream.next().then(() => {
                received++;
            });
            await Promise.resolve();
            await Promise.resolve();
        }
        expect(received).toBe(16);
    }
});

/** Guards against events without end, in chunks of a few bytes, that hold the event loop. */
test("timers run beside events without end", async () => {
    const { stream, socket } = await streamWithoutEnd(chunk("data\n\n").repeat(5_000));
    let timerRuns = 0;
    const eventsAtRuns: number[] = [];
    let received = 0;
    const timer = setInterval(() => {
        timerRuns++;
        eventsAtRuns.push(received);
        if (timerRuns === 20) {
            void stream.return();
        }
    }, 1);
    await readAll(stream, () => {
        received++;
    });
    clearInterval(timer);
    expect(socket.destroyed).toBe(true);
    expect(received).toBeGreaterThan(32);
    // What is taken stays near what is handed out: the response is paused meanwhile.
    expect(socket.bytesRead).toBeLessThan(received * chunk("data\n\n").length + 1024 * 1024);
});

/** Guards against events that are buffered without limit. */
test("stream that nobody reads is paused", async () => {
    const { stream, response, socket } = await streamWithoutEnd(chunk("data: a\n\n".repeat(1_000)));
    for (let turn = 0; turn < 200; turn++) {
        await nextTurn();
    }
    expect(response.isPaused()).toBe(true);
    expect(socket.bytesRead).toBeLessThan(512 * 1024);
    expect((await stream.next()).value!.bytes.toString()).toBe("data: a\n\n");
    await stream.return();
});

/** Guards against a consumer who loses complete events because the connection failed before it read them. */
test("events before an error are delivered", async () => {
    const manual = new ManualStream();
    manual.arrive("data: a\n\ndata: b\n\n: alive\n\ndata: c");
    manual.response.emit("error", new Error("reset"));
    const read = await readAll(manual.stream);
    expect(textsOf(read)).toEqual(["data: a\n\n", "data: b\n\n"]);
    expect(read.error).toMatchObject({ name: "StreamBrokenError", message: "reset" });
});

/** Guards against a cut stream that looks whole: Node may report the end before the error. */
test("error that arrives with the end breaks the stream", async () => {
    const manual = new ManualStream();
    const reading = readAll(manual.stream);
    manual.arrive("data: a\n\n");
    manual.response.once("end", () => manual.response.emit("error", new Error("reset")));
    manual.end();
    expect((await reading).error).toMatchObject({ message: "reset" });
});

test("stream that its consumer ended delivers nothing more", async () => {
    const manual = new ManualStream();
    manual.arrive("data: a\n\ndata: b\n\n");
    expect((await manual.stream.next()).done).toBe(false);
    await manual.stream.return();
    manual.response.emit("data", Buffer.from("data: c\n\n"));
    expect(await manual.stream.next()).toEqual({ done: true, value: undefined });
});

test("byte order mark before the first field", async () => {
    const bytes = Buffer.from("\uFEFFid: 7\ndata: a\n\ndata: b\n\n");
    const read = await readPieces(Array.from(bytes, (...[, index]) => bytes.subarray(index, index + 1)));
    expect(read.events.map(({ id }) => id)).toEqual(["7", undefined]);
    expect(read.error).toBeUndefined();
});

/** Guards against a limit that doesn't know the first line as a field while it is incomplete. */
test("byte order mark before a long first field", async () => {
    const bytes = Buffer.from(`\uFEFFdata: ${"x".repeat(70_000)}\n\n`);
    const read = await readPieces([bytes.subarray(0, 65_600), bytes.subarray(65_600)]);
    expect(read.error).toBeUndefined();
    expect(read.events).toHaveLength(1);
});

/** Guards against a byte order mark that is accepted before another line than the first. */
test("byte order mark after an empty line", async () => {
    const read = await readPieces(["\n\uFEFFid: 7\n\ndata: a\n\n"]);
    expect(textsOf(read)).toHaveLength(1);
    expect(read.events[0]!.id).toBeUndefined();
});
