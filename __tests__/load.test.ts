/** The load tool: seeded arrivals, and detection of every incomplete or wrong response. */
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

test("weights of an exact mix are counts", () => {
    const lengths = [...planArrivals({ ...plan, exact: true })].map(arrival => arrival.promptTokens);
    expect(lengths.filter(length => length === 100)).toHaveLength(9);
    expect(lengths.filter(length => length === 1_000)).toHaveLength(1);
});

const prompt = "a form [[tokens=8]]";
const completeText = expectedResponse(prompt, 8);
let responseBody = "";
let server: Listener;

beforeAll(async () => {
    server = await listen("127.0.0.1:0", (...[, response]) => Promise.resolve(void response.end(responseBody)));
});

afterAll(() => server.close());

const eventOf = (text: string): string => `data: ${JSON.stringify({ choices: [{ text }] })}\n\n`;

const callWithStream = async (stream: string): Promise<CallRecord> => {
    responseBody = stream;
    const options = { key: "k", model: "m", answerTokens: 8, timeoutMilliseconds: 5_000 };
    return callOnce(systemClock, server.address, { index: 0, at: 0, promptTokens: 5, prompt }, options);
};

for (
    const [name, stream, outcome] of [
        ["whole", eventOf(completeText) + "data: [DONE]\n\n", CallOutcome.Whole],
        ["cut", eventOf(completeText), CallOutcome.Cut],
        ["falsely whole", eventOf(completeText.slice(0, 9)) + "data: [DONE]\n\n", CallOutcome.FalselyWhole],
        ["crossed", eventOf("another answer") + "data: [DONE]\n\n", CallOutcome.Crossed],
        [
            "refused in the stream",
            eventOf(completeText) + "event: error\ndata: {\"execution\":\"ran\"}\n\n",
            CallOutcome.Refused,
        ],
    ] as const
) {
    test(`response that is ${name}`, async () => {
        expect((await callWithStream(stream)).outcome).toBe(outcome);
    });
}

test("summary of times by prompt length", async () => {
    const record = await callWithStream(eventOf(completeText) + "data: [DONE]\n\n");
    const late = { ...record, promptTokens: 50_000, firstTokenMilliseconds: 700, totalMilliseconds: 9_000 };
    const report = summarize([record, late], 1, 5_000);
    expect(report).toMatchObject({ requests: 2, late: 1, outcomes: { whole: 2 } });
    expect(report.firstToken.map(row => row.upToTokens)).toEqual([2_000, 100_000]);
});
