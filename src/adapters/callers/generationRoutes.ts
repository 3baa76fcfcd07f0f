/** Generations for callers: streamed as server-sent events, or whole. */
import {
    AnswerHead,
    bodyOf,
    CallerExchange,
    customerOf,
    deadlineOf,
    EntryNode,
    Execution,
    FailureKind,
    failureOf,
    fingerprint,
    GenerationAsk,
    GenerationRequest,
    GenerationShape,
    idempotencyKeyOf,
    Lane,
    laneOf,
    modelList,
    ObjectKind,
    parseAsk,
    problemOf,
    RequestFailure,
    ResponseChunk,
    sendJson,
    Service,
    ServiceKind,
    streamChunk,
    wholeAnswer,
} from "../../internal.js";

const charactersPerToken = 4;
const streamEndMark = "data: [DONE]\n\n";

/** Tokens of a text, as estimated here; engines count for themselves. */
export const estimateTokens = (text: string): number => Math.max(1, Math.ceil(text.length / charactersPerToken));

/** Answers `GET /v1/models`. */
export const serveModels = (node: EntryNode, exchange: CallerExchange): void => {
    customerOf(node, exchange);
    const models = node.configuration.all(ObjectKind.Service)
        .filter(object => (object.value as Service).kind === ServiceKind.Model)
        .map(object => object.name);
    sendJson(exchange.response, 200, modelList(models));
};

/** Serves one generation to its end. Throws RequestFailure as long as nothing was sent. */
export const serveGeneration = async (
    node: EntryNode,
    exchange: CallerExchange,
    shape: GenerationShape,
    bodyLimitBytes: number,
): Promise<void> => {
    const customer = customerOf(node, exchange);
    const ask = parseAsk(shape, await bodyOf(exchange, bodyLimitBytes));
    const request = generationOf(node, exchange, customer, ask);
    const head: AnswerHead = {
        shape,
        requestId: exchange.requestId,
        model: ask.model,
        createdSeconds: Math.floor(node.ports.clock.wallTime() / 1_000),
    };
    node.ports.timeline.record(
        "callers",
        "admitted",
        exchange.requestId,
        `${ask.model} ${request.work.promptTokens} tokens`,
    );
    const pieces = timed(node, request, node.generations.run(request));
    if (ask.stream) {
        await sendStream(node, exchange, head, pieces, request);
        return;
    }
    await sendWhole(exchange, head, pieces, request);
};

const generationOf = (
    node: EntryNode,
    exchange: CallerExchange,
    customer: string,
    ask: GenerationAsk,
): GenerationRequest => {
    const service = node.configuration.service(ask.model);
    if (!service || service.kind !== ServiceKind.Model) {
        throw new RequestFailure(FailureKind.UnknownModel, Execution.NotRun, `model: there is no model "${ask.model}"`);
    }
    idempotencyKeyOf(exchange);
    const profile = node.configuration.profileOf(service);
    const maximumTokens = Math.min(ask.maximumTokens ?? profile.maximumAnswerTokens, profile.maximumAnswerTokens);
    const promptTokens = estimateTokens(ask.prompt);
    return {
        service,
        prompt: ask.prompt,
        maximumTokens,
        work: {
            requestId: exchange.requestId,
            customer,
            weight: node.configuration.customer(customer)?.weight ?? 1,
            service: ask.model,
            profile,
            lane: laneOf(promptTokens, profile),
            promptTokens,
            memoryTokens: promptTokens + maximumTokens,
            fingerprint: fingerprint(ask.model, ask.prompt),
            idempotent: true,
            deadline: deadlineOf(node, exchange, profile),
            signal: exchange.signal,
        },
    };
};

/** Passes the pieces on and notes the time to the first. */
async function* timed(
    node: EntryNode,
    request: GenerationRequest,
    pieces: AsyncGenerator<ResponseChunk, void>,
): AsyncGenerator<ResponseChunk, void> {
    const startedAt = node.now();
    let first = true;
    for await (const piece of pieces) {
        if (first) {
            node.metrics.observe(
                "first_token_milliseconds",
                node.now() - startedAt,
                `lane="${Lane[request.work.lane].toLowerCase()}"`,
            );
            node.ports.timeline.record("callers", "first-token", request.work.requestId);
            first = false;
        }
        yield piece;
    }
}

const sendWhole = async (
    exchange: CallerExchange,
    head: AnswerHead,
    pieces: AsyncGenerator<ResponseChunk, void>,
    request: GenerationRequest,
): Promise<void> => {
    const texts: string[] = [];
    for await (const piece of pieces) {
        if (piece.type === "Text") {
            texts.push(piece.text);
            continue;
        }
        const usage = { promptTokens: request.work.promptTokens, answerTokens: piece.tokens };
        exchange.response.setHeader("x-request-id", exchange.requestId);
        sendJson(exchange.response, 200, wholeAnswer(head, texts.join(""), piece.finishReason, usage));
    }
};

const sendStream = async (
    node: EntryNode,
    exchange: CallerExchange,
    head: AnswerHead,
    pieces: AsyncGenerator<ResponseChunk, void>,
    request: GenerationRequest,
): Promise<void> => {
    const { response } = exchange;
    try {
        for await (const piece of pieces) {
            if (!response.headersSent) {
                response.writeHead(200, {
                    "content-type": "text/event-stream",
                    "cache-control": "no-cache",
                    "x-request-id": exchange.requestId,
                });
            }
            const chunk = piece.type === "Text"
                ? streamChunk(head, piece.text, undefined)
                : streamChunk(head, "", piece.finishReason);
            await write(node, exchange, `data: ${JSON.stringify(chunk)}\n\n`, request);
        }
        response.end(streamEndMark);
    }
    catch (error) {
        if (!response.headersSent) {
            throw error;
        }
        // The caller must never take a cut answer for a whole one: an error event, and no end mark.
        const failure = failureOf(error);
        node.metrics.count("failures_total", `kind="${failure.kind}"`);
        response.end(`event: error\ndata: ${JSON.stringify(problemOf(failure, exchange.requestId))}\n\n`);
    }
};

/** Writes and waits while the caller reads too slowly, at most until the deadline. */
const write = async (
    node: EntryNode,
    exchange: CallerExchange,
    text: string,
    request: GenerationRequest,
): Promise<void> => {
    const { response } = exchange;
    if (response.write(text)) {
        return;
    }
    const settled = new AbortController();
    const drained = new Promise<void>(resolve => {
        response.once("drain", resolve);
        response.once("close", resolve);
    });
    await Promise.race([drained, node.ports.clock.sleep(request.work.deadline.remaining(), settled.signal)]);
    settled.abort();
    if (request.work.deadline.expired) {
        response.destroy();
    }
};
