/**
 * A crowd of clients that don't keep to the protocol's usual course, as a program of its own. Takes a {@link CrowdPlan} as JSON in
 * its first argument, writes a line when the crowd has sent what it has to send, and keeps its connections until it is ended.
 */
import dgram from "node:dgram";
import net, { type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { splitAddress } from "../../../src/utils/address.js";
import { CrowdKind, type CrowdPlan, crowdSettledLine } from "./crowdPlan.js";

const kilobyte = 1024;
const largeChunkBytes = 64 * kilobyte;
const pieceOfTinyChunks = Buffer.from("1\r\nx\r\n".repeat(Math.floor(largeChunkBytes / 6)));
const largeChunk = Buffer.concat([
    Buffer.from(`${largeChunkBytes.toString(16)}\r\n`),
    Buffer.alloc(largeChunkBytes, "x"),
    Buffer.from("\r\n"),
]);
/** Bytes by which a body stays below its announced or allowed length. */
const missingBytes = 20;

const plan = JSON.parse(process.argv[2]!) as CrowdPlan;
const { host, port } = splitAddress(plan.address);
const endsAt = Date.now() + plan.milliseconds;
const isOver = () => Date.now() >= endsAt;
let nextRequest = 0;

const head = (target: string, lines: readonly string[] = [], method = "POST"): string =>
    [
        `${method} ${target} HTTP/1.1`,
        "Host: desk.example",
        `Dandelionramp-Request-Id: crowd-${process.pid}-${nextRequest++}`,
        `Authorization: Bearer ${plan.key}`,
        ...lines,
        "",
        "",
    ].join("\r\n");

const chunked = "Transfer-Encoding: chunked";

/** Opens a connection; undefined when it fails. */
const connect = (): Promise<Socket | undefined> =>
    new Promise(resolve => {
        const socket = net.connect({ host, port });
        socket.once("connect", () => resolve(socket));
        socket.on("error", () => resolve(undefined));
        socket.once("close", () => resolve(undefined));
    });

/** Writes, and waits until the connection accepts more. Resolves with whether it is still open. */
const send = (socket: Socket, bytes: Buffer | string): Promise<boolean> =>
    new Promise(resolve => {
        if (socket.destroyed || !socket.writable) {
            resolve(false);
            return;
        }
        if (socket.write(bytes)) {
            setImmediate(() => resolve(!socket.destroyed));
            return;
        }
        const finish = () => {
            socket.off("drain", finish).off("close", finish);
            clearTimeout(timer);
            resolve(!socket.destroyed && !isOver());
        };
        const timer = setTimeout(finish, Math.max(0, endsAt - Date.now()));
        socket.on("drain", finish).on("close", finish);
    });

/** Sends `piece` until the time is over or the connection is closed. */
const sendOn = async (socket: Socket, piece: Buffer): Promise<void> => {
    while (!isOver() && await send(socket, piece)) {
        // The connection accepts more.
    }
};

/** Sends `bytes` bytes in pieces that `pieceOf` returns for a length. */
const sendBody = async (socket: Socket, bytes: number, pieceOf: (length: number) => Buffer): Promise<void> => {
    for (let sent = 0; sent < bytes;) {
        const length = Math.min(largeChunkBytes, bytes - sent);
        sent += length;
        if (!await send(socket, pieceOf(length))) {
            return;
        }
    }
};

const plainPiece = (length: number): Buffer => Buffer.alloc(length, "x");
const chunkPiece = (length: number): Buffer =>
    Buffer.concat([Buffer.from(`${length.toString(16)}\r\n`), plainPiece(length), Buffer.from("\r\n")]);
const tinyChunksPiece = (length: number): Buffer => Buffer.from("1\r\nx\r\n".repeat(length));

const tinyHeaders = (bytes: number): string => "a:b\r\n".repeat(Math.floor(bytes / 5));

/** Requests one behind another. */
const requestsInARow = (): Buffer => {
    const { target, method = "POST", content = method === "POST" ? "{}" : "" } = plan;
    const request = () => head(target, content === "" ? [] : [`Content-Length: ${content.length}`], method) + content;
    return Buffer.from(Array.from({ length: 256 }, request).join(""));
};

/** What one client does on one connection. */
const behaviours: Record<CrowdKind, (socket: Socket) => Promise<void>> = {
    [CrowdKind.AnnouncedEndless]: async socket => {
        await send(socket, head(plan.target, ["Content-Length: 100000000000"]));
        await sendOn(socket, plainPiece(largeChunkBytes));
    },
    [CrowdKind.LargeChunksEndless]: async socket => {
        await send(socket, head(plan.target, [chunked]));
        await sendOn(socket, largeChunk);
    },
    [CrowdKind.LargeChunksShort]: async socket => {
        await send(socket, head(plan.target, [chunked]));
        await sendBody(socket, plan.bodyBytes - missingBytes, chunkPiece);
    },
    [CrowdKind.TinyChunksEndless]: async socket => {
        await send(socket, head(plan.target, [chunked]));
        await sendOn(socket, pieceOfTinyChunks);
    },
    [CrowdKind.TinyChunksShort]: async socket => {
        await send(socket, head(plan.target, [chunked]));
        await sendBody(socket, plan.bodyBytes - missingBytes, tinyChunksPiece);
    },
    [CrowdKind.AnnouncedShort]: async socket => {
        await send(socket, head(plan.target, [`Content-Length: ${plan.bodyBytes}`]));
        await sendBody(socket, plan.bodyBytes - missingBytes, plainPiece);
    },
    [CrowdKind.DrippedBody]: async socket => {
        await send(socket, head(plan.target, [`Content-Length: ${plan.bodyBytes}`]));
        await sendBody(socket, plan.bodyBytes - 2 * kilobyte, plainPiece);
        while (!isOver() && await send(socket, "x")) {
            await sleep(20);
        }
    },
    [CrowdKind.RejectedEndless]: async socket => {
        await send(socket, head("/nowhere/a", [chunked]));
        await sendOn(socket, largeChunk);
    },
    [CrowdKind.GarbageEndless]: async socket => {
        await sendOn(socket, Buffer.alloc(largeChunkBytes, "\0"));
    },
    [CrowdKind.RowUnread]: async socket => {
        socket.pause();
        await sendOn(socket, requestsInARow());
    },
    [CrowdKind.RowRead]: async socket => {
        socket.resume();
        await sendOn(socket, requestsInARow());
    },
    [CrowdKind.SmallestRow]: async socket => {
        socket.resume();
        await sendOn(socket, Buffer.from("GET / HTTP/1.1\r\n\r\n".repeat(3_640)));
    },
    [CrowdKind.AnswerUnread]: async socket => {
        socket.pause();
        await send(socket, head(plan.target, ["Content-Length: 2"]) + "{}");
    },
    [CrowdKind.UnfinishedHead]: async socket => {
        await send(socket, head(plan.target).slice(0, -2));
    },
    [CrowdKind.TinyHeadersUnfinished]: async socket => {
        await send(socket, head(plan.target).slice(0, -2) + tinyHeaders(plan.bodyBytes));
    },
    [CrowdKind.LargeHeaderUnfinished]: async socket => {
        await send(socket, `${head(plan.target).slice(0, -2)}a: ${"x".repeat(plan.bodyBytes)}`);
    },
    [CrowdKind.Silent]: () => Promise.resolve(),
    [CrowdKind.Datagrams]: () => Promise.resolve(),
    [CrowdKind.UnreadBehind]: async socket => {
        socket.pause();
        await send(socket, head(plan.target, ["Content-Length: 2"]) + "{}");
        await sendOn(socket, plainPiece(largeChunkBytes));
    },
    [CrowdKind.Tunnel]: async socket => {
        await send(socket, head(plan.target, [], "CONNECT"));
        await sendOn(socket, plainPiece(largeChunkBytes));
    },
};

const runClient = async (): Promise<void> => {
    do {
        const socket = await connect();
        if (socket) {
            await behaviours[plan.kind](socket);
        }
        if (!plan.reconnects) {
            return;
        }
        if (socket && !socket.destroyed) {
            await new Promise<void>(resolve => {
                socket.once("close", () => resolve()).resume();
                setTimeout(resolve, Math.max(0, endsAt - Date.now()));
            });
        }
        await sleep(1);
    }
    while (!isOver());
};

const sendDatagrams = async (): Promise<void> => {
    const socket = dgram.createSocket("udp4");
    const piece = Buffer.from("{\"jsonrpc\":\"2.0\"}");
    while (!isOver()) {
        for (let count = 0; count < plan.clients; count++) {
            socket.send(piece, port, host);
        }
        await sleep(1);
    }
};

void Promise.all(
    plan.kind === CrowdKind.Datagrams ? [sendDatagrams()] : Array.from({ length: plan.clients }, runClient),
)
    .then(() => process.stdout.write(`${crowdSettledLine}\n`));
// Keeps the connections open until the test ends this program.
setInterval(() => {}, 60_000);
