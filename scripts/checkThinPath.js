// End-to-end check over separate processes: a mixed load, a configuration change and a planned stop under load.
// Prints every figure and exits with 1 if any check fails.
import { callersOf, engineControl, getJson, LocalFleet, operatorsOf, sleep, untilReady } from "./fleet.js";
import { runExperiment, summarize, systemClock } from "./loadLibrary.js";

const entries = [1, 2, 3, 4, 5, 6];
const fleet = new LocalFleet();
let failed = false;

const check = (name, passed, figure) => {
    failed ||= !passed;
    process.stdout.write(`${passed ? "ok  " : "FAIL"} ${name}: ${figure}\n`);
};

const runLoad = async (targets, plan, timeoutMilliseconds = 120_000) => {
    const startedAt = systemClock.now();
    const options = { key: "quickstart", model: "standin", answerTokens: plan.answerTokens, timeoutMilliseconds };
    const records = await runExperiment(systemClock, { plan, targets, options, faults: [] });
    return summarize(records, (systemClock.now() - startedAt) / 1_000, timeoutMilliseconds);
};

const formatReport = report =>
    JSON.stringify({ requests: report.requests, ...report.outcomes, late: report.late, firstToken: report.firstToken });

const shortPlan = (requests, ratePerSecond, answerTokens, seed) => ({
    requests,
    ratePerSecond,
    mix: [{ promptTokens: 1_000, weight: 1 }],
    exact: false,
    answerTokens,
    seed,
});

const checkMixedLoad = async () => {
    const warming = await runLoad(entries.map(callersOf), shortPlan(300, 60, 32, 1));
    check("300 short requests while all engines are cold", warming.outcomes.whole === 300, formatReport(warming));
    const plan = {
        requests: 0,
        ratePerSecond: 60,
        mix: [{ promptTokens: 1_000, weight: 1_000 }, { promptTokens: 1_000_000, weight: 20 }],
        exact: true,
        answerTokens: 32,
        seed: 2,
    };
    const mixed = await runLoad(entries.map(callersOf), plan);
    check("1,000 short and 20 of a million tokens", mixed.outcomes.whole === 1_020, formatReport(mixed));
    let overloads = 0;
    for (let index = 1; index <= 20; index++) {
        overloads += (await getJson(engineControl(index), "/counts")).coldOverloads;
    }
    check("cold engines overloaded", overloads === 0, overloads);
};

const checkConfigurationChange = async () => {
    const startedAt = systemClock.now();
    const response = await fetch(`http://${operatorsOf(1)}/objects/profile/changed`, {
        method: "PUT",
        body: JSON.stringify({ value: { shortPromptTokens: 9_000 } }),
    });
    const { version } = await response.json();
    const updatedEntries = new Set();
    while (updatedEntries.size < entries.length) {
        for (const index of entries) {
            const current = await fetch(`http://${operatorsOf(index)}/objects/profile/changed`);
            if (current.status === 200 && (await current.json()).version >= version) {
                updatedEntries.add(index);
            }
        }
    }
    const duration = Math.round(systemClock.now() - startedAt);
    check("a change is in force on all 6 entries", duration < 2_000, `${duration} ms`);
};

const checkPlannedStop = async () => {
    // The load balancer reacts late: it still sends to the stopping entry for a second after SIGTERM.
    const stopping = runLoad([callersOf(2)], shortPlan(200, 50, 120, 3));
    const others = runLoad([1, 3, 4, 5, 6].map(callersOf), shortPlan(600, 100, 120, 4));
    await sleep(3_000);
    fleet.signal("entry-2", "SIGTERM");
    const report = await stopping;
    check("requests to the stopping entry", report.outcomes.whole === 200, formatReport(report));
    const otherReport = await others;
    check("requests to the others", otherReport.outcomes.whole === 600, formatReport(otherReport));
    const code = await fleet.exits.get("entry-2");
    check("exit code of the stopped entry", code === 0, code);
};

fleet.startAll();
try {
    await untilReady(entries);
    await checkMixedLoad();
    await checkConfigurationChange();
    await checkPlannedStop();
}
finally {
    await fleet.stopAll();
}
process.exit(failed ? 1 : 0);
