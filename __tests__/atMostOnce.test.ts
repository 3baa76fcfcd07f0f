/** A booking runs at most once, and a request reported as "not run" did not run. */
import { expect, test } from "vitest";
import { Execution } from "../src/internal.js";
import { play, Scene } from "./support/scenario.js";

const failureOf = (end: unknown): { execution?: Execution; retryAfterSeconds?: number; } =>
    (end as { failure?: { execution: Execution; }; } | undefined)?.failure ?? {};

/** A caller sends the same booking several times, and the load balancer sends the requests to all entries at once. */
const sameKeyAtThreeEntries = async ({ callers, pass, entry }: Scene): Promise<void> => {
    callers.book(entry(0), "family-1");
    callers.book(entry(1), "family-1");
    callers.book(entry(2), "family-1");
    await pass(2_000);
    expect(callers.requests.every(request => request.end !== undefined)).toBe(true);
};

test("same key at several entries at once", async () => {
    expect(await play({}, sameKeyAtThreeEntries)).toEqual([]);
    expect(await play({}, sameKeyAtThreeEntries, "claims")).toContain("key family-1 ran 3 times");
});

/** The service runs the booking, but its response is lost. A retry would run the booking and charge it twice. */
const loseResponse = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
    for (const service of world.services) {
        service.lostAnswers = 1;
    }
    const first = callers.book(entry(0), "family-2");
    await pass(2_000);
    expect(failureOf(first.end).execution ?? Execution.Unknown).toBe(Execution.Unknown);
    const again = callers.book(entry(1), "family-2");
    await pass(12_000);
    expect(failureOf(again.end).execution ?? Execution.Unknown).toBe(Execution.Unknown);
};

test("lost response of a booking", async () => {
    expect(await play({}, loseResponse)).toEqual([]);
    expect(await play({}, loseResponse, "sentOnce")).toContain("key family-2 ran 3 times");
});

test("lost response without a key", async () => {
    // Without a key a retry can't be recognized as a repeat, so the entry must never send the booking twice.
    const keyless = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
        world.services.forEach(service => service.lostAnswers = 1);
        callers.book(entry(0), undefined);
        await pass(3_000);
    };
    expect(await play({}, keyless)).toEqual([]);
    expect(await play({}, keyless, "sentOnce")).toContain("key request0 ran 3 times");
});

/**
 * The holder of a claim is paused right after creating it, and a repeat arrives at another entry. If that entry took the
 * claim over, the holder would send the booking a second time when it resumes.
 */
const holderPaused = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
    const holder = entry(0);
    callers.book(holder, "family-3", 60_000);
    const claimed = () => [...world.platform.objectsOfKind("claim" as never)].length > 0;
    await world.advanceUntil(claimed, 1_000);
    world.freeze(holder);
    await pass(3_000);
    callers.book(entry(1), "family-3", 5_000);
    await pass(8_000);
    world.thaw(holder);
    await pass(10_000);
};

test("paused holder of a claim", async () => {
    expect(await play({}, holderPaused)).toEqual([]);
    expect(await play({}, holderPaused, "claimsStayWithHolder")).toContain("key family-3 ran 2 times");
});

/** An entry dies while its booking runs at the service. The caller retries at another entry; the booking must not run twice. */
const holderDies = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
    const holder = entry(0);
    callers.book(holder, "family-4");
    await world.advanceUntil(() => world.services.some(service => service.starts.length > 0), 1_000);
    world.kill(holder);
    await pass(1_000);
    world.platform.removeInstance(holder.id);
    const again = callers.book(entry(1), "family-4", 5_000);
    await pass(8_000);
    expect(failureOf(again.end).execution).toBe(Execution.Unknown);
};

test("holder of a claim dies", async () => {
    expect(await play({}, holderDies)).toEqual([]);
});

test("lost responses of the platform", async () => {
    // Half of the platform's writes succeed but lose their response. Bookings must run once, and repeats get the response.
    const lossy = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
        world.platform.faults.lostResponseShare = 0.5;
        const first = callers.book(entry(0), "family-5");
        await pass(5_000);
        const again = callers.book(entry(1), "family-5");
        await pass(8_000);
        expect(first.end?.type).toBe("Whole");
        expect(again.end).toEqual(first.end);
    };
    expect(await play({}, lossy)).toEqual([]);
});

/**
 * After a booking has run, the platform becomes unavailable, and the caller repeats the key at another entry. If that
 * entry answered "not run", the caller would book elsewhere and be charged twice.
 */
const repeatInOutage = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
    const first = callers.book(entry(0), "family-6");
    await pass(1_000);
    expect(first.end?.type).toBe("Whole");
    world.platform.faults.down = true;
    await pass(3_000);
    const repeat = callers.book(entry(1), "family-6");
    const fresh = callers.book(entry(2), "family-7");
    await pass(3_000);
    expect(repeat.end?.type).toBe("Failed");
    expect(failureOf(fresh.end).execution).toBe(Execution.NotRun);
    expect(failureOf(fresh.end).retryAfterSeconds).toBeGreaterThan(0);
};

test("repeat while the platform is down", async () => {
    expect(await play({}, repeatInOutage)).toEqual([]);
    const violations = await play({}, repeatInOutage, "keyHistory");
    expect(violations.join()).toContain("was told not-run and ran");
});

test("repeat of a rejected key after an outage", async () => {
    // A key that was rejected as "not run" during an outage must run when it is repeated after the outage.
    const repeatRejectedKey = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
        world.platform.faults.down = true;
        await pass(2_000);
        const first = callers.book(entry(0), "family-8");
        await pass(3_000);
        expect(failureOf(first.end).execution).toBe(Execution.NotRun);
        world.platform.faults.down = false;
        await pass(1_000);
        const again = callers.book(entry(1), "family-8");
        await pass(2_000);
        expect(again.end?.type).toBe("Whole");
    };
    expect(await play({}, repeatRejectedKey)).toEqual([]);
});

test("slow platform", async () => {
    // Writes take effect seconds after the entry's timeout. A claim that is stored late must not block its key.
    const slow = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
        world.platform.faults.slowMilliseconds = 4_000;
        const first = callers.book(entry(0), "family-9");
        await pass(5_000);
        expect(first.end?.type).toBe("Failed");
        world.platform.faults.slowMilliseconds = 0;
        await pass(6_000);
        const again = callers.book(entry(1), "family-9");
        await pass(3_000);
        expect(again.end?.type).toBe("Whole");
    };
    expect(await play({}, slow)).toEqual([]);
});
