/** Replays of waiting prompts: which of them are served, how soon free capacity is used, and what failures of placers cost. */
import path from "node:path";
import { expect, test } from "vitest";
import { PartSwitch } from "../../src/core/scheduling/schedulingPolicy.js";
import { FaultType, type Pattern, readPattern } from "../../src/replay/pattern.js";
import { replay, type ReplayResult } from "../../src/replay/replay.js";
import { CallerOutcome } from "../../src/replay/simulatedCaller.js";

const priorityByKind: Record<string, number> = { short: 0, middle: 1, long: 2, longest: 2 };

/** The pattern with ranks. */
const patternOf = (name: string): Pattern => {
    const pattern = readPattern(path.resolve(import.meta.dirname, `../../examples/patterns/${name}.ini`));
    for (const [kind, definition] of Object.entries(pattern.kind)) {
        definition.priority = priorityByKind[kind]!;
    }
    return pattern;
};

const countInTime = ({ records }: ReplayResult, ...kinds: string[]): number =>
    records.filter(({ arrival, outcome }) => kinds.includes(arrival.kind) && outcome === CallerOutcome.InTime).length;

/** Upper bounds of the times from free capacity to its use: the times since the last try that found none. */
const usageDelays = ({ lines }: ReplayResult): number[] =>
    lines.filter(({ message, fields }) => message === "waiting: A request waits no longer." && fields.end === "placed")
        .map(({ fields }) => Number(fields.sinceLastTry)).sort((left, right) => left - right);

/** With the queue and values by rank, and without both. */
const replayBoth = async (pattern: Pattern, entries: number): Promise<[ReplayResult, ReplayResult]> => [
    await replay(pattern, { seed: 1, entries, scheduling: { waitQueue: PartSwitch.Auto } }),
    await replay(pattern, { seed: 1, entries, scheduling: { ranks: PartSwitch.Off, waitQueue: PartSwitch.Off } }),
];

test("capacity is used within 20 ms, with no more questions and no fewer prompts in time", async () => {
    // Guards against a queue that serves fewer prompts than chance does, or leaves endpoints idle.
    const [queued, chance] = await replayBoth(patternOf("longest-burst"), 30);
    const delays = usageDelays(queued);
    expect(delays.length).toBeGreaterThan(5);
    expect(delays[Math.floor(delays.length / 2)]).toBeLessThan(20);
    expect(queued.placementQuestions).toBeLessThanOrEqual(chance.placementQuestions);
    expect(countInTime(queued, "short")).toBeGreaterThanOrEqual(countInTime(chance, "short"));
    expect(countInTime(queued, "long", "longest")).toBeGreaterThanOrEqual(countInTime(chance, "long", "longest"));
});

test.each(["longest-burst", "callers-press", "turning-mix"])(
    "%s: a quarter more of the longest prompts",
    async name => {
        // The acceptance criterion of the part, with no fewer short prompts.
        const [queued, chance] = await replayBoth(patternOf(name), 30);
        expect(countInTime(queued, "short")).toBeGreaterThanOrEqual(countInTime(chance, "short"));
        expect(countInTime(queued, "long", "longest")).toBeGreaterThanOrEqual(
            1.25 * countInTime(chance, "long", "longest"),
        );
    },
);

test.each([0.1, 1])("%d of the entries are cut off for 3 s while prompts wait", async share => {
    // Guards against waiters that are lost with their placer. With all entries cut off, all placers are gone at once.
    const pattern = patternOf("longest-burst");
    pattern.fault = {
        cut: { type: FaultType.EntriesPartitioned, at: 6, seconds: 3, share, strength: 1 },
    } as unknown as Pattern["fault"];
    const [queued, chance] = await replayBoth(pattern, 30);
    const waits = (message: string) => queued.lines.filter(line => line.message === message).length;
    expect(waits("waiting: A request waits.")).toBeGreaterThan(5);
    expect(waits("waiting: A request waits.")).toBe(waits("waiting: A request waits no longer."));
    expect(countInTime(queued, "long")).toBeGreaterThan(0.8 * countInTime(chance, "long"));
    expect(queued.records.length).toBe(chance.records.length);
});

test("nothing changes where no service has ranks", async () => {
    const pattern = readPattern(path.resolve(import.meta.dirname, "../../examples/patterns/longest-burst.ini"));
    const [queued, chance] = await replayBoth(pattern, 30);
    expect(queued.lines).toEqual(chance.lines);
});
