/**
 * Which requests are rejected or ended because of buffered bytes. Guards against memory that is not counted, and against
 * ending requests whose peers read.
 */
import { expect, test } from "vitest";
import { announcesSlowReaders } from "../../platform/contracts.js";
import { BlockQueue } from "../../src/adapters/forwarding/blockQueue.js";
import { Execution, FailureKind } from "../../src/core/failures.js";
import { HeldBytes, HeldKind } from "../../src/core/memoryBounds/heldBytes.js";
import {
    boundOf,
    chooseAtBound,
    chooseLateArrival,
    chooseStalled,
    exceedsAdmission,
} from "../../src/core/memoryBounds/memoryBound.js";
import { MemoryGuard } from "../../src/core/memoryBounds/memoryGuard.js";
import { Metrics } from "../../src/core/metrics.js";
import { systemClock } from "../../src/utils/clock.js";
import { silentLog } from "../../src/utils/log.js";
import { seededRandom } from "../../src/utils/random.js";

const megabyte = 1024 * 1024;

test("body that is being sent counts once, and nothing counts after the end", () => {
    const held = new HeldBytes();
    const request = held.open("r", 0);
    held.change(request, HeldKind.Body, 100, 0);
    held.change(request, HeldKind.Unsent, 100, 0);
    held.change(request, HeldKind.Unwritten, 10, 0);
    expect([held.total, request.waiting]).toEqual([110, 110]);
    held.close(request);
    held.change(request, HeldKind.Unwritten, -10, 0);
    expect(held.total).toBe(0);
});

test("unread bytes decide, not large bodies or large responses that are read", () => {
    const held = new HeldBytes();
    const [body, fresh, stuck] = [held.open("body", 0), held.open("fresh", 0), held.open("stuck", 0)];
    held.change(body, HeldKind.Body, 5_000, 0);
    expect(chooseAtBound(held.all, 100)).toBe(body);
    held.change(stuck, HeldKind.Unwritten, 1_000, 0);
    held.change(fresh, HeldKind.Unwritten, 5_000, 990);
    expect(chooseAtBound(held.all, 1_000)).toBe(stuck);
    expect(chooseStalled(held.all, 1_000)).toBe(stuck);
    held.change(stuck, HeldKind.Unwritten, -1, 1_000);
    expect(chooseStalled(held.all, 1_050)).toBeUndefined();
});

const guardOf = (isOn: boolean, memoryMegabytes = 100) =>
    new MemoryGuard({
        clock: systemClock,
        log: silentLog,
        metrics: new Metrics(),
        memory: { limitBytes: memoryMegabytes * megabyte, residentBytes: () => 60 * megabyte },
        isOn: () => isOn,
    });

test("new requests are rejected as not run at four fifths, and the stuck request is ended at the bound", () => {
    const guard = guardOf(true);
    const stuck = guard.open("stuck")!;
    stuck.change(HeldKind.Unwritten, 7 * megabyte);
    const next = guard.open("next")!;
    next.admit(0);
    const failure = { kind: FailureKind.MemoryFull, execution: Execution.NotRun, retryAfterSeconds: 0.5 };
    expect(() => next.admit(megabyte)).toThrow(expect.objectContaining(failure));
    next.change(HeldKind.Body, 3 * megabyte);
    expect([stuck.ended.aborted, next.ended.aborted, guard.heldBytes]).toEqual([true, false, 3 * megabyte]);
});

test("body that stands still, or drips, makes room for a new request, and one that arrives doesn't", () => {
    // Guards against bodies that stop just short of their end and keep all other requests out.
    const held = new HeldBytes();
    const [standing, dripping, arriving] = [
        held.open("standing", 0),
        held.open("dripping", 0),
        held.open("new", 1_900),
    ];
    for (const request of [standing, dripping, arriving]) {
        held.change(request, HeldKind.Body, 4 * megabyte, request.openedAt);
    }
    dripping.arrivedAt = 2_100;
    arriving.arrivedAt = 2_100;
    expect(chooseLateArrival(held.all, 4 * megabyte, 2_200)).toBe(standing);
    held.close(standing);
    expect(chooseLateArrival(held.all, 4 * megabyte, 2_200)).toBeUndefined();
    expect(chooseLateArrival(held.all, 2, 2_200)).toBe(dripping);
    dripping.isArriving = false;
    expect(chooseLateArrival(held.all, 2, 2_200)).toBeUndefined();
});

test("small request is admitted up to the bound, and one of the largest bodies fits where the memory is short", () => {
    // Guards against ordinary requests that are refused because of the room that is kept for growth.
    expect([exceedsAdmission(90, 2, 100), exceedsAdmission(99, 2, 100)]).toEqual([false, true]);
    expect(exceedsAdmission(81 * megabyte, megabyte, 100 * megabyte)).toBe(true);
    const boundBytes = boundOf(100 * megabyte, 80 * megabyte, 4 * megabyte);
    expect(exceedsAdmission(0, 4 * megabyte, boundBytes)).toBe(false);
});

test("nothing is counted where the part is off or the memory is unknown", () => {
    expect([guardOf(false).open("r"), guardOf(true, 0).open("r")]).toEqual([undefined, undefined]);
    expect([boundOf(100, 60), boundOf(200 * megabyte, 100 * megabyte)]).toEqual([4 * megabyte, 25 * megabyte]);
});

test("queued bytes come out complete and in order", () => {
    const random = seededRandom(1);
    const queue = new BlockQueue();
    const pushed: Buffer[] = [];
    const shifted: Buffer[] = [];
    for (let step = 0; step < 2_000; step++) {
        const bytes = Buffer.alloc(Math.floor(random.next() ** 8 * 200_000), step);
        pushed.push(bytes);
        queue.push(bytes);
        for (let shifts = Math.floor(random.next() * 3); shifts > 0; shifts--) {
            shifted.push(queue.shift() ?? Buffer.alloc(0));
        }
    }
    for (let bytes = queue.shift(); bytes; bytes = queue.shift()) {
        shifted.push(bytes);
    }
    expect(Buffer.concat(shifted).equals(Buffer.concat(pushed))).toBe(true);
});

test("contracts of the platform", () => {
    const lists = [["pressure"], ["[\"other\"", "\"pressure\"]"], ["other", "low-pressure"], []];
    expect(lists.map(announcesSlowReaders)).toEqual([true, true, false, false]);
});
