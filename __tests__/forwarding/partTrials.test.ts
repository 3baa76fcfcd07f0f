/** Tests how many requests with suspect parts are sent at the same time. */
import { expect, test } from "vitest";
import { PartTrials, type SuspectParts } from "../../src/core/quarantine/partTrials.js";
import { seededRandom } from "../../src/utils/random.js";

const createTrials = (entryCount = 1, rank = 0): PartTrials =>
    new PartTrials({ random: seededRandom(1), entryCount: () => entryCount, isAmongFirst: count => rank < count });

const suspects = (changes: Partial<SuspectParts> = {}): SuspectParts => ({
    parts: ["a", "b"],
    timeSinceCrash: 100,
    isDecidedByOneTrial: false,
    ...changes,
});

test("one trial of a set at a time, and of other sets beside it", () => {
    const trials = createTrials();
    const end = trials.tryStart(suspects());
    expect(end).toBeDefined();
    expect(trials.tryStart(suspects({ parts: ["b", "a"] }))).toBeUndefined();
    expect(trials.tryStart(suspects({ parts: ["a"] }))).toBeDefined();
    end!();
    expect(trials.tryStart(suspects())).toBeDefined();
});

test("trial that ends twice doesn't end the next one", () => {
    const trials = createTrials();
    const end = trials.tryStart(suspects())!;
    end();
    expect(trials.tryStart(suspects())).toBeDefined();
    end();
    expect(trials.tryStart(suspects())).toBeUndefined();
});

test("many entries try few while endpoints crash, and all once it is calm", () => {
    const startedBy = (timeSinceCrash: number): number =>
        [...Array(1_000).keys()].filter(seed => {
            const random = seededRandom(seed);
            const trials = new PartTrials({ random, entryCount: () => 100, isAmongFirst: () => false });
            return trials.tryStart(suspects({ timeSinceCrash })) !== undefined;
        }).length;
    expect(startedBy(100)).toBeLessThan(100);
    expect(startedBy(1_000)).toBe(1_000);
});

test("one entry tries where one trial decides, and others join later", () => {
    const started = (rank: number, timeSinceCrash: number): boolean =>
        createTrials(30, rank).tryStart(suspects({ timeSinceCrash, isDecidedByOneTrial: true })) !== undefined;
    expect([started(0, 100), started(1, 100), started(1, 2_000), started(2, 2_000)]).toEqual([
        true,
        false,
        true,
        false,
    ]);
});
