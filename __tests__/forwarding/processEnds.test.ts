/** Ways in which the serving program could end by itself: each accepted request gets its answer all the same. */
import { execFileSync } from "node:child_process";
import { closeSync, constants, openSync, readSync, writeFileSync } from "node:fs";
import net, { type AddressInfo } from "node:net";
import path from "node:path";
import { expect, test } from "vitest";
import { BookingProgram } from "./support/bookingProgram.js";
import { type EntryAddresses, settingsText } from "./support/entryProgram.js";
import { call, type CallerResponse, until } from "./support/site.js";

const workDuration = 500;

const fixture = BookingProgram.setUp(workDuration);

/** Writes settings with a port for callers and one for metrics that are free now. Returns the addresses. */
const fixAddresses = async (): Promise<EntryAddresses> => {
    const servers = [net.createServer(), net.createServer(), net.createServer(), net.createServer()];
    const addresses: string[] = [];
    for (const server of servers) {
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    }
    for (const server of servers) {
        await new Promise(resolve => server.close(resolve));
    }
    const [callers, readiness, peers, metrics] = addresses as [string, string, string, string];
    const changes = {
        "listen.front": callers,
        "listen.ready": readiness,
        "listen.control": peers,
        "port_range.1": metrics.slice(metrics.indexOf(":") + 1),
    };
    writeFileSync(fixture.settingsFile, await settingsText(fixture.site, changes));
    return { callers, readiness, peers, metrics };
};

/** Reads what a pipe holds; returns the number of bytes. */
const readAvailable = (descriptor: number, buffer: Buffer): number => {
    try {
        return readSync(descriptor, buffer);
    }
    catch {
        return 0;
    }
};

const isConfigured = async (readiness: string): Promise<void> => {
    let status = 0;
    await until(() => {
        void call(readiness, "/", { method: "GET" }).then(answer => status = answer.status, () => {});
        return status === 200;
    });
};

/** Starts a booking and resolves once it runs. */
const book = async ({ callers }: EntryAddresses): Promise<{ answer: Promise<CallerResponse | undefined>; }> => {
    const { arrivals } = fixture.site.replicas.get("i-1")!;
    const arrivalsBefore = arrivals.length;
    const answer = call(callers, "/places/a").catch(() => undefined);
    await until(() => arrivals.length > arrivalsBefore);
    return { answer };
};

const metricsOf = async ({ metrics }: EntryAddresses): Promise<string> =>
    (await call(metrics, "/metrics", { method: "GET" })).body;

test("request in progress is answered although a timer throws", async () => {
    // Guards against accepted requests that are lost because one callback throws and the exception ends the process.
    const code = `process.on("SIGUSR2", () => setTimeout(() => { throw new Error("thrown by a timer"); }));`;
    const running = fixture.start(fixture.preload("throwing", code));
    const addresses = await running.started();
    await isConfigured(addresses.readiness);
    const { answer } = await book(addresses);
    running.child.kill("SIGUSR2");
    expect(await answer).toMatchObject({ status: 200, body: "booked", whole: true });
    expect(running.output).toMatch(/"error":"thrown by a timer","stack":".*throwing\.cjs/);
    expect(await metricsOf(addresses)).toContain("dandelionramp_uncaught_exceptions_total 1");
});

test("exception during the start ends the process with exit code 1", async () => {
    // Guards against a process that neither serves nor ends because its start has failed in a callback.
    const code = `const net = require("node:net");
        net.Server.prototype.listen = () => void setImmediate(() => { throw new Error("thrown at the start"); });`;
    const starting = fixture.start(fixture.preload("failing", code));
    expect(await starting.exited).toBe(1);
    expect(starting.output).toContain("\nentry: thrown at the start\n");
});

test("request is answered although the log is on a full disk", async () => {
    // Guards against accepted requests that are lost because standard output can't be written and its error ends the process.
    const addresses = await fixAddresses();
    const output = openSync("/dev/full", "w");
    const running = fixture.start([], output);
    closeSync(output);
    await isConfigured(addresses.readiness);
    const { answer } = await book(addresses);
    expect(await answer).toMatchObject({ status: 200, body: "booked", whole: true });
    const metrics = await metricsOf(addresses);
    expect(metrics).toMatch(/dandelionramp_log_lines_dropped_total [1-9]/);
    expect(metrics).toContain("dandelionramp_uncaught_exceptions_total 0");
    expect(running.hasExited).toBe(false);
});

test("log goes on with the next reader of a named pipe", async () => {
    // Guards against a log that stays silent until the process ends because its reader was restarted once.
    const file = path.join(fixture.folder, "log");
    execFileSync("mkfifo", [file]);
    const openReader = () => openSync(file, constants.O_RDONLY | constants.O_NONBLOCK);
    const firstReader = openReader();
    const addresses = await fixAddresses();
    const output = openSync(file, "w");
    const running = fixture.start([], output);
    closeSync(output);
    await isConfigured(addresses.readiness);
    closeSync(firstReader);
    let droppedText = "";
    await until(() => {
        running.child.kill("SIGUSR2");
        void metricsOf(addresses).then(
            text => droppedText = /log_lines_dropped_total \d+/.exec(text)?.[0] ?? "",
            () => {},
        );
        return / [1-9]/.test(droppedText);
    });
    const secondReader = openReader();
    const buffer = Buffer.alloc(64 * 1024);
    await until(() => {
        running.child.kill("SIGUSR2");
        return buffer.toString("latin1", 0, readAvailable(secondReader, buffer)).includes("log: Lines were dropped.");
    });
    closeSync(secondReader);
});

test("stop that fails is logged", async () => {
    // Guards against an entry that ends as if all were well, though its planned stop was cut short.
    const code = `const dgram = require("node:dgram");
        dgram.Socket.prototype.close = () => { throw new Error("thrown by the stop"); };`;
    const running = fixture.start(fixture.preload("stopping", code));
    await running.started();
    running.child.kill("SIGTERM");
    expect(await running.exited).toBe(1);
    expect(running.output).toContain("\"error\":\"thrown by the stop\"");
});
