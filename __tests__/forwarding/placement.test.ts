/** Where work goes, at the load patterns that the placement answers. */
import { expect, test } from "vitest";
import type { KnownEndpoint } from "../../src/core/membership/endpointDirectory.js";
import { readTime } from "../../src/core/placement/engineCost.js";
import { FailureView } from "../../src/core/placement/failureView.js";
import { LoadView, type PlacedWork } from "../../src/core/placement/loadView.js";
import { type PlacementNeed, Placer, valueOf } from "../../src/core/placement/placer.js";
import { EndpointState, type EngineProfile, type ServiceDefinition } from "../../src/types/routing.js";
import type { Clock } from "../../src/utils/clock.js";

/** Speeds of a model of 70 billion parameters on four accelerators, published by its operator. */
const engine: EngineProfile = {
    slots: 11,
    memoryTokens: 450_000,
    stepTime: 0.925,
    stepTimePerRequest: 0.007,
    stepTimePerThousandTokens: 0.00254,
    readTokensPerSecond: 256_000,
    readTimePerMillionPairs: 0.0917,
    chunkTokens: 2_048,
    stepsPerPass: 46,
    hopTime: 0.1,
};

const models: ServiceDefinition = {
    name: "models",
    healthPath: "/",
    connectionsAtMost: 100,
    coldRequestsPerSecond: 26,
    engine,
};

const desk: ServiceDefinition = { ...models, name: "desk", engine: undefined };

class Fixture {
    time = 0;
    readonly clock: Clock = { now: () => this.time, wallTime: () => this.time, sleep: () => Promise.resolve() };
    readonly loads = new LoadView(this.clock);
    readonly failures = new FailureView(this.clock);
    readonly placer = new Placer(this.loads, this.failures);
    readonly endpoints: KnownEndpoint[];
    private next = 0;

    constructor(count: number) {
        this.endpoints = [...Array(count).keys()].map(index => ({
            record: {
                id: `e-${index}`,
                service: "models",
                address: `10.0.0.${index}:80`,
                dataCentre: index % 2 === 0 ? "a" : "b",
                slots: 11,
                state: EndpointState.Ready,
                coldFor: 0,
                incarnation: 1,
            },
            revision: 1,
            coldUntil: 0,
            dropAt: undefined,
        }));
    }

    need(promptTokens: number, changes: Partial<PlacementNeed> = {}): PlacementNeed {
        const short = promptTokens < 30_000;
        return {
            service: models,
            promptTokens,
            answerTokens: 1_600,
            targetLatency: short ? 300 : 3_000,
            targetGap: short ? 200 : 800,
            targetLeft: short ? 300 : 3_000,
            dataCentre: "a",
            broken: new Set(),
            refused: new Set(),
            ...changes,
        };
    }

    /** Places a prompt and notes it; returns the endpoint and how many help. */
    place(promptTokens: number): { id: string; helpers: number; firstEvent: number; yields: boolean; work: string; } {
        const need = this.need(promptTokens);
        const { endpoint, helpers, readTime: read, firstEvent, yields } = this.placer.place(need, this.endpoints)!;
        const work = `w-${this.next++}`;
        for (const [index, { record }] of [endpoint, ...helpers].entries()) {
            this.loads.place({ ...this.work(record.id, work, need, read, index > 0), yielding: yields });
        }
        return { id: endpoint.record.id, helpers: helpers.length, firstEvent, yields, work };
    }

    work(endpoint: string, id: string, need: PlacementNeed, read: number, helping: boolean): PlacedWork {
        return {
            id,
            owner: "entry-1",
            endpoint,
            contextTokens: need.promptTokens,
            readTime: read,
            targetGap: need.targetGap,
            value: valueOf(need.promptTokens),
            yielding: false,
            helping,
            endsBy: this.time + 10_000,
        };
    }
}

test("short prompts keep away from a long read", () => {
    // A season file is being read for most of a second. A short prompt behind it would wait that long for its first event.
    const fixture = new Fixture(4);
    const long = fixture.place(200_000);
    expect(long.helpers).toBeGreaterThan(0);
    fixture.loads.end(long.id, long.work);
    const busy = new Fixture(3);
    const need = busy.need(200_000);
    busy.loads.place(busy.work("e-0", "long", need, 900, false));
    for (let index = 0; index < 6; index++) {
        expect(busy.place(5_000).id).not.toBe("e-0");
    }
});

test("long read keeps away from short writers", () => {
    // Writers of short replies tolerate pauses of 200 ms; a long read beside them stretches each pause to 400 ms.
    const fixture = new Fixture(3);
    const short = fixture.place(5_000);
    fixture.loads.writes(short.id, short.work);
    fixture.time += 100;
    expect(fixture.place(60_000).id).not.toBe(short.id);
});

test("short prompts are packed", () => {
    // Forty replies at once fit on few endpoints; the others stay free for the next season file.
    const fixture = new Fixture(20);
    const used = new Set<string>();
    for (let index = 0; index < 40; index++) {
        const { id, work } = fixture.place(5_000);
        used.add(id);
        fixture.time += 30;
        fixture.loads.writes(id, work);
    }
    expect(used.size).toBeLessThanOrEqual(10);
});

test("short prompts that come together are spread", () => {
    // Ten short prompts in one millisecond take 20 ms each to read; on one endpoint the last would wait for all others.
    const fixture = new Fixture(20);
    const placed = Array.from({ length: 30 }, () => fixture.place(5_000));
    expect(Math.max(...placed.map(({ firstEvent }) => firstEvent))).toBeLessThan(300);
});

test("long prompt gets idle helpers in even parts", () => {
    const fixture = new Fixture(20);
    const placed = fixture.place(300_000);
    const alone = readTime(engine, 300_000);
    expect(alone).toBeGreaterThan(5_000);
    expect(placed.helpers).toBe(Math.ceil(alone / 800) - 1);
    expect(placed.firstEvent).toBeLessThan(1_000);
});

test("helpers are never endpoints with writers", () => {
    const fixture = new Fixture(3);
    const short = fixture.place(5_000);
    fixture.loads.writes(short.id, short.work);
    fixture.time += 100;
    const { id, helpers } = fixture.place(300_000);
    expect(id).not.toBe(short.id);
    expect(helpers).toBe(1);
});

test("resting endpoint is passed over", () => {
    const fixture = new Fixture(2);
    fixture.failures.lost("e-0");
    expect(fixture.place(5_000).id).toBe("e-1");
    fixture.failures.lost("e-1");
    expect(fixture.place(5_000).id).toBeDefined();
});

test("failing endpoint gets less", () => {
    // A replica fails two requests in five and its health is good. Without a memory of failures it would look idle, and get
    // more than the others.
    const fixture = new Fixture(3);
    for (let index = 0; index < 4; index++) {
        fixture.failures.failed("e-0");
    }
    const need = { ...fixture.need(0), service: desk };
    expect(fixture.placer.place(need, fixture.endpoints)!.endpoint.record.id).not.toBe("e-0");
});

test("refusing endpoint doesn't get it again, broken one as the last resort", () => {
    const fixture = new Fixture(2);
    const place = (changes: Partial<PlacementNeed>) =>
        fixture.placer.place(fixture.need(0, { service: desk, ...changes }), fixture.endpoints)?.endpoint.record.id;
    expect(place({ refused: new Set(["e-0", "e-1"]) })).toBeUndefined();
    expect(place({ refused: new Set(["e-0"]), broken: new Set(["e-1"]) })).toBe("e-1");
    expect(place({ broken: new Set(["e-1"]) })).toBe("e-0");
});

test("end that overtakes its placement", () => {
    // Datagrams overtake one another. Work whose end came first would seem to go on for ten seconds.
    const fixture = new Fixture(1);
    fixture.loads.end("e-0", "w");
    fixture.loads.place(fixture.work("e-0", "w", fixture.need(5_000), 20, false));
    expect(fixture.loads.load("e-0").requests).toBe(0);
});

test("end that never came", () => {
    const fixture = new Fixture(1);
    fixture.loads.place(fixture.work("e-0", "lost", fixture.need(5_000), 20, false));
    fixture.loads.place(fixture.work("e-0", "kept", fixture.need(5_000), 20, false));
    fixture.time = 600;
    fixture.loads.keepOnly("entry-1", new Set(["kept"]), 300);
    expect(fixture.loads.load("e-0").requests).toBe(1);
    fixture.time = 10_000;
    expect(fixture.loads.load("e-0").requests).toBe(0);
});

test("late work lets newcomers go first", () => {
    // Few endpoints are left for all short prompts, and more come than they can write. If all wait in turn, every one is late;
    // if those that are late in any case let newcomers go first, most of the others are in time.
    const fixture = new Fixture(2);
    const works: { id: string; work: string; }[] = [];
    let yielding = 0;
    for (let index = 0; index < 40; index++) {
        const placed = fixture.place(5_000);
        works.push(placed);
        yielding += placed.yields ? 1 : 0;
    }
    expect(yielding).toBeGreaterThan(5);
    fixture.time += 100;
    for (const { id, work } of works.slice(0, 22)) {
        fixture.loads.writes(id, work);
    }
    fixture.time += 1_600;
    for (const { id, work } of works.slice(0, 4)) {
        fixture.loads.end(id, work);
    }
    const newcomer = fixture.place(5_000);
    expect(newcomer.yields).toBe(false);
    expect(newcomer.firstEvent).toBeLessThan(300);
});
