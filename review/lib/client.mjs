/** Stand-in of a client: raw connections, so that each byte of an answer, and how its connection ended, is known. */
import net from "node:net";

/** Reads one answer from the bytes of a connection; undefined while its head is incomplete. */
const parseAnswer = received => {
    const headEnd = received.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const head = received.subarray(0, headEnd).toString("latin1");
    const header = name => new RegExp(`^${name}: *(.*)$`, "im").exec(head)?.[1];
    const rest = received.subarray(headEnd + 4);
    const answer = { status: Number(head.split(" ")[1]), signature: header("Dandelionramp-Response-Signature") };
    const length = header("Content-Length");
    if (length !== undefined) {
        return { ...answer, body: rest.subarray(0, Number(length)), isComplete: rest.length >= Number(length) };
    }
    if (/chunked/i.test(header("Transfer-Encoding") ?? "")) {
        return { ...answer, ...readChunks(rest) };
    }
    return { ...answer, body: rest, isComplete: false, endsWithConnection: true };
};

const readChunks = bytes => {
    const pieces = [];
    for (let at = 0;;) {
        const lineEnd = bytes.indexOf("\r\n", at);
        if (lineEnd < 0) {
            return { body: Buffer.concat(pieces), isComplete: false };
        }
        const size = parseInt(bytes.subarray(at, lineEnd).toString("latin1"), 16);
        const end = lineEnd + 2 + size;
        if (size === 0) {
            return { body: Buffer.concat(pieces), isComplete: bytes.length >= end + 2 };
        }
        pieces.push(bytes.subarray(lineEnd + 2, Math.min(end, bytes.length)));
        if (bytes.length < end + 2) {
            return { body: Buffer.concat(pieces), isComplete: false };
        }
        at = end + 2;
    }
};

/** A connection to an entry, for one request after another. */
export class ClientConnection {
    #received = Buffer.alloc(0);
    #settle = () => {};
    /** Number of requests answered on this connection. */
    answeredCount = 0;
    isClosed = false;

    constructor(port) {
        this.socket = net.connect(port, "127.0.0.1");
        this.socket.setNoDelay(true);
        this.socket.on("data", bytes => {
            this.#received = Buffer.concat([this.#received, bytes]);
            this.#check();
        });
        this.socket.on("error", error => {
            this.error = error.code;
        });
        this.socket.on("close", () => {
            this.isClosed = true;
            this.#check();
        });
    }

    /** Sends a request; resolves with its answer, or with what there is of it once the connection has ended. */
    send({ id, method = "GET", target, host, key, deadline = 5_000, body = "" }) {
        this.#received = Buffer.alloc(0);
        const lines = [
            `${method} ${target} HTTP/1.1`,
            `Host: ${host}`,
            `Dandelionramp-Request-Id: ${id}`,
            `Dandelionramp-Deadline-Ms: ${deadline}`,
            `Authorization: Bearer ${key}`,
            ...(method === "GET" ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
        ];
        return new Promise(resolve => {
            const timer = setTimeout(() => this.#settle({ isTimedOut: true }), deadline + 1_000);
            this.#settle = result => {
                clearTimeout(timer);
                this.#settle = () => {};
                this.answeredCount += result.isComplete ? 1 : 0;
                resolve(result);
            };
            this.socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`);
        });
    }

    close() {
        this.socket.destroy();
    }

    #check() {
        const answer = parseAnswer(this.#received);
        if (answer?.isComplete) {
            this.#settle(answer);
        }
        else if (this.isClosed) {
            const isComplete = answer?.endsWithConnection === true && this.error === undefined;
            this.#settle({ status: undefined, ...answer, isComplete, closed: this.error ?? "end" });
        }
    }
}
