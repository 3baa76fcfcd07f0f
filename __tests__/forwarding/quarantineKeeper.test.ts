/** Tests that quarantined requests outlast the loss of entries, are tried again rarely, and can be lifted. */
import { expect, test } from "vitest";
import type { Membership } from "../../src/core/membership/membership.js";
import { Quarantine } from "../../src/core/quarantine/quarantine.js";
import { QuarantineKeeper } from "../../src/core/quarantine/quarantineKeeper.js";
import { RequestFingerprint } from "../../src/core/quarantine/requestFingerprint.js";
import type { QuarantineStorePort } from "../../src/ports/quarantineStore.js";
import { StateError } from "../../src/ports/statePort.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { SimulatedQuarantineStore } from "../../src/replay/simulatedQuarantineStore.js";
import type { Milliseconds } from "../../src/utils/clock.js";
import { silentLog } from "../../src/utils/log.js";

const fingerprintOf = (target: string): RequestFingerprint =>
    new RequestFingerprint(
        { method: "POST", host: "desk.example", target, body: Buffer.alloc(0) } as never,
        undefined,
    );

const poison = fingerprintOf("/replies/1");

/** A store that can be unavailable. */
class UnreliableStore extends SimulatedQuarantineStore {
    isAway = false;
    /** Whether the entries have noticed that it is away. */
    isKnownAway = false;

    private failIfAway(): void {
        if (this.isAway) {
            this.callCount++;
            throw new StateError("away");
        }
    }

    override list(): ReturnType<QuarantineStorePort["list"]> {
        this.failIfAway();
        return super.list();
    }

    override create(quarantine: Parameters<QuarantineStorePort["create"]>[0]): Promise<void> {
        this.failIfAway();
        return super.create(quarantine);
    }
}

class Scene {
    readonly clock = new SimulatedClock();
    readonly store = new UnreliableStore();

    /** Starts an entry; `isKeeper` says whether it is the one that keeps the store. */
    start(isKeeper = () => true, readsAtStart = false, isIsolated = () => false): Quarantine {
        const quarantine = new Quarantine(this.clock, silentLog);
        const membership = { isAmongFirst: isKeeper } as unknown as Membership;
        const { clock, store } = this;
        const isStoreReachable = () => !store.isKnownAway;
        const log = silentLog;
        const roles = { readsAtStart, isIsolated };
        const dependencies = { clock, log, store, quarantine, membership, isStoreReachable, ...roles };
        const keeper = new QuarantineKeeper(dependencies);
        void keeper.run(new AbortController().signal);
        return quarantine;
    }

    crashThrice(quarantine: Quarantine, request = poison): void {
        for (let count = 0; count < 3; count++) {
            quarantine.recordCrash({
                endpoint: `e-${count}`,
                incarnation: 1,
                at: this.clock.now(),
                requests: [{ request: request.value, servedFor: 100, suspectParts: new Map() }],
            });
        }
    }

    async pass(duration: Milliseconds): Promise<void> {
        await this.clock.run(this.clock.now() + duration);
    }
}

test("quarantine outlasts the loss of all entries", async () => {
    // Guards against a request that crashes endpoints anew after each power loss of the entries.
    const scene = new Scene();
    scene.crashThrice(scene.start());
    await scene.pass(2_000);
    const successor = scene.start();
    await scene.pass(1_500);
    expect(successor.find(poison)?.crashes).toHaveLength(3);
});

test("quarantine that began while the store was away is written when it is back", async () => {
    const scene = new Scene();
    scene.store.isAway = true;
    scene.crashThrice(scene.start());
    await scene.pass(20_000);
    expect(scene.store.byRequest.size).toBe(0);
    scene.store.isAway = false;
    await scene.pass(2_000);
    expect(scene.store.byRequest.size).toBe(1);
});

test("entry that takes the task over writes what the one before did not", async () => {
    const scene = new Scene();
    let isKeeper = false;
    const heir = scene.start(() => isKeeper);
    scene.crashThrice(heir);
    await scene.pass(2_000);
    expect(scene.store.byRequest.size).toBe(0);
    isKeeper = true;
    await scene.pass(6_000);
    expect(scene.store.byRequest.size).toBe(1);
});

test("store that is known to be away is not called", async () => {
    // Guards against calls by all entries, each of which counts itself first while the store responds to none.
    const scene = new Scene();
    const entries = [scene.start(), scene.start(), scene.start()];
    scene.store.isAway = true;
    scene.store.isKnownAway = true;
    scene.crashThrice(entries[0]!);
    await scene.pass(60_000);
    expect(scene.store.callCount).toBe(0);
    scene.store.isAway = false;
    scene.store.isKnownAway = false;
    await scene.pass(2_000);
    expect(scene.store.byRequest.size).toBe(1);
});

test("entry that counts itself first for a moment doesn't call the store", async () => {
    const scene = new Scene();
    let isKeeper = false;
    scene.start(() => isKeeper);
    await scene.pass(2_000);
    isKeeper = true;
    await scene.pass(3_000);
    isKeeper = false;
    await scene.pass(60_000);
    expect(scene.store.callCount).toBe(0);
});

test("trial whose entry ended before it told the others is counted", async () => {
    // Guards against a request that is due for a trial that nobody can win any more.
    const scene = new Scene();
    const keeper = scene.start();
    scene.crashThrice(keeper);
    await scene.pass(2_000);
    expect(await scene.store.claimTrial(poison.value, 0)).toBe(true);
    await scene.pass(31_000);
    const quarantined = keeper.find(poison)!;
    expect(quarantined.trialCount).toBe(1);
    expect(keeper.isTrialDue(quarantined)).toBe(false);
});

test("request that an operator removes from the store is served again", async () => {
    const scene = new Scene();
    const [keeper, other] = [scene.start(), scene.start(() => false)];
    scene.crashThrice(keeper);
    await scene.pass(2_000);
    other.merge("keeper", keeper.snapshot()!);
    expect(other.find(poison)).toBeDefined();
    scene.store.byRequest.clear();
    await scene.pass(31_000);
    other.merge("keeper", keeper.snapshot()!);
    expect([keeper.find(poison), other.find(poison)]).toEqual([undefined, undefined]);
});

test("request that completes in its trial leaves the store", async () => {
    const scene = new Scene();
    const keeper = scene.start();
    scene.crashThrice(keeper);
    await scene.pass(2_000);
    keeper.recordCompletion(poison);
    await scene.pass(1_000);
    expect(scene.store.byRequest.size).toBe(0);
    const successor = scene.start();
    await scene.pass(2_000);
    expect(successor.find(poison)).toBeUndefined();
});

test("store is not called while nothing crashes, and rarely while something is quarantined", async () => {
    // Guards against control traffic that every entry pays for all day.
    const scene = new Scene();
    const keeper = scene.start();
    for (let count = 0; count < 6; count++) {
        scene.start(() => false);
    }
    await scene.pass(600_000);
    expect(scene.store.callCount).toBe(1);
    scene.crashThrice(keeper);
    await scene.pass(600_000);
    expect(scene.store.callCount).toBeLessThanOrEqual(1 + 1 + 21);
});

test("trials are few, and one entry alone wins each", async () => {
    const scene = new Scene();
    const entries = [scene.start(), scene.start(() => false), scene.start(() => false)];
    const share = () => {
        for (const from of entries) {
            const news = from.snapshot();
            for (const to of news ? entries : []) {
                to.merge("entry", news!);
            }
        }
    };
    scene.crashThrice(entries[0]!);
    let trialCount = 0;
    for (let minute = 0; minute < 300; minute++) {
        await scene.pass(60_000);
        // All entries get the request at the same moment, before they hear of each other's trial.
        for (const entry of entries) {
            const quarantined = entry.find(poison);
            if (quarantined && entry.isTrialDue(quarantined)) {
                const hasWon = await scene.store.claimTrial(quarantined.request, quarantined.trialCount);
                trialCount += hasWon ? 1 : 0;
                if (hasWon) {
                    entry.recordTrial(quarantined);
                }
            }
        }
        share();
        expect(entries.every(entry => entry.find(poison) !== undefined)).toBe(true);
    }
    expect(trialCount).toBe(2);
});

test("entry that starts again knows the quarantine before its first request", async () => {
    // Guards against a request that crashes endpoints in the second after all entries have lost power.
    const scene = new Scene();
    scene.crashThrice(scene.start());
    await scene.pass(2_000);
    const successor = scene.start(() => false, true);
    await scene.pass(10);
    expect(successor.find(poison)?.crashes).toHaveLength(3);
    expect(scene.store.callCount).toBe(3);
});

test("entry that hears of no other one learns from the store", async () => {
    // Guards against an entry behind a cut that counts the crashes anew.
    const scene = new Scene();
    scene.crashThrice(scene.start());
    let isIsolated = false;
    const isolated = scene.start(() => false, false, () => isIsolated);
    await scene.pass(3_000);
    const callCount = scene.store.callCount;
    isIsolated = true;
    await scene.pass(3_000);
    expect(scene.store.callCount).toBe(callCount);
    isolated.recordCrash({ endpoint: "e-9", incarnation: 1, at: scene.clock.now(), requests: [] });
    await scene.pass(1_000);
    expect(isolated.find(poison)).toBeDefined();
});

test("part that an operator has lifted stays in service", async () => {
    // Guards against a quarantine that the crashes before bring back at once.
    const scene = new Scene();
    const quarantine = scene.start();
    const suspectParts = new Map([["broken", { isTrial: true }]]);
    const crash = (count: number) =>
        quarantine.recordCrash({
            endpoint: `e-${count}`,
            incarnation: 1,
            at: scene.clock.now(),
            requests: [{ request: `request-${count}`, servedFor: 100, suspectParts }],
        });
    for (const count of [1, 2, 3, 4, 5]) {
        crash(count);
    }
    await scene.pass(2_000);
    expect(scene.store.byRequest.has("parts:broken")).toBe(true);
    scene.store.byRequest.clear();
    await scene.pass(60_000);
    crash(6);
    await scene.pass(2_000);
    expect(quarantine.find(fingerprintOf("/replies/9"), ["broken"])).toBeUndefined();
    expect(scene.store.byRequest.has("parts:broken")).toBe(false);
});
