/** Route for plain services: `ANY /services/{service}/{path}`. */
import {
    authenticateCustomer,
    callerDeadline,
    CallerExchange,
    EntryNode,
    Execution,
    FailureKind,
    fingerprint,
    idempotencyKeyOf,
    Lane,
    Profile,
    readCallerBody,
    RequestFailure,
    ServiceKind,
} from "../../internal.js";

const servicePathPattern = /^\/services\/([^/]+)(\/.*)?$/;
const idempotentMethods = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);
/** Cost of one call in the fair queue, which counts tokens; calls of plain services have none. */
const queueCostTokens = 100;

const isNonIdempotent = (profile: Profile, method: string, path: string): boolean =>
    profile.nonIdempotentRoutes.some(route => route.method === method && path.startsWith(route.path));

/** Serves one call of a plain service. Throws RequestFailure if it fails. */
export const serveServiceCall = async (
    node: EntryNode,
    exchange: CallerExchange,
    maximumBodyBytes: number,
): Promise<void> => {
    const customer = authenticateCustomer(node, exchange);
    const [, serviceName, path = "/"] = servicePathPattern.exec(exchange.path) ?? [];
    const service = serviceName === undefined ? undefined : node.configuration.service(serviceName);
    if (serviceName === undefined || !service || service.kind !== ServiceKind.Plain) {
        const detail = `unknown plain service "${serviceName}"`;
        throw new RequestFailure(FailureKind.UnknownService, Execution.NotRun, detail);
    }
    const profile = node.configuration.profileOf(service);
    const { method } = exchange;
    const nonIdempotent = isNonIdempotent(profile, method, path);
    const idempotencyKey = idempotencyKeyOf(exchange);
    if (nonIdempotent && profile.requireIdempotencyKey && idempotencyKey === undefined) {
        const detail = `Idempotency-Key: missing; required for ${method} ${path}`;
        throw new RequestFailure(FailureKind.KeyRequired, Execution.NotRun, detail);
    }
    const deadline = callerDeadline(node, exchange, profile);
    const body = await readCallerBody(exchange, maximumBodyBytes);
    node.ports.timeline.record("callers", "admitted", exchange.requestId, `${method} ${serviceName}${path}`);
    const { response, replayed } = await node.serviceCalls.run({
        nonIdempotent,
        request: {
            method,
            path: path + exchange.query,
            contentType: exchange.request.headers["content-type"],
            body,
            requestId: exchange.requestId,
            idempotencyKey,
        },
        work: {
            requestId: exchange.requestId,
            customer,
            weight: node.configuration.customer(customer)?.weight ?? 1,
            service: serviceName,
            profile,
            lane: Lane.Short,
            promptTokens: queueCostTokens,
            memoryTokens: 0,
            fingerprint: fingerprint(serviceName, method, path, body),
            idempotent: !nonIdempotent && idempotentMethods.has(method),
            deadline,
            signal: exchange.signal,
        },
    });
    sendResponse(exchange, response, replayed);
};

const sendResponse = (
    exchange: CallerExchange,
    response: { status: number; contentType?: string; body: Buffer; },
    isReplay: boolean,
): void => {
    const headers: Record<string, string | number> = {
        "content-length": response.body.length,
        "x-request-id": exchange.requestId,
    };
    if (response.contentType !== undefined) {
        headers["content-type"] = response.contentType;
    }
    if (isReplay) {
        headers["idempotent-replayed"] = "true";
    }
    exchange.response.writeHead(response.status, headers);
    exchange.response.end(response.body);
};
