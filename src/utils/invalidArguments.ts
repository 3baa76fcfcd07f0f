/** Errors that Node throws at once, where a connection or a request can't even be tried. */

/**
 * Returns what `create` returns, or the error that it throws. Node throws for a port that doesn't exist or a header with an
 * invalid character, while all other failures to connect arrive as events. Inside the executor of a promise such an error
 * rejects a promise that is meant to resolve with the outcome.
 */
export const createUnlessInvalid = <Result>(create: () => Result): Result | Error => {
    try {
        return create();
    }
    catch (error) {
        return error instanceof Error ? error : new Error(String(error));
    }
};
