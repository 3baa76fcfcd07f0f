/** Routes for generations. A response is streamed as server-sent events or sent as one JSON object. */
import {
    authenticateCustomer,
    callerDeadline,
    CallerExchange,
    completeResponse,
    CompletionMetadata,
    EntryNode,
    Execution,
    FailureKind,
    failureOf,
    fingerprint,
    GenerationParameters,
    GenerationRequest,
    GenerationShape,
    idempotencyKeyOf,
    Lane,
    laneOf,
    modelList,
    ObjectKind,
    parseGenerationBody,
    problemOf,
    readCallerBody,
    RequestFailure,
    ResponseChunk,
    sendJson,
    Service,
    ServiceKind,
    streamChunk,
} from "../../internal.js";

const estimatedCharactersPerToken = 4;
const streamEndEvent = "data: [DONE]\n\n";

/** Estimates the number of tokens of a text. Engines count the exact number themselves. */
export const estimateTokens = (text: string): number =>
    Math.max(1, Math.ceil(text.length / estimatedCharactersPerToken));

/** Serves `GET /v1/models`. */
export const serveModels = (node: EntryNode, exchange: CallerExchange): void => {
    authenticateCustomer(node, exchange);
    const models = node.configuration.all(ObjectKind.Service)
        .filter(object => (object.value as Service).kind === ServiceKind.Model)
        .map(object => object.name);
    sendJson(exchange.response, 200, modelList(models));
};

/** Serves one generation. Throws RequestFailure if it fails before anything was sent. */
export const serveGeneration = async (
    node: EntryNode,
    exchange: CallerExchange,
    shape: GenerationShape,
    maximumBodyBytes: number,
): Promise<void> => {
    const customer = authenticateCustomer(node, exchange);
    const parameters = parseGenerationBody(shape, await readCallerBody(exchange, maximumBodyBytes));
    const request = generationRequest(node, exchange, customer, parameters);
    const metadata: CompletionMetadata = {
        shape,
        requestId: exchange.requestId,
        model: parameters.model,
        createdSeconds: Math.floor(node.ports.clock.wallTime() / 1_000),
    };
    node.ports.timeline.record(
        "callers",
        "admitted",
        exchange.requestId,
        `${parameters.model} ${request.work.promptTokens} tokens`,
    );
    const chunks = measureFirstToken(node, request, node.generations.run(request));
    if (parameters.stream) {
        await sendStream(node, exchange, metadata, chunks, request);
        return;
    }
    await sendComplete(exchange, metadata, chunks, request);
};

const generationRequest = (
    node: EntryNode,
    exchange: CallerExchange,
    customer: string,
    parameters: GenerationParameters,
): GenerationRequest => {
    const service = node.configuration.service(parameters.model);
    if (!service || service.kind !== ServiceKind.Model) {
        throw new RequestFailure(
            FailureKind.UnknownModel,
            Execution.NotRun,
            `model: unknown model "${parameters.model}"`,
        );
    }
    idempotencyKeyOf(exchange);
    const profile = node.configuration.profileOf(service);
    const maximumTokens = Math.min(
        parameters.maximumTokens ?? profile.maximumAnswerTokens,
        profile.maximumAnswerTokens,
    );
    const promptTokens = estimateTokens(parameters.prompt);
    return {
        service,
        prompt: parameters.prompt,
        maximumTokens,
        work: {
            requestId: exchange.requestId,
            customer,
            weight: node.configuration.customer(customer)?.weight ?? 1,
            service: parameters.model,
            profile,
            lane: laneOf(promptTokens, profile),
            promptTokens,
            memoryTokens: promptTokens + maximumTokens,
            fingerprint: fingerprint(parameters.model, parameters.prompt),
            idempotent: true,
            deadline: callerDeadline(node, exchange, profile),
            signal: exchange.signal,
        },
    };
};

/** Forwards the chunks and records the time to first token. */
async function* measureFirstToken(
    node: EntryNode,
    request: GenerationRequest,
    chunks: AsyncGenerator<ResponseChunk, void>,
): AsyncGenerator<ResponseChunk, void> {
    const startedAt = node.now();
    let isFirst = true;
    for await (const chunk of chunks) {
        if (isFirst) {
            node.metrics.observe(
                "first_token_milliseconds",
                node.now() - startedAt,
                `lane="${Lane[request.work.lane].toLowerCase()}"`,
            );
            node.ports.timeline.record("callers", "first-token", request.work.requestId);
            isFirst = false;
        }
        yield chunk;
    }
}

const sendComplete = async (
    exchange: CallerExchange,
    metadata: CompletionMetadata,
    chunks: AsyncGenerator<ResponseChunk, void>,
    request: GenerationRequest,
): Promise<void> => {
    const texts: string[] = [];
    for await (const chunk of chunks) {
        if (chunk.type === "Text") {
            texts.push(chunk.text);
            continue;
        }
        const usage = { promptTokens: request.work.promptTokens, answerTokens: chunk.tokens };
        exchange.response.setHeader("x-request-id", exchange.requestId);
        sendJson(exchange.response, 200, completeResponse(metadata, texts.join(""), chunk.finishReason, usage));
    }
};

const sendStream = async (
    node: EntryNode,
    exchange: CallerExchange,
    metadata: CompletionMetadata,
    chunks: AsyncGenerator<ResponseChunk, void>,
    request: GenerationRequest,
): Promise<void> => {
    const { response } = exchange;
    try {
        for await (const chunk of chunks) {
            if (!response.headersSent) {
                response.writeHead(200, {
                    "content-type": "text/event-stream",
                    "cache-control": "no-cache",
                    "x-request-id": exchange.requestId,
                });
            }
            const payload = chunk.type === "Text"
                ? streamChunk(metadata, chunk.text, undefined)
                : streamChunk(metadata, "", chunk.finishReason);
            await writeWithBackpressure(node, exchange, `data: ${JSON.stringify(payload)}\n\n`, request);
        }
        response.end(streamEndEvent);
    }
    catch (error) {
        if (!response.headersSent) {
            throw error;
        }
        // An error event in place of the end event lets the caller distinguish an incomplete response from a complete one.
        const failure = failureOf(error);
        node.metrics.count("failures_total", `kind="${failure.kind}"`);
        response.end(`event: error\ndata: ${JSON.stringify(problemOf(failure, exchange.requestId))}\n\n`);
    }
};

/** Writes `text` and waits until the caller has read enough. Closes the connection if the deadline expires first. */
const writeWithBackpressure = async (
    node: EntryNode,
    exchange: CallerExchange,
    text: string,
    request: GenerationRequest,
): Promise<void> => {
    const { response } = exchange;
    if (response.write(text)) {
        return;
    }
    const timer = new AbortController();
    const drained = new Promise<void>(resolve => {
        response.once("drain", resolve);
        response.once("close", resolve);
    });
    await Promise.race([drained, node.ports.clock.sleep(request.work.deadline.remaining(), timer.signal)]);
    timer.abort();
    if (request.work.deadline.expired) {
        response.destroy();
    }
};
