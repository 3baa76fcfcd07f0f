/** Every request ends by its deadline, and a request that can't meet its deadline is rejected immediately. */
import { expect, test } from "vitest";
import { FailureKind, RequestFailure } from "../src/internal.js";
import { CallerRequest } from "./support/callers.js";
import { play, Scene } from "./support/scenario.js";

const failureOf = (request: CallerRequest): RequestFailure | undefined =>
    request.end?.type === "Failed" ? request.end.failure : undefined;

/** All engines are frozen: connections stay open without data. Without deadlines, callers would wait forever. */
const freezeAllEngines = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
    for (let index = 0; index < 6; index++) {
        callers.generate(entry(index % 3), { tokens: 100, answerTokens: 150, timeout: 4_000 });
    }
    await pass(300);
    world.engines.forEach(engine => engine.gate.freeze());
    callers.generate(entry(0), { tokens: 100, timeout: 3_000 });
    await pass(12_000);
    expect(callers.requests.every(request => request.end !== undefined)).toBe(true);
};

test("frozen engines", async () => {
    expect(await play({}, freezeAllEngines)).toEqual([]);
});

/** One engine freezes in the middle of a stream. The caller receives the rest from another engine before the deadline. */
const freezeOneEngine = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
    const request = callers.generate(entry(0), { tokens: 100, answerTokens: 150, timeout: 20_000 });
    await world.advanceUntil(() => world.engines.some(engine => engine.starts.length > 0), 1_000);
    await pass(200);
    world.engines.find(engine => engine.starts.length > 0)!.gate.freeze();
    await pass(15_000);
    expect(request.end?.type).toBe("Whole");
};

test("one frozen engine", async () => {
    expect(await play({}, freezeOneEngine)).toEqual([]);
});

test("deadline within a stream", async () => {
    // The response takes longer than the caller's timeout: the request must fail at its deadline, not later.
    const exceedDeadline = async ({ callers, pass, entry }: Scene): Promise<void> => {
        const request = callers.generate(entry(0), { tokens: 100, answerTokens: 200, timeout: 800 });
        await pass(3_000);
        expect(failureOf(request)?.kind).toBe(FailureKind.DeadlineExceeded);
    };
    expect(await play({}, exceedDeadline)).toEqual([]);
    expect((await play({}, async scene => {
        scene.callers.generate(scene.entry(0), { tokens: 100, answerTokens: 200, timeout: 800 });
        await scene.pass(3_000);
    }, "deadline")).join()).toContain("late");
});

test("refused at once", async () => {
    // A request that can't be served in time is rejected immediately, with the time after which to retry.
    const sendUnservable = async ({ callers, pass, entry }: Scene): Promise<void> => {
        const request = callers.generate(entry(0), { tokens: 3_500, timeout: 50 });
        await pass(100);
        expect(failureOf(request)).toMatchObject({
            kind: FailureKind.Overloaded,
            execution: "not-run",
            retryAfterSeconds: 1,
        });
        expect(request.endedAt! - request.sentAt).toBeLessThan(40);
    };
    expect(await play({}, sendUnservable)).toEqual([]);
});

test("no endpoint left", async () => {
    const takeOutAllEndpoints = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
        for (const name of ["north", "east"]) {
            await Promise.all([callers.restrict(entry(0), "out", "dataCentre", name), pass(1_000)]);
        }
        expect(world.engines.every(engine => entry(0).node.restrictions.forbids(engine.record))).toBe(true);
        const request = callers.generate(entry(1), { tokens: 100 });
        await pass(5_000);
        expect(failureOf(request)).toMatchObject({ kind: FailureKind.NoEndpoint, execution: "not-run" });
        expect(request.endedAt! - request.sentAt).toBeLessThan(4_000);
    };
    expect(await play({}, takeOutAllEndpoints)).toEqual([]);
});

/**
 * The engines become cold while two of the three homes are frozen. A permit request to a frozen home takes 0.8 s to time
 * out; several in sequence must not carry a request past its deadline.
 */
const freezeHomes = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
    for (const engine of world.engines) {
        engine.model.fallIntoColdStart();
    }
    await pass(1_500);
    world.freeze(entry(1));
    world.freeze(entry(2));
    for (let index = 0; index < 12; index++) {
        callers.generate(entry(0), { tokens: 100, answerTokens: 100, timeout: 1_000 + index * 50 });
    }
    await pass(6_000);
};

test("silent homes", async () => {
    expect(await play({ shape: { coldConcurrency: 1, warmAfter: 1_000 } }, freezeHomes)).toEqual([]);
});
