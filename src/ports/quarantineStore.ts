/** The part of the store that keeps quarantined requests, so that they outlast the loss of all entries. */

/** A quarantined request as the store keeps it. */
export interface StoredQuarantine {
    /** Fingerprint of the request, or the key of a set of prompt parts. */
    request: string;
    /** The crashes, without their age: the clocks of entries differ. */
    crashes: { endpoint: string; incarnation: number; }[];
    /** How often the request was sent again to find out whether it still crashes endpoints. */
    trialCount: number;
}

/** Keeps quarantined requests. Each call has a bounded duration and throws a `StateError` on failure. */
export interface QuarantineStorePort {
    list(signal: AbortSignal): Promise<StoredQuarantine[]>;
    /** Does nothing if the request is already stored. */
    create(quarantine: StoredQuarantine, signal: AbortSignal): Promise<void>;
    /** Raises the number of trials from `trialCount` by one. Resolves with false if another entry did, or nothing is stored. */
    claimTrial(request: string, trialCount: number, signal: AbortSignal): Promise<boolean>;
    remove(request: string, signal: AbortSignal): Promise<void>;
}
