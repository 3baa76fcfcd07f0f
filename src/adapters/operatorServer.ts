/**
 * HTTP server for operators: health checks, metrics, status, timeline, changes of configuration objects, and orders that take
 * instances and data centres out or back in.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import * as z from "zod";
import {
    BodyTooLargeError,
    ChangeOutcome,
    ChangeUncertainError,
    configurationKinds,
    describeError,
    EntryNode,
    InvalidObjectError,
    listen,
    Listener,
    ObjectKind,
    readBody,
    requestTarget,
    sendJson,
} from "../internal.js";

const maximumBodyBytes = 1024 * 1024;
const changeSchema = z.strictObject({
    /** An omitted value removes the object. */
    value: z.unknown().optional(),
    expectedVersion: z.number().int().min(0).optional(),
});
const objectPathPattern = /^\/objects\/([A-Za-z]+)(?:\/([^/]+))?$/;
const restrictionPathPattern = /^\/(out|in)\/(dataCentre|instance)\/([^/]+)$/;

const statusOfChange = (outcome: ChangeOutcome): number =>
    outcome.type === "Conflict" ? 409 : outcome.type === "Provisional" ? 202 : 200;

const configurationKindOf = (text: string): ObjectKind | undefined => configurationKinds.find(kind => kind === text);

const readChange = async (request: IncomingMessage): Promise<z.infer<typeof changeSchema>> => {
    const text = (await readBody(request, maximumBodyBytes)).toString("utf8");
    try {
        return changeSchema.parse(JSON.parse(text));
    }
    catch (error) {
        throw new InvalidObjectError(`invalid change: ${describeError(error)}`, { cause: error });
    }
};

/** The report that `dandelionramp status` prints. */
const statusReport = (node: EntryNode): object => ({
    instance: node.identity.id,
    incarnation: node.incarnation,
    dataCentre: node.identity.dataCentre,
    ready: node.isReady,
    accepting: node.isAccepting,
    platformDown: node.health.isDown,
    configurationRevision: node.configuration.revision,
    activeRequests: node.activeRequests,
    waitingRequests: node.scheduler.waitingCount(),
    provisionalOuts: node.restrictions.pending(),
    peers: node.membership.peers().map(peer => ({
        id: peer.record.id,
        answers: node.membership.isResponsive(peer),
        configurationRevision: peer.heartbeat?.configurationRevision ?? 0,
    })),
    endpoints: node.table.all().map(endpoint => ({
        id: endpoint.id,
        service: endpoint.record.service,
        dataCentre: endpoint.record.dataCentre,
        trust: node.table.trust(endpoint).type,
        restricted: node.restrictions.forbids(endpoint.record),
        home: node.homes.homeOf(endpoint.id),
        inFlight: endpoint.inFlight.size,
        running: endpoint.report?.running ?? 0,
    })),
});

const sendMetrics = (node: EntryNode, response: ServerResponse): void => {
    const text = node.metrics.text({
        active_requests: node.activeRequests,
        waiting_requests: node.scheduler.waitingCount(),
        configuration_revision: node.configuration.revision,
        platform_down: node.health.isDown ? 1 : 0,
        engine_holdings: node.holdings.count,
    });
    response.writeHead(200, { "content-type": "text/plain; version=0.0.4" }).end(text);
};

const serveObject = async (
    node: EntryNode,
    request: IncomingMessage,
    response: ServerResponse,
    kind: ObjectKind,
    name: string | undefined,
): Promise<void> => {
    if (name === undefined) {
        sendJson(response, 200, { objects: node.configuration.all(kind) });
        return;
    }
    if (request.method === "GET") {
        const object = node.configuration.object(kind, name);
        sendJson(response, object ? 200 : 404, object ?? { error: `${kind} "${name}" not found` });
        return;
    }
    const { value, expectedVersion } = await readChange(request);
    const outcome = await node.operations.change(kind, name, value, expectedVersion);
    sendJson(response, statusOfChange(outcome), outcome);
};

const routeRequest = async (node: EntryNode, request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { method, path, query } = requestTarget(request);
    if (path === "/healthz") {
        sendJson(response, 200, { alive: true });
        return;
    }
    if (path === "/readyz") {
        sendJson(response, node.isAccepting ? 200 : 503, { ready: node.isReady, accepting: node.isAccepting });
        return;
    }
    if (path === "/metrics") {
        sendMetrics(node, response);
        return;
    }
    if (path === "/status") {
        sendJson(response, 200, statusReport(node));
        return;
    }
    if (path === "/events") {
        sendJson(response, 200, node.ports.timeline.page(Number(query.get("from") ?? 0)));
        return;
    }
    const restriction = restrictionPathPattern.exec(path);
    if (restriction && method === "POST") {
        const [, direction, kind, name] = restriction as unknown as [string, string, "dataCentre" | "instance", string];
        const outcome = direction === "out"
            ? await node.operations.takeOut(kind, decodeURIComponent(name))
            : await node.operations.bringIn(kind, decodeURIComponent(name));
        sendJson(response, statusOfChange(outcome), outcome);
        return;
    }
    const [, kindText = "", name] = objectPathPattern.exec(path) ?? [];
    const kind = configurationKindOf(kindText);
    if (kind) {
        await serveObject(node, request, response, kind, name && decodeURIComponent(name));
        return;
    }
    sendJson(response, 404, {
        error: `no route for ${method} ${path}; object kinds are ${configurationKinds.join(", ")}`,
    });
};

const sendError = (response: ServerResponse, error: unknown): void => {
    if (error instanceof InvalidObjectError || error instanceof BodyTooLargeError) {
        sendJson(response, 400, { error: error.message });
        return;
    }
    if (error instanceof ChangeUncertainError) {
        sendJson(response, 503, { error: error.message });
        return;
    }
    sendJson(response, 500, { error: describeError(error) });
};

/** Listens at `address` for operators of `node`. */
export const serveOperators = (node: EntryNode, address: string): Promise<Listener> =>
    listen(address, async (request, response) => {
        try {
            await routeRequest(node, request, response);
        }
        catch (error) {
            sendError(response, error);
        }
    });
