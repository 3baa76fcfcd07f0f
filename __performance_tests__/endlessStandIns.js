// The store and the replicas of a probe of endless responses, in a process of their own that the probe commands by messages.
import {
    endlessBeforeHead,
    endlessBodies,
    EndlessEndpoint,
    endlessFailures,
    endlessRefusals,
    endlessStreams,
} from "../__tests__/forwarding/support/endlessResponses.ts";
import { Site } from "../__tests__/forwarding/support/site.ts";

const deadlineMilliseconds = 2_000;
const eventsBefore = 5;

/** What the requests of a probe ask for, and which responses don't end. */
const scenarios = {
    stream: { service: "models", responses: [...endlessStreams, ...endlessBeforeHead] },
    events: { service: "models", responses: endlessStreams, eventCount: eventsBefore },
    lookup: {
        service: "bookings",
        responses: [...endlessBeforeHead, ...endlessBodies, ...endlessFailures, ...endlessRefusals],
    },
    booking: { service: "bookings", responses: [...endlessBeforeHead, ...endlessBodies, ...endlessRefusals] },
    order: { service: "models", responses: [...endlessBeforeHead, ...endlessBodies], replicaCount: 5 },
};

/** Name of the probe of each scenario in which all endpoints are sound. */
const soundName = "nothing";

const site = new Site();
let endpoint;

const serveEndlessly = (replicas, scenario, eventCount) => {
    if (scenario === "order") {
        endpoint.serveOrders(replicas);
        return;
    }
    endpoint.serveRequests(replicas, eventCount);
};

const start = async ({ scenario, name, pace, entries }) => {
    const { service, responses, eventCount, replicaCount = 2 } = scenarios[scenario];
    const replicas = [];
    for (let number = 1; number <= replicaCount; number++) {
        replicas.push(await site.replica(`r-${number}`, service));
    }
    await site.replica("other", service === "models" ? "bookings" : "models");
    const route = { timeout_ms: deadlineMilliseconds };
    site.configure(1, { replies: route, once: route, lookups: route, pairs: route });
    const stores = [];
    for (let number = 1; number <= entries; number++) {
        stores.push((await site.store.openListener()).address);
    }
    const response = responses.find(each => each.name === name);
    endpoint = new EndlessEndpoint(response, pace);
    if (response !== undefined) {
        serveEndlessly(replicas, scenario, eventCount);
    }
    return { service, stores };
};

const report = () => {
    const { writers } = endpoint;
    return {
        connections: writers.length,
        open: writers.filter(({ closedAt }) => closedAt === undefined).length,
        written: writers.reduce((sum, { writtenBytes }) => sum + writtenBytes, 0),
        mostWritten: Math.max(0, ...writers.map(({ writtenBytes }) => writtenBytes)),
        longest: Math.max(0, ...writers.map(({ startedAt, closedAt }) => (closedAt ?? Infinity) - startedAt)),
    };
};

const handlers = {
    list: () =>
        Object.entries(scenarios).flatMap(([scenario, { responses }]) =>
            [soundName, ...responses.map(({ name }) => name)].map(name => ({ scenario, name }))
        ),
    start,
    report,
};

process.on("message", async ({ command, options }) => {
    process.send(await handlers[command](options));
});
process.on("disconnect", () => process.exit(0));
