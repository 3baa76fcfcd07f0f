/** Decides which response is given up when all bodies without a length exceed their bound. Pure. */

/** Limit for a response that is buffered in memory. Responses that are not streamed are far smaller. */
export const maximumResponseBytes = 16 * 1024 * 1024;
/** Fraction of the instance's memory that these bodies may take, between the two limits below. */
const boundFraction = 1 / 8;
/** Lowest bound: the largest body, with some of its memory for the pieces that it arrives in. */
const minimumBoundBytes = 1.25 * maximumResponseBytes;
/** Bound where the memory is unknown, and highest bound. Bodies that are given up stay in memory until they are collected. */
const maximumBoundBytes = 24 * 1024 * 1024;

/** A body that is being received. */
export interface BodyInProgress {
    /** Endpoint that sends it. */
    readonly endpoint: string;
    /** Memory that it takes. */
    readonly bytes: number;
}

/** Computes the bound for all bodies together; `memoryBytes` is 0 where the instance's memory is unknown. */
export const receivedBoundOf = (memoryBytes: number): number =>
    memoryBytes === 0
        ? maximumBoundBytes
        : Math.min(maximumBoundBytes, Math.max(minimumBoundBytes, memoryBytes * boundFraction));

/**
 * Chooses the largest body of the endpoint whose bodies take the most memory, so that many small bodies without end don't cost
 * another endpoint its large one.
 */
export const chooseBodyToGiveUp = <Body extends BodyInProgress>(bodies: Iterable<Body>): Body | undefined => {
    const bytesByEndpoint = new Map<string, number>();
    const largestByEndpoint = new Map<string, Body>();
    for (const body of bodies) {
        bytesByEndpoint.set(body.endpoint, (bytesByEndpoint.get(body.endpoint) ?? 0) + body.bytes);
        const largest = largestByEndpoint.get(body.endpoint);
        if (!largest || body.bytes > largest.bytes) {
            largestByEndpoint.set(body.endpoint, body);
        }
    }
    let chosen: string | undefined;
    let mostBytes = 0;
    for (const [endpoint, bytes] of bytesByEndpoint) {
        if (bytes > mostBytes) {
            chosen = endpoint;
            mostBytes = bytes;
        }
    }
    return chosen === undefined ? undefined : largestByEndpoint.get(chosen);
};
