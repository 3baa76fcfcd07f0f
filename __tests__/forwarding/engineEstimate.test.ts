/** What an endpoint is believed to do, by the passes of its engine. */
import { expect, test } from "vitest";
import { WorkPart } from "../../src/core/placement/engineEstimate.js";
import { LoadEstimator } from "../../src/core/placement/loadEstimator.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { type EngineWork, PassEngine } from "../../src/standins/passEngineModel.js";
import type { EngineProfile } from "../../src/types/routing.js";

const engine: EngineProfile = {
    slots: 11,
    memoryTokens: 232_000,
    stepTime: 1,
    stepTimePerRequest: 0.002,
    stepTimePerThousandTokens: 0.004,
    readTokensPerSecond: 200_000,
    readTimePerMillionPairs: 0.138,
    chunkTokens: 2_048,
    stepsPerPass: 40,
    hopTime: 0.1,
    usual: undefined,
};

/** A belief beside the engine that it is about. */
class Fixture {
    readonly clock = new SimulatedClock();
    readonly view = new LoadEstimator(this.clock, () => engine);
    readonly real = new PassEngine(engine, this.clock);
    readonly firstEvents = new Map<string, number>();

    /** Sends a request to the engine, and notes it as an entry does. */
    send(id: string, promptTokens: number, events = 100): void {
        const work: EngineWork = { id, promptTokens, events, from: 0, priority: 1, helpers: [] };
        void this.real.run(work, event => this.note(id, event), new AbortController().signal).catch(() => {});
        const pairs = promptTokens * promptTokens / 2 / 1_000_000;
        this.view.recordPlaced({
            id,
            owner: "entry-1",
            endpoint: "e",
            contextTokens: promptTokens,
            readTokens: promptTokens,
            readTime: promptTokens / 200 + pairs * engine.readTimePerMillionPairs,
            targetGap: 250,
            value: 1,
            yielding: false,
            part: WorkPart.Main,
            firstEventIn: 100,
            endsBy: 60_000,
        });
    }

    /** Time until a prompt that came now would begin to be read. */
    get wait(): number {
        const { remainingPassTime, prefillBacklog } = this.view.loadOf("e");
        return remainingPassTime + prefillBacklog;
    }

    private note(id: string, event: number): void {
        if (event === 1) {
            this.firstEvents.set(id, this.clock.now());
            this.view.recordWriting("e", id);
        }
    }
}

test("request waits for the end of the pass that runs", async () => {
    // A long prompt is read beside a short answer: one pass of more than a second. A short prompt that comes meanwhile begins
    // with the next pass. Counted as reads in turn the endpoint seems free as soon as the read alone would be done, and every
    // entry sends there what comes until the pass has ended.
    const fixture = new Fixture();
    fixture.send("short", 2_000);
    await fixture.clock.run(500);
    fixture.send("long", 80_000);
    await fixture.clock.run(600);
    const expected = 600 + fixture.wait;
    fixture.send("next", 2_000);
    await fixture.clock.run(3_000);
    const begun = fixture.firstEvents.get("long")!;
    expect(Math.abs(expected - begun)).toBeLessThan(2);
    expect(fixture.firstEvents.get("next")! - begun).toBeGreaterThan(40);
});

test("endpoint whose oldest request is overdue says so", async () => {
    // An endpoint has taken a request and stalls. Nothing tells so but that the first event doesn't come; meanwhile it looks
    // as idle as ever, and would get everything.
    const fixture = new Fixture();
    fixture.real.slowness = 20;
    fixture.send("stalled", 2_000);
    await fixture.clock.run(150);
    expect(fixture.view.loadOf("e").overdueTime).toBe(50);
});

test("endpoint that answers others isn't overdue", async () => {
    // News of a first event was lost. Its request would seem to wait for seconds, and a sound endpoint would be avoided.
    const fixture = new Fixture();
    fixture.send("lost", 2_000);
    await fixture.clock.run(400);
    fixture.firstEvents.clear();
    const view = new LoadEstimator(fixture.clock, () => engine);
    const work = {
        id: "unheard",
        owner: "entry-2",
        endpoint: "e",
        contextTokens: 100,
        readTokens: 100,
        readTime: 1,
        targetGap: 250,
        value: 1,
        yielding: false,
        part: WorkPart.Main,
        firstEventIn: 100,
        endsBy: 60_000,
    };
    view.recordPlaced(work);
    view.recordPlaced({ ...work, id: "heard" });
    await fixture.clock.run(800);
    view.recordWriting("e", "heard");
    await fixture.clock.run(850);
    expect(view.loadOf("e").overdueTime).toBe(50);
});
