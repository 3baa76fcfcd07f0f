/** The OpenAI request and answer shapes. */
import * as z from "zod";
import { Execution, FailureKind, FinishReason, RequestFailure } from "../../internal.js";

const textPart = z.object({ type: z.literal("text"), text: z.string() });
const message = z.object({
    role: z.string(),
    content: z.union([z.string(), z.array(textPart)]).nullish(),
});
const common = {
    model: z.string().min(1),
    stream: z.boolean().nullish(),
    max_tokens: z.number().int().positive().nullish(),
};
const chatSchema = z.object({
    ...common,
    messages: z.array(message).min(1),
    max_completion_tokens: z.number().int().positive().nullish(),
});
const completionSchema = z.object({ ...common, prompt: z.union([z.string(), z.array(z.string()).min(1).max(1)]) });

/** Which of the two routes a generation came by. */
export enum GenerationShape {
    Chat = "chat",
    Completion = "completion",
}

/** A generation in the terms of this project. */
export interface GenerationAsk {
    shape: GenerationShape;
    model: string;
    prompt: string;
    stream: boolean;
    maximumTokens: number | undefined;
}

type ChatMessage = z.infer<typeof message>;

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
        throw new RequestFailure(FailureKind.BadRequest, Execution.NotRun, "the body is no valid JSON");
    }
};

const check = <Value>(schema: z.ZodType<Value>, value: unknown): Value => {
    const outcome = schema.safeParse(value);
    if (outcome.success) {
        return outcome.data;
    }
    const issue = outcome.error.issues[0]!;
    const detail = `${issue.path.join(".") || "body"}: ${issue.message}`;
    throw new RequestFailure(FailureKind.BadRequest, Execution.NotRun, detail);
};

/** Reads a generation's body. Throws RequestFailure that names the field. */
export const parseAsk = (shape: GenerationShape, body: Buffer): GenerationAsk => {
    const value = parseJson(body);
    if (shape === GenerationShape.Chat) {
        const chat = check(chatSchema, value);
        return {
            shape,
            model: chat.model,
            prompt: chat.messages.map(({ role, content }) => `${role}: ${messageText(content)}\n`).join(""),
            stream: chat.stream ?? false,
            maximumTokens: chat.max_completion_tokens ?? chat.max_tokens ?? undefined,
        };
    }
    const completion = check(completionSchema, value);
    return {
        shape,
        model: completion.model,
        prompt: typeof completion.prompt === "string" ? completion.prompt : completion.prompt[0]!,
        stream: completion.stream ?? false,
        maximumTokens: completion.max_tokens ?? undefined,
    };
};

/** What all pieces of one answer have in common. */
export interface AnswerHead {
    shape: GenerationShape;
    requestId: string;
    model: string;
    createdSeconds: number;
}

const identifier = (head: AnswerHead): string =>
    `${head.shape === GenerationShape.Chat ? "chatcmpl" : "cmpl"}-${head.requestId}`;

// The OpenAI shape has null here until the answer ends.
// eslint-disable-next-line no-restricted-syntax
const notFinished = null;

/** One streamed chunk; without `finishReason` it carries text. */
export const streamChunk = (head: AnswerHead, text: string, finishReason: FinishReason | undefined): object => {
    const finish = finishReason ?? notFinished;
    const chat = head.shape === GenerationShape.Chat;
    const delta = finishReason === undefined ? { role: "assistant", content: text } : {};
    return {
        id: identifier(head),
        object: chat ? "chat.completion.chunk" : "text_completion",
        created: head.createdSeconds,
        model: head.model,
        choices: [chat ? { index: 0, delta, finish_reason: finish } : { index: 0, text, finish_reason: finish }],
    };
};

/** The whole answer of a request that isn't streamed. */
export const wholeAnswer = (
    head: AnswerHead,
    text: string,
    finishReason: FinishReason,
    usage: { promptTokens: number; answerTokens: number; },
): object => {
    const chat = head.shape === GenerationShape.Chat;
    const choice = chat
        ? { index: 0, message: { role: "assistant", content: text }, finish_reason: finishReason }
        : { index: 0, text, finish_reason: finishReason };
    return {
        id: identifier(head),
        object: chat ? "chat.completion" : "text_completion",
        created: head.createdSeconds,
        model: head.model,
        choices: [choice],
        usage: {
            prompt_tokens: usage.promptTokens,
            completion_tokens: usage.answerTokens,
            total_tokens: usage.promptTokens + usage.answerTokens,
        },
    };
};

/** The list of models. */
export const modelList = (names: readonly string[]): object => ({
    object: "list",
    data: names.map(id => ({ id, object: "model", created: 0, owned_by: "dandelionramp" })),
});
