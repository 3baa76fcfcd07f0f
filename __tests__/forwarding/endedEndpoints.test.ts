/** Tests that an entry notices when the process of an endpoint has ended though no connection to it was reset. */
import path from "node:path";
import { expect, test } from "vitest";
import { type Pattern, readPattern } from "../../src/replay/pattern.js";
import { replay, type ReplayResult } from "../../src/replay/replay.js";
import type { Milliseconds } from "../../src/utils/clock.js";

const entryCounts = [7, 30];
const seeds = [1, 2, 3];

/** How long memory may stay reserved after the request that used it has ended. */
const maximumHeldDuration: Milliseconds = 4_000;
/** Time until the list of endpoints no longer shows one that lost power, and until that is verified. */
const delistingDuration: Milliseconds = 3_600;
const verificationDuration: Milliseconds = 1_000;

const pattern = (): Pattern => readPattern(path.resolve(import.meta.dirname, "../../examples/patterns/power-lost.ini"));

const replayPowerLoss = (entries: number, seed: number): Promise<ReplayResult> => replay(pattern(), { seed, entries });

const powerLostAt = pattern().fault.power!.at * 1_000;

const endMessages = new Set(["Streamed.", "A stream was cut.", "A request failed.", "The caller has left."]
    .map(message => `request: ${message}`));

/** The index of an engine decides its data centre; those of the second one lose power. */
const losesPower = (endpoint: unknown): boolean => Number(/^engine-(\d+)$/.exec(String(endpoint))?.[1]) % 3 === 1;

/** How long after the loss of power each attempt ended that was in progress at an endpoint without power. */
const timesUntilEnd = ({ lines }: ReplayResult): Milliseconds[] => {
    const attemptByRequest = new Map<unknown, unknown>();
    const durations: Milliseconds[] = [];
    for (const { time, message, fields } of lines) {
        const { requestId, endpoint } = fields;
        const isSend = message === "request: Sent.";
        if (!isSend && !endMessages.has(message)) {
            continue;
        }
        if (time >= powerLostAt && losesPower(attemptByRequest.get(requestId))) {
            durations.push(time - powerLostAt);
        }
        attemptByRequest.delete(requestId);
        if (isSend && time < powerLostAt) {
            attemptByRequest.set(requestId, endpoint);
        }
    }
    expect([...attemptByRequest.values()].filter(losesPower)).toEqual([]);
    return durations;
};

for (const entries of entryCounts) {
    test(`memory of a prompt whose endpoint lost power is free again, ${entries} entries`, async () => {
        // Guards against memory that an entry renews until the deadline of a request that ended with its endpoint.
        let heldCount = 0;
        for (const seed of seeds) {
            const { heldMemory } = await replayPowerLoss(entries, seed);
            heldCount += heldMemory.length;
            expect(heldMemory.filter(({ heldFor }) => heldFor >= maximumHeldDuration)).toEqual([]);
        }
        expect(heldCount).toBeGreaterThan(0);
    });

    test(`caller whose endpoint lost power is told once the list shows it, ${entries} entries`, async () => {
        // Guards against callers who wait until their deadline for an endpoint that no longer exists.
        const durations: Milliseconds[] = [];
        for (const seed of seeds) {
            durations.push(...timesUntilEnd(await replayPowerLoss(entries, seed)));
        }
        expect(durations.length).toBeGreaterThan(3);
        expect(Math.max(...durations)).toBeLessThan(delistingDuration + verificationDuration);
    });
}
