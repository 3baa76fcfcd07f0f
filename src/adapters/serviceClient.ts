/** HTTP client for plain services. */
import type { IncomingMessage } from "node:http";
import {
    BodyTooLargeError,
    Clock,
    describeError,
    EndpointReport,
    ExchangeError,
    readResponseBody,
    requestJson,
    sendRequest,
    ServiceLostError,
    ServicePort,
    ServiceRefusedError,
    ServiceRequest,
    ServiceResponse,
    withTimeout,
} from "../internal.js";

const reportTimeoutMilliseconds = 1_500;
const maximumResponseBytes = 16 * 1024 * 1024;
/** Limit on the bodies that are being received, over all calls. */
const maximumReceivedBytes = 64 * 1024 * 1024;
/** Response header of a service that has rejected a request without running it. */
const notRunHeader = "x-not-run";

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

/** A body that is being received. */
interface ReceivedBody {
    message: IncomingMessage;
    bytes: number;
}

/** Reads bodies, and gives up the largest one whenever all of them together exceed {@link maximumReceivedBytes}. */
class BodyReader {
    private readonly bodies = new Set<ReceivedBody>();
    private receivedBytes = 0;

    async read(message: IncomingMessage): Promise<Buffer> {
        const body = { message, bytes: 0 };
        this.bodies.add(body);
        message.on("data", (piece: Buffer) => this.count(body, piece.length));
        try {
            return await readResponseBody(message, maximumResponseBytes);
        }
        finally {
            this.remove(body);
        }
    }

    private count(body: ReceivedBody, bytes: number): void {
        if (!this.bodies.has(body)) {
            return;
        }
        body.bytes += bytes;
        this.receivedBytes += bytes;
        if (this.receivedBytes <= maximumReceivedBytes) {
            return;
        }
        const largest = [...this.bodies].reduce((first, second) => second.bytes > first.bytes ? second : first);
        this.remove(largest);
        largest.message.destroy(new BodyTooLargeError(maximumReceivedBytes));
    }

    private remove(body: ReceivedBody): void {
        if (this.bodies.delete(body)) {
            this.receivedBytes -= body.bytes;
        }
    }
}

/** Sends calls to plain services and fetches their load reports. */
export class ServiceClient implements ServicePort {
    private readonly bodyReader = new BodyReader();

    constructor(private readonly clock: Clock) {}

    async report(address: string): Promise<EndpointReport> {
        const response = await withTimeout(
            this.clock,
            reportTimeoutMilliseconds,
            "the load report of a service",
            signal => requestJson({ address, method: "GET", path: "/report", signal }),
        );
        if (response.status !== 200) {
            throw new ServiceLostError(`${address} responded with status ${response.status}`, true);
        }
        return response.value as EndpointReport;
    }

    async call(address: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse> {
        try {
            const response = await sendRequest({
                address,
                method: request.method,
                path: request.path,
                headers: outgoingHeaders(request),
                body: request.body.length > 0 ? request.body : undefined,
                signal,
                freshConnection: true,
            });
            const body = await this.bodyReader.read(response.body);
            if (response.status === 503 && response.headers[notRunHeader] === "true") {
                throw new ServiceRefusedError(`${address} rejected the request without running it`);
            }
            return { status: response.status, contentType: response.headers["content-type"], body };
        }
        catch (error) {
            throw toServiceError(error);
        }
    }
}

const toServiceError = (error: unknown): unknown => {
    if (error instanceof ExchangeError) {
        return new ServiceLostError(error.message, error.written, { cause: error });
    }
    if (error instanceof BodyTooLargeError) {
        return new ServiceLostError(describeError(error), true, { cause: error });
    }
    return error;
};
