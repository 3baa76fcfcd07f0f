/** Tests that budgets hold over all entries together. */
import { expect, test } from "vitest";
import { ColdBudget } from "../../src/core/budgets/coldBudget.js";
import { SharedRetryBudget } from "../../src/core/budgets/sharedRetryBudget.js";
import type { Clock } from "../../src/utils/clock.js";

const fakeClock = () => {
    const clock = {
        time: 0,
        now: () => clock.time,
        wallTime: () => clock.time,
        sleep: () => Promise.resolve(),
        after: () => () => {},
    };
    return clock satisfies Clock;
};

test("retries of all entries stay within the allowance", () => {
    // All endpoints fail at once and every request asks for a retry. Without a budget the attempts double.
    const clock = fakeClock();
    const budgets = Array.from(
        { length: 6 },
        () => new SharedRetryBudget(clock, () => ({ share: 0.2, window: 10_000, extra: 100 }), () => 6),
    );
    let retries = 0;
    let requests = 0;
    for (clock.time = 0; clock.time < 10_000; clock.time += 10) {
        const budget = budgets[(clock.time / 10) % 6]!;
        budget.recordRequest("models");
        requests++;
        retries += budget.tryTake("models") ? 1 : 0;
    }
    expect(retries).toBeGreaterThan(0.7 * (0.2 * requests + 100));
    expect(retries).toBeLessThanOrEqual(0.2 * requests + 100);
});

test("budget is available again after its window", () => {
    const clock = fakeClock();
    const budget = new SharedRetryBudget(clock, () => ({ share: 0, window: 10_000, extra: 10 }), () => 1);
    let takenCount = 0;
    while (budget.tryTake("s")) {
        takenCount++;
    }
    expect(takenCount).toBe(8);
    clock.time = 10_001;
    expect(budget.tryTake("s")).toBe(true);
});

/** Requests that `count` entries send to a cold endpoint in one second when each uses its whole budget. */
const sentToCold = (count: number): number => {
    const clock = fakeClock();
    const limits = () => ({ factor: 1.5, extra: 5 });
    const budgets = [...Array(count).keys()].map(rank =>
        new ColdBudget(clock, limits, { budgetDivisor: count, rank: () => rank })
    );
    let sent = 0;
    for (clock.time = 0; clock.time < 1_000; clock.time++) {
        for (const budget of budgets) {
            if (budget.allows("e", 26)) {
                budget.recordSent("e");
                sent++;
            }
        }
    }
    return sent;
};

for (const count of [1, 6, 9, 44, 85, 330]) {
    test(`cold endpoint gets its rate from all of ${count} entries together`, () => {
        // A cold endpoint crashes under more requests than it tolerates. With equal shares for 85 entries, each share is
        // below one request: no entry sends, and a data centre that restarts cold would stay unused.
        const sent = sentToCold(count);
        expect(sent).toBeGreaterThan(20);
        expect(sent).toBeLessThanOrEqual(26 * 1.5 + 5);
    });
}
