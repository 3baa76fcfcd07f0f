/** Verifies the behaviour of the stand-ins. A wrong stand-in would invalidate every test that runs against it. */
import { expect, test } from "vitest";
import {
    absentVersion,
    EnginePriority,
    EngineRequest,
    ObjectKind,
    requestJson,
    seededRandom,
    systemClock,
} from "../src/internal.js";
import { defaultEngineShape, EngineModel, EngineShape } from "../src/standins/engineModel.js";
import { startEngine } from "../src/standins/engineServer.js";
import { expectedResponse } from "../src/standins/expectedResponse.js";
import { serveControlPort } from "../src/standins/faultPort.js";
import { PlatformModel } from "../src/standins/platformModel.js";
import { startPlatform } from "../src/standins/platformServer.js";

const newEngine = (shape: Partial<EngineShape> = {}): EngineModel =>
    new EngineModel(
        { ...defaultEngineShape, stepMilliseconds: 1, startWarm: true, ...shape },
        systemClock,
        seededRandom(1),
    );

const requestOf = (streamId: string, prompt: string, priority = EnginePriority.Short): EngineRequest => ({
    streamId,
    attempt: 0,
    owner: "entry-1",
    ownerIncarnation: "a",
    prompt,
    promptTokens: Math.ceil(prompt.length / 4),
    maximumTokens: 40,
    startOffset: 0,
    priority,
    remainingMilliseconds: 10_000,
});

const readAll = async (frames: AsyncIterable<{ type: string; text?: string; }>): Promise<string> => {
    let text = "";
    for await (const frame of frames) {
        text += frame.text ?? "";
    }
    return text;
};

test("engine derives its response from the prompt", async () => {
    const engine = newEngine();
    expect(await readAll(engine.open(requestOf("a.0", "a tent")))).toBe(expectedResponse("a tent", 40));
    expect(engine.memoryUsedTokens).toBe(0);
});

test("engine memory is limited", () => {
    const engine = newEngine({ memoryTokens: 100 });
    engine.open(requestOf("a.0", "x".repeat(200)));
    expect(() => engine.open(requestOf("b.0", "x"))).toThrow("memory");
});

test("engine prefills a short prompt before a long one", async () => {
    const engine = newEngine({ tokensPerStep: 100 });
    const long = readAll(engine.open(requestOf("long.0", "x".repeat(40_000), EnginePriority.Long)));
    const short = readAll(engine.open(requestOf("short.0", "y".repeat(400), EnginePriority.Short)));
    expect(await Promise.race([long.then(() => "long"), short.then(() => "short")])).toBe("short");
    await long;
});

test("stream is resumed at its offset", async () => {
    const engine = newEngine();
    const whole = await readAll(engine.open(requestOf("a.0", "[[tokens=10]] a lake")));
    const resumed = await readAll(engine.resume("a.0", 4));
    expect(whole.endsWith(resumed)).toBe(true);
    expect(whole.split(" ").length - resumed.split(" ").length).toBe(4);
});

test("overloaded cold engine crashes", () => {
    const engine = newEngine({ startWarm: false, coldConcurrency: 1 });
    engine.open(requestOf("a.0", "one"));
    expect(() => engine.open(requestOf("b.0", "two"))).toThrow("the cold engine was overloaded and crashed");
    expect(engine.coldOverloads).toBe(1);
    expect(engine.isUp).toBe(false);
});

test("engine crashes on a prompt with the crash marker", async () => {
    const engine = newEngine();
    const before = engine.incarnation;
    await expect(readAll(engine.open(requestOf("a.0", "[[crash]]")))).rejects.toThrow("died");
    engine.revive();
    expect(engine.incarnation).not.toBe(before);
    expect(engine.isCold).toBe(true);
});

test("order with an outdated fence is rejected while fences are enforced", () => {
    const engine = newEngine({ enforceFences: true });
    expect(engine.applyOrder({ fence: 5, wanted: { model: "new" } })).toBe(true);
    expect(engine.applyOrder({ fence: 4, wanted: { model: "old" } })).toBe(false);
    expect(engine.wanted).toEqual({ model: "new" });
});

test("order with an outdated fence is applied while fences are not enforced", () => {
    const engine = newEngine({ enforceFences: false });
    engine.applyOrder({ fence: 5, wanted: { model: "new" } });
    expect(engine.applyOrder({ fence: 4, wanted: { model: "old" } })).toBe(true);
    expect(engine.wanted).toEqual({ model: "old" });
});

test("exported cache holds memory until released", async () => {
    const engine = newEngine({ tokensPerStep: 50 });
    const completed = readAll(engine.open(requestOf("a.0", "x".repeat(2_000))));
    await systemClock.sleep(10);
    const block = engine.exportCache("a.0");
    await completed;
    expect(engine.memoryUsedTokens).toBe(block.tokens);
    expect(engine.holdings().map(holding => holding.id)).toEqual([block.blockId]);
    engine.release(block.blockId);
    expect(engine.memoryUsedTokens).toBe(0);
});

test("cache events come with gaps", async () => {
    const engine = newEngine();
    for (let index = 0; index < 40; index++) {
        engine.importCache(index);
    }
    const sequences = engine.cacheEventsFrom(0).map(event => event.sequence);
    expect(sequences.length).toBeGreaterThan(0);
    expect(sequences.length).toBeLessThan(40);
});

test("revived engine listens on its former port", async () => {
    const engine = await startEngine(
        "engine",
        "127.0.0.1:0",
        { ...defaultEngineShape, restartMilliseconds: 1 },
        systemClock,
        seededRandom(1),
    );
    const control = await serveControlPort(engine, "127.0.0.1:0");
    const { address } = engine.listener;
    await requestJson({ address: control.address, method: "POST", path: "/faults" }, { fault: "die" });
    await expect(requestJson({ address, method: "GET", path: "/report" })).rejects.toThrow();
    await requestJson({ address: control.address, method: "POST", path: "/faults" }, { fault: "revive" });
    let status = 0;
    while (status !== 200) {
        status = await requestJson({ address, method: "GET", path: "/report" }).then(found => found.status, () => 0);
    }
    const unknown = await requestJson({ address: control.address, method: "POST", path: "/faults" }, {
        fault: "melt",
    });
    expect(unknown.status).toBe(400);
    await control.close();
    await engine.close();
});

test("platform writes only if the version is the expected one", () => {
    const platform = new PlatformModel(systemClock);
    expect(platform.write(ObjectKind.Profile, "a", absentVersion, 1)).toEqual({ type: "Written", version: 1 });
    expect(platform.write(ObjectKind.Profile, "a", absentVersion, 2).type).toBe("Conflict");
    expect(platform.write(ObjectKind.Profile, "a", 1, undefined)).toEqual({ type: "Written", version: 2 });
    expect(platform.read(ObjectKind.Profile, "a")).toBeUndefined();
});

test("lost response leaves the write in effect", async () => {
    const platform = await startPlatform("127.0.0.1:0", systemClock, []);
    platform.model.faults.lostResponseShare = 1;
    const { address } = platform.listener;
    const path = "/objects/profile/a?version=0";
    await expect(requestJson({ address, method: "PUT", path }, { value: {} })).rejects.toThrow();
    expect(platform.model.read(ObjectKind.Profile, "a")?.version).toBe(1);
    await platform.listener.close();
});

test("platform refuses calls over its rate", async () => {
    const platform = await startPlatform("127.0.0.1:0", systemClock, []);
    platform.model.faults.callsPerSecond = 1;
    const { address } = platform.listener;
    const responses = await Promise.all(
        [1, 2, 3].map(() => requestJson({ address, method: "GET", path: "/instances" })),
    );
    expect(responses.map(response => response.status).sort()).toEqual([200, 429, 429]);
    expect(platform.model.counts.refused).toBe(2);
    await platform.listener.close();
});

test("platform watch reports removals", async () => {
    const platform = new PlatformModel(systemClock);
    platform.write(ObjectKind.Profile, "a", absentVersion, 1);
    const watch = platform.watch([ObjectKind.Profile], 1, 5_000, new AbortController().signal);
    platform.write(ObjectKind.Profile, "a", 1, undefined);
    expect(await watch).toMatchObject({ revision: 2, objects: [{ name: "a", version: 2, value: undefined }] });
});
