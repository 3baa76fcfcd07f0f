/**
 * Stand-in of a replica, as a process of its own. It runs each request that names it, and reports to its parent what it has run.
 *
 * With a third argument N, it garbles each Nth of its answers: the connection is reset in the middle of the body.
 *
 * Query of the path: `size` (bytes of the body), `length=no` (a body that ends with its connection), `pause` (milliseconds before the second half of the body), `work` (milliseconds
 * before the answer).
 */
import net from "node:net";
import { fileURLToPath } from "node:url";

const [id, port, garblesEach] = process.argv.slice(2);
let answerCount = 0;
/** Limit on the new connections that wait; one more waits when the queue is full. */
export const queueLimit = 32;

/** Body of a request: its identifier again and again, so that each body differs. */
export const bodyOf = (requestId, size) => Buffer.from(`${requestId};`.repeat(Math.ceil(size / (requestId.length + 1)))).subarray(0, size);

const sleep = duration => new Promise(resolve => setTimeout(resolve, duration));
const tell = (event, fields) => process.send?.({ event, replica: id, ...fields });

const answer = async (socket, requestId, target) => {
    const query = new URL(target, "http://replica").searchParams;
    const size = Number(query.get("size") ?? 800);
    const isUnframed = query.get("length") === "no";
    const body = bodyOf(requestId, size);
    await sleep(Number(query.get("work") ?? 0));
    const framing = isUnframed ? "Connection: close" : `Content-Length: ${size}`;
    const head = `HTTP/1.1 200 OK\r\nDandelionramp-Request-Id: ${requestId}\r\n`
        + `Dandelionramp-Response-Signature: ${id}.${requestId}\r\nContent-Type: text/plain\r\n${framing}\r\n\r\n`;
    const half = Math.floor(size / 2);
    answerCount++;
    const isGarbled = garblesEach !== undefined && answerCount % Number(garblesEach) === 0;
    socket.write(Buffer.concat([Buffer.from(head), body.subarray(0, half)]));
    if (isGarbled) {
        socket.resetAndDestroy();
        tell("reset", { requestId, sentBytes: half, size });
        return;
    }
    const pause = Number(query.get("pause") ?? 0);
    if (pause > 0) {
        tell("half", { requestId });
        await sleep(pause);
    }
    socket.write(body.subarray(half));
    if (isUnframed) {
        socket.end();
    }
    tell("answered", { requestId, size });
};

const serve = socket => {
    let received = "";
    socket.on("error", () => {});
    socket.on("data", bytes => {
        received += bytes.toString("latin1");
        const headEnd = received.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return;
        }
        const head = received.slice(0, headEnd);
        const header = name => new RegExp(`^${name}: *(.*)$`, "im").exec(head)?.[1];
        const bodyLength = Number(header("content-length") ?? 0);
        if (received.length < headEnd + 4 + bodyLength) {
            return;
        }
        received = received.slice(headEnd + 4 + bodyLength);
        const target = head.split(" ")[1];
        const requestId = header("Dandelionramp-Request-Id");
        const expected = header("Dandelionramp-Expect-Instance");
        if (expected !== undefined && expected !== id) {
            socket.write("HTTP/1.1 421 Misdirected Request\r\nDandelionramp-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (target === "/healthz") {
            socket.write(`HTTP/1.1 200 OK\r\nDandelionramp-Replica-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        tell("run", { requestId });
        void answer(socket, requestId, target);
    });
};

if (process.argv[1] === fileURLToPath(import.meta.url)) {
    const server = net.createServer(serve);
    server.listen({ host: "127.0.0.1", port: Number(port), backlog: queueLimit }, () => tell("listening", {}));
}
