/** Endpoints that stop at any place of a response, directly and by way of another entry. SEEDS=N draws more of the slow ones. */
import type { Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { serveRelay } from "../../src/adapters/forwarding/relayServer.js";
import type { AttemptOutcome } from "../../src/ports/forwardingPorts.js";
import { systemClock } from "../../src/utils/clock.js";
import { listen, type Listener } from "../../src/utils/httpServer.js";
import { seededRandom } from "../../src/utils/random.js";
import { startEarlierCarrier } from "./support/earlierCarrier.js";
import { attemptOn, newClient, type RawEndpoint, rawHead, send, startEndpoint } from "./support/rawEndpoint.js";

const seedCount = Number(process.env.SEEDS ?? 1);
/** Stops that are drawn for each way to an endpoint: some in one piece, and some byte by byte. */
const drawnStopCount = 16;
const slowStopCount = 4;
/** Attempts at a time. */
const batchSize = 32;

const event = "id: 1\ndata: whole\n\n";
const length = (bytes: number): string => `Content-Length: ${bytes}`;
const chunked = "Transfer-Encoding: chunked";
const inChunks = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Whole responses by their framing, and whether the end of the connection ends the body. */
const responses: Record<string, { text: (id: string) => string; endsWithConnection?: boolean; }> = {
    "a length": { text: id => rawHead(id, "200 OK", [length(event.length)]) + event },
    "a length of several digits": {
        text: id => rawHead(id, "200 OK", [length(event.length + 100)]) + event + `${":".repeat(98)}\n\n`,
    },
    chunks: { text: id => `${rawHead(id, "200 OK", [chunked])}${inChunks(event)}${inChunks(event)}0\r\n\r\n` },
    "a trailer": { text: id => `${rawHead(id, "200 OK", [chunked])}${inChunks(event)}0\r\nSum: 1\r\n\r\n` },
    "interim responses before it": {
        text: id =>
            `HTTP/1.1 100 Continue\r\n\r\n${rawHead(id, "103 Early Hints", ["Link: a"])}${
                rawHead(id, "200 OK", [length(event.length)])
            }${event}`,
    },
    "HTTP/1.0 and a length": {
        text: id => rawHead(id, "200 OK", [length(event.length)]).replace("1.1", "1.0") + event,
    },
    "its connection as its end": { text: id => rawHead(id, "200 OK") + event, endsWithConnection: true },
    "HTTP/1.0 and its connection as its end": {
        text: id => rawHead(id, "200 OK").replace("1.1", "1.0") + event,
        endsWithConnection: true,
    },
};

/** How an endpoint stops in a response. */
interface Stop {
    /** Bytes at the end that it doesn't send. */
    missing: number;
    isReset: boolean;
    /** Whether the bytes come one by one. */
    isSlow: boolean;
    method: string;
}

let carrier: Listener;
let endpoint: RawEndpoint;
let earlier: Awaited<ReturnType<typeof startEarlierCarrier>>;

beforeEach(async () => {
    carrier = await listen("127.0.0.1:0", () => Promise.resolve());
    const guard = { openConnections: 0, admit: () => endpoint.record, judgesFailure: () => Promise.resolve(true) };
    serveRelay(carrier.server, { clock: systemClock, guard, onCarried: () => {}, onConnected: () => {} });
    earlier = await startEarlierCarrier();
});

afterEach(async () => {
    earlier.close();
    await carrier.close();
});

const sendPart = async (
    socket: Socket,
    text: string,
    { isReset, isSlow }: Pick<Stop, "isReset" | "isSlow">,
): Promise<void> => {
    for (const piece of isSlow ? text : [text]) {
        socket.write(piece, "latin1");
        if (isSlow) {
            await systemClock.sleep(0);
        }
    }
    if (isReset) {
        socket.resetAndDestroy();
        return;
    }
    socket.end();
};

/** The body as a caller gets it; undefined where the response doesn't pass as whole. */
const wholeBody = async (outcome: AttemptOutcome): Promise<string | undefined> => {
    if (outcome.type === "Answered") {
        return outcome.body.toString("latin1");
    }
    if (outcome.type !== "Streaming") {
        return undefined;
    }
    let body = "";
    try {
        for await (const { bytes } of outcome.events) {
            body += bytes.toString("latin1");
        }
    }
    catch {
        return undefined;
    }
    return body;
};

const methods = ["GET", "POST"];

const drawStops = (length: number, seed: number): Stop[] => {
    const random = seededRandom(seed);
    return Array.from({ length: drawnStopCount + slowStopCount }, (...[, index]) => ({
        missing: 1 + Math.floor(random.next() * length),
        isReset: random.next() < 0.5,
        isSlow: index < slowStopCount,
        method: methods[Math.floor(random.next() * methods.length)]!,
    }));
};

/** All places, closed and reset. */
const allStops = (length: number): Stop[] =>
    Array.from({ length }, (...[, place]) => place + 1).flatMap(missing =>
        [true, false].map(isReset => ({ missing, isReset, isSlow: false, method: methods[missing % 2]! }))
    );

for (const [name, { text, endsWithConnection = false }] of Object.entries(responses)) {
    test(`response with ${name} that stops`, async () => {
        // Guards against part of a response, or an empty one, that callers get as whole.
        const stopById = new Map<string, Stop>();
        endpoint = await startEndpoint((socket, id) => {
            const whole = text(id);
            const stop = stopById.get(id) ?? { missing: 0, isReset: false, isSlow: false };
            void sendPart(socket, whole.slice(0, whole.length - stop.missing), stop);
        });
        const client = newClient();
        const receive = async (changes: Parameters<typeof attemptOn>[1], stop?: Stop): Promise<string | undefined> => {
            const attempt = attemptOn(endpoint, { ...changes, mayReuseConnection: false });
            if (stop) {
                stopById.set(attempt.request.id, stop);
            }
            return await wholeBody(await send(client, attempt));
        };
        // The identifiers of requests have different lengths, so stops count from the end.
        const shortestLength = text("raw-0").length;
        const mayStop = ({ missing, isReset }: Stop): boolean =>
            !endsWithConnection || isReset || missing > event.length;
        for (const relay of [undefined, carrier.address, earlier.address]) {
            for (const isStreaming of [false, true]) {
                const mayBeWhole = !endsWithConnection || relay !== earlier.address;
                expect(await receive({ relay, isStreaming }) !== undefined).toBe(mayBeWhole);
                const all = relay === undefined && !isStreaming ? allStops(shortestLength) : [];
                const drawn = Array.from({ length: seedCount }, (...[, seed]) => drawStops(shortestLength, seed));
                const stops = [...all, ...drawn.flat()].filter(mayStop);
                const passed: object[] = [];
                while (stops.length > 0) {
                    await Promise.all(
                        stops.splice(0, batchSize).map(async stop => {
                            const body = await receive({ relay, isStreaming, method: stop.method }, stop);
                            passed.push(...body === undefined ? [] : [{ ...stop, relay, isStreaming, body }]);
                        }),
                    );
                }
                expect(passed).toEqual([]);
            }
        }
    });
}

/** Responses whose end can't be told, or that are none. */
const ambiguous: Record<string, string[]> = {
    "two lengths": [length(5), length(10)],
    "the same length twice": [length(5), length(5)],
    "a list of lengths": ["Content-Length: 5, 5"],
    "a negative length": [length(-5)],
    "a signed length": ["Content-Length: +5"],
    "an empty length": ["Content-Length: "],
    "a length above 2^64": ["Content-Length: 99999999999999999999999"],
    "a length above 2^53": ["Content-Length: 9007199254740993"],
    "a folded length": ["Content-Length: 1\r\n 0"],
    "a length on the next line": ["Content-Length:\r\n 10"],
    "a length behind a space": ["Content-Length : 10"],
    "a NUL in the length": ["Content-Length: 1\u00000"],
    "a NUL in a value": ["Note: a\u0000b", length(10)],
    "a folded value": ["Note: a\r\n b", length(10)],
    "a bare line feed": ["Note: a\nContent-Length: 10"],
    "two bare line feeds": ["Note: a\n\nContent-Length: 10"],
    "a bare carriage return": ["Note: a\rContent-Length: 10"],
    "a length and chunks": [length(5), chunked],
    "chunks and a length": [chunked, length(5)],
    "a folded coding": ["Transfer-Encoding:\r\n chunked"],
    "a chunk with a negative size": [chunked, "", "-5"],
    "a chunk of 2^68 bytes": [chunked, "", "fffffffffffffffff"],
    "a chunk behind a bare line feed": [chunked, "", "5\nwhole\n0\n"],
};

for (const [name, lines] of Object.entries(ambiguous)) {
    test(`response with ${name}`, async () => {
        // Guards against a body whose end the entry reads in another way than its endpoint.
        endpoint = await startEndpoint((socket, id) => socket.end(`${rawHead(id, "200 OK", lines)}whole`, "latin1"));
        for (const relay of [undefined, carrier.address, earlier.address]) {
            for (const isStreaming of [false, true]) {
                const outcome = await send(newClient(), attemptOn(endpoint, { relay, isStreaming }));
                expect(await wholeBody(outcome)).toBeUndefined();
            }
        }
    });
}

for (const status of ["204 No Content", "304 Not Modified"]) {
    test(`response ${status} with a body`, async () => {
        // Guards against bytes behind a response that has no body, which the next request on the connection would get.
        endpoint = await startEndpoint((socket, id) => socket.write(`${rawHead(id, status, [length(5)])}whole`));
        const client = newClient();
        for (const relay of [undefined, carrier.address, earlier.address]) {
            for (let count = 0; count < 3; count++) {
                const body = await wholeBody(await send(client, attemptOn(endpoint, { relay })));
                expect(body ?? "").toBe("");
            }
        }
    });
}
