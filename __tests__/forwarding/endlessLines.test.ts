/** Endpoints whose streams hold lines that end no event, without end, beside sound endpoints. */
import { expect, test } from "vitest";
import type { ReplicaFault, ReplicaServer } from "../../platform/standins/replicaServer.js";
import { systemClock } from "../../src/utils/clock.js";
import { EndlessWriters, type Pace } from "./support/endlessWriters.js";
import {
    call,
    type CallerResponse,
    eventIds,
    generation,
    type LoggedLine,
    Site,
    type SiteEntry,
    until,
} from "./support/site.js";

const eventCount = 5;
const tokensPerEvent = 4;
const allEvents = [...Array(eventCount).keys()].map(index => index + 1);
const requestCount = 6;
/** Deadline of the requests, in milliseconds. */
const deadline = 2_000;

interface EndlessSite {
    site: Site;
    entry: SiteEntry;
    replicas: ReplicaServer[];
    writers: EndlessWriters;
}

/** Runs `check` with a site of its own. */
const withSite = async (
    service: "models" | "bookings",
    replicaCount: number,
    check: (endlessSite: EndlessSite) => Promise<void>,
): Promise<void> => {
    const site = new Site();
    const writers = new EndlessWriters();
    try {
        const replicas: ReplicaServer[] = [];
        for (let number = 1; number <= replicaCount; number++) {
            replicas.push(await site.replica(`r-${number}`, service));
        }
        site.configure(1);
        const entry = await site.start("entry-1");
        await until(() => entry.entry.directory.usable(service).length === replicaCount);
        // Until the entry has read the list of entries, it has almost no retry budget.
        await until(() => site.store.model.get("entries", "entry-1") !== undefined);
        await systemClock.sleep(50);
        await check({ site, entry, replicas, writers });
    }
    finally {
        writers.stop();
        await site.close();
    }
};

const stream = ({ entry }: EndlessSite, id: string, path = "/replies/a", promptTokens = 1_000) =>
    call(entry.callers, path, {
        id,
        headers: {
            ...generation(promptTokens, eventCount * tokensPerEvent),
            "dandelionramp-deadline-ms": `${deadline}`,
        },
    });

const streams = (endlessSite: EndlessSite, count = requestCount): Promise<CallerResponse[]> =>
    Promise.all([...Array(count).keys()].map(index => stream(endlessSite, `s-${index}`)));

const received = ({ status, whole, body }: CallerResponse) => ({ status, whole, events: eventIds(body) });
const wholeStream = { status: 200, whole: true, events: allEvents };

const finalAttempts = ({ site }: EndlessSite): LoggedLine[] =>
    site.lines.filter(({ message }) => message === "request: No further attempt is made.");

const crashes = ({ site }: EndlessSite): LoggedLine[] =>
    site.lines.filter(({ message }) => /crashed|quarantine/.test(message));

const breakOff: ReplicaFault = (...[, response]) => {
    response.socket?.destroy();
    return true;
};

const cases: [string, string, Pace][] = [
    ["one line, fast", "x", "fast"],
    ["data lines, fast", "data: x\n", "fast"],
    ["one line, drip", "x", "drip"],
    ["data lines, drip", "data: x\n", "drip"],
];

for (const [what, piece, pace] of cases) {
    test(`streams are whole beside an endpoint that sends ${what}`, () =>
        // Requests fail although the other endpoint is idle.
        withSite("models", 2, async endlessSite => {
            endlessSite.replicas[0]!.fault = endlessSite.writers.fault(piece, pace);
            const answers = await streams(endlessSite);
            expect(answers.map(received)).toEqual(answers.map(() => wholeStream));
            await until(() => endlessSite.writers.count === 0);
        }));
}

test("stream is whole beside an endpoint that sends its head late and no event", () =>
    // The head restarts the clock of the silence: no other endpoint is asked before the deadline.
    withSite("models", 2, async endlessSite => {
        const { replicas, writers } = endlessSite;
        replicas[0]!.fault = writers.fault("x", "drip", 900);
        const answers = await streams(endlessSite);
        expect(answers.map(received)).toEqual(answers.map(() => wholeStream));
    }));

test("request that isn't sent again logs the reason", () =>
    // Callers get a failure beside an idle endpoint, and no line says that the retry budget is used up.
    withSite("models", 2, async endlessSite => {
        for (const replica of endlessSite.replicas) {
            replica.fault = breakOff;
        }
        const answers = await streams(endlessSite, 30);
        for (const { status, body } of answers) {
            expect(status).toBe(502);
            expect(JSON.parse(body)).toMatchObject({ execution: "unknown" });
        }
        const reasons = finalAttempts(endlessSite).map(({ fields }) => fields.reason);
        expect(reasons).toHaveLength(answers.length);
        expect(new Set(reasons)).toEqual(new Set(["attemptsUsedUp", "noRetryBudget"]));
    }));

test("request that may not run twice fails at once, as unknown", () =>
    // Its caller waits until the deadline, or is told that it has not run.
    withSite("bookings", 2, async endlessSite => {
        const { replicas, writers, entry } = endlessSite;
        for (const replica of replicas) {
            replica.fault = writers.fault("x", "fast");
        }
        const answer = await call(entry.callers, "/pairs/a", { id: "p-1", body: "a pair" });
        expect(answer.status).toBe(502);
        expect(JSON.parse(answer.body)).toMatchObject({ execution: "unknown" });
        expect(answer.took).toBeLessThan(deadline / 2);
        expect(replicas.flatMap(({ arrivals }) => arrivals)).toHaveLength(1);
    }));

test("request that meets such an endpoint three times isn't blamed", () =>
    // An endpoint that lives on counts as crashed by the request, which is quarantined after three crashes.
    withSite("models", 2, async endlessSite => {
        const { replicas, writers } = endlessSite;
        for (let count = 1; count <= 4; count++) {
            let isFirst = true;
            for (const replica of replicas) {
                replica.fault = (...reply) => {
                    const wasFirst = isFirst;
                    isFirst = false;
                    return wasFirst && writers.fault("x", "fast")(...reply);
                };
            }
            const answer = await stream(endlessSite, `same-${count}`);
            expect(received(answer)).toEqual(wholeStream);
            expect(isFirst).toBe(false);
            await systemClock.sleep(300);
        }
        expect(crashes(endlessSite)).toEqual([]);
    }), 15_000);

test("memory is released when a long prompt meets such an endpoint", () =>
    // The memory stays reserved and unused until its lease ends.
    withSite("models", 4, async endlessSite => {
        const { replicas, writers, site } = endlessSite;
        let isFirst = true;
        for (const replica of replicas) {
            replica.fault = (...reply) => {
                const wasFirst = isFirst;
                isFirst = false;
                return wasFirst && writers.fault("x", "fast")(...reply);
            };
        }
        const answer = await stream(endlessSite, "long", "/replies/a", 150_000);
        expect(received(answer)).toEqual(wholeStream);
        const orders = replicas.flatMap(replica => replica.orders);
        expect(orders.filter(({ operation }) => operation === "reserve").length).toBeGreaterThan(2);
        await until(() => [...site.engines.values()].every(({ reservations }) => reservations.size === 0));
    }));
