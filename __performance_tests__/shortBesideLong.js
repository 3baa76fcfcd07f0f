// Short prompts beside long ones at 70% load: time to first token under each policy, with the same arrivals.
import { callersOf, operatorsOf, sleep, untilReady } from "../scripts/fleet.js";
import { runExperiment, summarize, systemClock } from "../scripts/loadLibrary.js";
import { keep, makeFleet, median, table } from "./shared.js";

const entries = [1, 2, 3, 4, 5, 6];
const policies = ["roundRobin", "leastLoaded", "shortFirst"];
const runs = Number(process.env.BENCH_RUNS ?? 5);
const engine = { startWarm: true, tokensPerStep: 400, stepMilliseconds: 20 };
const tokensPerSecond = 20 * 400 / 0.02;
const load = 0.7;
const seconds = Number(process.env.BENCH_SECONDS ?? 12);
const shortTokens = 1_000;
// One in fifty prompts is over 100,000 tokens; one in 250 has a million.
const mixed = [
    { promptTokens: shortTokens, weight: 980 },
    { promptTokens: 150_000, weight: 16 },
    { promptTokens: 1_000_000, weight: 4 },
];
const meanTokens = mixed.reduce((sum, part) => sum + part.promptTokens * part.weight, 0) / 1_000;
const rate = load * tokensPerSecond / meanTokens;
const timeoutMilliseconds = 180_000;
const answerTokens = 24;

const setPolicy = async policy => {
    await fetch(`http://${operatorsOf(1)}/objects/profile/models`, {
        method: "PUT",
        body: JSON.stringify({ value: { policy } }),
    });
    await sleep(1_500);
};

const run = async (mix, seed) => {
    const requests = Math.round(rate * seconds);
    const startedAt = systemClock.now();
    const records = await runExperiment(systemClock, {
        plan: { requests, ratePerSecond: rate, mix, exact: false, answerTokens, seed },
        targets: entries.map(callersOf),
        options: { key: "quickstart", model: "standin", answerTokens, timeoutMilliseconds },
        faults: [],
    });
    const report = summarize(records, (systemClock.now() - startedAt) / 1_000, timeoutMilliseconds);
    const row = limit => report.firstToken.find(found => found.upToTokens === limit);
    return {
        whole: report.outcomes.whole,
        requests,
        short: row(2_000),
        long: row(500_000),
        million: row(undefined),
    };
};

const summary = (found, kind) => {
    const rows = found.map(each => each[kind]).filter(row => row !== undefined);
    const of = quantile => rows.length === 0 ? "-" : median(rows.map(row => row[quantile]));
    return [of("p50"), of("p95"), of("p99")];
};

export const measureShortBesideLong = async () => {
    const fleet = makeFleet({ engine });
    const found = { alone: [] };
    fleet.startAll();
    try {
        await untilReady(entries);
        await sleep(5_000);
        await setPolicy("shortFirst");
        for (let seed = 1; seed <= runs; seed++) {
            found.alone.push(await run([{ promptTokens: shortTokens, weight: 1 }], seed));
            for (const policy of policies) {
                await setPolicy(policy);
                (found[policy] ??= []).push(await run(mixed, seed));
            }
        }
    }
    finally {
        await fleet.stopAll();
    }
    const rows = Object.entries(found).map(([name, each]) => [
        name,
        ...summary(each, "short"),
        ...summary(each, "long"),
        summary(each, "million")[0],
        `${each.reduce((sum, one) => sum + one.whole, 0)} of ${each.reduce((sum, one) => sum + one.requests, 0)}`,
    ]);
    const heads = ["policy", "short p50", "p95", "p99", "150k p50", "p95", "p99", "million p50", "whole"];
    const text =
        `# Short prompts beside long ones\n\nTime to first token in ms at ${load * 100}% of the engines' prefill rate, `
        + `medians over ${runs} runs of ${seconds} s of arrivals (Poisson, seeds 1 to ${runs}, the same for each policy), `
        + `${rate.toFixed(1)} requests a second over 6 entries and 20 stand-in engines of 20,000 tokens a second. `
        + "\"alone\" sends as many requests, all of them short.\n\n"
        + table(heads, rows);
    keep("shortBesideLong", found, text);
};
