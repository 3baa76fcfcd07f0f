/** Request and response formats of the OpenAI API. */
import * as z from "zod";
import { Execution, FailureKind, FinishReason, RequestFailure } from "../../internal.js";

const textPartSchema = z.object({ type: z.literal("text"), text: z.string() });
const messageSchema = z.object({
    role: z.string(),
    content: z.union([z.string(), z.array(textPartSchema)]).nullish(),
});
const commonFields = {
    model: z.string().min(1),
    stream: z.boolean().nullish(),
    max_tokens: z.number().int().positive().nullish(),
};
const chatSchema = z.object({
    ...commonFields,
    messages: z.array(messageSchema).min(1),
    max_completion_tokens: z.number().int().positive().nullish(),
});
const completionSchema = z.object({
    ...commonFields,
    prompt: z.union([z.string(), z.array(z.string()).min(1).max(1)]),
});

/** API format of a generation, which follows from its route. */
export enum GenerationShape {
    Chat = "chat",
    Completion = "completion",
}

/** Parameters of a generation, independent of its API format. */
export interface GenerationParameters {
    shape: GenerationShape;
    model: string;
    prompt: string;
    stream: boolean;
    maximumTokens: number | undefined;
}

type ChatMessage = z.infer<typeof messageSchema>;

const messageText = (content: ChatMessage["content"]): string => {
    if (typeof content === "string") {
        return content;
    }
    return (content ?? []).map(part => part.text).join("");
};

const parseJson = (body: Buffer): unknown => {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        throw new RequestFailure(FailureKind.BadRequest, Execution.NotRun, "the body is not valid JSON");
    }
};

const validate = <Value>(schema: z.ZodType<Value>, value: unknown): Value => {
    const outcome = schema.safeParse(value);
    if (outcome.success) {
        return outcome.data;
    }
    const issue = outcome.error.issues[0]!;
    const detail = `${issue.path.join(".") || "body"}: ${issue.message}`;
    throw new RequestFailure(FailureKind.BadRequest, Execution.NotRun, detail);
};

/** Parses and validates the body of a generation. Throws a RequestFailure that names the invalid field. */
export const parseGenerationBody = (shape: GenerationShape, body: Buffer): GenerationParameters => {
    const value = parseJson(body);
    if (shape === GenerationShape.Chat) {
        const chat = validate(chatSchema, value);
        return {
            shape,
            model: chat.model,
            prompt: chat.messages.map(({ role, content }) => `${role}: ${messageText(content)}\n`).join(""),
            stream: chat.stream ?? false,
            maximumTokens: chat.max_completion_tokens ?? chat.max_tokens ?? undefined,
        };
    }
    const completion = validate(completionSchema, value);
    return {
        shape,
        model: completion.model,
        prompt: typeof completion.prompt === "string" ? completion.prompt : completion.prompt[0]!,
        stream: completion.stream ?? false,
        maximumTokens: completion.max_tokens ?? undefined,
    };
};

/** Fields that all chunks of one response share. */
export interface CompletionMetadata {
    shape: GenerationShape;
    requestId: string;
    model: string;
    createdSeconds: number;
}

const completionId = (metadata: CompletionMetadata): string =>
    `${metadata.shape === GenerationShape.Chat ? "chatcmpl" : "cmpl"}-${metadata.requestId}`;

// In the OpenAI format, `finish_reason` is null until the response ends.
// eslint-disable-next-line no-restricted-syntax
const unfinishedReason = null;

/** Creates a chunk of a streamed response. A chunk without `finishReason` contains text. */
export const streamChunk = (
    metadata: CompletionMetadata,
    text: string,
    finishReason: FinishReason | undefined,
): object => {
    const finish = finishReason ?? unfinishedReason;
    const isChat = metadata.shape === GenerationShape.Chat;
    const delta = finishReason === undefined ? { role: "assistant", content: text } : {};
    return {
        id: completionId(metadata),
        object: isChat ? "chat.completion.chunk" : "text_completion",
        created: metadata.createdSeconds,
        model: metadata.model,
        choices: [isChat ? { index: 0, delta, finish_reason: finish } : { index: 0, text, finish_reason: finish }],
    };
};

/** Creates the response to a request that is not streamed. */
export const completeResponse = (
    metadata: CompletionMetadata,
    text: string,
    finishReason: FinishReason,
    usage: { promptTokens: number; answerTokens: number; },
): object => {
    const isChat = metadata.shape === GenerationShape.Chat;
    const choice = isChat
        ? { index: 0, message: { role: "assistant", content: text }, finish_reason: finishReason }
        : { index: 0, text, finish_reason: finishReason };
    return {
        id: completionId(metadata),
        object: isChat ? "chat.completion" : "text_completion",
        created: metadata.createdSeconds,
        model: metadata.model,
        choices: [choice],
        usage: {
            prompt_tokens: usage.promptTokens,
            completion_tokens: usage.answerTokens,
            total_tokens: usage.promptTokens + usage.answerTokens,
        },
    };
};

/** Creates the response of `GET /v1/models`. */
export const modelList = (names: readonly string[]): object => ({
    object: "list",
    data: names.map(id => ({ id, object: "model", created: 0, owned_by: "dandelionramp" })),
});
