// Processor time of bytes that another entry carries: the same responses directly and by way of a carrying entry, with all
// parties in this process. Usage: npm run build && node __performance_tests__/carriedBytes.js [FOLDER of a build]
import http from "node:http";
import net from "node:net";
import path from "node:path";
import { pathToFileURL } from "node:url";
import { median } from "./shared.js";

const build = path.resolve(process.argv[2] ?? "dist");
const load = file => import(pathToFileURL(path.join(build, file)).href);
const { EndpointClient } = await load("adapters/forwarding/endpointClient.js");
const { serveRelay } = await load("adapters/forwarding/relayServer.js");
const { systemClock } = await load("utils/clock.js");

const rounds = 15;
const sizes = [{ bytes: 2_000, count: 400 }, { bytes: 400_000, count: 60 }];

const wire = {
    attemptHeaders: () => ["Host", "bench"],
    readResponse: () => ({
        requestId: "r",
        isSigned: true,
        guaranteesNotRun: false,
        report: {},
        isEncoded: false,
        headers: [],
    }),
};

const listen = server =>
    new Promise(resolve => server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${server.address().port}`)));

/** Processor time of `count` responses one after the other, in milliseconds. */
const measure = async (client, attempt, count) => {
    const before = process.cpuUsage();
    for (let index = 0; index < count; index++) {
        const outcome = await client.send(attempt, new AbortController().signal, () => {});
        if (outcome.type !== "Answered" || outcome.body.length !== attempt.size) {
            throw new Error(`expected a whole response, got ${outcome.type} ${outcome.reason ?? ""}`);
        }
    }
    const { user, system } = process.cpuUsage(before);
    return (user + system) / 1_000;
};

const measureSize = async ({ bytes, count }) => {
    const head = `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ${bytes}\r\n\r\n`;
    const response = Buffer.concat([Buffer.from(head), Buffer.alloc(bytes)]);
    const endpoint = net.createServer(socket => {
        socket.on("error", () => {});
        socket.once("data", () => socket.end(response));
    });
    const record = { id: "e", address: await listen(endpoint) };
    const carrier = http.createServer();
    const guard = { openConnections: 0, admit: () => record, judgesFailure: () => Promise.resolve(true) };
    serveRelay(carrier, { clock: systemClock, guard, onCarried: () => {}, onConnected: () => {} });
    const relay = await listen(carrier);
    const client = new EndpointClient(wire, systemClock);
    const request = { id: "r", method: "GET", target: "/", headers: [], body: Buffer.alloc(0) };
    const direct = { request, endpoint: record, connectTimeout: 5_000, mayReuseConnection: false, size: bytes };
    const samples = [];
    for (let round = 0; round < rounds; round++) {
        const own = await measure(client, direct, count);
        const carried = await measure(client, { ...direct, relay }, count);
        samples.push({ own: own / count, carried: carried / count });
    }
    endpoint.close();
    carrier.close();
    const own = median(samples.map(sample => sample.own));
    const carried = median(samples.map(sample => sample.carried));
    const perKilobyte = (carried - own) * 1_000 / (bytes / 1_000);
    process.stdout.write(
        `${bytes} bytes: direct ${own.toFixed(3)} ms, carried ${carried.toFixed(3)} ms of processor time a response; `
            + `carrying costs ${perKilobyte.toFixed(2)} us a kilobyte\n`,
    );
};

for (const size of sizes) {
    await measureSize(size);
}
