/** Response heads that Node receives and doesn't send on. */
import { expect, test } from "vitest";
import { attemptOn, newClient, rawHead, send, startEndpoint } from "./support/rawEndpoint.js";

const invalidHead = "the head of the response is invalid";

const heads = [
    { name: "the status 000", status: "000 Zero", lines: [], reasons: [invalidHead] },
    { name: "the status 099", status: "099 Low", lines: [], reasons: [invalidHead] },
    {
        name: "a header without a name",
        status: "200 OK",
        lines: [": a"],
        // From 20.20 on, Node's parser rejects such a head itself.
        reasons: [invalidHead, "Parse Error: Invalid header token"],
    },
];

test.each(heads)("response with $name is a failed attempt", async ({ status, lines, reasons }) => {
    // Guards against callers that get 500 because their response can't be written, though another endpoint would answer.
    for (const isStreaming of [false, true]) {
        const endpoint = await startEndpoint((socket, id) =>
            socket.write(`${rawHead(id, status, [...lines, "Content-Length: 2"])}ok`)
        );
        const outcome = await send(newClient(), attemptOn(endpoint, { isStreaming }));
        expect(outcome.type).toBe("Broken");
        expect(reasons).toContain((outcome as { reason: string; }).reason);
    }
});
