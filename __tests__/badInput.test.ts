/** Bad input: each a clear problem object with a true `execution`, and the entry lives on. */
import { afterAll, beforeAll, expect, test } from "vitest";
import { Problem } from "../src/internal.js";
import { Fleet, startFleet } from "./support/fleet.js";

let fleet: Fleet;
const bodyBytes = 100_000;

beforeAll(async () => {
    fleet = await startFleet({ entries: 1, engines: 3, services: 1, bodyBytes });
});

afterAll(() => fleet.close());

interface Sent {
    path?: string;
    headers?: Record<string, string>;
    body?: string;
}

const send = async ({ path = "/v1/completions", headers = {}, body = "" }: Sent): Promise<Response> =>
    fetch(`http://${fleet.entries[0]!.callers.address}${path}`, {
        method: "POST",
        headers: { authorization: "Bearer quickstart", ...headers },
        body,
    });

const refusal = async (sent: Sent): Promise<Problem> => {
    const response = await send(sent);
    expect(response.headers.get("content-type")).toBe("application/problem+json");
    const problem = await response.json() as Problem;
    expect(problem.status).toBe(response.status);
    expect(problem.requestId).toMatch(/^[0-9a-f]{16}$/);
    expect(problem.execution).toBe("not-run");
    // Nothing of a refused request may have reached an endpoint.
    expect(fleet.engines.every(engine => engine.model.runs.size === 0)).toBe(true);
    return problem;
};

const good = JSON.stringify({ model: "standin", prompt: "Hello" });

test("broken JSON", async () => {
    const problem = await refusal({ body: "{\"model\": " });
    expect(problem).toMatchObject({ status: 400, detail: "the body is no valid JSON" });
});

test("missing field", async () => {
    const problem = await refusal({ body: "{\"model\": \"standin\"}" });
    expect(problem.status).toBe(400);
    expect(problem.detail).toContain("prompt");
});

test("body over the limit", async () => {
    const problem = await refusal({ body: "x".repeat(bodyBytes + 1) });
    expect(problem).toMatchObject({ status: 413, detail: `the body is over the limit of ${bodyBytes} bytes` });
});

test("unknown model", async () => {
    const problem = await refusal({ body: JSON.stringify({ model: "nobody", prompt: "Hello" }) });
    expect(problem).toMatchObject({ status: 404, detail: "model: there is no model \"nobody\"" });
});

test("unknown customer", async () => {
    const problem = await refusal({ headers: { authorization: "Bearer stranger" }, body: good });
    expect(problem).toMatchObject({ status: 401, detail: "Authorization: no customer has this key" });
});

test("negative timeout", async () => {
    const problem = await refusal({ headers: { "x-request-timeout-ms": "-5" }, body: good });
    expect(problem.status).toBe(400);
    expect(problem.detail).toContain("X-Request-Timeout-Ms");
});

test("unknown service", async () => {
    const problem = await refusal({ path: "/services/nobody/x" });
    expect(problem.status).toBe(404);
});

test("key required", async () => {
    const problem = await refusal({ path: "/services/orders/paint" });
    expect(problem.status).toBe(400);
    expect(problem.detail).toContain("Idempotency-Key");
});

test("key reused with another body", async () => {
    const headers = { "idempotency-key": "reused" };
    expect((await send({ path: "/services/bookings/places", headers, body: "{\"place\": 1}" })).status).toBe(201);
    const problem = await refusal({ path: "/services/bookings/places", headers, body: "{\"place\": 2}" });
    expect(problem.status).toBe(422);
    expect(fleet.runs.get("reused")).toBe(1);
});

test("the entry lives on", async () => {
    expect((await send({ body: good })).status).toBe(200);
});
