/** Responses of faulty endpoints: none may reach a caller as a complete response to its request. */
import { afterEach, beforeEach, expect, test } from "vitest";
import type { ReplicaFault } from "../../platform/standins/replicaServer.js";
import { call, Site, type SiteEntry, until } from "./support/site.js";

let site: Site;
let entry: SiteEntry;

beforeEach(async () => {
    site = new Site();
    await site.replica("i-1", "bookings");
    site.configure(1);
    entry = await site.start("entry-1");
});

afterEach(() => site.close());

const setFault = (fault: ReplicaFault) => {
    site.replicas.get("i-1")!.fault = fault;
};

const signedHead = (id: string, lines: string[]): string =>
    [
        "HTTP/1.1 200 OK",
        `Dandelionramp-Request-Id: ${id}`,
        "Dandelionramp-Response-Signature: signed-by-i-1",
        ...lines,
        "",
        "",
    ].join("\r\n");

test("answer without a signature", async () => {
    setFault(({ id }, response) => {
        response.writeHead(200, { "dandelionramp-request-id": id }).end("not ours");
        return true;
    });
    expect((await call(entry.callers, "/places/a")).status).toBe(502);
});

test("answer to another request", async () => {
    setFault((...[, response, replica]) => {
        response.writeHead(200, replica.responseHeaders("another")).end("somebody's bunk");
        return true;
    });
    expect((await call(entry.callers, "/places/a")).status).toBe(502);
});

test("encoded answer", async () => {
    setFault(({ id }, response, replica) => {
        response.writeHead(200, { ...replica.responseHeaders(id), "content-encoding": "gzip" }).end("bytes");
        return true;
    });
    expect((await call(entry.callers, "/places/a")).status).toBe(502);
});

test("bytes that are no answer", async () => {
    setFault((...[, , , socket]) => {
        socket.end("no protocol at all\r\n\r\n");
        return true;
    });
    expect((await call(entry.callers, "/places/a")).status).toBe(502);
});

test("body shorter than its length", async () => {
    setFault(({ id }, response) => {
        response.socket?.end(`${signedHead(id, ["Content-Length: 50"])}short`);
        return true;
    });
    expect((await call(entry.callers, "/places/a")).status).toBe(502);
});

test("body without a length that ends", async () => {
    setFault(({ id }, response) => {
        response.socket?.end(`${signedHead(id, ["Connection: close"])}the whole body`);
        return true;
    });
    expect(await call(entry.callers, "/places/a")).toMatchObject({ status: 200, body: "the whole body" });
});

test("body without a length that is reset", async () => {
    // Guards against truncated bodies that look complete. A replica crashes within a body that has no length. The reset arrives
    // together with the last bytes, and Node reports it as an ordinary end.
    setFault(({ id }, response) => {
        response.socket?.write(`${signedHead(id, ["Connection: close"])}half a bo`);
        (response.socket as import("node:net").Socket).resetAndDestroy();
        return true;
    });
    expect((await call(entry.callers, "/places/a")).status).toBe(502);
});

test("503 without the guarantee that the request has not run", async () => {
    // The replica responds 503 without its guarantee that the request has not run. If the entry passed 503 on, it would tell
    // the caller that the booking never ran.
    setFault(({ id }, response, replica) => {
        response.writeHead(503, replica.responseHeaders(id)).end();
        return true;
    });
    const answer = await call(entry.callers, "/places/a");
    expect(answer.status).toBe(502);
    expect(JSON.parse(answer.body)).toMatchObject({ execution: "unknown" });
});

test("second answer on a kept connection", async () => {
    // Guards against responses to other requests. A replica sends a response twice, and the second copy is on the idle
    // connection when the next request is sent on it.
    let shouldRepeat = true;
    setFault(({ id }, ...[, , socket]) => {
        const text = `${signedHead(id, ["Content-Length: 5"])}bunk1`;
        socket.write(text);
        if (shouldRepeat) {
            shouldRepeat = false;
            setTimeout(() => socket.write(text), 20);
        }
        return true;
    });
    expect((await call(entry.callers, "/lookups/a", { id: "first" })).body).toBe("bunk1");
    await new Promise(resolve => setTimeout(resolve, 60));
    const second = await call(entry.callers, "/lookups/a", { id: "second" });
    expect(second.status).toBe(200);
    expect(second.headers["dandelionramp-request-id"]).toBe("second");
});

test("late response to an earlier request", async () => {
    let calls = 0;
    setFault(({ id }, ...[, , socket]) => {
        calls++;
        const responseId = calls === 2 ? "first" : id;
        socket.write(`${signedHead(responseId, ["Content-Length: 5"])}bunk${calls}`);
        return true;
    });
    expect((await call(entry.callers, "/lookups/a", { id: "first" })).body).toBe("bunk1");
    const second = await call(entry.callers, "/lookups/a", { id: "second" });
    expect(second.body).toBe("bunk3");
});

test("answer before the body is read", async () => {
    // A replica responds to a long body early and keeps reading. The next request on this connection must follow the whole
    // body, or the replica takes its bytes for the rest of the first request.
    const body = "x".repeat(19_000);
    expect((await call(entry.callers, "/lookups/a", { id: "first", body })).status).toBe(200);
    expect((await call(entry.callers, "/lookups/b", { id: "second", body: "short" })).status).toBe(200);
    expect(site.replicas.get("i-1")!.arrivals.map(({ body: got }) => got)).toEqual([body, "short"]);
});

for (const status of ["000", "099"]) {
    test(`answer with the status ${status}`, async () => {
        // Guards against a status that the entry can't write: the caller got an internal error, and no other endpoint was tried.
        await site.replica("i-2", "bookings");
        const second = site.replicas.get("i-2")!;
        setFault(({ id }, ...[, , socket]) => {
            socket.end(signedHead(id, ["Content-Length: 0"]).replace("200", status));
            return true;
        });
        await until(() => entry.entry.directory.usable("bookings").length === 2);
        second.fault = (...[, response]) => {
            response.destroy();
            return true;
        };
        expect((await call(entry.callers, "/places/a")).status).toBe(502);
        second.fault = undefined;
        expect((await call(entry.callers, "/lookups/a", { method: "GET" })).status).toBe(200);
    });
}
