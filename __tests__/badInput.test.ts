/** Invalid requests are rejected with a precise problem response and a correct `execution`, and the entry keeps serving. */
import { afterAll, beforeAll, expect, test } from "vitest";
import { Problem } from "../src/internal.js";
import { Fleet, startFleet } from "./support/fleet.js";

let fleet: Fleet;
const bodyBytes = 100_000;

beforeAll(async () => {
    fleet = await startFleet({ entries: 1, engines: 3, services: 1, bodyBytes });
});

afterAll(() => fleet.close());

interface RequestInput {
    path?: string;
    headers?: Record<string, string>;
    body?: string;
}

const send = async ({ path = "/v1/completions", headers = {}, body = "" }: RequestInput): Promise<Response> =>
    fetch(`http://${fleet.entries[0]!.callers.address}${path}`, {
        method: "POST",
        headers: { authorization: "Bearer quickstart", ...headers },
        body,
    });

const expectRejection = async (input: RequestInput): Promise<Problem> => {
    const response = await send(input);
    expect(response.headers.get("content-type")).toBe("application/problem+json");
    const problem = await response.json() as Problem;
    expect(problem.status).toBe(response.status);
    expect(problem.requestId).toMatch(/^[0-9a-f]{16}$/);
    expect(problem.execution).toBe("not-run");
    // No part of a rejected request may reach an endpoint.
    expect(fleet.engines.every(engine => engine.model.runs.size === 0)).toBe(true);
    return problem;
};

const validBody = JSON.stringify({ model: "standin", prompt: "Hello" });

test("broken JSON", async () => {
    const problem = await expectRejection({ body: "{\"model\": " });
    expect(problem).toMatchObject({ status: 400, detail: "the body is not valid JSON" });
});

test("missing field", async () => {
    const problem = await expectRejection({ body: "{\"model\": \"standin\"}" });
    expect(problem.status).toBe(400);
    expect(problem.detail).toContain("prompt");
});

test("body over the limit", async () => {
    const problem = await expectRejection({ body: "x".repeat(bodyBytes + 1) });
    expect(problem).toMatchObject({ status: 413, detail: `the body exceeds the limit of ${bodyBytes} bytes` });
});

test("unknown model", async () => {
    const problem = await expectRejection({ body: JSON.stringify({ model: "nobody", prompt: "Hello" }) });
    expect(problem).toMatchObject({ status: 404, detail: "model: unknown model \"nobody\"" });
});

test("unknown customer", async () => {
    const problem = await expectRejection({ headers: { authorization: "Bearer stranger" }, body: validBody });
    expect(problem).toMatchObject({ status: 401, detail: "Authorization: missing or unknown API key" });
});

test("negative timeout", async () => {
    const problem = await expectRejection({ headers: { "x-request-timeout-ms": "-5" }, body: validBody });
    expect(problem.status).toBe(400);
    expect(problem.detail).toContain("X-Request-Timeout-Ms");
});

test("unknown service", async () => {
    const problem = await expectRejection({ path: "/services/nobody/x" });
    expect(problem.status).toBe(404);
});

test("key required", async () => {
    const problem = await expectRejection({ path: "/services/orders/paint" });
    expect(problem.status).toBe(400);
    expect(problem.detail).toContain("Idempotency-Key");
});

test("key reused with another body", async () => {
    const headers = { "idempotency-key": "reused" };
    expect((await send({ path: "/services/bookings/places", headers, body: "{\"place\": 1}" })).status).toBe(201);
    const problem = await expectRejection({ path: "/services/bookings/places", headers, body: "{\"place\": 2}" });
    expect(problem.status).toBe(422);
    expect(fleet.runs.get("reused")).toBe(1);
});

test("the entry still serves requests after rejections", async () => {
    expect((await send({ body: validBody })).status).toBe(200);
});
