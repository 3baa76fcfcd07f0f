/** Runs fuzzing properties: random commands on a world, then healing, a quiet period, and the oracle's checks. */
import fc from "fast-check";
import { vi } from "vitest";
import { Callers } from "../support/callers.js";
import { Mechanism, switchOff } from "../support/mechanisms.js";
import { FakeEntry, useFakeTime, World } from "../support/world.js";
import { anyCommands, FuzzState } from "./commands.js";

const checkIntervalMilliseconds = 100;
const quietDurationMilliseconds = 45_000;
const maximumCommands = 60;
const maximumTimelineLines = 200;
/** Shrinking ends after this much real time, with the smallest failure so far. */
const shrinkTimeoutMilliseconds = 120_000;

/** Violations and timeline of one run. */
interface RunResult {
    violations: string[];
    timeline: string;
}

const timelineOf = (entries: readonly FakeEntry[]): string => {
    const events = entries.flatMap(entry => entry.timeline.page(0).events);
    events.sort((first, second) => first.wallTime - second.wallTime);
    const start = events[0]?.wallTime ?? 0;
    return events.slice(-maximumTimelineLines)
        .map(event =>
            `+${event.wallTime - start} ${event.process} ${event.part} ${event.event} ${event.requestId ?? ""} ${
                event.detail ?? ""
            }`
        )
        .join("\n");
};

const runCommands = async (
    seed: number,
    commands: Iterable<fc.AsyncCommand<object, FuzzState>>,
    without: Mechanism | undefined,
): Promise<RunResult> => {
    useFakeTime();
    const allEntries: FakeEntry[] = [];
    const prepare = (entry: FakeEntry): void => {
        allEntries.push(entry);
        if (without) {
            switchOff[without](entry);
        }
    };
    const world = new World({ seed, prepare, shape: { coldConcurrency: 1 } });
    const callers = new Callers(world);
    const pass = async (milliseconds: number): Promise<void> => {
        for (let passed = 0; passed < milliseconds; passed += checkIntervalMilliseconds) {
            await world.advance(checkIntervalMilliseconds);
            callers.checkInvariants();
        }
    };
    const scene = { world, callers, pass, entry: (index: number) => world.entries[index]! };
    const state: FuzzState = { scene, platformFailsUntil: 0, partitionedUntil: 0, stops: [] };
    try {
        await world.settle();
        await fc.asyncModelRun(() => ({ model: {}, real: state }), commands);
        await pass(2_000);
        world.heal();
        await pass(quietDurationMilliseconds);
        const violations = callers.collectViolations(true);
        for (const { entry, drained } of state.stops) {
            if (!drained && entry.alive) {
                violations.push(`${entry.id} never ended its planned stop`);
            }
        }
        return { violations, timeline: timelineOf(allEntries) };
    }
    finally {
        world.close();
        vi.useRealTimers();
    }
};

/** A fuzzing property failed; the message holds the commands and the violations, and on request the timeline. */
export class FuzzFailure extends Error {}

/** Options of a fuzzing property. */
export interface FuzzPlan {
    seed: number;
    runs: number;
    without?: Mechanism;
    shrink?: boolean;
    /** Path of a failing run as fast-check printed it, to replay only that run. */
    path?: string;
}

/** Checks the property with `runs` random runs. Throws {@link FuzzFailure} if one has violations. */
export const fuzz = async ({ seed, runs, without, shrink = false, path }: FuzzPlan): Promise<void> => {
    let lastFailure: RunResult | undefined;
    const property = fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        anyCommands(maximumCommands),
        async (worldSeed, commands) => {
            const result = await runCommands(worldSeed, commands, without);
            if (result.violations.length > 0) {
                lastFailure = result;
            }
            return result.violations.length === 0;
        },
    );
    const outcome = await fc.check(property, {
        seed,
        numRuns: runs,
        path,
        endOnFailure: !shrink,
        ...(shrink ? { interruptAfterTimeLimit: shrinkTimeoutMilliseconds } : {}),
    });
    if (outcome.failed) {
        const message = `seed ${outcome.seed}, path ${outcome.counterexamplePath}, run ${outcome.numRuns}\n`
            + `${String(outcome.counterexample)}\n${lastFailure?.violations.slice(0, 10).join("\n")}`;
        throw new FuzzFailure(process.env.FUZZ_TIMELINE ? `${message}\n${lastFailure?.timeline}` : message);
    }
};
