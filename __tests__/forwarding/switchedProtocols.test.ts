/** Endpoints that answer a request by switching protocols, for which nobody has asked. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { afterEach, expect, test } from "vitest";
import { withTimeout } from "../../src/utils/bounds.js";
import { systemClock } from "../../src/utils/clock.js";
import { requestJson } from "../../src/utils/httpClient.js";
import { buildProgram, EntryProcess, settingsText } from "./support/entryProgram.js";
import { attemptOn, newClient, RawEndpoint, rawHead, send, startEndpoint } from "./support/rawEndpoint.js";
import { call, Site, until } from "./support/site.js";

const switchProtocols = (id: string): string =>
    rawHead(id, "101 Switching Protocols", ["Connection: upgrade", "Upgrade: other"]);

let site: Site | undefined;
let running: EntryProcess | undefined;

afterEach(async () => {
    running?.child.kill("SIGKILL");
    await site?.close();
});

test("endpoint that switches protocols loses its connection", async () => {
    // Guards against a connection that nobody listens to: it stays open, and its reset ends the process.
    const endpoint = await startEndpoint((socket, id) => socket.write(switchProtocols(id)));
    expect((await send(newClient(), attemptOn(endpoint))).type).toBe("Broken");
    await until(() => endpoint.sockets.size === 0);
});

test("server that switches protocols instead of answering with JSON loses its connection", async () => {
    // Guards against the same for the store, other entries and orders to endpoints.
    const server = await startEndpoint(socket => socket.write(switchProtocols("")));
    const request = { address: server.record.address, method: "GET", path: "/" };
    const answered = withTimeout(
        systemClock,
        2_000,
        "the server's response",
        signal => requestJson({ ...request, signal }),
    );
    await expect(answered).rejects.toThrow("closed before a response");
    await until(() => server.sockets.size === 0);
});

test("entry goes on when an endpoint switches protocols and resets", async () => {
    // Guards against an endpoint that ends entries, with all requests in progress.
    const folder = mkdtempSync(path.join(tmpdir(), "dandelionramp-switched-"));
    const program = path.join(folder, "main.cjs");
    const settingsFile = path.join(folder, "entry.ini");
    buildProgram(program);
    site = new Site();
    site.configure(1);
    let isSwitching = true;
    const respond = (socket: Socket, id: string) => {
        if (!isSwitching) {
            socket.write(`${rawHead(id, "200 OK", ["Content-Length: 5"])}whole`);
            return;
        }
        isSwitching = false;
        socket.write(switchProtocols(id), () => setTimeout(() => socket.resetAndDestroy(), 20));
    };
    const endpoint: RawEndpoint = await startEndpoint(respond, "i-1");
    site.record("i-1", { service: "bookings", zone: "north-a", address: endpoint.record.address });
    writeFileSync(settingsFile, await settingsText(site));
    running = new EntryProcess(program, settingsFile);
    const { callers } = await running.started();
    expect((await call(callers, "/places/a")).status).toBe(502);
    await until(() => endpoint.sockets.size === 0);
    await systemClock.sleep(50);
    expect(running.hasExited).toBe(false);
    expect((await call(callers, "/lookups/a", { method: "GET" })).body).toBe("whole");
    rmSync(folder, { recursive: true });
});
