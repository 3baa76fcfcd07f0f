/** Tests what an entry that has just started takes over of the work that another entry knows. */
import path from "node:path";
import { expect, test } from "vitest";
import { WorkPart } from "../../src/core/placement/engineEstimate.js";
import type { WorkInProgress } from "../../src/core/placement/loadEstimator.js";
import { readPattern } from "../../src/replay/pattern.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { SimulatedEntries } from "../../src/replay/simulatedEntries.js";
import { SimulatedFleet } from "../../src/replay/simulatedFleet.js";
import { PlacementPolicy } from "../../src/types/routing.js";
import { seededRandom } from "../../src/utils/random.js";

const workOf = (owner: string): WorkInProgress => ({
    id: `work-of-${owner}`,
    owner,
    endpoint: "engine-0",
    contextTokens: 1_000,
    readTokens: 1_000,
    readTime: 100,
    targetGap: 200,
    value: 1,
    yielding: false,
    firstEventIn: 100,
    part: WorkPart.Main,
    endsIn: 10_000,
    writing: false,
});

test("entry doesn't take its own ended work over from another entry", () => {
    // Guards against memory and slots that seem taken until the deadline of a request which its entry has ended long before.
    const clock = new SimulatedClock();
    const pattern = readPattern(path.resolve(import.meta.dirname, "../../examples/patterns/entries-cut.ini"));
    const { entries } = new SimulatedEntries({
        clock,
        random: seededRandom(1),
        fleet: new SimulatedFleet(pattern, clock),
        count: 2,
        dataCentres: 1,
        policy: PlacementPolicy.Predicted,
        sharesLoads: true,
        delay: 0.5,
        loss: 0,
        lines: [],
    });
    const [entry] = entries;
    entry!.learnWork([workOf("entry-0"), workOf("entry-1")]);
    expect(entry!.loads.inProgress().map(({ owner }) => owner)).toEqual(["entry-1"]);
});
