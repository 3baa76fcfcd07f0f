/** Tests how an entry handles a placer's choice of endpoints, and a placer that doesn't answer. */
import { expect, test } from "vitest";
import { ColdBudget } from "../../src/core/budgets/coldBudget.js";
import { EndpointLimits } from "../../src/core/budgets/endpointLimits.js";
import { EndpointPauses } from "../../src/core/budgets/endpointPauses.js";
import { EndpointDirectory } from "../../src/core/membership/endpointDirectory.js";
import { ReportedStates } from "../../src/core/membership/reportedStates.js";
import { Metrics } from "../../src/core/metrics.js";
import { Eligibility } from "../../src/core/placement/eligibility.js";
import { EndpointSelector } from "../../src/core/placement/endpointSelector.js";
import { FailureTracker } from "../../src/core/placement/failureTracker.js";
import { LoadEstimator } from "../../src/core/placement/loadEstimator.js";
import { PlacementClient, type PlacementRequest } from "../../src/core/placement/placementClient.js";
import type { PlacementQuestion, SerializedPlacement } from "../../src/core/placement/placementQuestion.js";
import { type LoadUpdate, SharedLoadEstimator } from "../../src/core/placement/sharedLoadEstimator.js";
import { WaitQueue } from "../../src/core/waiting/waitQueue.js";
import { WaitScheduler } from "../../src/core/waiting/waitScheduler.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { type EndpointRecord, EndpointState } from "../../src/types/routing.js";
import { silentLog } from "../../src/utils/log.js";
import { seededRandom } from "../../src/utils/random.js";

const service = {
    name: "bookings",
    healthPath: "/",
    connectionsAtMost: 10,
    coldRequestsPerSecond: 0,
    engine: undefined,
};

const placementAt = (endpoint: string): SerializedPlacement => ({
    endpoint,
    helpers: [],
    shares: [],
    readTime: 0,
    firstEvent: 0,
    slotWait: 0,
    readWait: 0,
    whole: 100,
    yields: false,
    postponed: false,
});

class Fixture {
    readonly clock = new SimulatedClock();
    readonly directory = new EndpointDirectory(this.clock, silentLog);
    readonly loads = new SharedLoadEstimator(new LoadEstimator(this.clock, () => undefined), this.clock);
    readonly questions: PlacementQuestion[] = [];
    readonly unresponsivePlacers: string[] = [];
    readonly published: LoadUpdate[] = [];
    readonly client: PlacementClient;
    private revision = 0;

    constructor() {
        const { clock, directory, loads } = this;
        loads.publish = update => this.published.push(update);
        const placers = ["p1", "p2", "p3"].map(id => ({
            id,
            address: `${id}:1`,
            dataCentre: "north",
            processors: 1,
            places: true,
        }));
        this.client = new PlacementClient({
            clock,
            log: silentLog,
            metrics: new Metrics(),
            entry: "entry-1",
            directory,
            eligibility: new Eligibility({
                clock,
                directory,
                coldBudget: new ColdBudget(clock, () => ({ factor: 1, extra: 0 }), { budgetDivisor: 9, rank: () => 5 }),
                limits: new EndpointLimits(clock, silentLog, { knownCount: 9, rank: () => 5 }),
                pauses: new EndpointPauses(clock, silentLog),
                reportedStates: new ReportedStates(clock, silentLog),
                onShortage: () => {},
            }),
            selector: new EndpointSelector(loads, new FailureTracker(clock, silentLog, "entry-1"), seededRandom(1)),
            loads,
            waitScheduler: new WaitScheduler({
                clock,
                random: seededRandom(1),
                log: silentLog,
                metrics: new Metrics(),
                queue: new WaitQueue(() => false),
            }),
            peers: {
                placersToAsk: () => placers,
                hasUnresponsivePlacers: () => false,
                recordPlacerTimeout: id => this.unresponsivePlacers.push(id),
                requestPlacement: (...[, question]) => this.questions.push(question),
                waitPlacer: () => ({ type: "None" }),
                withdrawWaiter: () => {},
            },
        });
        this.list({ a: EndpointState.Ready, b: EndpointState.Ready });
    }

    list(states: Record<string, EndpointState>, coldFor = 0): void {
        const revision = ++this.revision;
        const items = Object.entries(states).map(([id, state]) => {
            const value: EndpointRecord = {
                id,
                service: "bookings",
                address: `${id}:80`,
                dataCentre: "north",
                slots: 4,
                state,
                coldFor,
                incarnation: 1,
            };
            return { name: id, revision, value };
        });
        this.directory.replace({ revision, items }, false);
    }

    request(): PlacementRequest {
        return {
            id: "r",
            arrivedAt: 0,
            endsBy: 5_000,
            requirements: {
                service,
                promptTokens: 0,
                answerTokens: 0,
                targetLatency: 200,
                targetGap: undefined,
                targetLeft: 200,
                patienceLeft: 2_000,
                dataCentre: "north",
                failedEndpoints: new Set(),
                rejectedEndpoints: new Set(),
                endpointsWithoutMemory: new Set(),
            },
        };
    }

    answer(endpoint: string, serial = this.questions.at(-1)!.serial): void {
        this.client.receiveAnswer({ type: "Chosen", serial, placement: placementAt(endpoint), busyFor: 0 });
    }
}

test("choice of a placer is used and not published again", async () => {
    // Guards against work that is counted twice because the placer has published it already.
    const fixture = new Fixture();
    const choice = fixture.client.choose(fixture.request());
    fixture.answer("b");
    expect((await choice)!.endpoint.record.id).toBe("b");
    expect(fixture.loads.loadOf("b").requestCount).toBe(1);
    expect(fixture.published).toEqual([]);
});

test("draining endpoint is not used, even if a placer chooses it", async () => {
    // Guards against a request to an endpoint after this entry has received its draining state.
    const fixture = new Fixture();
    const choice = fixture.client.choose(fixture.request());
    fixture.list({ a: EndpointState.Ready, b: EndpointState.Draining });
    fixture.answer("b");
    expect((await choice)!.endpoint.record.id).toBe("a");
    expect(fixture.published[0]).toEqual({ type: "Ended", endpoints: ["b"], id: "r" });
});

test("cold endpoint beyond this entry's share is not used, even if a placer chooses it", async () => {
    // Guards against a cold endpoint that gets more than it tolerates, as a placer can't count the requests of all entries.
    const fixture = new Fixture();
    fixture.list({ a: EndpointState.Ready });
    fixture.list({ a: EndpointState.Ready, c: EndpointState.Ready }, 3_000);
    fixture.list({ c: EndpointState.Ready }, 3_000);
    const choice = fixture.client.choose(fixture.request());
    expect(fixture.questions[0]!.cold).toEqual([]);
    fixture.answer("c");
    expect(await choice).toBeUndefined();
});

test("entry chooses itself when the placer knows no endpoint", async () => {
    // Guards against a rejection by a placer that has just started, while this entry knows endpoints that may get the
    // request.
    const fixture = new Fixture();
    const choice = fixture.client.choose(fixture.request());
    fixture.client.receiveAnswer({ type: "NoEndpoint", serial: fixture.questions[0]!.serial });
    expect((await choice)!.endpoint.record.id).toBe("a");
});

test("entry chooses itself after two unresponsive placers", async () => {
    // Guards against requests that wait for entries that have failed.
    const fixture = new Fixture();
    const choice = fixture.client.choose(fixture.request());
    await fixture.clock.run(100);
    expect((await choice)!.endpoint.record.id).toBe("a");
    expect(fixture.unresponsivePlacers).toEqual(["p1", "p2"]);
});

test("placement of a late answer is undone", async () => {
    // Guards against endpoints that seem busy with work that was sent to other endpoints.
    const fixture = new Fixture();
    const choice = fixture.client.choose(fixture.request());
    await fixture.clock.run(50);
    const [first] = fixture.questions;
    fixture.answer("a");
    await choice;
    fixture.answer("b", first!.serial);
    expect(fixture.published).toEqual([{ type: "Ended", endpoints: ["b"], id: "r" }]);
});
