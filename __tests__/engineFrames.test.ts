/** Engines whose streams of frames have no end, or contain lines that are no frames. */
import net, { type AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { EngineClient } from "../src/adapters/engineClient.js";
import { EngineFrame, EngineLostError, Generations, systemClock } from "../src/internal.js";
import { SimulatedClock } from "../src/replay/simulatedClock.js";

type Respond = (socket: net.Socket) => void;

const head = "HTTP/1.1 200 OK\r\n\r\n";

const serve = async (respond: Respond): Promise<{ server: net.Server; address: string; closed: Promise<void>; }> => {
    let reportClosed = () => {};
    const closed = new Promise<void>(resolve => reportClosed = resolve);
    const server = net.createServer(socket => {
        socket.on("error", () => {});
        socket.on("close", reportClosed);
        socket.once("data", () => {
            socket.write(head);
            respond(socket);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, closed };
};

const withoutEnd = (piece: string): Respond => socket => {
    const writeMore = () => {
        while (!socket.destroyed && socket.write(piece)) {
            // The connection takes more.
        }
    };
    socket.on("drain", writeMore);
    writeMore();
};

const open = (address: string): Promise<AsyncIterable<EngineFrame>> => {
    const { signal } = new AbortController();
    return new EngineClient(systemClock).resume(address, "stream", 0, signal, signal);
};

const collect = async (frames: AsyncIterable<EngineFrame>): Promise<EngineFrame[]> => {
    const found: EngineFrame[] = [];
    for await (const frame of frames) {
        found.push(frame);
    }
    return found;
};

const frameAt = (offset: number, text = "t"): EngineFrame => ({
    type: "Tokens",
    streamId: "stream",
    attempt: 0,
    offset,
    count: 1,
    text,
});
const lineOf = (frame: EngineFrame) => `${JSON.stringify(frame)}\n`;

/** Guards against lines that pass as frames, or are read without end. */
test.each([
    ["empty lines", "\n"],
    ["lines with a number", "1\n"],
    ["lines with null", "null\n"],
    ["objects of an unknown type", "{}\n"],
    ["frames without a token", lineOf({ ...frameAt(0), count: 0 } as EngineFrame)],
    ["a line", "x"],
])("%s without end are given up as a lost stream", async (...[, piece]) => {
    const { server, address, closed } = await serve(withoutEnd(piece.repeat(Math.ceil(65_536 / piece.length))));
    await expect(collect(await open(address))).rejects.toBeInstanceOf(EngineLostError);
    await closed;
    server.close();
});

/** Guards against an iteration that ends only with the next frame, while the engine sends a line without end. */
test("end of the iteration closes the connection while a frame is awaited", async () => {
    const { server, address, closed } = await serve(socket => {
        const timer = setInterval(() => socket.write("x"), 5);
        socket.once("close", () => clearInterval(timer));
    });
    const iterator = (await open(address))[Symbol.asyncIterator]();
    const next = iterator.next();
    next.catch(() => {});
    void iterator.return!();
    await closed;
    await expect(next).rejects.toBeInstanceOf(EngineLostError);
    server.close();
});

/** Guards against timers, deadlines among them, that wait while the frames of one piece are read. */
test("timers run between the frames of one piece", async () => {
    const { server, address } = await serve(socket => {
        socket.end(Array.from({ length: 600 }, (...[, offset]) => lineOf(frameAt(offset))).join(""));
    });
    let turnCount = 0;
    let isReading = true;
    const countTurn = () => {
        turnCount++;
        if (isReading) {
            setImmediate(countTurn);
        }
    };
    const turnAtFrame: number[] = [];
    const frames = await open(address);
    countTurn();
    for await (const frame of frames) {
        expect(frame.type).toBe("Tokens");
        turnAtFrame.push(turnCount);
    }
    isReading = false;
    server.close();
    expect(turnAtFrame).toHaveLength(600);
    const framesByTurn = new Map<number, number>();
    for (const turn of turnAtFrame) {
        framesByTurn.set(turn, (framesByTurn.get(turn) ?? 0) + 1);
    }
    expect(Math.max(...framesByTurn.values())).toBeLessThanOrEqual(128);
});

/** Guards against frames that depend on how the connection cuts them into pieces. */
test("frames in pieces of a few bytes are whole", async () => {
    const sent = [frameAt(0), frameAt(1, "a line\nof text, ä and \u{1F600}"), frameAt(2, "t".repeat(500))];
    const bytes = Buffer.from(sent.map(lineOf).join(""));
    const { server, address } = await serve(socket => {
        socket.setNoDelay(true);
        let position = 0;
        const timer = setInterval(() => {
            socket.write(bytes.subarray(position, position + 7));
            position += 7;
            if (position >= bytes.length) {
                clearInterval(timer);
                socket.end();
            }
        }, 1);
    });
    expect(await collect(await open(address))).toEqual(sent);
    server.close();
});

/** Guards against a cost that grows with the square of a line's length. */
test("line in many small pieces is read in linear time", async () => {
    const { PassThrough } = await import("node:stream");
    const { readFrames } = await import("../src/adapters/frameReader.js");
    const read = async (pieceCount: number): Promise<number> => {
        const body = new PassThrough({ highWaterMark: 16 * 1024 * 1024 });
        const text = lineOf(frameAt(0, "t".repeat(900_000)));
        const pieceLength = Math.ceil(text.length / pieceCount);
        // A producer that yields to the reader after each piece, so that the reader can't merge pieces.
        const write = async () => {
            for (let position = 0; position < text.length; position += pieceLength) {
                body.write(text.slice(position, position + pieceLength));
                await new Promise(resolve => setImmediate(resolve));
            }
            body.end();
        };
        const startedAt = process.cpuUsage();
        const [frames] = await Promise.all([collect(readFrames(body as never)), write()]);
        expect(frames).toHaveLength(1);
        const { user, system } = process.cpuUsage(startedAt);
        return (user + system) / 1_000;
    };
    await read(100);
    expect(await read(20_000)).toBeLessThan(3_000);
});

/** Guards against frames of another attempt that count as progress, so that a stream without any is never given up. */
test("dropped frames don't interrupt the silence", async () => {
    const clock = new SimulatedClock();
    const drip = async function*(): AsyncGenerator<EngineFrame, void> {
        for (let count = 0; count < 100; count++) {
            await clock.sleep(100);
            yield { ...frameAt(0), attempt: 7 };
        }
    };
    const generations = Object.create(Generations.prototype) as Generations;
    Object.assign(generations, { dependencies: { clock } });
    const work = { deadline: { bounded: (limit: number) => limit }, profile: { silenceMilliseconds: 450 } };
    const progress = { attempt: 1, tokensSent: 0 };
    const reading = generations["readConnection"](drip(), work as never, progress as never, "stream").next();
    let outcome: unknown;
    void reading.then(result => outcome = result.value);
    await clock.run(600);
    expect(outcome).toMatchObject({ type: "Silent" });
});
