/**
 * A stream that is ended at the bound while its endpoint still sends. Guards against endpoints that go on for nobody, and
 * against a continuation elsewhere that would fill the memory again.
 */
import { once } from "node:events";
import net from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { splitAddress } from "../../src/utils/address.js";
import { systemClock } from "../../src/utils/clock.js";
import { callerKey, Site, until } from "../forwarding/support/site.js";

let site: Site;

beforeEach(async () => {
    site = new Site();
    await site.replica("m-1", "models");
    await site.replica("m-2", "models");
    site.configure(1, { replies: { timeout_ms: 30_000 } });
});

afterEach(() => site.close());

test("ended stream closes its endpoint's connection and isn't continued", async () => {
    for (const replica of site.replicas.values()) {
        replica.fault = ({ id }, response) => {
            replica.recordRun(id);
            response.writeHead(200, { ...replica.responseHeaders(id), "content-type": "text/event-stream" });
            void (async () => {
                for (let event = 1; !response.destroyed; event++) {
                    response.write(`id: ${event}\ndata: ${"x".repeat(64 * 1024)}\n\n`);
                    await systemClock.sleep(2);
                }
            })();
            return true;
        };
    }
    // Less memory than the process uses: the bound is the lowest one.
    const { callers } = await site.start("entry-1", true, { memoryMegabytes: 1, contracts: ["pressure"] });
    const { host, port } = splitAddress(callers);
    const caller = net.connect({ host, port }).pause();
    caller.on("error", () => {});
    caller.write(
        `POST /replies/r HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer ${callerKey}\r\n`
            + "Dandelionramp-Request-Id: ended\r\nDandelionramp-Token-Count: 10,4\r\nDandelionramp-Model: m\r\nContent-Length: 0\r\n\r\n",
    );
    const lineOf = (message: string) => site.lines.find(line => line.message === message)?.fields;
    await until(() => lineOf("request: A stream was cut.") !== undefined);
    await until(() => [...site.replicas.values()].some(replica => replica.cancelledRequestIds.includes("ended")));
    expect(lineOf("buffers: A request is ended, because its data stays unread.")).toMatchObject({
        requestId: "ended",
        reason: "bound",
        reader: "caller",
    });
    expect(lineOf("request: A stream was cut.")?.reason).toBe("the entry's memory for unread data is used up");
    expect(site.runs("ended")).toBe(1);
    let tail = "";
    caller.on("data", (chunk: Buffer) => {
        tail = chunk.toString("latin1").slice(-16);
    }).resume();
    await once(caller, "close");
    expect(tail.endsWith("\r\n0\r\n\r\n")).toBe(false);
});
