/** Books a place, and retries under the same idempotency key until the outcome is known. */
import { Clock, Milliseconds, readResponseBody, sendRequest } from "../internal.js";

/** Outcome of a booking, as the last response states it. */
export enum BookingOutcome {
    Booked = "booked",
    NotRun = "notRun",
    Unknown = "unknown",
    NoAnswer = "noAnswer",
}

/** Record of one booking, as its caller sees it. */
export interface BookingRecord {
    key: string;
    end: BookingOutcome;
    attempts: number;
    /** Distinct complete responses. There must be at most one, as a retry must receive the first response again. */
    answers: string[];
    /** Detail of the last problem response. */
    detail?: string;
}

/** Options of a booking. */
export interface BookingOptions {
    customerKey: string;
    timeoutMilliseconds: Milliseconds;
    attempts: number;
}

const maximumResponseBytes = 64 * 1024;
const timeoutSlackMilliseconds = 2_000;
const minimumRetryDelayMilliseconds = 300;
const maximumRetryAfterSeconds = 5;

/** Result of one attempt. */
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
        const text = (await readResponseBody(response.body, maximumResponseBytes)).toString("utf8");
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

/**
 * Sends a booking to `targets` in turn, starting at `index`. Never throws.
 *
 * A booking that succeeds at the first attempt is sent once more, to check that the retry receives the same response.
 */
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
        // The booking stays booked even if a later attempt fails or gets no response.
        end = answers.size > 0 ? BookingOutcome.Booked : result.end;
        const retryAfter = Math.min(maximumRetryAfterSeconds, result.retryAfterSeconds) * 1_000;
        await clock.sleep(Math.max(minimumRetryDelayMilliseconds, retryAfter));
    }
    return { key, end, attempts, answers: [...answers], detail };
};
