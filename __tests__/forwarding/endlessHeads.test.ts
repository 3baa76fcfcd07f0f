/** Endpoints that send bytes without end before the head of a response. */
import { afterEach, expect, test } from "vitest";
import { HeadTooLargeError } from "../../src/utils/responseHeadLimit.js";
import { attemptOn, newClient, RawEndpoint, rawHead, send, writeWithoutEnd } from "./support/rawEndpoint.js";
import { until } from "./support/site.js";

let endpoint: RawEndpoint;

afterEach(() => endpoint.close());

const interimResponse = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";

/** Guards against an entry that reads on until the silence is noticed. */
test.each([["empty lines", "\r\n"], ["interim responses", interimResponse]])(
    "attempt gives %s without end up",
    async (...[, text]) => {
        endpoint = await RawEndpoint.start("r-0", socket => writeWithoutEnd(socket, text));
        expect(await send(newClient(), attemptOn(endpoint))).toEqual({
            type: "Broken",
            reason: new HeadTooLargeError().message,
        });
        await until(() => endpoint.sockets.size === 0);
    },
);

/** Guards against a health check that reads until its timeout. */
test("health check gives interim responses without end up", async () => {
    endpoint = await RawEndpoint.start("r-0", socket => writeWithoutEnd(socket, interimResponse));
    expect(await newClient().isReplaced(endpoint.record, "/healthz", 60_000)).toBe(false);
});

/** Guards against a listener for each request on a connection, and against a count over all requests of a connection. */
test("connection that is used again keeps no listener", async () => {
    endpoint = await RawEndpoint.start("r-0", (socket, id) => {
        socket.write(interimResponse.repeat(200) + rawHead(id, "200 OK", ["Content-Length: 2"]) + "ok");
    });
    const client = newClient();
    const warnings: Error[] = [];
    const recordWarning = (warning: Error) => warnings.push(warning);
    process.on("warning", recordWarning);
    for (let request = 0; request < 30; request++) {
        expect((await send(client, attemptOn(endpoint))).type).toBe("Answered");
        await new Promise(resolve => setImmediate(resolve));
    }
    process.off("warning", recordWarning);
    expect(endpoint.connectionCount).toBe(1);
    expect(warnings).toEqual([]);
});
