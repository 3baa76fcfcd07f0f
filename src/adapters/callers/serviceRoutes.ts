/** Plain services for callers: `ANY /services/{service}/{path}`. */
import {
    bodyOf,
    CallerExchange,
    customerOf,
    deadlineOf,
    EntryNode,
    Execution,
    FailureKind,
    fingerprint,
    idempotencyKeyOf,
    Lane,
    Profile,
    RequestFailure,
    ServiceKind,
} from "../../internal.js";

const servicePath = /^\/services\/([^/]+)(\/.*)?$/;
const repeatableMethods = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);
/** Token cost of one call in the fair queue: calls of plain services have no tokens. */
const callTokens = 100;

const isNonIdempotent = (profile: Profile, method: string, path: string): boolean =>
    profile.nonIdempotentRoutes.some(route => route.method === method && path.startsWith(route.path));

/** Serves one call of a plain service. Throws RequestFailure. */
export const serveCall = async (node: EntryNode, exchange: CallerExchange, bodyLimitBytes: number): Promise<void> => {
    const customer = customerOf(node, exchange);
    const [, serviceName, path = "/"] = servicePath.exec(exchange.path) ?? [];
    const service = serviceName === undefined ? undefined : node.configuration.service(serviceName);
    if (serviceName === undefined || !service || service.kind !== ServiceKind.Plain) {
        const detail = `there is no plain service "${serviceName}"`;
        throw new RequestFailure(FailureKind.UnknownService, Execution.NotRun, detail);
    }
    const profile = node.configuration.profileOf(service);
    const { method } = exchange;
    const nonIdempotent = isNonIdempotent(profile, method, path);
    const idempotencyKey = idempotencyKeyOf(exchange);
    if (nonIdempotent && profile.requireIdempotencyKey && idempotencyKey === undefined) {
        const detail = `Idempotency-Key: ${method} ${path} requires one`;
        throw new RequestFailure(FailureKind.KeyRequired, Execution.NotRun, detail);
    }
    const deadline = deadlineOf(node, exchange, profile);
    const body = await bodyOf(exchange, bodyLimitBytes);
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
            promptTokens: callTokens,
            memoryTokens: 0,
            fingerprint: fingerprint(serviceName, method, path, body),
            idempotent: !nonIdempotent && repeatableMethods.has(method),
            deadline,
            signal: exchange.signal,
        },
    });
    sendAnswer(exchange, response, replayed);
};

const sendAnswer = (
    exchange: CallerExchange,
    answer: { status: number; contentType?: string; body: Buffer; },
    replayed: boolean,
): void => {
    const headers: Record<string, string | number> = {
        "content-length": answer.body.length,
        "x-request-id": exchange.requestId,
    };
    if (answer.contentType !== undefined) {
        headers["content-type"] = answer.contentType;
    }
    if (replayed) {
        headers["idempotent-replayed"] = "true";
    }
    exchange.response.writeHead(answer.status, headers);
    exchange.response.end(answer.body);
};
