/** Base error class of the project, and the errors that the utilities throw. */

/** Base class of every error that this project throws deliberately. */
export class DandelionrampError extends Error {
    constructor(message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = new.target.name;
    }
}

/** An operation exceeded its timeout. */
export class TimeLimitError extends DandelionrampError {
    constructor(readonly subject: string, readonly limit: number) {
        super(`${subject} took longer than ${Math.round(limit)} ms`);
    }
}

/** An HTTP exchange failed before the complete response arrived. */
export class ExchangeError extends DandelionrampError {
    /** `written` is false only if certainly no byte of the request has left this process. */
    constructor(message: string, readonly written: boolean, options?: ErrorOptions) {
        super(message, options);
    }
}

/** A body exceeds the size limit of its reader. */
export class BodyTooLargeError extends DandelionrampError {
    constructor(readonly limitBytes: number) {
        super(`the body exceeds the limit of ${limitBytes} bytes`);
    }
}

/** Text of any thrown value, for logs and responses. */
export const describeError = (error: unknown): string => error instanceof Error ? error.message : String(error);

/** Whether a connection failed because no process listens at its address. */
export const isConnectionRefused = (error: Error & { code?: string; }): boolean => error.code === "ECONNREFUSED";
