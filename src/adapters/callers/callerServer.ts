/** HTTP server for callers. Routes requests to generations and plain services, and sends failures as problem responses. */
import { IncomingMessage, ServerResponse } from "node:http";
import {
    CallerExchange,
    EntryNode,
    Execution,
    FailureKind,
    failureOf,
    GenerationShape,
    listen,
    Listener,
    openExchange,
    PartLog,
    RequestFailure,
    responseSent,
    sendProblem,
    serveGeneration,
    serveModels,
    serveServiceCall,
} from "../../internal.js";

/** Options of {@link serveCallers}. */
export interface CallerServerOptions {
    address: string;
    /** Size limit for request bodies. */
    maximumBodyBytes: number;
}

const notReadyRetryAfterSeconds = 2;

const routeRequest = async (node: EntryNode, exchange: CallerExchange, options: CallerServerOptions): Promise<void> => {
    const { method, path } = exchange;
    if (method === "GET" && path === "/v1/models") {
        serveModels(node, exchange);
        return;
    }
    if (method === "POST" && path === "/v1/chat/completions") {
        await serveGeneration(node, exchange, GenerationShape.Chat, options.maximumBodyBytes);
        return;
    }
    if (method === "POST" && path === "/v1/completions") {
        await serveGeneration(node, exchange, GenerationShape.Completion, options.maximumBodyBytes);
        return;
    }
    if (path.startsWith("/services/")) {
        await serveServiceCall(node, exchange, options.maximumBodyBytes);
        return;
    }
    throw new RequestFailure(FailureKind.UnknownService, Execution.NotRun, `no route for ${method} ${path}`);
};

const serveExchange = async (
    node: EntryNode,
    request: IncomingMessage,
    response: ServerResponse,
    options: CallerServerOptions,
    log: PartLog,
): Promise<void> => {
    const exchange = openExchange(node, request, response);
    if (!node.isAccepting) {
        response.setHeader("connection", "close");
    }
    node.activeRequests++;
    node.metrics.count("requests_total");
    try {
        if (!node.isReady) {
            const detail = "this entry has not loaded its configuration yet";
            throw new RequestFailure(FailureKind.NoEndpoint, Execution.NotRun, detail, notReadyRetryAfterSeconds);
        }
        await routeRequest(node, exchange, options);
    }
    catch (error) {
        const failure = failureOf(error);
        log.warn("A request failed.", { requestId: exchange.requestId, kind: failure.kind, reason: failure.message });
        node.metrics.count("failures_total", `kind="${failure.kind}"`);
        sendProblem(response, failure, exchange.requestId);
    }
    finally {
        // A request stays active until its response has left the buffers of this process; otherwise a shutdown would cut it.
        await responseSent(response);
        node.activeRequests--;
        node.ports.timeline.record("callers", "ended", exchange.requestId, String(response.statusCode));
    }
};

/** Listens for callers. Requests that arrive before `node` is ready are rejected with a Retry-After header. */
export const serveCallers = (node: EntryNode, options: CallerServerOptions): Promise<Listener> => {
    const log = node.ports.log("callers");
    return listen(options.address, (request, response) => serveExchange(node, request, response, options, log));
};
