/** Tests the estimate of an endpoint's engine passes against the simulated engine. */
import { expect, test } from "vitest";
import { WorkPart } from "../../src/core/placement/engineEstimate.js";
import { LoadEstimator } from "../../src/core/placement/loadEstimator.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { PassEngine, type PassEngineRequest } from "../../src/standins/passEngine.js";
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

/** An estimate and the simulated engine that it describes. */
class Fixture {
    readonly clock = new SimulatedClock();
    readonly estimator = new LoadEstimator(this.clock, () => engine);
    readonly simulatedEngine = new PassEngine(engine, this.clock);
    readonly firstEvents = new Map<string, number>();

    /** Sends a request to the engine, and records it in the estimate as an entry does. */
    send(id: string, promptTokens: number, events = 100): void {
        const work: PassEngineRequest = {
            id,
            promptTokens,
            eventCount: events,
            deliveredEventCount: 0,
            priority: 1,
            helpers: [],
        };
        void this.simulatedEngine.run(work, event => this.recordEvent(id, event), new AbortController().signal).catch(
            () => {},
        );
        const pairs = promptTokens * promptTokens / 2 / 1_000_000;
        this.estimator.recordPlaced({
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

    /** Time until the prefill of a prompt that arrives now would start. */
    get prefillWait(): number {
        const { remainingPassTime, prefillBacklog } = this.estimator.loadOf("e");
        return remainingPassTime + prefillBacklog;
    }

    private recordEvent(id: string, event: number): void {
        if (event === 1) {
            this.firstEvents.set(id, this.clock.now());
            this.estimator.recordWriting("e", id);
        }
    }
}

test("request waits for the end of the pass that runs", async () => {
    // A long prompt is prefilled beside a short response, in one pass of more than a second. A short prompt that arrives
    // meanwhile starts with the next pass. An estimate without passes shows the endpoint as free as soon as the prefill
    // alone would be done, and every entry sends its requests there until the pass ends.
    const fixture = new Fixture();
    fixture.send("short", 2_000);
    await fixture.clock.run(500);
    fixture.send("long", 80_000);
    await fixture.clock.run(600);
    const expected = 600 + fixture.prefillWait;
    fixture.send("next", 2_000);
    await fixture.clock.run(3_000);
    const firstEventAt = fixture.firstEvents.get("long")!;
    expect(Math.abs(expected - firstEventAt)).toBeLessThan(2);
    expect(fixture.firstEvents.get("next")! - firstEventAt).toBeGreaterThan(40);
});

test("load shows how long the oldest request is overdue", async () => {
    // An endpoint has accepted a request and stalls. The only evidence is the missing first event; otherwise the endpoint
    // looks idle and would get all requests.
    const fixture = new Fixture();
    fixture.simulatedEngine.passTimeFactor = 20;
    fixture.send("stalled", 2_000);
    await fixture.clock.run(150);
    expect(fixture.estimator.loadOf("e").overdueTime).toBe(50);
});

test("endpoint that answers others isn't overdue", async () => {
    // The update about a first event was lost. Its request would seem to wait for seconds, and a healthy endpoint would be
    // avoided.
    const fixture = new Fixture();
    fixture.send("lost", 2_000);
    await fixture.clock.run(400);
    fixture.firstEvents.clear();
    const estimator = new LoadEstimator(fixture.clock, () => engine);
    const work = {
        id: "unreported",
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
    estimator.recordPlaced(work);
    estimator.recordPlaced({ ...work, id: "reported" });
    await fixture.clock.run(800);
    estimator.recordWriting("e", "reported");
    await fixture.clock.run(850);
    expect(estimator.loadOf("e").overdueTime).toBe(50);
});
