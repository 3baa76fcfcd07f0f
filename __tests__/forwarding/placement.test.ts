/** Tests the endpoint selection under the load patterns that it must handle. */
import { expect, test } from "vitest";
import type { KnownEndpoint } from "../../src/core/membership/endpointDirectory.js";
import { EndpointSelector, type PlacementRequirements } from "../../src/core/placement/endpointSelector.js";
import { prefillDuration } from "../../src/core/placement/engineCost.js";
import { type PlacedWork, WorkPart } from "../../src/core/placement/engineEstimate.js";
import { FailureTracker } from "../../src/core/placement/failureTracker.js";
import { LoadEstimator } from "../../src/core/placement/loadEstimator.js";
import { requestValue } from "../../src/core/placement/requestValue.js";
import { SharedLoadEstimator } from "../../src/core/placement/sharedLoadEstimator.js";
import { minimumPartRatio } from "../../src/core/placement/team.js";
import { EndpointState, type EngineProfile, type ServiceDefinition } from "../../src/types/routing.js";
import type { Clock } from "../../src/utils/clock.js";
import { silentLog } from "../../src/utils/log.js";
import { seededRandom } from "../../src/utils/random.js";

/** Speeds of a model with 70 billion parameters on four accelerators, as published by its operator. */
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

const plainService: ServiceDefinition = { ...models, name: "desk", engine: undefined };

class Fixture {
    time = 0;
    readonly clock: Clock = {
        now: () => this.time,
        wallTime: () => this.time,
        sleep: () => Promise.resolve(),
        after: () => () => {},
    };
    readonly loads = new LoadEstimator(this.clock, () => engine);
    readonly sharedLoads = new SharedLoadEstimator(this.loads, this.clock);
    readonly failures = new FailureTracker(this.clock, silentLog, "entry-0");
    readonly selector: EndpointSelector;
    readonly endpoints: KnownEndpoint[];
    private nextWork = 0;

    constructor(count: number, seed = 1) {
        this.selector = new EndpointSelector(this.sharedLoads, this.failures, seededRandom(seed));
        this.sharedLoads.serviceOf = () => "models";
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
            expiresAt: undefined,
        }));
    }

    requirements(promptTokens: number, changes: Partial<PlacementRequirements> = {}): PlacementRequirements {
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

    /** Places a prompt and records it; returns the main endpoint, the number of helpers, and the predictions. */
    place(promptTokens: number): { id: string; helpers: number; firstEvent: number; yields: boolean; work: string; } {
        const requirements = this.requirements(promptTokens);
        const placement = this.selector.select(requirements, this.endpoints)!;
        const { endpoint, helpers, shares, firstEvent, yields } = placement;
        const work = `w-${this.nextWork++}`;
        const heldTokens = new Map(shares.map(share => [share.endpoint, share.tokens]));
        for (const member of [endpoint, ...helpers]) {
            const helperPart = heldTokens.has(member) ? WorkPart.Hold : WorkPart.Read;
            const part = member === endpoint ? WorkPart.Main : helperPart;
            const placed = this.work(member.record.id, work, requirements, placement.readTime, part);
            this.loads.recordPlaced({
                ...placed,
                contextTokens: heldTokens.get(member) ?? promptTokens,
                yielding: yields,
            });
        }
        return { id: endpoint.record.id, helpers: helpers.length, firstEvent, yields, work };
    }

    /** Endpoints that would prefill a prompt, and the memory that each would hold. */
    team(promptTokens: number): { members: string[]; shares: { id: string; tokens: number; }[]; } {
        const { endpoint, helpers, shares } = this.selector.select(this.requirements(promptTokens), this.endpoints)!;
        return {
            members: [endpoint, ...helpers].map(({ record }) => record.id),
            shares: shares.map(share => ({ id: share.endpoint.record.id, tokens: share.tokens })),
        };
    }

    /** Time until an endpoint has finished the prefills placed there. */
    prefillWait(endpoint: string): number {
        const { remainingPassTime, prefillBacklog } = this.loads.loadOf(endpoint);
        return remainingPassTime + prefillBacklog;
    }

    work(
        endpoint: string,
        id: string,
        requirements: PlacementRequirements,
        readTime: number,
        part: WorkPart = WorkPart.Main,
    ): PlacedWork {
        return {
            id,
            owner: "entry-1",
            endpoint,
            contextTokens: requirements.promptTokens,
            readTokens: 0,
            readTime,
            targetGap: requirements.targetGap,
            value: requestValue(requirements.promptTokens),
            yielding: false,
            firstEventIn: undefined,
            part,
            endsBy: this.time + 10_000,
        };
    }
}

test("short prompts keep away from a long read", () => {
    // The prefill of a long prompt takes an endpoint most of a second. A short prompt behind it would wait that long for
    // its first event.
    const fixture = new Fixture(4);
    const long = fixture.place(200_000);
    expect(long.helpers).toBeGreaterThan(0);
    fixture.loads.recordEnded(long.id, long.work);
    const busy = new Fixture(3);
    const requirements = busy.requirements(200_000);
    busy.loads.recordPlaced(busy.work("e-0", "long", requirements, 900));
    for (let index = 0; index < 6; index++) {
        expect(busy.place(5_000).id).not.toBe("e-0");
    }
});

test("long read keeps away from short writers", () => {
    // Callers of short responses accept gaps of 200 ms; a long prefill on the same endpoint lengthens each gap to 400 ms.
    const fixture = new Fixture(3);
    const short = fixture.place(5_000);
    fixture.loads.recordWriting(short.id, short.work);
    fixture.time += 100;
    expect(fixture.place(60_000).id).not.toBe(short.id);
});

test("short prompts are packed", () => {
    // Forty concurrent responses fit on four endpoints with eleven slots each; the other endpoints stay free for the next
    // long prompt.
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
    // Short prompts that arrive within one millisecond each take 20 ms to prefill; with ten of them on one endpoint, the
    // last would wait for all others.
    const fixture = new Fixture(20);
    const placed = Array.from({ length: 30 }, () => fixture.place(5_000));
    expect(Math.max(...placed.map(({ firstEvent }) => firstEvent))).toBeLessThan(300);
});

test("long prompt gets idle helpers in even parts", () => {
    const fixture = new Fixture(20);
    const placed = fixture.place(300_000);
    const alone = prefillDuration(engine, 300_000);
    expect(alone).toBeGreaterThan(5_000);
    const { targetLatency } = fixture.requirements(300_000);
    expect(placed.helpers).toBe(Math.ceil(alone / (minimumPartRatio * targetLatency)) - 1);
    expect(placed.firstEvent).toBeLessThan(0.6 * targetLatency);
});

test("long read leaves writers alone while enough endpoints are idle", () => {
    const fixture = new Fixture(14);
    const short = fixture.place(5_000);
    fixture.loads.recordWriting(short.id, short.work);
    fixture.time += 100;
    const { members } = fixture.team(300_000);
    expect(members).toHaveLength(Math.ceil(prefillDuration(engine, 300_000) / (minimumPartRatio * 3_000)));
    expect(members).not.toContain(short.id);
});

test("long read leaves the endpoint of many writers alone", () => {
    // One part of a long prompt lengthens a pass by the whole prefill time of the part. Seven callers would see a gap of
    // more than a second so that one caller gets its first event a little sooner.
    const fixture = new Fixture(3);
    const requirements = fixture.requirements(5_000);
    for (const writer of ["a", "b", "c", "d", "e", "f", "g"]) {
        fixture.loads.recordPlaced(fixture.work("e-0", writer, requirements, 20));
        fixture.loads.recordWriting("e-0", writer);
    }
    fixture.time += 200;
    expect(fixture.team(200_000).members).not.toContain("e-0");
});

test("long prompt avoids an endpoint that decodes another long prompt's response", () => {
    // A long response is in decode with a target gap of 800 ms. A part of the next long prompt on that endpoint would
    // cause a gap of a second, although its tokens without the attention cost would take a third of that.
    const fixture = new Fixture(4);
    fixture.loads.recordPlaced(fixture.work("e-0", "writing", fixture.requirements(210_000), 0));
    fixture.loads.recordWriting("e-0", "writing");
    expect(fixture.team(250_000).members).not.toContain("e-0");
});

test("prompt over one endpoint's memory gets shares that hold it", () => {
    const fixture = new Fixture(20);
    const { members, shares } = fixture.team(600_000);
    expect(shares.length).toBe(2);
    expect(shares[0]!.id).toBe(members[0]);
    expect(shares.reduce((sum, { tokens }) => sum + tokens, 0)).toBeGreaterThanOrEqual(601_600);
    for (const { id, tokens } of shares) {
        expect(members).toContain(id);
        expect(tokens).toBeLessThanOrEqual(engine.memoryTokens);
    }
});

test("memory in use isn't shared out again", () => {
    // Two prompts each need all the memory. The second one's reservations would be rejected, and the attempt would cost
    // both.
    const fixture = new Fixture(3);
    fixture.place(1_000_000);
    expect(fixture.selector.select(fixture.requirements(1_000_000), fixture.endpoints)).toBeUndefined();
});

test("short prompts are left some endpoints by a long read that is late anyway", () => {
    // A prompt of a million tokens occupies sixteen endpoints for three seconds. With no endpoint left, all short prompts
    // that arrive meanwhile are late too.
    const fixture = new Fixture(16);
    const requirements = fixture.requirements(5_000);
    for (let index = 0; index < 60; index++) {
        const endpoint = `e-${index % 8}`;
        fixture.loads.recordPlaced(fixture.work(endpoint, `w-${index}`, requirements, 20));
        fixture.loads.recordWriting(endpoint, `w-${index}`);
    }
    fixture.time += 500;
    const { members } = fixture.team(1_000_000);
    expect(members.length).toBeLessThanOrEqual(10);
});

test("endpoint in back-off is avoided", () => {
    const fixture = new Fixture(2);
    fixture.failures.recordLost(fixture.endpoints[0]!);
    expect(fixture.place(5_000).id).toBe("e-1");
    fixture.failures.recordLost(fixture.endpoints[1]!);
    expect(fixture.place(5_000).id).toBeDefined();
});

test("endpoints beside several that were lost at once are passed over", () => {
    // A data centre loses power, but its endpoints stay listed for seconds. A long prompt with helpers from that data
    // centre would fail once for each of them.
    const fixture = new Fixture(12);
    const inA = fixture.endpoints.filter(({ record }) => record.dataCentre === "a");
    for (const endpoint of inA.slice(0, 3)) {
        fixture.failures.recordLost(endpoint);
    }
    const { members } = fixture.team(200_000);
    expect(members.every(id => fixture.endpoints.find(({ record }) => record.id === id)!.record.dataCentre === "b"))
        .toBe(true);
    fixture.failures.recordSucceeded(inA[4]!);
    expect(fixture.failures.isSuspect("a")).toBe(false);
});

test("unresponsive endpoints are no reason to avoid the others", () => {
    // Under high demand three endpoints of a data centre are unresponsive for a second. Avoiding all endpoints there would
    // raise the load on the remaining ones by half.
    const fixture = new Fixture(12);
    for (const endpoint of fixture.endpoints.filter(({ record }) => record.dataCentre === "a").slice(0, 3)) {
        fixture.failures.suspectSilent(endpoint);
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
    // A replica fails two requests in five while its health check succeeds. Without a record of failures it would look idle
    // and get more requests than the others.
    const fixture = new Fixture(3);
    for (let index = 0; index < 4; index++) {
        fixture.failures.recordFailed("e-0");
    }
    const requirements = { ...fixture.requirements(0), service: plainService };
    expect(fixture.selector.select(requirements, fixture.endpoints)!.endpoint.record.id).not.toBe("e-0");
});

test("refusing endpoint doesn't get it again, broken one as the last resort", () => {
    const fixture = new Fixture(2);
    const place = (changes: Partial<PlacementRequirements>) =>
        fixture.selector.select(fixture.requirements(0, { service: plainService, ...changes }), fixture.endpoints)
            ?.endpoint.record.id;
    expect(place({ rejectedEndpoints: new Set(["e-0", "e-1"]) })).toBeUndefined();
    expect(place({ rejectedEndpoints: new Set(["e-0"]), failedEndpoints: new Set(["e-1"]) })).toBe("e-1");
    expect(place({ failedEndpoints: new Set(["e-1"]) })).toBe("e-0");
});

test("end that arrives before its placement", () => {
    // Datagrams can arrive out of order. Work whose end arrives before its placement would seem to be in progress for ten
    // seconds.
    const fixture = new Fixture(1);
    fixture.loads.recordEnded("e-0", "w");
    fixture.loads.recordPlaced(fixture.work("e-0", "w", fixture.requirements(5_000), 20));
    expect(fixture.loads.loadOf("e-0").requestCount).toBe(0);
});

test("work whose end was never received is removed by its owner's list or its deadline", () => {
    const fixture = new Fixture(1);
    fixture.loads.recordPlaced(fixture.work("e-0", "lost", fixture.requirements(5_000), 20));
    fixture.loads.recordPlaced(fixture.work("e-0", "kept", fixture.requirements(5_000), 20));
    fixture.time = 600;
    fixture.loads.retainOnly("entry-1", new Set(["kept"]), 300);
    expect(fixture.loads.loadOf("e-0").requestCount).toBe(1);
    fixture.time = 10_000;
    expect(fixture.loads.loadOf("e-0").requestCount).toBe(0);
});

test("late work lets newcomers go first", () => {
    // Few endpoints are left for all short prompts, and more arrive than they can decode. In strict order of arrival every
    // request is late; when requests that are late in any case yield to new ones, most of the others are in time.
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
    // Engines prefill parts for other endpoints before their own prompts. With a part of each new long prompt on every
    // endpoint, the earliest prompts are prefilled last, and callers give up on all of them.
    const fixture = new Fixture(4);
    for (const endpoint of ["e-0", "e-1"]) {
        fixture.loads.recordPlaced(fixture.work(endpoint, `reading-${endpoint}`, fixture.requirements(200_000), 2_500));
    }
    const { members } = fixture.team(300_000);
    expect(members).not.toContain("e-0");
    expect(members).not.toContain("e-1");
});

test("long prompt where all endpoints read waits behind the shortest backlog alone", () => {
    const fixture = new Fixture(2);
    fixture.loads.recordPlaced(fixture.work("e-0", "long", fixture.requirements(200_000), 2_500));
    fixture.loads.recordPlaced(fixture.work("e-1", "short", fixture.requirements(200_000), 900));
    expect(fixture.team(200_000).members).toEqual(["e-1"]);
});

test("long prompt waits where all slots are taken", () => {
    // Short prompts fill every slot for a moment. A long prompt waits for a slot, as short prompts do, and isn't rejected.
    const fixture = new Fixture(2);
    for (let index = 0; index < 2 * engine.slots; index++) {
        const endpoint = `e-${index % 2}`;
        fixture.loads.recordPlaced(fixture.work(endpoint, `w-${index}`, fixture.requirements(5_000), 20));
        fixture.loads.recordWriting(endpoint, `w-${index}`);
    }
    fixture.time += 500;
    expect(fixture.team(200_000).members).toHaveLength(1);
});

test("part that a later one overtook still holds its endpoint up", () => {
    // An engine prefills parts for other endpoints newest first. Two long prompts share an endpoint, and the later one ends
    // first. An estimate in order of arrival would show the other part as complete, and entries would send every short
    // prompt of the next two seconds to an endpoint that doesn't start on them.
    const fixture = new Fixture(1);
    const requirements = fixture.requirements(300_000);
    fixture.loads.recordPlaced(fixture.work("e-0", "first", requirements, 3_000, WorkPart.Read));
    fixture.time = 700;
    fixture.loads.recordPlaced(fixture.work("e-0", "second", requirements, 3_000, WorkPart.Read));
    fixture.time = 4_500;
    fixture.loads.recordEnded("e-0", "second");
    expect(fixture.prefillWait("e-0")).toBe(1_500);
});

test("part of a prompt that was given up holds nobody up", () => {
    // The main endpoint of a long prompt has died, and its helpers stop their prefills. If the estimates still counted
    // these for seconds, the helpers would get no requests just when a third of the endpoints is missing.
    const fixture = new Fixture(1);
    const requirements = fixture.requirements(300_000);
    fixture.loads.recordPlaced(fixture.work("e-0", "writer", requirements, 0));
    fixture.loads.recordWriting("e-0", "writer");
    fixture.loads.recordPlaced(fixture.work("e-0", "long", requirements, 5_000, WorkPart.Read));
    fixture.time = 1_000;
    expect(fixture.prefillWait("e-0")).toBeGreaterThan(3_000);
    fixture.loads.recordEnded("e-0", "long");
    expect(fixture.prefillWait("e-0")).toBeLessThan(100);
});

test("parts are done when their prompt is written", () => {
    const fixture = new Fixture(2);
    const requirements = fixture.requirements(300_000);
    fixture.loads.recordPlaced(fixture.work("e-0", "long", requirements, 3_000));
    fixture.loads.recordPlaced(fixture.work("e-1", "long", requirements, 3_000, WorkPart.Read));
    fixture.time = 2_000;
    fixture.loads.recordWriting("e-0", "long");
    expect(fixture.prefillWait("e-1")).toBe(0);
});

test("wait for a slot is estimated by the usual response length", () => {
    // Callers allow responses of three times the usual length. Estimates by the allowed length show a full endpoint as busy
    // for three times as long as it is, and callers who could be served in time are rejected.
    const fixture = new Fixture(1);
    const usual = { promptTokens: 12_000, answerTokens: 1_600 };
    const service = { ...models, engine: { ...engine, usual } };
    for (let index = 0; index < engine.slots; index++) {
        fixture.loads.recordPlaced(fixture.work("e-0", `w-${index}`, fixture.requirements(5_000), 0));
        fixture.loads.recordWriting("e-0", `w-${index}`);
    }
    const firstEvent = (answerTokens: number) =>
        fixture.selector.select(fixture.requirements(5_000, { service, answerTokens }), fixture.endpoints)!.firstEvent;
    expect(firstEvent(4_800)).toBe(firstEvent(1_600));
});

test("endpoint whose oldest request is overdue is passed over", () => {
    // An endpoint stalls with one request but looks idle. Without the check it would get all short prompts, as they are
    // packed with its decoding requests, until the first caller gives up.
    const fixture = new Fixture(3);
    const requirements = fixture.requirements(5_000);
    fixture.loads.recordPlaced({ ...fixture.work("e-0", "stalled", requirements, 20), firstEventIn: 100 });
    for (const writer of ["a", "b", "c"]) {
        fixture.loads.recordPlaced(fixture.work("e-0", writer, requirements, 0));
    }
    fixture.time = 1_000;
    expect(fixture.loads.loadOf("e-0").overdueTime).toBe(900);
    expect(fixture.place(5_000).id).not.toBe("e-0");
});

test("entries that can't know of one another's placement choose different endpoints", () => {
    // Twenty entries choose among forty endpoints by the same estimates, and updates take twenty milliseconds. In that
    // time two or three more requests arrive at each endpoint that all entries prefer.
    const chosen = [...Array(20).keys()].map(entry => {
        const fixture = new Fixture(40, entry);
        for (let placement = 0; placement < 200; placement++) {
            fixture.sharedLoads.apply({
                type: "Placed",
                works: [fixture.work("gone", `w-${placement}`, fixture.requirements(10), 0)],
            });
        }
        fixture.sharedLoads.propagationDelay = () => 20;
        return fixture.place(5_000).id;
    });
    expect(new Set(chosen).size).toBeGreaterThan(10);
});

/** A prompt that can't meet its target any more, and takes an engine twenty seconds. */
const latePrompt = (fixture: Fixture) => fixture.requirements(400_000, { targetLeft: -3_000 });

test("prompt that is late anyway waits while its engines are worth more to others", () => {
    // Short prompts arrive at twice the rate that the endpoints can decode. The engine time of one prompt that is late in
    // any case would make a hundred of them late too.
    const fixture = new Fixture(6);
    expect(fixture.selector.select(latePrompt(fixture), fixture.endpoints)!.postponed).toBe(false);
    for (let request = 0; request < 120; request++) {
        fixture.sharedLoads.demand.recordRequest("models", 25, requestValue(5_000));
        fixture.time += 10;
    }
    expect(fixture.selector.select(latePrompt(fixture), fixture.endpoints)!.postponed).toBe(true);
    fixture.time += 3_000;
    expect(fixture.selector.select(latePrompt(fixture), fixture.endpoints)!.postponed).toBe(false);
});

test("no part beside writers whose callers would give up", () => {
    // After a gap of two seconds callers don't just receive a late response, they give up. Ten responses that are never
    // completed are worth more than one long prompt in time.
    const fixture = new Fixture(2);
    const requirements = fixture.requirements(4_000);
    for (let writer = 0; writer < 10; writer++) {
        fixture.loads.recordPlaced(fixture.work("e-0", `w-${writer}`, requirements, 0));
        fixture.loads.recordWriting("e-0", `w-${writer}`);
    }
    fixture.time += 100;
    const long = fixture.requirements(260_000, { targetLeft: 2_500 });
    const { endpoint, helpers } = fixture.selector.select(long, fixture.endpoints)!;
    expect([endpoint, ...helpers].map(({ record }) => record.id)).toEqual(["e-1"]);
});

/** Endpoints of which all but the first prefill a part of another prompt for `duration`. */
const busyFixture = (duration: number): Fixture => {
    const fixture = new Fixture(8);
    for (const { record: { id } } of fixture.endpoints.slice(1)) {
        fixture.loads.recordPlaced(fixture.work(id, "other", fixture.requirements(300_000), duration, WorkPart.Read));
    }
    return fixture;
};

test("long prompt waits for endpoints that finish their prefills soon", () => {
    // Guards against a prompt that occupies the only free endpoint for nine seconds, though seven more are free in a moment.
    const fixture = busyFixture(250);
    const long = fixture.requirements(400_000);
    const placement = fixture.selector.select(long, fixture.endpoints)!;
    expect(placement.postponed).toBe(true);
    expect(placement.firstEventAfterWait).toBeLessThan(placement.firstEvent / 2);
    fixture.time += 300;
    const later = fixture.selector.select(long, fixture.endpoints)!;
    expect(later.postponed).toBe(false);
    expect(later.helpers.length).toBeGreaterThan(2);
});

test("long prompt doesn't wait for endpoints that stay busy", () => {
    // Guards against waiting for a team that comes too late to meet the target.
    const fixture = busyFixture(8_000);
    const placement = fixture.selector.select(fixture.requirements(400_000), fixture.endpoints)!;
    expect(placement).toMatchObject({ postponed: false, firstEventAfterWait: undefined });
});

test("choice among thousands of endpoints looks at a few hundred", () => {
    // Guards against a placer that spends milliseconds on each choice of a large site.
    const fixture = new Fixture(3_000);
    const seen = new Set<string>();
    const { loadOf } = fixture.sharedLoads;
    fixture.sharedLoads.loadOf = endpoint => {
        seen.add(endpoint);
        return loadOf.call(fixture.sharedLoads, endpoint);
    };
    for (let index = 0; index < 20; index++) {
        seen.clear();
        expect(fixture.place(4_000).firstEvent).toBeLessThan(300);
        expect(seen.size).toBeLessThanOrEqual(256);
    }
});

test("choice among thousands finds the one endpoint that hasn't rejected the request", () => {
    // Guards against a refusal because the few hundred that were looked at had all rejected the request.
    const fixture = new Fixture(3_000);
    const ids = fixture.endpoints.map(({ record }) => record.id);
    const rejectedEndpoints = new Set(ids.filter(id => id !== "e-1234"));
    const requirements = fixture.requirements(4_000, { rejectedEndpoints });
    expect(fixture.selector.select(requirements, fixture.endpoints)?.endpoint.record.id).toBe("e-1234");
});
