/** HTTP client for model engines. Only this module depends on their wire format. */
import {
    Clock,
    describeError,
    EndpointReport,
    EngineFrame,
    EngineHolding,
    EngineLostError,
    EnginePort,
    EngineRefusal,
    EngineRefusedError,
    EngineRequest,
    ExchangeError,
    JsonResponse,
    OutgoingRequest,
    readResponseBody,
    requestJson,
    sendRequest,
    withTimeout,
} from "../internal.js";
import { readFrames } from "./frameReader.js";

const callTimeoutMilliseconds = 1_500;
const maximumRefusalBytes = 64 * 1024;
/** Limit on the list of holdings, with some hundred bytes each. */
const maximumHoldingsBytes = 1024 * 1024;

/** Sends generations and reservations to model engines. */
export class EngineClient implements EnginePort {
    constructor(private readonly clock: Clock) {}

    async report(address: string): Promise<EndpointReport> {
        return (await this.call(address, "GET", "/report")).value as EndpointReport;
    }

    generate(
        address: string,
        request: EngineRequest,
        opening: AbortSignal,
        signal: AbortSignal,
    ): Promise<AsyncIterable<EngineFrame>> {
        const body = JSON.stringify(request);
        const headers = { "content-type": "application/json" };
        return this.openStream({ address, method: "POST", path: "/streams", headers, body }, opening, signal);
    }

    resume(
        address: string,
        streamId: string,
        offset: number,
        opening: AbortSignal,
        signal: AbortSignal,
    ): Promise<AsyncIterable<EngineFrame>> {
        const path = `/streams/${encodeURIComponent(streamId)}?offset=${offset}`;
        // A pooled connection may be unresponsive. Only a new connection shows whether the engine responds.
        return this.openStream({ address, method: "GET", path, freshConnection: true }, opening, signal);
    }

    async release(address: string, holdingId: string): Promise<void> {
        await this.call(address, "DELETE", `/holdings/${encodeURIComponent(holdingId)}`);
    }

    async reserve(address: string, holding: EngineHolding): Promise<void> {
        await this.call(address, "POST", "/reservations", holding);
    }

    async holdings(address: string): Promise<EngineHolding[]> {
        const response = await this.call(address, "GET", "/holdings", undefined, maximumHoldingsBytes);
        return (response.value as { holdings: EngineHolding[]; }).holdings;
    }

    private async openStream(
        request: OutgoingRequest,
        opening: AbortSignal,
        signal: AbortSignal,
    ): Promise<AsyncIterable<EngineFrame>> {
        const connection = new AbortController();
        const abortConnection = () => connection.abort();
        opening.addEventListener("abort", abortConnection, { once: true });
        signal.addEventListener("abort", abortConnection, { once: true });
        try {
            const response = await sendRequest({ ...request, signal: connection.signal });
            if (response.status !== 200) {
                const text = (await readResponseBody(response.body, maximumRefusalBytes)).toString("utf8");
                throw refusalError(request.address, response.status, text);
            }
            opening.removeEventListener("abort", abortConnection);
            return readFrames(response.body);
        }
        catch (error) {
            throw toEngineError(error);
        }
    }

    private async call(
        address: string,
        method: string,
        path: string,
        value?: unknown,
        maximumResponseBytes?: number,
    ): Promise<JsonResponse> {
        let response: JsonResponse;
        try {
            response = await withTimeout(
                this.clock,
                callTimeoutMilliseconds,
                `${method} ${path}`,
                signal => requestJson({ address, method, path, signal, maximumResponseBytes }, value),
            );
        }
        catch (error) {
            throw toEngineError(error);
        }
        if (response.status !== 200) {
            throw refusalError(address, response.status, JSON.stringify(response.value));
        }
        return response;
    }
}

const knownRefusals = new Set<string>(Object.values(EngineRefusal));

const refusalError = (address: string, status: number, text: string): EngineRefusedError | EngineLostError => {
    try {
        const refusal = (JSON.parse(text) as { refusal?: string; }).refusal;
        if (refusal !== undefined && knownRefusals.has(refusal)) {
            return new EngineRefusedError(refusal as EngineRefusal, address);
        }
    }
    catch {
        // Without a known refusal, the response does not guarantee that nothing ran.
    }
    return new EngineLostError(`${address} responded with status ${status}`, true);
};

const toEngineError = (error: unknown): unknown => {
    if (error instanceof EngineLostError || error instanceof EngineRefusedError) {
        return error;
    }
    const written = !(error instanceof ExchangeError) || error.written;
    return new EngineLostError(describeError(error), written, { cause: error });
};
