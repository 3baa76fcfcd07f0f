/** Requests whose handling throws: they are answered, and the process goes on. */
import { afterEach, expect, test } from "vitest";
import { platformWire } from "../../platform/forwardingWire.js";
import { CallerPort, type CallerPortDependencies } from "../../src/adapters/forwarding/callerPort.js";
import { MemoryGuard } from "../../src/core/memoryBounds/memoryGuard.js";
import { systemClock } from "../../src/utils/clock.js";
import { listen, type Listener } from "../../src/utils/httpServer.js";
import { attemptOn, newClient, rawHead, startEndpoint } from "./support/rawEndpoint.js";
import { call } from "./support/site.js";

const fail = () => {
    throw new Error("the handler failed");
};

let port: CallerPort | undefined;
let listener: Listener | undefined;

afterEach(async () => {
    await port?.close();
    await listener?.close();
    port = undefined;
    listener = undefined;
});

const openCallerPort = async (changes: Partial<CallerPortDependencies>) => {
    const errors: string[] = [];
    port = new CallerPort({
        wire: platformWire,
        clock: systemClock,
        log: { info: () => {}, warn: () => {}, error: message => errors.push(message) },
        serve: () => Promise.resolve(),
        routes: () => undefined,
        memoryGuard: { open: () => undefined } as unknown as MemoryGuard,
        isStopping: () => false,
        ...changes,
    });
    return { errors, address: await port.listen("127.0.0.1:0") };
};

const failures: Record<string, Partial<CallerPortDependencies>> = {
    "reading the head": { wire: { ...platformWire, readRequest: fail } },
    serving: { serve: fail },
    "a background task": { serve: () => Promise.reject(new Error("the task failed")) },
};

test.each(Object.entries(failures))("caller is answered when %s throws", async (...[, changes]) => {
    // Guards against an accepted request that waits forever because its handling has thrown.
    const { errors, address } = await openCallerPort(changes);
    const answer = await call(address, "/lookups/a", { signal: AbortSignal.timeout(2_000) });
    expect(answer).toMatchObject({ status: 500, whole: true });
    expect(errors).toEqual(["A request's handling has thrown."]);
});

test("metrics and readiness are answered when they throw", async () => {
    // Guards against a health check without an answer because a gauge throws before the handler returns its promise.
    listener = await listen("127.0.0.1:0", fail);
    const answer = await call(listener.address, "/", { signal: AbortSignal.timeout(2_000) });
    expect(answer).toMatchObject({ status: 500, whole: true });
});

test("attempt whose report handling throws ends as broken", async () => {
    // Guards against a request that is never answered, also not at its deadline.
    const endpoint = await startEndpoint((socket, id) => socket.write(rawHead(id, "200 OK", ["Content-Length: 0"])));
    const sent = newClient().send(attemptOn(endpoint), AbortSignal.timeout(1_000), fail);
    expect(await Promise.race([sent, systemClock.sleep(3_000)])).toMatchObject({
        type: "Broken",
        reason: "the handler failed",
    });
});
