/** Errors of the utilities. */

/** Base of every error this project throws on purpose. */
export class DandelionrampError extends Error {
    constructor(message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = new.target.name;
    }
}

/** A wait reached its bound. */
export class TimeLimitError extends DandelionrampError {
    constructor(readonly subject: string, readonly limit: number) {
        super(`${subject} took longer than ${Math.round(limit)} ms`);
    }
}

/** An HTTP exchange failed before its answer was whole. */
export class ExchangeError extends DandelionrampError {
    /** `written` is false only when it is certain that no byte of the request left this process. */
    constructor(message: string, readonly written: boolean, options?: ErrorOptions) {
        super(message, options);
    }
}

/** A body is larger than its reader accepts. */
export class BodyTooLargeError extends DandelionrampError {
    constructor(readonly limitBytes: number) {
        super(`the body is over the limit of ${limitBytes} bytes`);
    }
}

/** Text of any thrown value, for logs and answers. */
export const describeError = (error: unknown): string => error instanceof Error ? error.message : String(error);
