/** Tests the price of engine time while demand exceeds capacity. */
import { expect, test } from "vitest";
import { Demand } from "../../src/core/placement/demand.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";

const slotTime = 170;

/** Demand after two seconds with this rate of short prompts, each with a prefill of 30 ms and a value of 1.4. */
const demandAtRate = async (perSecond: number): Promise<Demand> => {
    const clock = new SimulatedClock();
    const demand = new Demand(clock);
    for (let request = 0; request < 2 * perSecond; request++) {
        await clock.run(request / perSecond * 1_000);
        demand.recordRequest("models", 30, 1.4);
    }
    return demand;
};

test("engine time has no price while capacity suffices", async () => {
    const demand = await demandAtRate(40);
    expect(demand.price("models", 15, slotTime)).toBe(0);
});

test("price of engine time beyond capacity is the value that other requests lose", async () => {
    // Ninety short prompts per second arrive at fifteen engines with capacity for seventy. A request that takes engine time
    // now takes it from one of them.
    const demand = await demandAtRate(90);
    expect(demand.price("models", 15, slotTime)).toBeCloseTo(1.4 / 200);
});

test("requests with the highest value per engine time go first", async () => {
    const demand = await demandAtRate(60);
    for (let request = 0; request < 5; request++) {
        demand.recordRequest("models", 5_000, 20);
    }
    expect(demand.price("models", 15, slotTime)).toBeCloseTo(20 / 5_170);
});

test("services don't share their endpoints", async () => {
    const demand = await demandAtRate(90);
    expect(demand.price("others", 1, slotTime)).toBe(0);
});
