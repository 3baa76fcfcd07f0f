/** The part of the store through which entries that don't hear one another learn of crashes. */
import type { Milliseconds } from "../utils/clock.js";
import type { CrashReport } from "./peerChannelPort.js";

/** The crashes that one entry knew when it stored them. The ages count until then. */
export interface StoredCrashes {
    entry: string;
    crashes: CrashReport[];
}

/** What entries have stored, up to a revision of the store. */
export interface CrashSnapshot {
    revision: number;
    items: StoredCrashes[];
}

/** Keeps the newest crashes of each entry. Each call has a bounded duration and throws a `StateError` on failure. */
export interface CrashStorePort {
    list(signal: AbortSignal): Promise<CrashSnapshot>;
    /**
     * Resolves with what entries store after `revision`, or with nothing once `wait` has elapsed. Throws a `HistoryLostError`
     * where the store no longer knows it.
     */
    watch(revision: number, wait: Milliseconds, signal: AbortSignal): Promise<CrashSnapshot>;
    /** Replaces what the entry has stored. */
    write(stored: StoredCrashes, signal: AbortSignal): Promise<void>;
    /** Does nothing if the entry has stored nothing. */
    remove(entry: string, signal: AbortSignal): Promise<void>;
}
