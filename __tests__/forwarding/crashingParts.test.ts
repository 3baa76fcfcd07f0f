/** Tests that requests with a part that crashes endpoints are kept from them, and that requests with their other parts are served. */
import { test } from "vitest";
import { replay } from "../../src/replay/replay.js";
import { entryCounts, expectKept, readPartPattern, seeds } from "./support/crashingPartReplays.js";

for (const entries of entryCounts) {
    test(`part that crashes endpoints is kept from them, ${entries} entries`, async () => {
        // Guards against requests that crash one endpoint after another because no two of them are alike.
        const pattern = readPartPattern();
        for (const seed of seeds) {
            expectKept(await replay(pattern, { seed, entries }), pattern);
        }
    });

    test(`first part, last shared part, varied others, ${entries} entries`, async () => {
        // Guards against evidence that holds only where the part stands at one place, or among the same others.
        for (const parts of [["broken", "desk", "camp"], ["desk", "camp", "broken"]]) {
            const pattern = readPartPattern({ parts });
            expectKept(await replay(pattern, { seed: 1, entries }), pattern);
        }
        const pattern = readPartPattern({ apartShare: 0.7 });
        expectKept(await replay(pattern, { seed: 1, entries }), pattern);
    });

    test(`two such parts at once, ${entries} entries`, async () => {
        // Guards against one part that is blamed for the crashes of both.
        const pattern = readPartPattern();
        const { crashing } = pattern.crashingPart;
        pattern.crashingPart = {
            crashing: crashing!,
            other: { ...crashing!, rate: 6, parts: ["desk", "torn", "camp"], part: "torn" },
        };
        for (const seed of seeds) {
            expectKept(await replay(pattern, { seed, entries }), pattern);
        }
    });

    test(`few requests with such a part, ${entries} entries`, async () => {
        const pattern = readPartPattern({ rate: 1 });
        expectKept(await replay(pattern, { seed: 1, entries }), pattern);
    });
}
