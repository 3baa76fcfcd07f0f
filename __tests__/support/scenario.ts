/** Runs one scenario in a world on fake time, with every mechanism or with one switched off. */
import { vi } from "vitest";
import { Callers } from "./callers.js";
import { Mechanism, switchOff } from "./mechanisms.js";
import { FakeEntry, useFakeTime, World, WorldPlan } from "./world.js";

/** What a scenario acts on. */
export interface Scene {
    world: World;
    callers: Callers;
    /** Lets time pass and looks at what must hold at every moment. */
    pass(milliseconds: number): Promise<void>;
    entry(index: number): FakeEntry;
}

const lookMilliseconds = 100;
const quietMilliseconds = 60_000;

/** Runs `act` after the world has settled, heals everything, waits, and returns the violations. */
export const play = async (
    plan: Partial<WorldPlan>,
    act: (scene: Scene) => Promise<void>,
    without?: Mechanism,
): Promise<string[]> => {
    useFakeTime();
    const prepare = (entry: FakeEntry): void => {
        plan.prepare?.(entry);
        if (without) {
            switchOff[without](entry);
        }
    };
    const world = new World({ seed: 1, ...plan, prepare });
    const callers = new Callers(world);
    const pass = async (milliseconds: number): Promise<void> => {
        for (let passed = 0; passed < milliseconds; passed += lookMilliseconds) {
            await world.advance(Math.min(lookMilliseconds, milliseconds - passed));
            callers.look();
        }
    };
    try {
        await world.settle();
        await act({ world, callers, pass, entry: index => world.entries[index]! });
        world.heal();
        await pass(quietMilliseconds);
        return callers.verdict(true);
    }
    finally {
        world.close();
        vi.useRealTimers();
    }
};
