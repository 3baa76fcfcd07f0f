/** A request that crashes engines is rejected by every entry after two crashes. */
import { expect, test } from "vitest";
import { FailureKind } from "../src/internal.js";
import { play, Scene } from "./support/scenario.js";

const crashCount = ({ world }: Scene): number =>
    world.engines.reduce((sum, engine) => sum + engine.model.crashCount, 0);

/** One prompt crashes each engine that runs it. Its caller retries it nine times, through every entry in turn. */
const retryPoison = async (scene: Scene): Promise<void> => {
    const { callers, pass, entry } = scene;
    const prompt = "[[crash]] a form with a broken page".padEnd(400, " x");
    for (let round = 0; round < 9; round++) {
        callers.generatePrompt(entry(round % 3), prompt, { tokens: 100 });
        await pass(3_000);
    }
    const last = callers.requests.at(-1)!.end;
    expect(last?.type === "Failed" && last.failure).toMatchObject({ kind: FailureKind.Poison });
    expect(last?.type === "Failed" && last.failure.retryAfterSeconds).toBeGreaterThan(0);
};

test("poison retried at every entry", async () => {
    let crashesWithTracking = 0;
    expect(
        await play({}, async scene => {
            await retryPoison(scene);
            crashesWithTracking = crashCount(scene);
        }),
    ).toEqual([]);
    expect(crashesWithTracking).toBe(2);
    let crashesWithoutTracking = 0;
    await play({}, async scene => {
        await retryPoison(scene).catch(() => undefined);
        crashesWithoutTracking = crashCount(scene);
    }, "suspects");
    expect(crashesWithoutTracking).toBeGreaterThan(4);
});

/** Harmless requests run on the engines that a poison request crashes. They must complete and must not be rejected later. */
const runBesidePoison = async (scene: Scene): Promise<void> => {
    const { callers, pass, entry } = scene;
    const harmless = Array.from(
        { length: 12 },
        (...[, index]) => callers.generate(entry(index % 3), { tokens: 100, answerTokens: 100, timeout: 60_000 }),
    );
    await pass(100);
    callers.generate(entry(0), { tokens: 100, poison: true });
    await pass(40_000);
    expect(harmless.map(request => request.end?.type)).toEqual(harmless.map(() => "Whole"));
    const retried = harmless.map((...[, index]) =>
        callers.generate(entry(index % 3), { tokens: 100, answerTokens: 20 })
    );
    await pass(10_000);
    expect(retried.every(request => request.end?.type === "Whole")).toBe(true);
};

test("harmless requests beside poison are not rejected", async () => {
    expect(await play({}, runBesidePoison)).toEqual([]);
});
