/** Sends one request of the load tool and checks the response against the expected text. */
import { createParser } from "eventsource-parser";
import { Clock, ExchangeError, IncomingResponse, Milliseconds, readResponseBody, sendRequest } from "../internal.js";
import { expectedResponse } from "../standins/expectedResponse.js";
import { Arrival } from "./arrivals.js";

/** Outcome of a request, as its caller sees it. */
export enum CallOutcome {
    Whole = "whole",
    /** A problem response, or an error event in the stream. */
    Refused = "refused",
    /** The stream ended without an error event and without its end mark, or the connection failed. */
    Cut = "cut",
    /** A complete response whose text belongs to another request. */
    Crossed = "crossed",
    /** A truncated response that ended with the end mark, as if it were complete. */
    FalselyWhole = "falselyWhole",
}

/** Outcome and timing of one request. */
export interface CallRecord {
    index: number;
    target: string;
    promptTokens: number;
    startedAt: Milliseconds;
    firstTokenMilliseconds: Milliseconds | undefined;
    totalMilliseconds: Milliseconds;
    outcome: CallOutcome;
    status: number;
    requestId?: string;
    execution?: string;
    detail?: string;
    retryAfterSeconds?: number;
}

/** Options of a call. */
export interface CallOptions {
    key: string;
    model: string;
    answerTokens: number;
    timeoutMilliseconds: Milliseconds;
}

const maximumProblemBytes = 64 * 1024;
const timeoutSlackMilliseconds = 5_000;

interface StreamState {
    text: string;
    done: boolean;
    problem: string | undefined;
    firstTokenAt: Milliseconds | undefined;
}

const readStream = async (clock: Clock, response: IncomingResponse): Promise<StreamState> => {
    const state: StreamState = { text: "", done: false, problem: undefined, firstTokenAt: undefined };
    const parser = createParser({
        onEvent: event => {
            if (event.event === "error") {
                state.problem = event.data;
                return;
            }
            if (event.data === "[DONE]") {
                state.done = true;
                return;
            }
            state.firstTokenAt ??= clock.now();
            const chunk = JSON.parse(event.data) as { choices: { text: string; }[]; };
            state.text += chunk.choices[0]?.text ?? "";
        },
    });
    response.body.setEncoding("utf8");
    for await (const chunk of response.body as AsyncIterable<string>) {
        parser.feed(chunk);
    }
    return state;
};

const judgeStream = (state: StreamState, expected: string): CallOutcome => {
    if (state.problem !== undefined) {
        return CallOutcome.Refused;
    }
    if (!state.done) {
        return CallOutcome.Cut;
    }
    if (state.text === expected) {
        return CallOutcome.Whole;
    }
    return expected.startsWith(state.text) ? CallOutcome.FalselyWhole : CallOutcome.Crossed;
};

/** Sends one streaming completion request and checks the response. Never throws. */
export const callOnce = async (
    clock: Clock,
    target: string,
    arrival: Arrival,
    options: CallOptions,
): Promise<CallRecord> => {
    const startedAt = clock.now();
    const base = { index: arrival.index, target, promptTokens: arrival.promptTokens, startedAt };
    try {
        const response = await sendRequest({
            address: target,
            method: "POST",
            path: "/v1/completions",
            headers: {
                "content-type": "application/json",
                authorization: `Bearer ${options.key}`,
                "x-request-timeout-ms": String(options.timeoutMilliseconds),
            },
            body: JSON.stringify({
                model: options.model,
                prompt: arrival.prompt,
                stream: true,
                max_tokens: options.answerTokens,
            }),
            signal: AbortSignal.timeout(options.timeoutMilliseconds + timeoutSlackMilliseconds),
        });
        if (response.status !== 200) {
            return await createRefusedRecord(clock, base, response);
        }
        const state = await readStream(clock, response);
        const problem = state.problem === undefined ? {} : JSON.parse(state.problem) as Partial<CallRecord>;
        return {
            ...base,
            firstTokenMilliseconds: state.firstTokenAt === undefined ? undefined : state.firstTokenAt - startedAt,
            totalMilliseconds: clock.now() - startedAt,
            outcome: judgeStream(state, expectedResponse(arrival.prompt, options.answerTokens)),
            status: 200,
            requestId: response.headers["x-request-id"] as string | undefined,
            execution: problem.execution,
            detail: problem.detail,
        };
    }
    catch (error) {
        return {
            ...base,
            firstTokenMilliseconds: undefined,
            totalMilliseconds: clock.now() - startedAt,
            outcome: CallOutcome.Cut,
            status: 0,
            detail: error instanceof ExchangeError || error instanceof Error ? error.message : String(error),
        };
    }
};

const createRefusedRecord = async (
    clock: Clock,
    base: Pick<CallRecord, "index" | "target" | "promptTokens" | "startedAt">,
    response: IncomingResponse,
): Promise<CallRecord> => {
    const text = (await readResponseBody(response.body, maximumProblemBytes)).toString("utf8");
    const problem = JSON.parse(text) as Partial<CallRecord>;
    const retryAfter = response.headers["retry-after"];
    return {
        ...base,
        firstTokenMilliseconds: undefined,
        totalMilliseconds: clock.now() - base.startedAt,
        outcome: CallOutcome.Refused,
        status: response.status,
        requestId: problem.requestId,
        execution: problem.execution,
        detail: problem.detail,
        retryAfterSeconds: retryAfter === undefined ? undefined : Number(retryAfter),
    };
};
