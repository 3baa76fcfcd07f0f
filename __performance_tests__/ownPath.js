// Overhead of an entry: sends the same requests through an entry and directly to the stand-in engine.
import http from "node:http";
import { callersOf, sleep, untilReady } from "../scripts/fleet.js";
import { benchPrompt, callOnce, engineClient, expectExactResponse, systemClock } from "../scripts/loadLibrary.js";
import { makeFleet, markdownTable, median, usageOf, writeResult } from "./shared.js";

const requests = 400;
const warmupRequests = 100;
const answerTokens = 40;
const engineAddress = "127.0.0.1:9100";
const options = { key: "quickstart", model: "standin", answerTokens, timeoutMilliseconds: 30_000 };

const callEntry = async index => {
    const prompt = benchPrompt(index, answerTokens);
    const record = await callOnce(systemClock, callersOf(1), { index, at: 0, promptTokens: 1_000, prompt }, options);
    return { first: record.firstTokenMilliseconds, total: record.totalMilliseconds };
};

const callEngine = async index => {
    const prompt = benchPrompt(index, answerTokens);
    const startedAt = systemClock.now();
    const signal = new AbortController().signal;
    const frames = await engineClient.generate(
        engineAddress,
        {
            streamId: `straight${startedAt}${index}.0`,
            attempt: 0,
            owner: "bench",
            ownerIncarnation: "bench",
            prompt,
            promptTokens: 1_000,
            maximumTokens: answerTokens,
            startOffset: 0,
            priority: 0,
            remainingMilliseconds: 30_000,
        },
        signal,
        signal,
    );
    let first;
    let text = "";
    for await (const frame of frames) {
        first ??= systemClock.now() - startedAt;
        text += frame.type === "Tokens" ? frame.text : "";
    }
    expectExactResponse(prompt, text, answerTokens);
    return { first, total: systemClock.now() - startedAt };
};

const measure = async (call, pid) => {
    for (let index = 0; index < warmupRequests; index++) {
        await call(index);
    }
    const before = usageOf(pid);
    const samples = [];
    for (let index = 0; index < requests; index++) {
        samples.push(await call(1_000 + index));
    }
    const after = usageOf(pid);
    return {
        first: median(samples.map(sample => sample.first)),
        total: median(samples.map(sample => sample.total)),
        processorMilliseconds: (after.milliseconds - before.milliseconds) / requests,
    };
};

/** Measures the requests per second that one entry serves to 64 callers in a closed loop. */
const measureThroughput = async () => {
    const seconds = 8;
    const until = systemClock.now() + seconds * 1_000;
    let served = 0;
    const worker = async number => {
        for (let index = 0; systemClock.now() < until; index++) {
            await callEntry(number * 100_000 + index);
            served++;
        }
    };
    await Promise.all(Array.from({ length: 64 }, (_, number) => worker(number)));
    return served / seconds;
};

export const measureOwnPath = async () => {
    http.globalAgent.maxSockets = 512;
    const fleet = makeFleet({
        engines: 8,
        services: 3,
        entries: 1,
        engine: { startWarm: true, stepMilliseconds: 2, tokensPerStep: 4_000 },
    });
    fleet.startAll();
    try {
        await untilReady([1], 11);
        await sleep(3_000);
        const pid = fleet.children.get("entry-1").pid;
        const direct = await measure(callEngine, pid);
        const entry = await measure(callEntry, pid);
        const idleStart = usageOf(pid).milliseconds;
        await sleep(10_000);
        const idleShare = (usageOf(pid).milliseconds - idleStart) / 10_000;
        const rate = await measureThroughput();
        const rows = [
            ["directly to the engine", direct.first.toFixed(2), direct.total.toFixed(2), "-"],
            [
                "through an entry",
                entry.first.toFixed(2),
                entry.total.toFixed(2),
                entry.processorMilliseconds.toFixed(2),
            ],
        ];
        const text =
            `# Overhead of an entry\n\nMedians of ${requests} requests of 1,000 tokens and ${answerTokens} answer tokens, `
            + "sent one after the other; processor time of the entry's process, including its control traffic.\n\n"
            + markdownTable(
                ["path", "first token ms", "complete response ms", "entry's processor ms per request"],
                rows,
            )
            + `\nAn idle entry beside 8 engines uses ${(idleShare * 100).toFixed(2)}% of a core. `
            + `With 64 callers at once one entry served ${rate.toFixed(0)} requests per second `
            + `(${(rate * answerTokens).toFixed(0)} tokens per second), caller and engines on the same machine.\n`;
        writeResult("ownPath", { direct, entry, idleShare, rate }, text);
    }
    finally {
        await fleet.stopAll();
    }
};
