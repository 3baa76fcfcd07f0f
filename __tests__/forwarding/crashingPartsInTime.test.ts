/** Tests that a part that crashes endpoints is told from its companions in time where few requests tell them apart. */
import { expect, test } from "vitest";
import { replay } from "../../src/replay/replay.js";
import {
    crashesUntilKnown,
    entryCounts,
    lateRequests,
    learningDuration,
    readPartPattern,
    seeds,
    toleratedRequests,
} from "./support/crashingPartReplays.js";

for (const entries of entryCounts) {
    test(`companions that few sound requests have, ${entries} entries`, async () => {
        // Guards against a part that is blamed only together with others, and goes on crashing endpoints without them.
        for (const seed of seeds) {
            for (const apartShare of [0.5, 0.8]) {
                const pattern = readPartPattern({ at: 2, apartShare });
                for (const kind of Object.values(pattern.kind)) {
                    kind.rate /= 3;
                    kind.partsShare = 0.1;
                }
                const result = await replay(pattern, { seed, entries });
                expect(result.crashes.length).toBeGreaterThanOrEqual(crashesUntilKnown);
                expect(lateRequests(result).length).toBeLessThanOrEqual(toleratedRequests);
            }
        }
    });

    test(`part that comes rarely is known in time, ${entries} entries`, async () => {
        // Guards against entries that each wait for the trials of others.
        const pattern = readPartPattern({ rate: 2 });
        for (const seed of [1, 4, 5]) {
            const { crashes, lines } = await replay(pattern, { seed, entries });
            const decision = lines.find(({ fields }) => fields.content === "parts:broken");
            expect(decision?.time).toBeLessThan(crashes[crashesUntilKnown - 1]!.at + learningDuration);
        }
    });
}
