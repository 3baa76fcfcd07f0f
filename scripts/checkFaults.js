// Kills, stops and continues entries and engines under load, each a process of its own, and counts what must be zero.
// Usage: node scripts/checkFaults.js [--seconds 180] [--seed 1]
import { parseArgs } from "node:util";
import {
    callersOf,
    engineControl,
    getJson,
    LocalFleet,
    platformControl,
    serviceControl,
    setFault,
    sleep,
    untilReady,
} from "./fleet.js";
import { bookOnce, runExperiment, seededRandom, systemClock } from "./loadLibrary.js";

const { values } = parseArgs({
    options: { seconds: { type: "string", default: "180" }, seed: { type: "string", default: "1" } },
});
const seconds = Number(values.seconds);
const random = seededRandom(Number(values.seed));
const entries = [1, 2, 3, 4, 5, 6];
const targets = entries.map(callersOf);
const fleet = new LocalFleet();
const runs = new Map();
const overloads = new Map();
const disturbed = [];
const done = { kills: 0, stops: 0, crashes: 0, outages: 0 };
const timeoutMilliseconds = 20_000;
let stopping = false;

const pick = count => 1 + Math.floor(random.next() * count);

// The counts of a process end with it, so they are read every second and once more before it is killed.
const readEngine = async index => {
    try {
        const found = await getJson(engineControl(index), "/runs");
        for (const [requestId, count] of Object.entries(found)) {
            runs.set(`${index}/${requestId}`, count);
        }
        const counts = await getJson(engineControl(index), "/counts");
        overloads.set(index, Math.max(overloads.get(index) ?? 0, counts.coldOverloads));
    }
    catch {
        // Stopped or dead; the next reading is later.
    }
};

const readEngines = () => Promise.all(Array.from({ length: 20 }, (_, index) => readEngine(index + 1)));

const disturb = (target, from, until) => disturbed.push({ target, from, until });

const killEntry = async () => {
    const index = pick(6);
    const from = systemClock.now();
    done.kills++;
    fleet.signal(`entry-${index}`, "SIGKILL");
    await sleep(1_500);
    fleet.start(`entry-${index}`);
    disturb(callersOf(index), from - timeoutMilliseconds, from + 6_000);
};

const stopEntry = async () => {
    const index = pick(6);
    const from = systemClock.now();
    done.stops++;
    fleet.signal(`entry-${index}`, "SIGSTOP");
    await sleep(2_000 + random.next() * 8_000);
    fleet.signal(`entry-${index}`, "SIGCONT");
    disturb(callersOf(index), from - timeoutMilliseconds, systemClock.now() + 1_000);
};

const killEngine = async () => {
    const index = pick(20);
    const name = `engine-${String(index).padStart(2, "0")}`;
    done.kills++;
    await readEngine(index);
    fleet.signal(name, "SIGKILL");
    await sleep(1_500);
    fleet.start(name);
};

const stopEngine = async () => {
    const name = `engine-${String(pick(20)).padStart(2, "0")}`;
    done.stops++;
    fleet.signal(name, "SIGSTOP");
    await sleep(2_000 + random.next() * 6_000);
    fleet.signal(name, "SIGCONT");
};

const faultEngine = async () => {
    done.crashes++;
    await setFault(engineControl(pick(20)), ["cold", "silent", "crash"][Math.floor(random.next() * 3)]).catch(() =>
        undefined
    );
};

const platformOutage = async () => {
    done.outages++;
    await setFault(platformControl, "down", 1);
    await sleep(3_000 + random.next() * 5_000);
    await setFault(platformControl, "down", 0);
    await setFault(platformControl, "loseAnswers", 0.3);
    await sleep(2_000);
    await setFault(platformControl, "loseAnswers", 0);
};

const faults = [
    killEntry,
    stopEntry,
    stopEntry,
    killEngine,
    stopEngine,
    stopEngine,
    faultEngine,
    faultEngine,
    platformOutage,
];

const makeFaults = async () => {
    const running = [];
    while (!stopping) {
        await sleep(1_500 + random.next() * 1_500);
        const fault = faults[Math.floor(random.next() * faults.length)];
        running.push(fault().catch(error => process.stdout.write(`fault: ${error.message}\n`)));
    }
    await Promise.all(running);
};

const readCounts = async () => {
    while (!stopping) {
        await readEngines();
        await sleep(1_000);
    }
};

const book = async () => {
    const bookings = [];
    const options = { customerKey: "quickstart", timeoutMilliseconds: 8_000, attempts: 6 };
    for (let index = 0; !stopping; index++) {
        bookings.push(bookOnce(systemClock, targets, index, `booking-${index}`, options));
        await sleep(100);
    }
    return Promise.all(bookings);
};

const generate = () => {
    const plan = {
        requests: seconds * 40,
        ratePerSecond: 40,
        mix: [{ promptTokens: 1_000, weight: 95 }, { promptTokens: 50_000, weight: 4 }, {
            promptTokens: 900_000,
            weight: 1,
        }],
        exact: false,
        answerTokens: 60,
        seed: Number(values.seed),
    };
    const options = { key: "quickstart", model: "standin", answerTokens: 60, timeoutMilliseconds };
    return runExperiment(systemClock, { plan, targets, options, faults: [] });
};

const wasDisturbed = record =>
    disturbed.some(({ target, from, until }) =>
        target === record.target && record.startedAt >= from && record.startedAt <= until
    );

const tally = items => {
    const counts = {};
    for (const item of items) {
        counts[item] = (counts[item] ?? 0) + 1;
    }
    return counts;
};

const ranOnEngine = requestId => [...runs.keys()].some(key => key.endsWith(`/${requestId}`));

const report = async (records, bookings) => {
    const serviceRuns = new Map();
    for (let index = 1; index <= 3; index++) {
        for (const [key, count] of Object.entries(await getJson(serviceControl(index), "/runs"))) {
            serviceRuns.set(key, (serviceRuns.get(key) ?? 0) + count);
        }
    }
    let memory = 0;
    for (let index = 1; index <= 20; index++) {
        memory += (await getJson(engineControl(index), "/counts")).memoryUsedTokens;
    }
    const count = (list, condition) => list.filter(condition).length;
    const undisturbed = records.filter(record => !wasDisturbed(record));
    const must = {
        doubleRuns: count([...serviceRuns.values()], runsOfKey => runsOfKey > 1),
        bookedWithoutRun: count(bookings, booking => booking.end === "booked" && !serviceRuns.has(booking.key)),
        twoAnswersForOneKey: count(bookings, booking => booking.answers.length > 1),
        falseNotRunOfBookings: count(bookings, booking => booking.end === "notRun" && serviceRuns.has(booking.key)),
        falseNotRunOfGenerations: count(
            records,
            record => record.execution === "not-run" && ranOnEngine(record.requestId),
        ),
        lateEnds: count(undisturbed, record => record.totalMilliseconds > timeoutMilliseconds + 500),
        crossed: count(records, record => record.outcome === "crossed"),
        cutTakenAsWhole: count(records, record => record.outcome === "falselyWhole"),
        coldOverloads: [...overloads.values()].reduce((sum, value) => sum + value, 0),
        memoryLeftTokens: memory,
    };
    const outcomes = list =>
        Object.fromEntries(
            ["whole", "refused", "cut"].map(outcome => [outcome, count(list, record => record.outcome === outcome)]),
        );
    const ends = Object.fromEntries(
        ["booked", "notRun", "unknown", "noAnswer"].map(end => [end, count(bookings, booking => booking.end === end)]),
    );
    const seen = {
        faults: done,
        generations: records.length,
        all: outcomes(records),
        atEntriesNotKilledOrStopped: outcomes(undisturbed),
        bookings: bookings.length,
        ends,
        unknownBecause: tally(bookings.filter(booking => booking.end === "unknown").map(booking => booking.detail)),
        refusals: undisturbed.filter(record => record.outcome !== "whole").slice(0, 8).map(record =>
            `${record.status} ${record.execution} ${record.detail}`
        ),
    };
    process.stdout.write(`must be zero: ${JSON.stringify(must)}\nseen: ${JSON.stringify(seen, undefined, 1)}\n`);
    return Object.values(must).every(value => value === 0);
};

fleet.startAll();
let passed = false;
try {
    await untilReady(entries);
    const generating = generate();
    const booking = book();
    const disturbing = makeFaults();
    void readCounts();
    await sleep(seconds * 1_000);
    stopping = true;
    await disturbing;
    await setFault(platformControl, "heal");
    const records = await generating;
    const bookings = await booking;
    await sleep(60_000);
    await readEngines();
    passed = await report(records, bookings);
}
finally {
    await fleet.stopAll();
}
process.exit(passed ? 0 : 1);
