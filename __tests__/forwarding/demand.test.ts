/** What engine time is worth while more is asked for than there is time. */
import { expect, test } from "vitest";
import { Demand } from "../../src/core/placement/demand.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";

const slotTime = 170;

/** Short prompts of 30 ms and a value of 1.4, so many a second for two seconds. */
const askedFor = async (perSecond: number): Promise<Demand> => {
    const clock = new SimulatedClock();
    const demand = new Demand(clock);
    for (let request = 0; request < 2 * perSecond; request++) {
        await clock.run(request / perSecond * 1_000);
        demand.recordRequest("models", 30, 1.4);
    }
    return demand;
};

test("time is worth nothing while there is enough for all", async () => {
    const demand = await askedFor(40);
    expect(demand.price("models", 15, slotTime)).toBe(0);
});

test("time that others lack is worth what they would make of it", async () => {
    // Ninety short prompts a second come to fifteen engines that can do seventy. Whoever takes engine time now takes it from
    // one of them.
    const demand = await askedFor(90);
    expect(demand.price("models", 15, slotTime)).toBeCloseTo(1.4 / 200);
});

test("what brings most for its time goes first", async () => {
    const demand = await askedFor(60);
    for (let request = 0; request < 5; request++) {
        demand.recordRequest("models", 5_000, 20);
    }
    expect(demand.price("models", 15, slotTime)).toBeCloseTo(20 / 5_170);
});

test("services don't share their endpoints", async () => {
    const demand = await askedFor(90);
    expect(demand.price("others", 1, slotTime)).toBe(0);
});
