/** Response heads that Node receives and doesn't send on. */
import { expect, test } from "vitest";
import { attemptOn, newClient, rawHead, send, startEndpoint } from "./support/rawEndpoint.js";

const heads = [
    { name: "the status 000", status: "000 Zero", lines: [] },
    { name: "the status 099", status: "099 Low", lines: [] },
    { name: "a header without a name", status: "200 OK", lines: [": a"] },
];

test.each(heads)("response with $name is a failed attempt", async ({ status, lines }) => {
    // Guards against callers that get 500 because their response can't be written, though another endpoint would answer.
    for (const isStreaming of [false, true]) {
        const endpoint = await startEndpoint((socket, id) =>
            socket.write(`${rawHead(id, status, [...lines, "Content-Length: 2"])}ok`)
        );
        expect(await send(newClient(), attemptOn(endpoint, { isStreaming }))).toMatchObject({
            type: "Broken",
            reason: "the head of the response is invalid",
        });
    }
});
