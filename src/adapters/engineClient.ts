/** Model engines over HTTP: the one place that knows their wire format. */
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
    IncomingResponse,
    JsonResponse,
    OutgoingRequest,
    readBody,
    requestJson,
    sendRequest,
    withTimeout,
} from "../internal.js";

const callMilliseconds = 1_500;
const refusalLimitBytes = 64 * 1024;
const lineLimitCharacters = 1024 * 1024;

const parseFrame = (line: string): EngineFrame => {
    try {
        return JSON.parse(line) as EngineFrame;
    }
    catch (error) {
        throw new EngineLostError("the engine sent a frame that is no JSON", true, { cause: error });
    }
};

/** Splits a body into frames, one JSON line each. Throws {@link EngineLostError} when the connection fails. */
async function* readFrames(answer: IncomingResponse): AsyncGenerator<EngineFrame, void> {
    let rest = "";
    answer.body.setEncoding("utf8");
    try {
        for await (const chunk of answer.body as AsyncIterable<string>) {
            const lines = (rest + chunk).split("\n");
            rest = lines.pop()!;
            if (rest.length > lineLimitCharacters) {
                throw new EngineLostError("the engine sent an endless line", true);
            }
            for (const line of lines) {
                yield parseFrame(line);
            }
        }
    }
    catch (error) {
        if (error instanceof EngineLostError) {
            throw error;
        }
        throw new EngineLostError(describeError(error), true, { cause: error });
    }
    finally {
        answer.body.destroy();
    }
}

/** A client of model engines. */
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
        return this.open({ address, method: "POST", path: "/streams", headers, body }, opening, signal);
    }

    resume(
        address: string,
        streamId: string,
        offset: number,
        opening: AbortSignal,
        signal: AbortSignal,
    ): Promise<AsyncIterable<EngineFrame>> {
        const path = `/streams/${encodeURIComponent(streamId)}?offset=${offset}`;
        // A kept connection may be one that has gone silent: only a new one tells.
        return this.open({ address, method: "GET", path, freshConnection: true }, opening, signal);
    }

    async release(address: string, holdingId: string): Promise<void> {
        await this.call(address, "DELETE", `/holdings/${encodeURIComponent(holdingId)}`);
    }

    async reserve(address: string, holding: EngineHolding): Promise<void> {
        await this.call(address, "POST", "/reservations", holding);
    }

    async holdings(address: string): Promise<EngineHolding[]> {
        return ((await this.call(address, "GET", "/holdings")).value as { holdings: EngineHolding[]; }).holdings;
    }

    private async open(
        request: OutgoingRequest,
        opening: AbortSignal,
        signal: AbortSignal,
    ): Promise<AsyncIterable<EngineFrame>> {
        const connection = new AbortController();
        const end = () => connection.abort();
        opening.addEventListener("abort", end, { once: true });
        signal.addEventListener("abort", end, { once: true });
        try {
            const answer = await sendRequest({ ...request, signal: connection.signal });
            if (answer.status !== 200) {
                const text = (await readBody(answer.body, refusalLimitBytes)).toString("utf8");
                throw refusalOf(request.address, answer.status, text);
            }
            opening.removeEventListener("abort", end);
            return readFrames(answer);
        }
        catch (error) {
            throw lostOr(error);
        }
    }

    private async call(address: string, method: string, path: string, value?: unknown): Promise<JsonResponse> {
        let answer: JsonResponse;
        try {
            answer = await withTimeout(
                this.clock,
                callMilliseconds,
                `${method} ${path}`,
                signal => requestJson({ address, method, path, signal }, value),
            );
        }
        catch (error) {
            throw lostOr(error);
        }
        if (answer.status !== 200) {
            throw refusalOf(address, answer.status, JSON.stringify(answer.value));
        }
        return answer;
    }
}

const refusals = new Set<string>(Object.values(EngineRefusal));

const refusalOf = (address: string, status: number, text: string): EngineRefusedError | EngineLostError => {
    try {
        const refusal = (JSON.parse(text) as { refusal?: string; }).refusal;
        if (refusal !== undefined && refusals.has(refusal)) {
            return new EngineRefusedError(refusal as EngineRefusal, address);
        }
    }
    catch {
        // An answer without a refusal we know is no promise that nothing ran.
    }
    return new EngineLostError(`${address} answered ${status}`, true);
};

const lostOr = (error: unknown): unknown => {
    if (error instanceof EngineLostError || error instanceof EngineRefusedError) {
        return error;
    }
    const written = !(error instanceof ExchangeError) || error.written;
    return new EngineLostError(describeError(error), written, { cause: error });
};
