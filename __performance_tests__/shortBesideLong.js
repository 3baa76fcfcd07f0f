// Time to first token of short prompts in a mix with long ones at 70% load, under each policy with the same arrivals.
import { callersOf, operatorsOf, sleep, untilReady } from "../scripts/fleet.js";
import { runExperiment, summarize, systemClock } from "../scripts/loadLibrary.js";
import { makeFleet, markdownTable, median, writeResult } from "./shared.js";

const entries = [1, 2, 3, 4, 5, 6];
const policies = ["roundRobin", "leastLoaded", "shortFirst"];
const runs = Number(process.env.BENCH_RUNS ?? 5);
const engine = { startWarm: true, tokensPerStep: 400, stepMilliseconds: 20 };
const tokensPerSecond = 20 * 400 / 0.02;
const loadFactor = 0.7;
const seconds = Number(process.env.BENCH_SECONDS ?? 12);
const shortTokens = 1_000;
// One in fifty prompts has more than 100,000 tokens; one in 250 has a million.
const mixedPrompts = [
    { promptTokens: shortTokens, weight: 980 },
    { promptTokens: 150_000, weight: 16 },
    { promptTokens: 1_000_000, weight: 4 },
];
const meanTokens = mixedPrompts.reduce((sum, item) => sum + item.promptTokens * item.weight, 0) / 1_000;
const rate = loadFactor * tokensPerSecond / meanTokens;
const timeoutMilliseconds = 180_000;
const answerTokens = 24;

const setPolicy = async policy => {
    await fetch(`http://${operatorsOf(1)}/objects/profile/models`, {
        method: "PUT",
        body: JSON.stringify({ value: { policy } }),
    });
    await sleep(1_500);
};

const measureRun = async (mix, seed) => {
    const requests = Math.round(rate * seconds);
    const startedAt = systemClock.now();
    const records = await runExperiment(systemClock, {
        plan: { requests, ratePerSecond: rate, mix, exact: false, answerTokens, seed },
        targets: entries.map(callersOf),
        options: { key: "quickstart", model: "standin", answerTokens, timeoutMilliseconds },
        faults: [],
    });
    const report = summarize(records, (systemClock.now() - startedAt) / 1_000, timeoutMilliseconds);
    const rowUpTo = limit => report.firstToken.find(row => row.upToTokens === limit);
    return {
        whole: report.outcomes.whole,
        requests,
        short: rowUpTo(2_000),
        long: rowUpTo(500_000),
        million: rowUpTo(undefined),
    };
};

const medianQuantiles = (samples, kind) => {
    const rows = samples.map(sample => sample[kind]).filter(row => row !== undefined);
    const medianOf = quantile => rows.length === 0 ? "-" : median(rows.map(row => row[quantile]));
    return [medianOf("p50"), medianOf("p95"), medianOf("p99")];
};

export const measureShortBesideLong = async () => {
    const fleet = makeFleet({ engine });
    const samplesByPolicy = { alone: [] };
    fleet.startAll();
    try {
        await untilReady(entries);
        await sleep(5_000);
        await setPolicy("shortFirst");
        for (let seed = 1; seed <= runs; seed++) {
            samplesByPolicy.alone.push(await measureRun([{ promptTokens: shortTokens, weight: 1 }], seed));
            for (const policy of policies) {
                await setPolicy(policy);
                (samplesByPolicy[policy] ??= []).push(await measureRun(mixedPrompts, seed));
            }
        }
    }
    finally {
        await fleet.stopAll();
    }
    const rows = Object.entries(samplesByPolicy).map(([name, samples]) => [
        name,
        ...medianQuantiles(samples, "short"),
        ...medianQuantiles(samples, "long"),
        medianQuantiles(samples, "million")[0],
        `${samples.reduce((sum, sample) => sum + sample.whole, 0)} of ${
            samples.reduce((sum, sample) => sum + sample.requests, 0)
        }`,
    ]);
    const headings = ["policy", "short p50", "p95", "p99", "150k p50", "p95", "p99", "million p50", "whole"];
    const text =
        `# Short prompts mixed with long ones\n\nTime to first token in ms at ${
            loadFactor * 100
        }% of the engines' prefill rate, `
        + `medians over ${runs} runs of ${seconds} s of arrivals (Poisson, seeds 1 to ${runs}, the same for each policy), `
        + `${
            rate.toFixed(1)
        } requests per second over 6 entries and 20 stand-in engines with a prefill rate of 20,000 tokens per second. `
        + "\"alone\" sends as many requests, all of them short.\n\n"
        + markdownTable(headings, rows);
    writeResult("shortBesideLong", samplesByPolicy, text);
};
