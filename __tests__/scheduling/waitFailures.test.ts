/** Guards against requests that wait for ever, run twice or keep capacity when a placer, an entry or a message is lost. */
import { beforeEach, expect, test } from "vitest";
import { Metrics } from "../../src/core/metrics.js";
import type { Placement } from "../../src/core/placement/endpointSelector.js";
import type { PlacementRequest } from "../../src/core/placement/placementClient.js";
import type {
    PlacementAnswer,
    PlacementQuestion,
    SerializedPlacement,
} from "../../src/core/placement/placementQuestion.js";
import { WaitClient } from "../../src/core/waiting/waitClient.js";
import type { WaitPlacer } from "../../src/core/waiting/waitPlacer.js";
import { WaitQueue } from "../../src/core/waiting/waitQueue.js";
import { WaitScheduler } from "../../src/core/waiting/waitScheduler.js";
import { WaitServer } from "../../src/core/waiting/waitServer.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import type { ServiceDefinition } from "../../src/types/routing.js";
import { silentLog } from "../../src/utils/log.js";
import { seededRandom } from "../../src/utils/random.js";

const service: ServiceDefinition = {
    name: "models",
    healthPath: "/",
    connectionsAtMost: 10,
    coldRequestsPerSecond: 0,
    engine: undefined,
};

/** A placement of the requests in this test; endpoints have no other properties that matter here. */
const placementAt = (endpoint: string, postponed: boolean): SerializedPlacement => ({
    endpoint,
    helpers: [],
    shares: [],
    readTime: 0,
    firstEvent: 100,
    slotWait: 0,
    readWait: 0,
    whole: 100,
    yields: false,
    postponed,
});

/** A placer with one endpoint. */
class Placer {
    isAnswering = true;
    isPaused = false;
    isFree = false;
    readonly released: string[] = [];
    grantedCount = 0;
    readonly queue = new WaitQueue(() => false);
    readonly server: WaitServer;

    constructor(clock: SimulatedClock, readonly id: string, push: (answer: PlacementAnswer) => void) {
        const scheduler = new WaitScheduler({
            clock,
            random: seededRandom(1),
            log: silentLog,
            metrics: new Metrics(),
            queue: this.queue,
        });
        this.server = new WaitServer({
            clock,
            scheduler,
            select: () => placementAt(`endpoint-of-${id}`, !this.isFree || this.isPaused) as unknown as Placement,
            countCandidates: () => 1,
            grant: (...[, { serial }, placement]) => {
                this.grantedCount++;
                this.isFree = false;
                return { type: "Chosen", serial, placement: placement as unknown as SerializedPlacement, busyFor: 0 };
            },
            release: endpoints => this.released.push(...endpoints),
            push: (...[, answer]) => push(answer),
        });
    }
}

let clock: SimulatedClock;
let placers: Placer[];
let client: WaitClient;
/** Datagrams from placers to the entry that are lost, or delivered twice. */
let arePushesLost: boolean;
let deliveries: number;
let questions: PlacementQuestion[];
let withdrawn: string[];
let released: string[];
const unresponsive = new Set<string>();

beforeEach(() => {
    clock = new SimulatedClock();
    arePushesLost = false;
    deliveries = 1;
    questions = [];
    withdrawn = [];
    released = [];
    unresponsive.clear();
    const deliver = (answer: PlacementAnswer) => {
        for (let index = 0; index < deliveries && !arePushesLost; index++) {
            clock.after(1 + index, () => client.receiveAnswer(answer));
        }
    };
    placers = ["p1", "p2"].map(id => new Placer(clock, id, deliver));
    const find = (address: string) => placers.find(({ id }) => id === address)!;
    client = new WaitClient({
        clock,
        log: silentLog,
        metrics: new Metrics(),
        entry: "entry-1",
        scheduler: undefined as unknown as WaitScheduler,
        select: () => undefined,
        record: (...[, placement]) => placement,
        countCandidates: () => 0,
        peers: {
            waitPlacer: (): WaitPlacer => {
                const placer = placers.find(({ id }) => !unresponsive.has(id));
                return placer ? { type: "Remote", id: placer.id, address: placer.id } : { type: "None" };
            },
            hasUnresponsivePlacers: () => false,
            recordPlacerTimeout: id => unresponsive.add(id),
            requestPlacement: (address, question) => {
                questions.push(question);
                const { isAnswering, isPaused, server } = find(address);
                if (isAnswering && !isPaused) {
                    const answer = server.answer("entry-1", question, service);
                    clock.after(1, () => client.receiveAnswer(answer));
                }
            },
            withdrawWaiter: (address, requestId) => {
                withdrawn.push(address);
                find(address).server.withdraw("entry-1", requestId);
            },
        },
        nextSerial: () => 1,
        buildQuestion: serial => ({
            serial,
            requestId: "r",
            service: "models",
            promptTokens: 260_000,
            answerTokens: 100,
            targetLatency: 8_000,
            targetGap: undefined,
            targetLeft: 8_000 - clock.now(),
            patienceLeft: 15_000 - clock.now(),
            endsIn: 15_000 - clock.now(),
            age: clock.now(),
            broken: [],
            refused: [],
            lacking: [],
            cold: [],
            spent: [],
            without: undefined,
        }),
        accept: (...[, { endpoint }, placer]) =>
            ({ endpoint: { record: { id: endpoint } }, helpers: [], chosenBy: placer }) as unknown as Placement,
        chooseLocally: () => undefined,
        handleNoEndpoint: () => undefined,
        release: endpoints => released.push(...endpoints),
    });
});

/** Starts a wait; `chosenBy` is set when it ends. */
const start = () => {
    const controller = new AbortController();
    const request = { id: "r", requirements: { service } } as unknown as PlacementRequest;
    const result: { chosenBy?: string; hasEnded: boolean; abort: () => void; } = {
        hasEnded: false,
        abort: () => controller.abort(),
    };
    void client.choose(request, { signal: controller.signal, onWaiting: () => {} }).then(placement => {
        result.hasEnded = true;
        result.chosenBy = placement?.chosenBy;
    });
    return result;
};

test("placement is pushed without being asked again", async () => {
    const result = start();
    clock.after(300, () => placers[0]!.isFree = true);
    await clock.run(330);
    expect(result.chosenBy).toBe("p1");
    expect(questions).toHaveLength(1);
});

test("placer that dies between question and answer: the next one keeps the request with its age", async () => {
    const result = start();
    await clock.run(100);
    placers[0]!.isAnswering = false;
    placers[0]!.isPaused = true;
    await clock.run(600);
    expect(placers[1]!.queue.find("entry-1", "r")!.arrivedAt).toBeLessThan(5);
    placers[1]!.isFree = true;
    await clock.run(650);
    expect(result.chosenBy).toBe("p2");
});

test("placer that was paused for 3 s doesn't place the request a second time", async () => {
    const result = start();
    await clock.run(100);
    placers[0]!.isPaused = true;
    clock.after(500, () => placers[1]!.isFree = true);
    clock.after(3_000, () => {
        placers[0]!.isPaused = false;
        placers[0]!.isFree = true;
    });
    await clock.run(4_000);
    expect(result.chosenBy).toBe("p2");
    expect(placers.map(({ grantedCount }) => grantedCount)).toEqual([0, 1]);
});

test("pushed answer that is lost comes again, as the same placement", async () => {
    // The link is cut one way: the placer hears the entry, and the entry gets no pushes.
    const result = start();
    await clock.run(100);
    arePushesLost = true;
    placers[0]!.isFree = true;
    await clock.run(500);
    expect(result.chosenBy).toBe("p1");
    expect(placers[0]!.grantedCount).toBe(1);
    expect(released).toEqual([]);
});

test("answer that arrives twice is used once and releases nothing in use", async () => {
    deliveries = 2;
    const result = start();
    clock.after(100, () => placers[0]!.isFree = true);
    await clock.run(500);
    expect([result.chosenBy, released]).toEqual(["p1", []]);
});

test("all placers at once", async () => {
    // Without a placer the entry chooses itself, as for requests that don't wait.
    const result = start();
    await clock.run(100);
    for (const placer of placers) {
        placer.isAnswering = false;
    }
    await clock.run(700);
    expect([result.hasEnded, result.chosenBy]).toEqual([true, undefined]);
    await clock.run(2_000);
    expect(placers.map(({ queue }) => queue.size)).toEqual([0, 0]);
});

test("entry that is gone leaves no waiter behind", async () => {
    const question = {
        ...placers[0]!,
        serial: 1,
        requestId: "r",
        endsIn: 15_000,
        patienceLeft: 15_000,
        targetLeft: 8_000,
    };
    start();
    placers[0]!.server.answer("entry-gone", { ...questions[0]!, ...question }, service);
    expect(placers[0]!.queue.size).toBe(2);
    await clock.run(900);
    expect(placers[0]!.queue.find("entry-gone", "r")).toBeUndefined();
    expect(placers[0]!.queue.size).toBe(1);
});

test("ended request withdraws its waiter, and a grant that crosses the message is released", async () => {
    const result = start();
    await clock.run(100);
    placers[0]!.isFree = true;
    arePushesLost = true;
    await clock.run(130);
    result.abort();
    await clock.run(140);
    expect(withdrawn).toEqual(["p1"]);
    expect(placers[0]!.released).toEqual(["endpoint-of-p1"]);
    const placement = placementAt("endpoint-of-p1", false);
    client.receiveAnswer({ type: "Chosen", serial: 1, placement, busyFor: 0 });
    expect(released).toEqual(["endpoint-of-p1"]);
    expect(placers[0]!.queue.size).toBe(0);
});

test("answers to unknown questions belong to nobody", () => {
    expect(client.receiveAnswer({ type: "Waiting", serial: 99, renewIn: 1 })).toBe(false);
});

test("interval of a malformed answer is bounded", async () => {
    // Guards against an entry that asks in a loop, or never again.
    start();
    client.receiveAnswer({ type: "Waiting", serial: 1, renewIn: -1 });
    await clock.run(1_000);
    expect(questions.length).toBeGreaterThan(1);
    expect(questions.length).toBeLessThan(20);
});
