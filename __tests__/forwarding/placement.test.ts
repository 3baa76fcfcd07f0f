/** Where work goes, at the load patterns that the placement answers. */
import { expect, test } from "vitest";
import type { KnownEndpoint } from "../../src/core/membership/endpointDirectory.js";
import {
    EndpointSelector,
    type PlacementRequirements,
    requestValue,
} from "../../src/core/placement/endpointSelector.js";
import { prefillDuration } from "../../src/core/placement/engineCost.js";
import { type PlacedWork, WorkPart } from "../../src/core/placement/engineEstimate.js";
import { FailureTracker } from "../../src/core/placement/failureTracker.js";
import { LoadEstimator } from "../../src/core/placement/loadEstimator.js";
import { SharedLoadEstimator } from "../../src/core/placement/sharedLoadEstimator.js";
import { minimumPartRatio } from "../../src/core/placement/team.js";
import { EndpointState, type EngineProfile, type ServiceDefinition } from "../../src/types/routing.js";
import type { Clock } from "../../src/utils/clock.js";
import { seededRandom } from "../../src/utils/random.js";

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
    usual: undefined,
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
    readonly clock: Clock = {
        now: () => this.time,
        wallTime: () => this.time,
        sleep: () => Promise.resolve(),
        after: () => () => {},
    };
    readonly loads = new LoadEstimator(this.clock, () => engine);
    readonly shared = new SharedLoadEstimator(this.loads, this.clock);
    readonly failures = new FailureTracker(this.clock);
    readonly placer: EndpointSelector;
    readonly endpoints: KnownEndpoint[];
    private next = 0;

    constructor(count: number, seed = 1) {
        this.placer = new EndpointSelector(this.shared, this.failures, seededRandom(seed));
        this.shared.serviceOf = () => "models";
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

    need(promptTokens: number, changes: Partial<PlacementRequirements> = {}): PlacementRequirements {
        const short = promptTokens < 30_000;
        return {
            service: models,
            promptTokens,
            answerTokens: 1_600,
            targetLatency: short ? 300 : 3_000,
            targetGap: short ? 200 : 800,
            targetLeft: short ? 300 : 3_000,
            patienceLeft: short ? 2_000 : 12_000,
            dataCentre: "a",
            failedEndpoints: new Set(),
            rejectedEndpoints: new Set(),
            endpointsWithoutMemory: new Set(),
            ...changes,
        };
    }

    /** Places a prompt and notes it; returns the endpoint and how many help. */
    place(promptTokens: number): { id: string; helpers: number; firstEvent: number; yields: boolean; work: string; } {
        const need = this.need(promptTokens);
        const placement = this.placer.select(need, this.endpoints)!;
        const { endpoint, helpers, shares, firstEvent, yields } = placement;
        const work = `w-${this.next++}`;
        const held = new Map(shares.map(share => [share.endpoint, share.tokens]));
        for (const known of [endpoint, ...helpers]) {
            const helping = held.has(known) ? WorkPart.Hold : WorkPart.Read;
            const part = known === endpoint ? WorkPart.Main : helping;
            const placed = this.work(known.record.id, work, need, placement.readTime, part);
            this.loads.recordPlaced({ ...placed, contextTokens: held.get(known) ?? promptTokens, yielding: yields });
        }
        return { id: endpoint.record.id, helpers: helpers.length, firstEvent, yields, work };
    }

    /** Who would read a prompt, and who would hold it. */
    team(promptTokens: number): { readers: string[]; shares: { id: string; tokens: number; }[]; } {
        const { endpoint, helpers, shares } = this.placer.select(this.need(promptTokens), this.endpoints)!;
        return {
            readers: [endpoint, ...helpers].map(({ record }) => record.id),
            shares: shares.map(share => ({ id: share.endpoint.record.id, tokens: share.tokens })),
        };
    }

    /** Time until an endpoint has read all that it was given. */
    readWait(endpoint: string): number {
        const { remainingPassTime, prefillBacklog } = this.loads.loadOf(endpoint);
        return remainingPassTime + prefillBacklog;
    }

    work(
        endpoint: string,
        id: string,
        need: PlacementRequirements,
        read: number,
        part: WorkPart = WorkPart.Main,
    ): PlacedWork {
        return {
            id,
            owner: "entry-1",
            endpoint,
            contextTokens: need.promptTokens,
            readTokens: 0,
            readTime: read,
            targetGap: need.targetGap,
            value: requestValue(need.promptTokens),
            yielding: false,
            firstEventIn: undefined,
            part,
            endsBy: this.time + 10_000,
        };
    }
}

test("short prompts keep away from a long read", () => {
    // A season file is being read for most of a second. A short prompt behind it would wait that long for its first event.
    const fixture = new Fixture(4);
    const long = fixture.place(200_000);
    expect(long.helpers).toBeGreaterThan(0);
    fixture.loads.recordEnded(long.id, long.work);
    const busy = new Fixture(3);
    const need = busy.need(200_000);
    busy.loads.recordPlaced(busy.work("e-0", "long", need, 900));
    for (let index = 0; index < 6; index++) {
        expect(busy.place(5_000).id).not.toBe("e-0");
    }
});

test("long read keeps away from short writers", () => {
    // Writers of short replies tolerate pauses of 200 ms; a long read beside them stretches each pause to 400 ms.
    const fixture = new Fixture(3);
    const short = fixture.place(5_000);
    fixture.loads.recordWriting(short.id, short.work);
    fixture.time += 100;
    expect(fixture.place(60_000).id).not.toBe(short.id);
});

test("short prompts are packed", () => {
    // Forty replies at once fit on four endpoints of eleven slots; the others stay free for the next season file.
    const fixture = new Fixture(20);
    const used = new Set<string>();
    for (let index = 0; index < 40; index++) {
        const { id, work } = fixture.place(5_000);
        used.add(id);
        fixture.time += 30;
        fixture.loads.recordWriting(id, work);
    }
    expect(used.size).toBeLessThanOrEqual(5);
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
    const alone = prefillDuration(engine, 300_000);
    expect(alone).toBeGreaterThan(5_000);
    const { targetLatency } = fixture.need(300_000);
    expect(placed.helpers).toBe(Math.ceil(alone / (minimumPartRatio * targetLatency)) - 1);
    expect(placed.firstEvent).toBeLessThan(0.6 * targetLatency);
});

test("long read leaves writers alone while enough endpoints are idle", () => {
    const fixture = new Fixture(14);
    const short = fixture.place(5_000);
    fixture.loads.recordWriting(short.id, short.work);
    fixture.time += 100;
    const { readers } = fixture.team(300_000);
    expect(readers).toHaveLength(Math.ceil(prefillDuration(engine, 300_000) / (minimumPartRatio * 3_000)));
    expect(readers).not.toContain(short.id);
});

test("long read leaves the endpoint of many writers alone", () => {
    // One part of a long prompt stretches a pass by its whole time. Seven callers would see a pause of more than a second for
    // the sake of one whose prompt is read a little sooner.
    const fixture = new Fixture(3);
    const need = fixture.need(5_000);
    for (const writer of ["a", "b", "c", "d", "e", "f", "g"]) {
        fixture.loads.recordPlaced(fixture.work("e-0", writer, need, 20));
        fixture.loads.recordWriting("e-0", writer);
    }
    fixture.time += 200;
    expect(fixture.team(200_000).readers).not.toContain("e-0");
});

test("long prompt beside another one's answer", () => {
    // A long answer is being written with pauses of at most 800 ms. A part of the next long prompt there would make a pause
    // of a second, though its tokens alone would be read in a third of that.
    const fixture = new Fixture(4);
    fixture.loads.recordPlaced(fixture.work("e-0", "writing", fixture.need(210_000), 0));
    fixture.loads.recordWriting("e-0", "writing");
    expect(fixture.team(250_000).readers).not.toContain("e-0");
});

test("prompt over one endpoint's memory gets shares that hold it", () => {
    const fixture = new Fixture(20);
    const { readers, shares } = fixture.team(600_000);
    expect(shares.length).toBe(2);
    expect(shares[0]!.id).toBe(readers[0]);
    expect(shares.reduce((sum, { tokens }) => sum + tokens, 0)).toBeGreaterThanOrEqual(601_600);
    for (const { id, tokens } of shares) {
        expect(readers).toContain(id);
        expect(tokens).toBeLessThanOrEqual(engine.memoryTokens);
    }
});

test("memory in use isn't shared out again", () => {
    // Two prompts that need all the memory there is. The second one's orders would be refused, and asking costs both.
    const fixture = new Fixture(3);
    fixture.place(1_000_000);
    expect(fixture.placer.select(fixture.need(1_000_000), fixture.endpoints)).toBeUndefined();
});

test("short prompts are left some endpoints by a long read that is late anyway", () => {
    // A prompt of a million tokens keeps sixteen endpoints busy for three seconds. If no endpoint is left, all short prompts
    // that come meanwhile are late too.
    const fixture = new Fixture(16);
    const need = fixture.need(5_000);
    for (let index = 0; index < 60; index++) {
        const endpoint = `e-${index % 8}`;
        fixture.loads.recordPlaced(fixture.work(endpoint, `w-${index}`, need, 20));
        fixture.loads.recordWriting(endpoint, `w-${index}`);
    }
    fixture.time += 500;
    const { readers } = fixture.team(1_000_000);
    expect(readers.length).toBeLessThanOrEqual(10);
});

test("resting endpoint is passed over", () => {
    const fixture = new Fixture(2);
    fixture.failures.recordLost(fixture.endpoints[0]!);
    expect(fixture.place(5_000).id).toBe("e-1");
    fixture.failures.recordLost(fixture.endpoints[1]!);
    expect(fixture.place(5_000).id).toBeDefined();
});

test("endpoints beside several that were lost at once are passed over", () => {
    // A data centre loses its power. Its endpoints stay listed for seconds, and a long prompt whose helpers were picked among
    // them would be refused once for each.
    const fixture = new Fixture(12);
    const inA = fixture.endpoints.filter(({ record }) => record.dataCentre === "a");
    for (const endpoint of inA.slice(0, 3)) {
        fixture.failures.recordLost(endpoint);
    }
    const { readers } = fixture.team(200_000);
    expect(readers.every(id => fixture.endpoints.find(({ record }) => record.id === id)!.record.dataCentre === "b"))
        .toBe(true);
    fixture.failures.recordSucceeded(inA[4]!);
    expect(fixture.failures.isSuspect("a")).toBe(false);
});

test("silent endpoints are no reason to pass over the others", () => {
    // Much is asked for, and three endpoints of a data centre say nothing for a second. Passed over, all its others would leave
    // the rest with half as much again.
    const fixture = new Fixture(12);
    for (const endpoint of fixture.endpoints.filter(({ record }) => record.dataCentre === "a").slice(0, 3)) {
        fixture.failures.recordUnresponsive(endpoint);
    }
    expect(fixture.failures.isSuspect("a")).toBe(false);
});

test("endpoints lost here and there are no reason to pass over the others", () => {
    const fixture = new Fixture(12);
    for (const endpoint of fixture.endpoints.slice(0, 4)) {
        fixture.failures.recordLost(endpoint);
    }
    expect(fixture.failures.isSuspect("a")).toBe(false);
    expect(fixture.failures.isSuspect("b")).toBe(false);
});

test("failing endpoint gets less", () => {
    // A replica fails two requests in five and its health is good. Without a memory of failures it would look idle, and get
    // more than the others.
    const fixture = new Fixture(3);
    for (let index = 0; index < 4; index++) {
        fixture.failures.recordFailed("e-0");
    }
    const need = { ...fixture.need(0), service: desk };
    expect(fixture.placer.select(need, fixture.endpoints)!.endpoint.record.id).not.toBe("e-0");
});

test("refusing endpoint doesn't get it again, broken one as the last resort", () => {
    const fixture = new Fixture(2);
    const place = (changes: Partial<PlacementRequirements>) =>
        fixture.placer.select(fixture.need(0, { service: desk, ...changes }), fixture.endpoints)?.endpoint.record.id;
    expect(place({ rejectedEndpoints: new Set(["e-0", "e-1"]) })).toBeUndefined();
    expect(place({ rejectedEndpoints: new Set(["e-0"]), failedEndpoints: new Set(["e-1"]) })).toBe("e-1");
    expect(place({ failedEndpoints: new Set(["e-1"]) })).toBe("e-0");
});

test("end that overtakes its placement", () => {
    // Datagrams overtake one another. Work whose end came first would seem to go on for ten seconds.
    const fixture = new Fixture(1);
    fixture.loads.recordEnded("e-0", "w");
    fixture.loads.recordPlaced(fixture.work("e-0", "w", fixture.need(5_000), 20));
    expect(fixture.loads.loadOf("e-0").requestCount).toBe(0);
});

test("end that never came", () => {
    const fixture = new Fixture(1);
    fixture.loads.recordPlaced(fixture.work("e-0", "lost", fixture.need(5_000), 20));
    fixture.loads.recordPlaced(fixture.work("e-0", "kept", fixture.need(5_000), 20));
    fixture.time = 600;
    fixture.loads.retainOnly("entry-1", new Set(["kept"]), 300);
    expect(fixture.loads.loadOf("e-0").requestCount).toBe(1);
    fixture.time = 10_000;
    expect(fixture.loads.loadOf("e-0").requestCount).toBe(0);
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
        fixture.loads.recordWriting(id, work);
    }
    fixture.time += 1_600;
    for (const { id, work } of works.slice(0, 4)) {
        fixture.loads.recordEnded(id, work);
    }
    const newcomer = fixture.place(5_000);
    expect(newcomer.yields).toBe(false);
    expect(newcomer.firstEvent).toBeLessThan(300);
});

test("newcomers don't overtake long reads", () => {
    // Parts for others go before an endpoint's own reads. With a part of each new long prompt everywhere, those that came
    // first are read last, and all are given up.
    const fixture = new Fixture(4);
    for (const endpoint of ["e-0", "e-1"]) {
        fixture.loads.recordPlaced(fixture.work(endpoint, `reading-${endpoint}`, fixture.need(200_000), 2_500));
    }
    const { readers } = fixture.team(300_000);
    expect(readers).not.toContain("e-0");
    expect(readers).not.toContain("e-1");
});

test("long prompt where all endpoints read waits behind the shortest backlog alone", () => {
    const fixture = new Fixture(2);
    fixture.loads.recordPlaced(fixture.work("e-0", "long", fixture.need(200_000), 2_500));
    fixture.loads.recordPlaced(fixture.work("e-1", "short", fixture.need(200_000), 900));
    expect(fixture.team(200_000).readers).toEqual(["e-1"]);
});

test("long prompt waits where all slots are taken", () => {
    // Short prompts fill every slot for a moment. A long one waits for a slot, as short ones do, and isn't refused.
    const fixture = new Fixture(2);
    for (let index = 0; index < 2 * engine.slots; index++) {
        const endpoint = `e-${index % 2}`;
        fixture.loads.recordPlaced(fixture.work(endpoint, `w-${index}`, fixture.need(5_000), 20));
        fixture.loads.recordWriting(endpoint, `w-${index}`);
    }
    fixture.time += 500;
    expect(fixture.team(200_000).readers).toHaveLength(1);
});

test("part that a later one overtook still holds its endpoint up", () => {
    // An engine reads parts for others the newest first. Two long prompts share an endpoint, and the later one is answered
    // first. Believed to be read in turn, the other part would seem done, and every short prompt of the next two seconds
    // would be sent to an endpoint that reads nothing of it.
    const fixture = new Fixture(1);
    const need = fixture.need(300_000);
    fixture.loads.recordPlaced(fixture.work("e-0", "first", need, 3_000, WorkPart.Read));
    fixture.time = 700;
    fixture.loads.recordPlaced(fixture.work("e-0", "second", need, 3_000, WorkPart.Read));
    fixture.time = 4_500;
    fixture.loads.recordEnded("e-0", "second");
    expect(fixture.readWait("e-0")).toBe(1_500);
});

test("part of a prompt that was given up holds nobody up", () => {
    // The endpoint that was to answer a long prompt has died, and those that read for it stop. Believed to read on for seconds,
    // they would get nothing just when a third of the endpoints is missing.
    const fixture = new Fixture(1);
    const need = fixture.need(300_000);
    fixture.loads.recordPlaced(fixture.work("e-0", "writer", need, 0));
    fixture.loads.recordWriting("e-0", "writer");
    fixture.loads.recordPlaced(fixture.work("e-0", "long", need, 5_000, WorkPart.Read));
    fixture.time = 1_000;
    expect(fixture.readWait("e-0")).toBeGreaterThan(3_000);
    fixture.loads.recordEnded("e-0", "long");
    expect(fixture.readWait("e-0")).toBeLessThan(100);
});

test("parts are done when their prompt is written", () => {
    const fixture = new Fixture(2);
    const need = fixture.need(300_000);
    fixture.loads.recordPlaced(fixture.work("e-0", "long", need, 3_000));
    fixture.loads.recordPlaced(fixture.work("e-1", "long", need, 3_000, WorkPart.Read));
    fixture.time = 2_000;
    fixture.loads.recordWriting("e-0", "long");
    expect(fixture.readWait("e-1")).toBe(0);
});

test("wait for a slot by usual answers", () => {
    // Callers allow answers of three times the usual length. Taken at their word, a full endpoint seems to be busy for three
    // times as long as it is, and callers who would be answered in time are turned away.
    const fixture = new Fixture(1);
    const usual = { promptTokens: 12_000, answerTokens: 1_600 };
    const service = { ...models, engine: { ...engine, usual } };
    for (let index = 0; index < engine.slots; index++) {
        fixture.loads.recordPlaced(fixture.work("e-0", `w-${index}`, fixture.need(5_000), 0));
        fixture.loads.recordWriting("e-0", `w-${index}`);
    }
    const firstEvent = (answerTokens: number) =>
        fixture.placer.select(fixture.need(5_000, { service, answerTokens }), fixture.endpoints)!.firstEvent;
    expect(firstEvent(4_800)).toBe(firstEvent(1_600));
});

test("endpoint whose oldest request is overdue is passed over", () => {
    // An endpoint stalls with one request. It looks as idle as ever, and as others write there it would get all short prompts
    // until the first of them is given up.
    const fixture = new Fixture(3);
    const need = fixture.need(5_000);
    fixture.loads.recordPlaced({ ...fixture.work("e-0", "stalled", need, 20), firstEventIn: 100 });
    for (const writer of ["a", "b", "c"]) {
        fixture.loads.recordPlaced(fixture.work("e-0", writer, need, 0));
    }
    fixture.time = 1_000;
    expect(fixture.loads.loadOf("e-0").overdueTime).toBe(900);
    expect(fixture.place(5_000).id).not.toBe("e-0");
});

test("entries that can't know of one another's placement choose different endpoints", () => {
    // Forty entries have the same belief, and news takes twenty milliseconds. In that time two or three more requests come to
    // each endpoint that all of them like best.
    const chosen = [...Array(20).keys()].map(entry => {
        const fixture = new Fixture(40, entry);
        for (let placement = 0; placement < 200; placement++) {
            fixture.shared.apply({
                type: "Placed",
                works: [fixture.work("gone", `w-${placement}`, fixture.need(10), 0)],
            });
        }
        fixture.shared.propagationDelay = () => 20;
        return fixture.place(5_000).id;
    });
    expect(new Set(chosen).size).toBeGreaterThan(10);
});

/** A prompt that can't be in time any more, and takes an engine twenty seconds. */
const doomed = (fixture: Fixture) => fixture.need(400_000, { targetLeft: -3_000 });

test("prompt that is late anyway waits while its engines are worth more to others", () => {
    // Twice as many short prompts come as the endpoints can write. The engine time of one prompt that is late anyway would make
    // a hundred of them late too.
    const fixture = new Fixture(6);
    expect(fixture.placer.select(doomed(fixture), fixture.endpoints)!.postponed).toBe(false);
    for (let request = 0; request < 120; request++) {
        fixture.shared.demand.recordRequest("models", 25, requestValue(5_000));
        fixture.time += 10;
    }
    expect(fixture.placer.select(doomed(fixture), fixture.endpoints)!.postponed).toBe(true);
    fixture.time += 3_000;
    expect(fixture.placer.select(doomed(fixture), fixture.endpoints)!.postponed).toBe(false);
});

test("no part beside writers whose callers would give up", () => {
    // A pause of two seconds isn't just late: callers leave. Ten answers that never end are worth more than one long prompt that
    // is in time.
    const fixture = new Fixture(2);
    const need = fixture.need(4_000);
    for (let writer = 0; writer < 10; writer++) {
        fixture.loads.recordPlaced(fixture.work("e-0", `w-${writer}`, need, 0));
        fixture.loads.recordWriting("e-0", `w-${writer}`);
    }
    fixture.time += 100;
    const long = fixture.need(260_000, { targetLeft: 2_500 });
    const { endpoint, helpers } = fixture.placer.select(long, fixture.endpoints)!;
    expect([endpoint, ...helpers].map(({ record }) => record.id)).toEqual(["e-1"]);
});
