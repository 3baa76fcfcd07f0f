/** Cancels outgoing HTTP requests so that no byte of them arrives later. */
import type { ClientRequest } from "node:http";

/**
 * Cancels a request and resets its connection. After an ordinary close, bytes that a network partition holds up would still be
 * delivered when it heals, and the server would run a request that was abandoned seconds ago.
 */
export const cancelRequest = (request: ClientRequest): void => {
    const { socket } = request;
    if (socket && !socket.connecting) {
        socket.resetAndDestroy();
    }
    request.destroy(new Error("cancelled"));
};

/** Cancels `request` once `signal` aborts. Returns a function that stops listening to the signal. */
export const cancelOnAbort = (request: ClientRequest, signal: AbortSignal): () => void => {
    const cancel = () => cancelRequest(request);
    if (signal.aborted) {
        cancel();
        return () => {};
    }
    signal.addEventListener("abort", cancel, { once: true });
    return () => signal.removeEventListener("abort", cancel);
};
