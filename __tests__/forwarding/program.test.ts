/** The serving program as a separate process: signals, settings and exit codes. */
import dgram from "node:dgram";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { afterAll, afterEach, beforeAll, beforeEach, expect, test } from "vitest";
import { systemClock } from "../../src/utils/clock.js";
import {
    buildProgram,
    type EntryAddresses,
    EntryProcess,
    settingsText as entrySettingsText,
} from "./support/entryProgram.js";
import { call, type CallerResponse, operatorConfiguration, Site } from "./support/site.js";

const folder = mkdtempSync(path.join(tmpdir(), "dandelionramp-program-"));
const program = path.join(folder, "main.cjs");
const settingsFile = path.join(folder, "entry.ini");

let site: Site;
let running: EntryProcess | undefined;

beforeAll(() => buildProgram(program));

afterAll(() => rmSync(folder, { recursive: true }));

beforeEach(async () => {
    site = new Site();
    await site.replica("i-1", "bookings");
    site.configure(1);
});

afterEach(async () => {
    running?.child.kill("SIGKILL");
    await site.close();
});

const settingsText = (changes: Record<string, string> = {}): Promise<string> => entrySettingsText(site, changes);

const start = (text: string): EntryProcess => {
    writeFileSync(settingsFile, text);
    return running = new EntryProcess(program, settingsFile);
};

const readinessOf = ({ readiness }: EntryAddresses): Promise<number> =>
    new Promise(resolve => {
        http.get(`http://${readiness}/`, response => {
            response.resume();
            resolve(response.statusCode ?? 0);
        }).on("error", () => resolve(0));
    });

const untilReadinessIs = async (addresses: EntryAddresses, status: number): Promise<void> => {
    const attempts = 500;
    for (let attempt = 0; attempt < attempts && await readinessOf(addresses) !== status; attempt++) {
        await systemClock.sleep(20);
    }
    expect(await readinessOf(addresses)).toBe(status);
};

test("SIGHUP reloads the settings and doesn't end the process", async () => {
    // The platform sends SIGHUP when the settings file has changed. Node ends a process that does not handle SIGHUP, and every
    // request in progress with it.
    const entry = start(await settingsText());
    const addresses = await entry.started();
    await untilReadinessIs(addresses, 200);
    writeFileSync(settingsFile, await settingsText({ "bounds.budget_extra": "7" }));
    entry.child.kill("SIGHUP");
    for (let attempt = 0; attempt < 200 && !entry.output.includes("The settings were read again."); attempt++) {
        await systemClock.sleep(20);
    }
    expect(entry.output).toContain("\"extra\":7");
    expect(await readinessOf(addresses)).toBe(200);
    writeFileSync(settingsFile, "[nonsense]\n");
    entry.child.kill("SIGHUP");
    await systemClock.sleep(200);
    expect(await readinessOf(addresses)).toBe(200);
    entry.child.kill("SIGTERM");
    expect(await entry.exited).toBe(0);
});

test("SIGHUP while the process starts doesn't end it, and its change is adopted", async () => {
    // Guards against an entry that ends, or keeps old settings, when its settings change during its start.
    const changed = await settingsText({ "bounds.budget_extra": "7" });
    const text = await settingsText();
    const signalling = path.join(folder, "signalling.cjs");
    const change = `require("node:fs").writeFileSync(${JSON.stringify(settingsFile)}, ${JSON.stringify(changed)})`;
    // Both come once the program has read its settings and begins to listen.
    writeFileSync(
        signalling,
        `const net = require("node:net");
        const listen = net.Server.prototype.listen;
        net.Server.prototype.listen = function(...options) {
            ${change};
            process.kill(process.pid, "SIGHUP");
            return listen.apply(this, options);
        };`,
    );
    writeFileSync(settingsFile, text);
    const entry = running = new EntryProcess(program, settingsFile, ["--require", signalling]);
    const addresses = await entry.started();
    await untilReadinessIs(addresses, 200);
    for (let attempt = 0; attempt < 50 && !entry.output.includes("The settings were read again."); attempt++) {
        await systemClock.sleep(20);
    }
    expect(entry.output).toContain("\"extra\":7");
});

test("failure of work that nobody awaits doesn't end the process", async () => {
    // Guards against one failed background task that cuts all requests in progress.
    const failing = path.join(folder, "failing.cjs");
    writeFileSync(failing, "process.on(\"SIGUSR2\", () => { Promise.reject(new Error(\"injected\")); });");
    writeFileSync(settingsFile, await settingsText());
    const entry = running = new EntryProcess(program, settingsFile, ["--require", failing]);
    const addresses = await entry.started();
    await untilReadinessIs(addresses, 200);
    entry.child.kill("SIGUSR2");
    const total = async () => (await call(addresses.metrics, "/metrics", { method: "GET" })).body;
    for (let attempt = 0; attempt < 200 && !entry.output.includes("injected"); attempt++) {
        await systemClock.sleep(20);
    }
    expect(await total()).toContain("unhandled_rejections_total 1");
    expect(entry.output).toContain("process: Work that nobody awaits has failed.");
    expect(await readinessOf(addresses)).toBe(200);
});

test("SIGTERM ends an idle entry within the grace period", async () => {
    const entry = start(await settingsText());
    const addresses = await entry.started();
    await untilReadinessIs(addresses, 200);
    entry.child.kill("SIGTERM");
    await untilReadinessIs(addresses, 503);
    expect(await entry.exited).toBe(0);
});

test("invalid setting is named in the error", async () => {
    const entry = start(await settingsText({ "bounds.grace_s": "soon" }));
    expect(await entry.exited).toBe(1);
    expect(entry.output).toContain("[stop] graceSeconds: expected a number of at least 0");
});

const occupyTcp = async (): Promise<{ port: number; release: () => void; }> => {
    const server = net.createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    return { port: (server.address() as net.AddressInfo).port, release: () => server.close() };
};

const occupyUdp = async (): Promise<{ port: number; release: () => void; }> => {
    const socket = dgram.createSocket("udp4").bind(0, "127.0.0.1");
    await once(socket, "listening");
    return { port: socket.address().port, release: () => socket.close() };
};

for (
    const { name, occupy, listen } of [
        { name: "callers", occupy: occupyTcp, listen: (port: number) => ({ "listen.front": `127.0.0.1:${port}` }) },
        { name: "readiness", occupy: occupyTcp, listen: (port: number) => ({ "listen.ready": `127.0.0.1:${port}` }) },
        { name: "peers", occupy: occupyTcp, listen: (port: number) => ({ "listen.control": `127.0.0.1:${port}` }) },
        { name: "datagrams", occupy: occupyUdp, listen: (port: number) => ({ "listen.control": `127.0.0.1:${port}` }) },
        { name: "metrics", occupy: occupyTcp, listen: (port: number) => ({ "port_range.1": String(port) }) },
    ]
) {
    test(`port in use for ${name} is named in the error`, async () => {
        // Another process has the port. An entry that stays up without it is never ready, and nothing says why.
        const { port, release } = await occupy();
        const entry = start(await settingsText(listen(port)));
        const code = await entry.exited;
        release();
        expect(code).toBe(1);
        expect(entry.output).toMatch(new RegExp(`^entry: .*EADDRINUSE.* 127\\.0\\.0\\.1:${port}$`, "m"));
        await expect(entry.started()).rejects.toThrow(/EADDRINUSE/);
    });
}

test("stalled reader of the log doesn't block the entry", async () => {
    // The consumer of the log stops reading. Node writes to pipes synchronously, and the whole entry would block at the first
    // line after the pipe is full.
    const configuration = operatorConfiguration(2, { lookups: { timeout_ms: 60_000 } });
    // A busy machine may take longer to run the callers than the default site allows them for their headers.
    const limits = { ...configuration.limits, header_timeout_ms: 60_000 };
    site.store.model.put("config", "main", { ...configuration, limits });
    const entry = start(await settingsText());
    const addresses = await entry.started();
    await untilReadinessIs(addresses, 200);
    entry.child.stdout!.pause();
    const responses = await Promise.all([...Array(40).keys()].map(async () => {
        const received: CallerResponse[] = [];
        for (let request = 0; request < 25; request++) {
            const headers = { "dandelionramp-deadline-ms": "60000" };
            received.push(await call(addresses.callers, "/lookups/a", { headers }));
        }
        return received;
    }));
    expect(responses.flat().filter(({ status }) => status !== 200)).toEqual([]);
    expect(responses.flat().length).toBe(1_000);
    entry.child.stdout!.resume();
    entry.child.kill("SIGTERM");
    expect(await entry.exited).toBe(0);
});
