/** Divides the descriptors of the process among its ports, so that no port's clients take those of another one. Pure. */

/** Descriptors that are kept for files and for what the runtime opens, at most. */
const maximumReservedDescriptors = 200;
const reservedFraction = 0.1;
/** Parts of the other descriptors. What is left is for endpoints and the store: each caller's request needs a connection to one. */
const callerFraction = 0.35;
const peerFraction = 0.1;
/** A carried connection takes two descriptors. */
const carriedFraction = 0.064;
const checkFraction = 0.02;
const minimumConnections = 8;

/** Connections that each port may have open at the same time. */
export interface DescriptorBudget {
    callers: number;
    /** Queries of other entries. */
    peers: number;
    /** Connections of other entries that are carried to endpoints. */
    carried: number;
    readiness: number;
    metrics: number;
}

/** Divides `maximumDescriptors`. */
export const divideDescriptors = (maximumDescriptors: number): DescriptorBudget => {
    const reserved = Math.min(maximumReservedDescriptors, reservedFraction * maximumDescriptors);
    const part = (fraction: number) =>
        Math.max(minimumConnections, Math.floor(fraction * (maximumDescriptors - reserved)));
    return {
        callers: part(callerFraction),
        peers: part(peerFraction),
        carried: part(carriedFraction),
        readiness: part(checkFraction),
        metrics: part(checkFraction),
    };
};
