/** A request that crashes engines is stopped after two crashes, on every entry. */
import { expect, test } from "vitest";
import { FailureKind } from "../src/internal.js";
import { play, Scene } from "./support/scenario.js";

const crashes = ({ world }: Scene): number => world.engines.reduce((sum, engine) => sum + engine.model.crashCount, 0);

/** One prompt crashes each engine that runs it. Its caller sends it again and again, by every entry. */
const sentAgain = async (scene: Scene): Promise<void> => {
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

test("poison sent again by every entry", async () => {
    let seen = 0;
    expect(
        await play({}, async scene => {
            await sentAgain(scene);
            seen = crashes(scene);
        }),
    ).toEqual([]);
    expect(seen).toBe(2);
    let without = 0;
    await play({}, async scene => {
        await sentAgain(scene).catch(() => undefined);
        without = crashes(scene);
    }, "suspects");
    expect(without).toBeGreaterThan(4);
});

/** Innocent requests run beside the poison on the engines it crashes. They must finish, and not be taken for it. */
const innocents = async (scene: Scene): Promise<void> => {
    const { callers, pass, entry } = scene;
    const beside = Array.from(
        { length: 12 },
        (...[, index]) => callers.generate(entry(index % 3), { tokens: 100, answerTokens: 100, timeout: 60_000 }),
    );
    await pass(100);
    callers.generate(entry(0), { tokens: 100, poison: true });
    await pass(40_000);
    expect(beside.map(request => request.end?.type)).toEqual(beside.map(() => "Whole"));
    const again = beside.map((...[, index]) => callers.generate(entry(index % 3), { tokens: 100, answerTokens: 20 }));
    await pass(10_000);
    expect(again.every(request => request.end?.type === "Whole")).toBe(true);
};

test("innocents clear themselves", async () => {
    expect(await play({}, innocents)).toEqual([]);
});
