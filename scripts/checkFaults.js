// Fault injection under load. Kills, pauses and resumes the processes of entries and engines, breaks the platform, and
// counts violations (double runs, false responses, late ends, lost memory), each of which must be zero.
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
const runsByRequest = new Map();
const overloadsByEngine = new Map();
const faultPeriods = [];
const injectedFaults = { kills: 0, stops: 0, crashes: 0, outages: 0 };
const timeoutMilliseconds = 20_000;
let stopping = false;

const pickIndex = count => 1 + Math.floor(random.next() * count);

// The counts of a process are lost when it ends, so they are read every second and once more before the process is killed.
const readEngine = async index => {
    try {
        const engineRuns = await getJson(engineControl(index), "/runs");
        for (const [requestId, count] of Object.entries(engineRuns)) {
            runsByRequest.set(`${index}/${requestId}`, count);
        }
        const counts = await getJson(engineControl(index), "/counts");
        overloadsByEngine.set(index, Math.max(overloadsByEngine.get(index) ?? 0, counts.coldOverloads));
    }
    catch {
        // The engine is stopped or dead. Its counts are read again a second later.
    }
};

const readEngines = () => Promise.all(Array.from({ length: 20 }, (_, index) => readEngine(index + 1)));

const recordFaultPeriod = (target, from, until) => faultPeriods.push({ target, from, until });

const killEntry = async () => {
    const index = pickIndex(6);
    const from = systemClock.now();
    injectedFaults.kills++;
    fleet.signal(`entry-${index}`, "SIGKILL");
    await sleep(1_500);
    fleet.start(`entry-${index}`);
    recordFaultPeriod(callersOf(index), from - timeoutMilliseconds, from + 6_000);
};

const pauseEntry = async () => {
    const index = pickIndex(6);
    const from = systemClock.now();
    injectedFaults.stops++;
    fleet.signal(`entry-${index}`, "SIGSTOP");
    await sleep(2_000 + random.next() * 8_000);
    fleet.signal(`entry-${index}`, "SIGCONT");
    recordFaultPeriod(callersOf(index), from - timeoutMilliseconds, systemClock.now() + 1_000);
};

const killEngine = async () => {
    const index = pickIndex(20);
    const name = `engine-${String(index).padStart(2, "0")}`;
    injectedFaults.kills++;
    await readEngine(index);
    fleet.signal(name, "SIGKILL");
    await sleep(1_500);
    fleet.start(name);
};

const pauseEngine = async () => {
    const name = `engine-${String(pickIndex(20)).padStart(2, "0")}`;
    injectedFaults.stops++;
    fleet.signal(name, "SIGSTOP");
    await sleep(2_000 + random.next() * 6_000);
    fleet.signal(name, "SIGCONT");
};

const injectEngineFault = async () => {
    injectedFaults.crashes++;
    await setFault(engineControl(pickIndex(20)), ["cold", "silent", "crash"][Math.floor(random.next() * 3)]).catch(() =>
        undefined
    );
};

const causePlatformOutage = async () => {
    injectedFaults.outages++;
    await setFault(platformControl, "down", 1);
    await sleep(3_000 + random.next() * 5_000);
    await setFault(platformControl, "down", 0);
    await setFault(platformControl, "loseAnswers", 0.3);
    await sleep(2_000);
    await setFault(platformControl, "loseAnswers", 0);
};

const faults = [
    killEntry,
    pauseEntry,
    pauseEntry,
    killEngine,
    pauseEngine,
    pauseEngine,
    injectEngineFault,
    injectEngineFault,
    causePlatformOutage,
];

const injectFaults = async () => {
    const running = [];
    while (!stopping) {
        await sleep(1_500 + random.next() * 1_500);
        const fault = faults[Math.floor(random.next() * faults.length)];
        running.push(fault().catch(error => process.stdout.write(`Injecting a fault failed: ${error.message}\n`)));
    }
    await Promise.all(running);
};

const pollEngines = async () => {
    while (!stopping) {
        await readEngines();
        await sleep(1_000);
    }
};

const sendBookings = async () => {
    const bookings = [];
    const options = { customerKey: "quickstart", timeoutMilliseconds: 8_000, attempts: 6 };
    for (let index = 0; !stopping; index++) {
        bookings.push(bookOnce(systemClock, targets, index, `booking-${index}`, options));
        await sleep(100);
    }
    return Promise.all(bookings);
};

const runGenerationLoad = () => {
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

const overlapsFault = record =>
    faultPeriods.some(({ target, from, until }) =>
        target === record.target && record.startedAt >= from && record.startedAt <= until
    );

const countByValue = items => {
    const counts = {};
    for (const item of items) {
        counts[item] = (counts[item] ?? 0) + 1;
    }
    return counts;
};

const hasRunOnEngine = requestId => [...runsByRequest.keys()].some(key => key.endsWith(`/${requestId}`));

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
    const unaffectedRecords = records.filter(record => !overlapsFault(record));
    const violations = {
        doubleRuns: count([...serviceRuns.values()], runsOfKey => runsOfKey > 1),
        bookedWithoutRun: count(bookings, booking => booking.end === "booked" && !serviceRuns.has(booking.key)),
        twoAnswersForOneKey: count(bookings, booking => booking.answers.length > 1),
        falseNotRunOfBookings: count(bookings, booking => booking.end === "notRun" && serviceRuns.has(booking.key)),
        falseNotRunOfGenerations: count(
            records,
            record => record.execution === "not-run" && hasRunOnEngine(record.requestId),
        ),
        lateEnds: count(unaffectedRecords, record => record.totalMilliseconds > timeoutMilliseconds + 500),
        crossed: count(records, record => record.outcome === "crossed"),
        cutTakenAsWhole: count(records, record => record.outcome === "falselyWhole"),
        coldOverloads: [...overloadsByEngine.values()].reduce((sum, value) => sum + value, 0),
        memoryLeftTokens: memory,
    };
    const outcomes = list =>
        Object.fromEntries(
            ["whole", "refused", "cut"].map(outcome => [outcome, count(list, record => record.outcome === outcome)]),
        );
    const ends = Object.fromEntries(
        ["booked", "notRun", "unknown", "noAnswer"].map(end => [end, count(bookings, booking => booking.end === end)]),
    );
    const observations = {
        faults: injectedFaults,
        generations: records.length,
        all: outcomes(records),
        atEntriesNotKilledOrStopped: outcomes(unaffectedRecords),
        bookings: bookings.length,
        ends,
        unknownBecause: countByValue(
            bookings.filter(booking => booking.end === "unknown").map(booking => booking.detail),
        ),
        refusals: unaffectedRecords.filter(record => record.outcome !== "whole").slice(0, 8).map(record =>
            `${record.status} ${record.execution} ${record.detail}`
        ),
    };
    process.stdout.write(
        `must be zero: ${JSON.stringify(violations)}\nseen: ${JSON.stringify(observations, undefined, 1)}\n`,
    );
    return Object.values(violations).every(value => value === 0);
};

fleet.startAll();
let passed = false;
try {
    await untilReady(entries);
    const generationLoad = runGenerationLoad();
    const bookingLoad = sendBookings();
    const injecting = injectFaults();
    void pollEngines();
    await sleep(seconds * 1_000);
    stopping = true;
    await injecting;
    await setFault(platformControl, "heal");
    const records = await generationLoad;
    const bookings = await bookingLoad;
    await sleep(60_000);
    await readEngines();
    passed = await report(records, bookings);
}
finally {
    await fleet.stopAll();
}
process.exit(passed ? 0 : 1);
