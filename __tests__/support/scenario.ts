/** Runs one scenario in a simulated world on fake time, with all mechanisms or with one disabled. */
import { vi } from "vitest";
import { Callers } from "./callers.js";
import { Mechanism, switchOff } from "./mechanisms.js";
import { FakeEntry, useFakeTime, World, WorldOptions } from "./world.js";

/** The world and the callers that a scenario acts on. */
export interface Scene {
    world: World;
    callers: Callers;
    /** Advances fake time and checks the invariants at each step. */
    pass(milliseconds: number): Promise<void>;
    entry(index: number): FakeEntry;
}

const checkIntervalMilliseconds = 100;
const quietDurationMilliseconds = 60_000;

/** Runs `act` in a settled world, then heals all faults, waits for a quiet period, and returns the violations. */
export const play = async (
    plan: Partial<WorldOptions>,
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
        for (let passed = 0; passed < milliseconds; passed += checkIntervalMilliseconds) {
            await world.advance(Math.min(checkIntervalMilliseconds, milliseconds - passed));
            callers.checkInvariants();
        }
    };
    try {
        await world.settle();
        await act({ world, callers, pass, entry: index => world.entries[index]! });
        world.heal();
        await pass(quietDurationMilliseconds);
        return callers.collectViolations(true);
    }
    finally {
        world.close();
        vi.useRealTimers();
    }
};
