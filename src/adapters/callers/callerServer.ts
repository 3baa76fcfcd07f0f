/** The callers' port. */
import { IncomingMessage, ServerResponse } from "node:http";
import {
    answerSent,
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
    sendProblem,
    serveCall,
    serveGeneration,
    serveModels,
} from "../../internal.js";

/** Settings of the callers' port. */
export interface CallerServerOptions {
    address: string;
    /** Largest body in bytes. */
    bodyLimitBytes: number;
}

const notReadyRetrySeconds = 2;

const route = async (node: EntryNode, exchange: CallerExchange, options: CallerServerOptions): Promise<void> => {
    const { method, path } = exchange;
    if (method === "GET" && path === "/v1/models") {
        serveModels(node, exchange);
        return;
    }
    if (method === "POST" && path === "/v1/chat/completions") {
        await serveGeneration(node, exchange, GenerationShape.Chat, options.bodyLimitBytes);
        return;
    }
    if (method === "POST" && path === "/v1/completions") {
        await serveGeneration(node, exchange, GenerationShape.Completion, options.bodyLimitBytes);
        return;
    }
    if (path.startsWith("/services/")) {
        await serveCall(node, exchange, options.bodyLimitBytes);
        return;
    }
    throw new RequestFailure(FailureKind.UnknownService, Execution.NotRun, `there is no ${method} ${path}`);
};

const serveExchange = async (
    node: EntryNode,
    request: IncomingMessage,
    response: ServerResponse,
    options: CallerServerOptions,
    log: PartLog,
): Promise<void> => {
    const exchange = openExchange(node, request, response);
    if (!node.accepting) {
        response.setHeader("connection", "close");
    }
    node.activeRequests++;
    node.metrics.count("requests_total");
    try {
        if (!node.ready) {
            const detail = "this entry has not learned its configuration yet";
            throw new RequestFailure(FailureKind.NoEndpoint, Execution.NotRun, detail, notReadyRetrySeconds);
        }
        await route(node, exchange, options);
    }
    catch (error) {
        const failure = failureOf(error);
        log.warn("A request failed.", { requestId: exchange.requestId, kind: failure.kind, reason: failure.message });
        node.metrics.count("failures_total", `kind="${failure.kind}"`);
        sendProblem(response, failure, exchange.requestId);
    }
    finally {
        // An answer still in this process's buffers would be cut if the entry stopped now.
        await answerSent(response);
        node.activeRequests--;
        node.ports.timeline.record("callers", "ended", exchange.requestId, String(response.statusCode));
    }
};

/** Serves callers. A request that arrives before `node` is ready is refused with the time to come back. */
export const serveCallers = (node: EntryNode, options: CallerServerOptions): Promise<Listener> => {
    const log = node.ports.log("callers");
    return listen(options.address, (request, response) => serveExchange(node, request, response, options, log));
};
