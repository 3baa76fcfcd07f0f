/** Plain services over HTTP. */
import {
    BodyTooLargeError,
    Clock,
    describeError,
    EndpointReport,
    ExchangeError,
    readBody,
    requestJson,
    sendRequest,
    ServiceLostError,
    ServicePort,
    ServiceRefusedError,
    ServiceRequest,
    ServiceResponse,
    withTimeout,
} from "../internal.js";

const reportMillisecondsAtMost = 1_500;
const answerLimitBytes = 16 * 1024 * 1024;
/** Header by which a service says that it refused before running. */
const refusedHeader = "x-not-run";

const outgoingHeaders = (request: ServiceRequest): Record<string, string> => {
    const headers: Record<string, string> = { "x-request-id": request.requestId };
    if (request.contentType !== undefined) {
        headers["content-type"] = request.contentType;
    }
    if (request.idempotencyKey !== undefined) {
        headers["idempotency-key"] = request.idempotencyKey;
    }
    return headers;
};

/** A client of plain services. */
export class ServiceClient implements ServicePort {
    constructor(private readonly clock: Clock) {}

    async report(address: string): Promise<EndpointReport> {
        const answer = await withTimeout(
            this.clock,
            reportMillisecondsAtMost,
            "a service's report",
            signal => requestJson({ address, method: "GET", path: "/report", signal }),
        );
        if (answer.status !== 200) {
            throw new ServiceLostError(`${address} answered ${answer.status}`, true);
        }
        return answer.value as EndpointReport;
    }

    async call(address: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse> {
        try {
            const answer = await sendRequest({
                address,
                method: request.method,
                path: request.path,
                headers: outgoingHeaders(request),
                body: request.body.length > 0 ? request.body : undefined,
                signal,
                freshConnection: true,
            });
            const body = await readBody(answer.body, answerLimitBytes);
            if (answer.status === 503 && answer.headers[refusedHeader] === "true") {
                throw new ServiceRefusedError(`${address} refused before running`);
            }
            return { status: answer.status, contentType: answer.headers["content-type"], body };
        }
        catch (error) {
            throw turned(error);
        }
    }
}

const turned = (error: unknown): unknown => {
    if (error instanceof ExchangeError) {
        return new ServiceLostError(error.message, error.written, { cause: error });
    }
    if (error instanceof BodyTooLargeError) {
        return new ServiceLostError(describeError(error), true, { cause: error });
    }
    return error;
};
