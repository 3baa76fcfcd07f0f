/** Endpoints that send events which the caller already has, while a request has two attempts. */
import type { ServerResponse } from "node:http";
import { expect, test, vi } from "vitest";
import type { ReplicaFault, ReplicaServer } from "../../platform/standins/replicaServer.js";
import { SharedRetryBudget } from "../../src/core/budgets/sharedRetryBudget.js";
import { systemClock } from "../../src/utils/clock.js";
import { setFaults } from "./support/arrivalFaults.js";
import { call, type CallerResponse, eventIds, generation, Site, type SiteEntry, until } from "./support/site.js";

const eventCount = 5;
const tokensPerEvent = 4;
/** When an entry looks for another endpoint while the first one accepts connections. */
const standstill = 1_500;

interface StaleSite {
    entry: SiteEntry;
    replicas: ReplicaServer[];
}

/** Runs `check` with a site of its own. */
const withSite = async (check: (staleSite: StaleSite) => Promise<void>): Promise<void> => {
    const site = new Site();
    try {
        const replicas = [await site.replica("r-1", "models"), await site.replica("r-2", "models")];
        site.configure(1, { replies: { timeout_ms: 5_000 } });
        const entry = await site.start("entry-1");
        await until(() => entry.entry.directory.usable("models").length === replicas.length);
        // Until the entry has read the list of entries, it has almost no retry budget.
        await until(() => site.store.model.get("entries", "entry-1") !== undefined);
        await systemClock.sleep(50);
        await check({ entry, replicas });
    }
    finally {
        await site.close();
    }
};

const writeEvents = (response: ServerResponse, ids: readonly number[]): void => {
    if (!response.destroyed) {
        response.write(ids.map(id => `id: ${id}\ndata: event\n\n`).join(""));
    }
};

/** Starts a stream with two events and calls `goOn` after `silence` milliseconds. */
const startStream = (silence: number, goOn: (response: ServerResponse) => void): ReplicaFault =>
(
    { id },
    response,
    replica,
) => {
    response.writeHead(200, { ...replica.responseHeaders(id), "content-type": "text/event-stream" });
    writeEvents(response, [1, 2]);
    setTimeout(() => goOn(response), silence);
    return true;
};

const stream = ({ entry }: StaleSite) =>
    call(entry.callers, "/replies/a", {
        headers: { ...generation(1_000, eventCount * tokensPerEvent), "dandelionramp-deadline-ms": "5000" },
    });

const received = ({ status, whole, body }: CallerResponse) => ({ status, whole, events: eventIds(body) });
const wholeStream = { status: 200, whole: true, events: [1, 2, 3, 4, 5] };

test.sequential("stale event of a silent endpoint ends no second attempt", () =>
    // The second attempt is cancelled for an event that the caller has, and the request takes another retry.
    withSite(async staleSite => {
        const { replicas } = staleSite;
        const tryTake = vi.spyOn(SharedRetryBudget.prototype, "tryTake");
        const sendStale = startStream(standstill + 200, response => writeEvents(response, [2]));
        setFaults(replicas, sendStale, (...[, , replica]) => {
            replica.pause(500);
            return false;
        });
        expect(received(await stream(staleSite))).toEqual(wholeStream);
        expect(replicas.flatMap(({ arrivals }) => arrivals)).toHaveLength(2);
        expect(tryTake.mock.results.filter(({ value }) => value === true)).toHaveLength(1);
        tryTake.mockRestore();
    }), 10_000);

test.sequential("stream of a silent endpoint goes on, the other sends stale events", () =>
    // The silent attempt is given up for one whose first event the caller can't get, and the stream is cut.
    withSite(async staleSite => {
        const goOn = startStream(standstill + 400, response => {
            writeEvents(response, [3, 4, 5]);
            response.end();
        });
        setFaults(staleSite.replicas, goOn, startStream(0, () => {}));
        expect(received(await stream(staleSite))).toEqual(wholeStream);
    }), 10_000);
