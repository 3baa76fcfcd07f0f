/** Streams with bytes that are no events: comments and empty lines. */
import { expect, test } from "vitest";
import type { ReplicaFault, ReplicaServer } from "../../platform/standins/replicaServer.js";
import { systemClock } from "../../src/utils/clock.js";
import { setFaults } from "./support/arrivalFaults.js";
import { EndlessWriters, type Pace } from "./support/endlessWriters.js";
import { call, type CallerResponse, eventIds, generation, Site, type SiteEntry, until } from "./support/site.js";

const eventCount = 5;
const tokensPerEvent = 4;
const comment = ": a comment\n\n";
/** When an entry looks for another endpoint while the first one accepts connections. */
const standstill = 1_500;
const commentInterval = 200;

interface CommentSite {
    site: Site;
    entry: SiteEntry;
    replicas: ReplicaServer[];
    writers: EndlessWriters;
}

/** Runs `check` with a site of its own. */
const withSite = async (check: (commentSite: CommentSite) => Promise<void>): Promise<void> => {
    const site = new Site();
    const writers = new EndlessWriters();
    try {
        const replicas = [await site.replica("r-1", "models"), await site.replica("r-2", "models")];
        site.configure(1, { replies: { timeout_ms: 5_000 } });
        const entry = await site.start("entry-1");
        await until(() => entry.entry.directory.usable("models").length === replicas.length);
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

const sendWhole: ReplicaFault = () => false;

/** Sends comments, and all events after `silence` milliseconds. */
const sendCommentsFirst = (silence: number): ReplicaFault => ({ id }, response, replica) => {
    response.writeHead(200, { ...replica.responseHeaders(id), "content-type": "text/event-stream" });
    const timer = setInterval(() => response.write(comment), commentInterval);
    response.once("close", () => clearInterval(timer));
    setTimeout(() => {
        clearInterval(timer);
        response.end([1, 2, 3, 4, 5].map(number => `id: ${number}\ndata: event\n\n`).join(""));
    }, silence);
    return true;
};

const stream = ({ entry }: CommentSite) =>
    call(entry.callers, "/replies/a", {
        headers: { ...generation(1_000, eventCount * tokensPerEvent), "dandelionramp-deadline-ms": "5000" },
    });

const received = ({ status, whole, body }: CallerResponse) => ({ status, whole, events: eventIds(body) });
const wholeStream = { status: 200, whole: true, events: [1, 2, 3, 4, 5] };
const arrivals = ({ replicas }: CommentSite) => replicas.flatMap(replica => replica.arrivals);
const secondAttempts = ({ site }: CommentSite) =>
    site.lines.filter(({ fields }) => fields.silentEndpoint !== undefined);

const endlessCases: [string, string, Pace][] = [
    ["comments, fast", comment, "fast"],
    ["comments, drip", comment, "drip"],
    ["empty lines, fast", "\n", "fast"],
    ["empty lines, drip", "\n", "drip"],
];

for (const [what, piece, pace] of endlessCases) {
    test(`stream is whole beside an endpoint that sends ${what}`, () =>
        // What is no event opens the answer of the caller, or cancels the second attempt, which the caller waits for.
        withSite(async commentSite => {
            const { replicas, writers, site } = commentSite;
            setFaults(replicas, writers.fault(piece, pace), (...[, , replica]) => {
                replica.pause(300);
                return false;
            });
            const answer = await stream(commentSite);
            expect(received(answer)).toEqual(wholeStream);
            expect(answer.body).not.toContain("comment");
            expect(answer.took).toBeLessThan(standstill + 1_000);
            expect(arrivals(commentSite)).toHaveLength(2);
            await until(() => writers.count === 0);
            expect(site.lines.filter(({ message }) => message.includes("second attempt is cancelled"))).toEqual([]);
        }), 10_000);
}

test("comments of a sound endpoint start no second attempt", () =>
    // An endpoint that shows that it works on a long prompt is taken for a broken one.
    withSite(async commentSite => {
        setFaults(commentSite.replicas, sendCommentsFirst(standstill - 200), sendWhole);
        expect(received(await stream(commentSite))).toEqual(wholeStream);
        expect(arrivals(commentSite)).toHaveLength(1);
    }));

test("endpoint that sends only comments is as silent as one that sends nothing", () =>
    // The comments hide the silence, and the caller gives up beside an idle endpoint.
    withSite(async commentSite => {
        setFaults(commentSite.replicas, sendCommentsFirst(standstill + 1_500), sendWhole);
        const answer = await stream(commentSite);
        expect(received(answer)).toEqual(wholeStream);
        expect(answer.took).toBeLessThan(standstill + 500);
        expect(secondAttempts(commentSite)).toHaveLength(1);
    }), 10_000);

test("endpoint that sends comments goes on before the other serves", () =>
    // The answer is given up although its events come first.
    withSite(async commentSite => {
        setFaults(commentSite.replicas, sendCommentsFirst(standstill + 200), (...[, , replica]) => {
            replica.pause(1_000);
            return false;
        });
        const answer = await stream(commentSite);
        expect(received(answer)).toEqual(wholeStream);
        expect(answer.body).not.toContain("data: r-");
        expect(secondAttempts(commentSite)).toHaveLength(1);
    }), 10_000);
