// Control cost of one idle entry as the fleet grows: processor time, memory, platform calls and control traffic. The
// results feed docs/CAPACITY.md.
import { readFileSync } from "node:fs";
import { platformControl, setFault, sleep } from "../scripts/fleet.js";
import { defaultEngineShape, seededRandom, startEngine, systemClock } from "../scripts/loadLibrary.js";
import { makeFleet, markdownTable, usageOf, writeResult } from "./shared.js";

const seconds = 10;
// A process that has just started still compiles code and collects garbage, so measuring starts after that.
const settleMilliseconds = Number(process.env.BENCH_SETTLE ?? 30_000);
const selectedIndexes = process.env.BENCH_POINTS?.split(",").map(Number);
const platform = "127.0.0.1:9000";

const announceEngines = async count => {
    const engines = [];
    for (let index = 0; index < count; index++) {
        const id = `farm-${index}`;
        const engine = await startEngine(
            id,
            "127.0.0.1:0",
            { ...defaultEngineShape, startWarm: true },
            systemClock,
            seededRandom(index),
        );
        engines.push(engine);
        const record = {
            id,
            role: "engine",
            dataCentre: ["north", "east", "south"][index % 3],
            address: engine.listener.address,
            incarnation: engine.model.incarnation,
            state: "live",
            service: "standin",
        };
        await fetch(`http://${platform}/instances/${id}`, { method: "PUT", body: JSON.stringify(record) });
    }
    return engines;
};

const fillerProfiles = count =>
    Array.from(
        { length: count },
        (_, index) => ({ kind: "profile", name: `filler-${index}`, value: { shortPromptTokens: 1_000 + index } }),
    );

// Bytes on the loopback interface, headers included. While the fleet is idle, all of them are control traffic.
const loopbackBytes = () => Number(/lo:\s*(\d+)/.exec(readFileSync("/proc/net/dev", "utf8"))[1]);

const countPlatformCalls = async () => {
    const counts = await (await fetch(`http://${platformControl}/counts`)).json();
    return counts.reads + counts.writes + counts.watches;
};

const measure = async ({ entries, endpoints, objects }) => {
    const fleet = makeFleet({ engines: 0, services: 0, entries }, stored => [...stored, ...fillerProfiles(objects)]);
    fleet.startAll();
    let engines = [];
    try {
        await sleep(2_000);
        await setFault(platformControl, "rate", 100_000);
        engines = await announceEngines(endpoints);
        await sleep(settleMilliseconds);
        const pid = fleet.children.get("entry-1").pid;
        const before = usageOf(pid);
        const callsBefore = await countPlatformCalls();
        const bytesBefore = loopbackBytes();
        await sleep(seconds * 1_000);
        const after = usageOf(pid);
        const kilobytes = (loopbackBytes() - bytesBefore) / seconds / entries / 1_000;
        const calls = (await countPlatformCalls() - callsBefore) / seconds / entries;
        return {
            entries,
            endpoints,
            objects,
            corePercent: (after.milliseconds - before.milliseconds) / seconds / 10,
            megabytes: after.megabytes,
            platformCallsPerSecond: calls,
            kilobytesPerSecond: kilobytes,
        };
    }
    finally {
        await Promise.all(engines.map(engine => engine.close()));
        await fleet.stopAll();
    }
};

const measuredFleets = [
    { entries: 3, endpoints: 20, objects: 20 },
    { entries: 6, endpoints: 20, objects: 20 },
    { entries: 12, endpoints: 20, objects: 20 },
    { entries: 24, endpoints: 20, objects: 20 },
    { entries: 48, endpoints: 20, objects: 20 },
    { entries: 3, endpoints: 100, objects: 20 },
    { entries: 3, endpoints: 400, objects: 20 },
    { entries: 3, endpoints: 20, objects: 400 },
    { entries: 3, endpoints: 20, objects: 4_000 },
];

export const measureSlopes = async () => {
    const results = [];
    for (
        const fleetSize of selectedIndexes === undefined
            ? measuredFleets
            : selectedIndexes.map(index => measuredFleets[index])
    ) {
        results.push(await measure(fleetSize));
    }
    const rows = results.map(result => [
        result.entries,
        result.endpoints,
        result.objects,
        result.corePercent.toFixed(2),
        result.megabytes.toFixed(0),
        result.platformCallsPerSecond.toFixed(2),
        result.kilobytesPerSecond.toFixed(1),
    ]);
    const text =
        `# Control cost\n\nOne idle entry over ${seconds} s, ${
            settleMilliseconds / 1_000
        } s after its start, one run each; memory is the whole resident process, Node included.\n\n`
        + markdownTable([
            "entries",
            "endpoints",
            "objects",
            "% of a core",
            "MB resident",
            "platform calls/s per entry",
            "kB/s per entry",
        ], rows);
    writeResult(selectedIndexes === undefined ? "slopes" : "slopesTrial", results, text);
};
