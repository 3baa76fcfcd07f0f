/** A caller that books a place and asks again under the same key until it knows what became of it. */
import { Clock, Milliseconds, readBody, sendRequest } from "../internal.js";

/** What a booking's caller was told last. */
export enum BookingOutcome {
    Booked = "booked",
    NotRun = "notRun",
    Unknown = "unknown",
    NoAnswer = "noAnswer",
}

/** One booking as its caller knows it. */
export interface BookingRecord {
    key: string;
    end: BookingOutcome;
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

const maximumResponseBytes = 64 * 1024;
const timeoutSlackMilliseconds = 2_000;
const minimumRetryDelayMilliseconds = 300;
const maximumRetryAfterSeconds = 5;

/** What one attempt brought. */
interface AttemptResult {
    end: BookingOutcome;
    text: string;
    detail?: string;
    retryAfterSeconds: number;
}

const attemptBooking = async (
    target: string,
    key: string,
    options: BookingOptions,
): Promise<AttemptResult> => {
    try {
        const response = await sendRequest({
            address: target,
            method: "POST",
            path: "/services/bookings/places",
            headers: {
                authorization: `Bearer ${options.customerKey}`,
                "idempotency-key": key,
                "x-request-timeout-ms": String(options.timeoutMilliseconds),
            },
            body: key,
            signal: AbortSignal.timeout(options.timeoutMilliseconds + timeoutSlackMilliseconds),
        });
        const text = (await readBody(response.body, maximumResponseBytes)).toString("utf8");
        if (response.status === 201) {
            return { end: BookingOutcome.Booked, text, retryAfterSeconds: 0 };
        }
        const { execution, detail } = JSON.parse(text) as { execution?: string; detail?: string; };
        const end = execution === "not-run" ? BookingOutcome.NotRun : BookingOutcome.Unknown;
        return { end, text, detail, retryAfterSeconds: Number(response.headers["retry-after"] ?? 0) };
    }
    catch {
        return { end: BookingOutcome.NoAnswer, text: "", retryAfterSeconds: 0 };
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
    let end = BookingOutcome.NoAnswer;
    let attempts = 0;
    let detail: string | undefined;
    while (attempts < options.attempts && (end !== BookingOutcome.Booked || attempts < 2)) {
        const result = await attemptBooking(targets[(index + attempts) % targets.length]!, key, options);
        attempts++;
        detail = result.detail;
        if (result.end === BookingOutcome.Booked) {
            answers.add(result.text);
        }
        // Once booked, a caller that asks again and hears less still knows that it is booked.
        end = answers.size > 0 ? BookingOutcome.Booked : result.end;
        const retryAfter = Math.min(maximumRetryAfterSeconds, result.retryAfterSeconds) * 1_000;
        await clock.sleep(Math.max(minimumRetryDelayMilliseconds, retryAfter));
    }
    return { key, end, attempts, answers: [...answers], detail };
};
