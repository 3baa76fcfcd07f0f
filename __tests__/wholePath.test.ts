/** End-to-end tests over real sockets, with the unmodified `openai` client as the caller. */
import OpenAI from "openai";
import { afterAll, beforeAll, expect, test } from "vitest";
import { expectedResponse } from "../src/standins/expectedResponse.js";
import { Fleet, startFleet } from "./support/fleet.js";

let fleet: Fleet;
let client: OpenAI;

beforeAll(async () => {
    fleet = await startFleet({ entries: 1, engines: 3, services: 2 });
    client = new OpenAI({
        apiKey: "quickstart",
        baseURL: `http://${fleet.entries[0]!.callers.address}/v1`,
        maxRetries: 0,
    });
});

afterAll(() => fleet.close());

const messages = [{ role: "user" as const, content: "Which tents are free in August?" }];
const chatPrompt = "user: Which tents are free in August?\n";

test("streamed chat", async () => {
    const stream = await client.chat.completions.create({ model: "standin", messages, stream: true });
    let text = "";
    let finish: string | undefined;
    for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? "";
        finish = chunk.choices[0]?.finish_reason ?? finish;
    }
    expect(text).toBe(expectedResponse(chatPrompt, 4_096));
    expect(finish).toBe("stop");
});

test("whole chat", async () => {
    const answer = await client.chat.completions.create({ model: "standin", messages });
    expect(answer.choices[0]!.message.content).toBe(expectedResponse(chatPrompt, 4_096));
    expect(answer.usage!.completion_tokens).toBeGreaterThan(0);
});

test("whole completion cut by length", async () => {
    const answer = await client.completions.create({ model: "standin", prompt: "A form [[tokens=30]]", max_tokens: 7 });
    expect(answer.choices[0]!.text).toBe(expectedResponse("A form [[tokens=30]]", 7));
    expect(answer.choices[0]!.finish_reason).toBe("length");
});

test("list of models", async () => {
    const models = await client.models.list();
    expect(models.data.map(model => model.id)).toEqual(["standin"]);
});

test("repeat at the same key", async () => {
    const call = () =>
        fetch(`http://${fleet.entries[0]!.callers.address}/services/bookings/places`, {
            method: "POST",
            headers: { authorization: "Bearer quickstart", "idempotency-key": "family-1" },
            body: "{\"place\": 4}",
        });
    const first = await (await call()).text();
    const second = await call();
    expect(await second.text()).toBe(first);
    expect(second.headers.get("idempotent-replayed")).toBe("true");
    expect(fleet.runs.get("family-1")).toBe(1);
});
