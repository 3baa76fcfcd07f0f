/** A caller that books a place and asks again under the same key until it knows what became of it. */
import { Clock, Milliseconds, readBody, sendRequest } from "../internal.js";

/** What a booking's caller was told last. */
export enum BookingEnd {
    Booked = "booked",
    NotRun = "notRun",
    Unknown = "unknown",
    NoAnswer = "noAnswer",
}

/** One booking as its caller knows it. */
export interface BookingRecord {
    key: string;
    end: BookingEnd;
    attempts: number;
    /** Distinct whole answers: a repeat must get the first one. */
    answers: string[];
    /** What the last refusal said. */
    detail?: string;
}

/** How to book. */
export interface BookingOptions {
    customerKey: string;
    timeoutMilliseconds: Milliseconds;
    attempts: number;
}

const answerLimitBytes = 64 * 1024;
const slackMilliseconds = 2_000;
const pauseMilliseconds = 300;
const retryAfterAtMostSeconds = 5;

/** What one attempt brought. */
interface AttemptResult {
    end: BookingEnd;
    text: string;
    detail?: string;
    retryAfterSeconds: number;
}

const attempt = async (
    target: string,
    key: string,
    options: BookingOptions,
): Promise<AttemptResult> => {
    try {
        const answer = await sendRequest({
            address: target,
            method: "POST",
            path: "/services/bookings/places",
            headers: {
                authorization: `Bearer ${options.customerKey}`,
                "idempotency-key": key,
                "x-request-timeout-ms": String(options.timeoutMilliseconds),
            },
            body: key,
            signal: AbortSignal.timeout(options.timeoutMilliseconds + slackMilliseconds),
        });
        const text = (await readBody(answer.body, answerLimitBytes)).toString("utf8");
        if (answer.status === 201) {
            return { end: BookingEnd.Booked, text, retryAfterSeconds: 0 };
        }
        const { execution, detail } = JSON.parse(text) as { execution?: string; detail?: string; };
        const end = execution === "not-run" ? BookingEnd.NotRun : BookingEnd.Unknown;
        return { end, text, detail, retryAfterSeconds: Number(answer.headers["retry-after"] ?? 0) };
    }
    catch {
        return { end: BookingEnd.NoAnswer, text: "", retryAfterSeconds: 0 };
    }
};

/** Books at `targets` in turn, first at the one that `index` names. Never throws. */
export const bookOnce = async (
    clock: Clock,
    targets: readonly string[],
    index: number,
    key: string,
    options: BookingOptions,
): Promise<BookingRecord> => {
    const answers = new Set<string>();
    let end = BookingEnd.NoAnswer;
    let attempts = 0;
    let detail: string | undefined;
    while (attempts < options.attempts && (end !== BookingEnd.Booked || attempts < 2)) {
        const outcome = await attempt(targets[(index + attempts) % targets.length]!, key, options);
        attempts++;
        detail = outcome.detail;
        if (outcome.end === BookingEnd.Booked) {
            answers.add(outcome.text);
        }
        // Once booked, a caller that asks again and hears less still knows that it is booked.
        end = answers.size > 0 ? BookingEnd.Booked : outcome.end;
        const retryAfter = Math.min(retryAfterAtMostSeconds, outcome.retryAfterSeconds) * 1_000;
        await clock.sleep(Math.max(pauseMilliseconds, retryAfter));
    }
    return { key, end, attempts, answers: [...answers], detail };
};
