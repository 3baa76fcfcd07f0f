/** The load tool: the same arrivals for the same seed, and a judgement that misses nothing. */
import { afterAll, beforeAll, expect, test } from "vitest";
import { listen, Listener, systemClock } from "../src/internal.js";
import { ArrivalPlan, planArrivals } from "../src/load/arrivals.js";
import { callOnce, CallOutcome, CallRecord } from "../src/load/caller.js";
import { summarize } from "../src/load/report.js";
import { expectedResponse } from "../src/standins/expectedResponse.js";

const plan: ArrivalPlan = {
    requests: 50,
    ratePerSecond: 10,
    mix: [{ promptTokens: 100, weight: 9 }, { promptTokens: 1_000, weight: 1 }],
    exact: false,
    answerTokens: 8,
    seed: 3,
};

test("same arrivals for the same seed", () => {
    expect([...planArrivals(plan)]).toEqual([...planArrivals(plan)]);
    expect([...planArrivals({ ...plan, seed: 4 })]).not.toEqual([...planArrivals(plan)]);
});

test("exact counts", () => {
    const lengths = [...planArrivals({ ...plan, exact: true })].map(arrival => arrival.promptTokens);
    expect(lengths.filter(length => length === 100)).toHaveLength(9);
    expect(lengths.filter(length => length === 1_000)).toHaveLength(1);
});

const prompt = "a form [[tokens=8]]";
const whole = expectedResponse(prompt, 8);
let answer = "";
let server: Listener;

beforeAll(async () => {
    server = await listen("127.0.0.1:0", (...[, response]) => Promise.resolve(void response.end(answer)));
});

afterAll(() => server.close());

const chunk = (text: string): string => `data: ${JSON.stringify({ choices: [{ text }] })}\n\n`;

const judged = async (stream: string): Promise<CallRecord> => {
    answer = stream;
    const options = { key: "k", model: "m", answerTokens: 8, timeoutMilliseconds: 5_000 };
    return callOnce(systemClock, server.address, { index: 0, at: 0, promptTokens: 5, prompt }, options);
};

for (
    const [name, stream, outcome] of [
        ["whole", chunk(whole) + "data: [DONE]\n\n", CallOutcome.Whole],
        ["cut", chunk(whole), CallOutcome.Cut],
        ["falsely whole", chunk(whole.slice(0, 9)) + "data: [DONE]\n\n", CallOutcome.FalselyWhole],
        ["crossed", chunk("another answer") + "data: [DONE]\n\n", CallOutcome.Crossed],
        [
            "refused in the stream",
            chunk(whole) + "event: error\ndata: {\"execution\":\"ran\"}\n\n",
            CallOutcome.Refused,
        ],
    ] as const
) {
    test(`answer that is ${name}`, async () => {
        expect((await judged(stream)).outcome).toBe(outcome);
    });
}

test("summary by length", async () => {
    const record = await judged(chunk(whole) + "data: [DONE]\n\n");
    const late = { ...record, promptTokens: 50_000, firstTokenMilliseconds: 700, totalMilliseconds: 9_000 };
    const report = summarize([record, late], 1, 5_000);
    expect(report).toMatchObject({ requests: 2, late: 1, outcomes: { whole: 2 } });
    expect(report.firstToken.map(row => row.upToTokens)).toEqual([2_000, 100_000]);
});
