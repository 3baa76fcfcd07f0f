/** Which of the bodies in progress are given up at the bound for all of them, without sockets. */
import { expect, test } from "vitest";
import { ReceivedBodies, type ReceivedBody, ReceivedBoundError } from "../../src/core/memoryBounds/receivedBodies.js";
import {
    chooseBodyToGiveUp,
    maximumResponseBytes,
    receivedBoundOf,
} from "../../src/core/memoryBounds/receivedBound.js";
import { systemClock } from "../../src/utils/clock.js";
import type { PartLog } from "../../src/utils/log.js";

const megabyte = 1024 * 1024;

test("bound holds the largest body at any memory", () => {
    // Guards against a small instance that rejects a body which it accepts alone.
    for (const megabytes of [0, 1, 64, 200, 400, 600, 64_000]) {
        expect(receivedBoundOf(megabytes * megabyte)).toBeGreaterThan(maximumResponseBytes);
    }
    expect(receivedBoundOf(176 * megabyte)).toBe(22 * megabyte);
    expect(receivedBoundOf(64_000 * megabyte)).toBe(receivedBoundOf(0));
});

test("largest body of the endpoint with the most bytes is chosen", () => {
    // Guards against a sound endpoint that loses its one large body to many smaller ones of another.
    const bodies = [
        { endpoint: "sound", bytes: 10 },
        { endpoint: "endless", bytes: 4 },
        { endpoint: "endless", bytes: 5 },
        { endpoint: "endless", bytes: 3 },
    ];
    expect(chooseBodyToGiveUp(bodies)).toBe(bodies[2]);
    expect(chooseBodyToGiveUp(bodies.slice(0, 2))).toBe(bodies[0]);
    expect(chooseBodyToGiveUp([{ endpoint: "sound", bytes: 0 }])).toBeUndefined();
    expect(chooseBodyToGiveUp([])).toBeUndefined();
});

interface GivenUp {
    endpoint: string;
    error: unknown;
}

const newBodies = (log?: PartLog) => {
    const givenUp: GivenUp[] = [];
    let count = 0;
    const bodies = new ReceivedBodies({
        clock: systemClock,
        log,
        onGivenUp: () => count++,
        memoryBytes: 176 * megabyte,
    });
    const open = (endpoint: string): ReceivedBody => bodies.open(endpoint, error => givenUp.push({ endpoint, error }));
    return { open, givenUp, countOf: () => count };
};

test("bodies that are whole no longer count", () => {
    // Guards against a sum that only grows, so that sound bodies are given up later.
    const { open, givenUp } = newBodies();
    for (let index = 0; index < 100; index++) {
        const body = open("sound");
        body.add(15 * megabyte);
        body.close();
        body.close();
        body.add(megabyte);
    }
    expect(givenUp).toEqual([]);
});

test("bodies of the endpoint with the most bytes are given up until the rest fits", () => {
    // Guards against one endpoint that takes the memory of all others, and against a count of bytes that are released.
    const { open, givenUp, countOf } = newBodies();
    const sound = open("sound");
    sound.add(5 * megabyte);
    const endless = Array.from({ length: 8 }, () => open("endless"));
    for (let round = 0; round < 16; round++) {
        for (const body of endless) {
            body.add(megabyte);
        }
    }
    expect(new Set(givenUp.map(({ endpoint }) => endpoint))).toEqual(new Set(["endless"]));
    expect(givenUp.every(({ error }) => error instanceof ReceivedBoundError)).toBe(true);
    expect(givenUp.length).toBe(7);
    expect(countOf()).toBe(7);
    sound.add(6 * megabyte);
    expect(givenUp.some(({ endpoint }) => endpoint === "sound")).toBe(false);
});

test("single body is given up at the bound", () => {
    // Guards against small pieces that take more memory than their bytes and are never given up.
    const { open, givenUp } = newBodies();
    const body = open("r-0");
    body.add(22 * megabyte);
    expect(givenUp).toEqual([]);
    body.add(1);
    expect(givenUp.map(({ error }) => error)).toEqual([new ReceivedBoundError(22 * megabyte + 1, 22 * megabyte)]);
});

test("one line a second tells of bodies that are given up", () => {
    // Guards against a log line for each of thousands of bodies.
    const lines: Record<string, unknown>[] = [];
    const warn = (...[, fields = {}]: [string, Record<string, unknown>?]) => lines.push(fields);
    const { open } = newBodies({ info: () => {}, warn, error: () => {} });
    for (let index = 0; index < 50; index++) {
        open("endless").add(26 * megabyte);
    }
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatchObject({ endpoint: "endless", givenUpSinceLastLine: 1 });
});
