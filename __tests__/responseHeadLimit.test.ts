/** Servers that send bytes without end before the head of a response. */
import http from "node:http";
import net, { type AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { HeadTooLargeError, limitHeadBytes, maximumHeadBytes } from "../src/utils/responseHeadLimit.js";

/** Sends a request to a server that answers each connection with `respond`, and resolves with the status or the error. */
const request = async (respond: (socket: net.Socket) => void): Promise<number | Error> => {
    const server = net.createServer(socket => {
        socket.on("error", () => {});
        socket.once("data", () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    try {
        return await new Promise(resolve => {
            const { port } = server.address() as AddressInfo;
            const outgoing = http.request({ host: "127.0.0.1", port, agent: false });
            limitHeadBytes(outgoing);
            outgoing.on("response", response => {
                response.resume();
                response.once("end", () => resolve(response.statusCode!));
            });
            outgoing.on("error", resolve);
            outgoing.once("close", () => resolve(new Error("the connection closed")));
            outgoing.end();
        });
    }
    finally {
        server.close();
    }
};

const writeWithoutEnd = (text: string) => (socket: net.Socket): void => {
    const block = text.repeat(Math.ceil(maximumHeadBytes / text.length));
    const writeMore = () => {
        while (!socket.destroyed && socket.write(block)) {
            // The connection takes more.
        }
    };
    socket.on("drain", writeMore);
    writeMore();
};

const interimResponse = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";
const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** Guards against a server that keeps its caller reading until the caller's timeout. */
test.each([
    ["empty lines", "\r\n"],
    ["interim responses", interimResponse],
    ["responses with status 100", "HTTP/1.1 100 Continue\r\n\r\n"],
])("%s without end before the head are given up", async (...[, text]) => {
    expect(await request(writeWithoutEnd(text))).toBeInstanceOf(HeadTooLargeError);
});

/** Guards against a limit that counts the body, or that rejects the interim responses of sound servers. */
test("interim responses and a large body that arrives with the head are accepted", async () => {
    const largeBody = "b".repeat(2 * maximumHeadBytes);
    const response = `HTTP/1.1 200 OK\r\nContent-Length: ${largeBody.length}\r\n\r\n${largeBody}`;
    expect(await request(socket => socket.end(interimResponse.repeat(20) + response))).toBe(200);
});

/** Guards against a count that goes on when the connection is used again. */
test("connection that is used again has the whole limit for each response", async () => {
    const server = net.createServer(socket => {
        socket.on("data", () => socket.write(interimResponse.repeat(500) + wholeResponse));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const { port } = server.address() as AddressInfo;
    for (let number = 1; number <= 5; number++) {
        const status = await new Promise((resolve, reject) => {
            const outgoing = http.request({ host: "127.0.0.1", port, agent });
            limitHeadBytes(outgoing);
            outgoing.on("response", response => {
                response.resume();
                response.once("end", () => setImmediate(() => resolve(response.statusCode)));
            });
            outgoing.on("error", reject);
            outgoing.end();
        });
        expect(status).toBe(200);
    }
    agent.destroy();
    server.close();
});
