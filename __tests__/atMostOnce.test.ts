/** Bookings run at most once, and "not run" is true. */
import { expect, test } from "vitest";
import { Execution } from "../src/internal.js";
import { play, Scene } from "./support/scenario.js";

const failureOf = (end: unknown): { execution?: Execution; retryAfterSeconds?: number; } =>
    (end as { failure?: { execution: Execution; }; } | undefined)?.failure ?? {};

/** A parent presses "book" twice; the balancer brings the two requests to two entries at the same moment. */
const twoEntriesAtOnce = async ({ callers, pass, entry }: Scene): Promise<void> => {
    callers.book(entry(0), "family-1");
    callers.book(entry(1), "family-1");
    callers.book(entry(2), "family-1");
    await pass(2_000);
    expect(callers.requests.every(request => request.end !== undefined)).toBe(true);
};

test("one key at several entries", async () => {
    expect(await play({}, twoEntriesAtOnce)).toEqual([]);
    expect(await play({}, twoEntriesAtOnce, "claims")).toContain("key family-1 ran 3 times");
});

/** The service runs the booking and its answer is lost on the way. A second try would charge the family twice. */
const answerLost = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
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

test("lost answer of a booking", async () => {
    expect(await play({}, answerLost)).toEqual([]);
    expect(await play({}, answerLost, "sentOnce")).toContain("key family-2 ran 3 times");
});

test("lost answer without a key", async () => {
    // Without a key nobody can ask again safely, so the entry itself must never send it twice.
    const keyless = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
        world.services.forEach(service => service.lostAnswers = 1);
        callers.book(entry(0), undefined);
        await pass(3_000);
    };
    expect(await play({}, keyless)).toEqual([]);
    expect(await play({}, keyless, "sentOnce")).toContain("key request0 ran 3 times");
});

/**
 * The holder of a claim is paused right after claiming; a repeat comes by another entry. If the claim could be taken
 * over, the paused holder would wake and book a second time.
 */
const holderPaused = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
    const holder = entry(0);
    callers.book(holder, "family-3", 60_000);
    const claimed = () => [...world.platform.all("claim" as never)].length > 0;
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

/** An entry dies while its booking runs at the service. Its caller asks again elsewhere and must not be booked twice. */
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

test("lost answers of the platform", async () => {
    // Half of all writes take effect and lose their answer. Bookings still run, once, and their repeats get the answer.
    const lossy = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
        world.platform.faults.lostAnswers = 0.5;
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
 * A booking ran; then the platform goes down and the caller repeats its key at another entry. Told "not run", the
 * family would book elsewhere and be charged twice.
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

test("repeat after its refusal", async () => {
    // Refused in an outage as not run, the same key must run once the platform is back.
    const refused = async ({ world, callers, pass, entry }: Scene): Promise<void> => {
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
    expect(await play({}, refused)).toEqual([]);
});

test("slow platform", async () => {
    // Writes take effect seconds after their caller has given up. A claim that appears late must not block its key.
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
