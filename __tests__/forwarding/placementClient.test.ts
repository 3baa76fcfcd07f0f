/** What an entry makes of another one's choice of endpoints, and of its silence. */
import { expect, test } from "vitest";
import { ColdBudget } from "../../src/core/budgets/coldBudget.js";
import { EndpointLimits } from "../../src/core/budgets/endpointLimits.js";
import { EndpointDirectory } from "../../src/core/membership/endpointDirectory.js";
import { Metrics } from "../../src/core/metrics.js";
import { EndpointSelector } from "../../src/core/placement/endpointSelector.js";
import { FailureTracker } from "../../src/core/placement/failureTracker.js";
import { LoadEstimator } from "../../src/core/placement/loadEstimator.js";
import { PlacementClient, type PlacementRequest } from "../../src/core/placement/placementClient.js";
import type { PlacementQuestion, SerializedPlacement } from "../../src/core/placement/placementQuestion.js";
import { type LoadUpdate, SharedLoadEstimator } from "../../src/core/placement/sharedLoadEstimator.js";
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

const chosen = (endpoint: string): SerializedPlacement => ({
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
    readonly asked: PlacementQuestion[] = [];
    readonly silent: string[] = [];
    readonly told: LoadUpdate[] = [];
    readonly placing: PlacementClient;
    private revision = 0;

    constructor() {
        const { clock, directory, loads } = this;
        loads.publish = news => this.told.push(news);
        const placers = ["p1", "p2", "p3"].map(id => ({
            id,
            address: `${id}:1`,
            dataCentre: "north",
            processors: 1,
            places: true,
        }));
        this.placing = new PlacementClient({
            clock,
            log: silentLog,
            metrics: new Metrics(),
            entry: "entry-1",
            directory,
            coldBudget: new ColdBudget(clock, () => ({ factor: 1, extra: 0 }), { size: 9, rank: () => 5 }),
            limits: new EndpointLimits(clock, silentLog, { known: 9, rank: () => 5 }),
            selector: new EndpointSelector(loads, new FailureTracker(clock), seededRandom(1)),
            loads,
            peers: {
                placersToAsk: () => placers,
                placersRest: () => false,
                notePlacerSilent: id => this.silent.push(id),
                askPlacement: (...[, question]) => this.asked.push(question),
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

    answer(endpoint: string, serial = this.asked.at(-1)!.serial): void {
        this.placing.receiveAnswer({ type: "Chosen", serial, placement: chosen(endpoint), busyFor: 0 });
    }
}

test("choice of a placer is taken and not told again", async () => {
    // Guards against work that counts twice, as the placer has told it already.
    const fixture = new Fixture();
    const choice = fixture.placing.choose(fixture.request());
    fixture.answer("b");
    expect((await choice)!.endpoint.record.id).toBe("b");
    expect(fixture.loads.loadOf("b").requestCount).toBe(1);
    expect(fixture.told).toEqual([]);
});

test("endpoint that leaves is not used, whoever chooses it", async () => {
    // Guards against a request that reaches an endpoint after this entry knows that it leaves.
    const fixture = new Fixture();
    const choice = fixture.placing.choose(fixture.request());
    fixture.list({ a: EndpointState.Ready, b: EndpointState.Draining });
    fixture.answer("b");
    expect((await choice)!.endpoint.record.id).toBe("a");
    expect(fixture.told[0]).toEqual({ type: "Ended", endpoints: ["b"], id: "r" });
});

test("cold endpoint beyond this entry's part is not used, whoever chooses it", async () => {
    // Guards against a cold endpoint that gets more than it bears, as a placer can't count what all send.
    const fixture = new Fixture();
    fixture.list({ a: EndpointState.Ready });
    fixture.list({ a: EndpointState.Ready, c: EndpointState.Ready }, 3_000);
    fixture.list({ c: EndpointState.Ready }, 3_000);
    const choice = fixture.placing.choose(fixture.request());
    expect(fixture.asked[0]!.cold).toEqual([]);
    fixture.answer("c");
    expect(await choice).toBeUndefined();
});

test("placer that knows no endpoint", async () => {
    // Guards against a refusal while this entry knows endpoints that may get work, as a placer has just started.
    const fixture = new Fixture();
    const choice = fixture.placing.choose(fixture.request());
    fixture.placing.receiveAnswer({ type: "NoEndpoint", serial: fixture.asked[0]!.serial });
    expect((await choice)!.endpoint.record.id).toBe("a");
});

test("two silent placers, then its own choice", async () => {
    // Guards against requests that wait for entries which are gone.
    const fixture = new Fixture();
    const choice = fixture.placing.choose(fixture.request());
    await fixture.clock.run(100);
    expect((await choice)!.endpoint.record.id).toBe("a");
    expect(fixture.silent).toEqual(["p1", "p2"]);
});

test("late answer is given back", async () => {
    // Guards against endpoints that seem busy with work which went elsewhere.
    const fixture = new Fixture();
    const choice = fixture.placing.choose(fixture.request());
    await fixture.clock.run(50);
    const [first] = fixture.asked;
    fixture.answer("a");
    await choice;
    fixture.answer("b", first!.serial);
    expect(fixture.told).toEqual([{ type: "Ended", endpoints: ["b"], id: "r" }]);
});
