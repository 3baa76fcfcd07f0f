/** Guards against waiting requests that are served in the wrong order, kept for ever, or passed over for ever. */
import { expect, test } from "vitest";
import { Metrics } from "../../src/core/metrics.js";
import type { QueuedWaiter } from "../../src/core/waiting/waiter.js";
import { compareWaiters } from "../../src/core/waiting/waitOrder.js";
import { chooseWaitPlacer } from "../../src/core/waiting/waitPlacer.js";
import { WaitQueue } from "../../src/core/waiting/waitQueue.js";
import { WaitScheduler } from "../../src/core/waiting/waitScheduler.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { silentLog } from "../../src/utils/log.js";
import { seededRandom } from "../../src/utils/random.js";

const waiter = (requestId: string, changes: Partial<QueuedWaiter> = {}): QueuedWaiter => ({
    requestId,
    owner: "entry-1",
    service: "models",
    rank: 1,
    customer: undefined,
    targetAt: 8_000,
    arrivedAt: 0,
    deadline: 15_000,
    value: 10,
    engineTime: 1_000,
    expiresAt: 800,
    tryPlace: () => false,
    onExpired: () => {},
    ...changes,
});

/** Request ids in the order in which they are served at `now`. */
const orderAt = (now: number, waiters: QueuedWaiter[], overShare: string[] = []): string[] => {
    const queue = new WaitQueue((...[, customer]) => overShare.includes(customer));
    for (const each of waiters) {
        queue.put(each);
    }
    return queue.ordered("models", now).map(({ requestId }) => requestId);
};

test("rank goes before share, share before value, value before age", () => {
    const waiters = [
        waiter("old", { customer: "a", arrivedAt: -1 }),
        waiter("new", { customer: "a" }),
        waiter("valuable", { customer: "a", value: 20 }),
        waiter("greedy", { customer: "b", value: 100 }),
        waiter("urgent", { customer: "b", rank: 0, value: 1 }),
    ];
    expect(orderAt(0, waiters, ["b"])).toEqual(["urgent", "valuable", "old", "new", "greedy"]);
});

test("long wait overtakes a higher value per engine time", () => {
    // Guards against the longest prompts starving behind a stream of shorter ones.
    const longest = waiter("longest", { value: 91, engineTime: 71_000, targetAt: 60_000 });
    const shorter = waiter("shorter", { value: 11, engineTime: 1_500, arrivedAt: 14_000, targetAt: 22_000 });
    expect(orderAt(0, [longest, { ...shorter, arrivedAt: 0 }])[0]).toBe("shorter");
    expect(orderAt(14_000, [longest, shorter])[0]).toBe("longest");
});

test("prompt that can't meet its target any more lets others pass", () => {
    const late = waiter("late", { arrivedAt: -8_000, targetAt: 0 });
    expect(orderAt(0, [late, waiter("punctual", { arrivedAt: -4_000, targetAt: 4_000 })])[0]).toBe("punctual");
});

test("order doesn't depend on which of two waiters is compared first", () => {
    const [left, right] = [waiter("a"), waiter("b")];
    const compare = (first: QueuedWaiter, second: QueuedWaiter) => compareWaiters(first, second, 0, () => false);
    expect([compare(left, right), compare(right, left)]).toEqual([-1, 1]);
});

test("repeated waiter takes the place of the earlier one", () => {
    // Guards against a request that is placed twice because its question was duplicated.
    const queue = new WaitQueue(() => false);
    const [first, second] = [waiter("a"), waiter("a", { arrivedAt: -5 })];
    queue.put(first);
    queue.put(second);
    queue.remove(first);
    expect(queue.all()).toEqual([second]);
});

test("waiters that nobody renews, or whose time is over, leave", () => {
    const queue = new WaitQueue(() => false);
    queue.put(waiter("forgotten"));
    queue.put(waiter("over", { expiresAt: 9_999, deadline: 500 }));
    expect(queue.expire(499)).toEqual([]);
    expect(queue.expire(500).map(({ requestId }) => requestId)).toEqual(["over"]);
    expect(queue.expire(800).map(({ requestId }) => requestId)).toEqual(["forgotten"]);
    expect(queue.size).toBe(0);
});

test("queue stops growing", () => {
    // Guards against memory that a flood of questions takes.
    const queue = new WaitQueue(() => false);
    for (let index = 0; index < 3_000; index++) {
        queue.put(waiter(`request-${index}`));
    }
    expect(queue.size).toBe(2_000);
    expect(queue.put(waiter("request-1"))).toBe(true);
});

test("free capacity goes to the first waiter that it suffices for, within 20 ms", async () => {
    const clock = new SimulatedClock();
    const queue = new WaitQueue(() => false);
    const scheduler = new WaitScheduler({
        clock,
        random: seededRandom(1),
        log: silentLog,
        metrics: new Metrics(),
        queue,
    });
    let isFree = false;
    const placed: [string, number][] = [];
    for (const [index, requestId] of ["first", "second"].entries()) {
        const added = waiter(requestId, { value: 10 - index, expiresAt: 9_999 });
        scheduler.add({
            ...added,
            tryPlace: () => {
                const isPlaced = isFree;
                isFree = false;
                if (isPlaced) {
                    placed.push([requestId, clock.now()]);
                    scheduler.withdraw(added.owner, requestId);
                }
                return isPlaced;
            },
        });
    }
    clock.after(300, () => isFree = true);
    await clock.run(1_000);
    expect(placed.map(([requestId]) => requestId)).toEqual(["first"]);
    expect(placed[0]![1]).toBeLessThanOrEqual(320);
    expect(scheduler.gauges()).toEqual({ "waiters{service=\"models\",rank=\"1\",customer=\"\"}": 1 });
});

test("entries agree on the placer that keeps a queue, and leave one that doesn't answer", () => {
    const placer = (id: string) => ({ id, address: `${id}:1`, dataCentre: "north", processors: 1, places: true });
    const placers = ["p1", "p2", "p3"].map(id => placer(id));
    const setOf = (asked: typeof placers, self = false) => ({ everyone: false, self, others: asked, asked });
    const first = chooseWaitPlacer("models", "e", setOf(placers));
    expect(chooseWaitPlacer("models", "f", setOf([...placers].reverse()))).toEqual(first);
    const id = first.type === "Remote" ? first.id : "";
    const others = placers.filter(each => each.id !== id);
    expect(chooseWaitPlacer("models", id, setOf(others, true))).toEqual({ type: "Local" });
    expect(chooseWaitPlacer("models", "e", setOf(others))).not.toEqual(first);
    expect(chooseWaitPlacer("models", "e", setOf([]))).toEqual({ type: "None" });
    expect(chooseWaitPlacer("models", "e", { ...setOf([]), everyone: true })).toEqual({ type: "Local" });
});
