/**
 * Tracks requests that may crash the endpoints that run them. Entries exchange these suspects by heartbeat, so that every
 * entry rejects a request after it has crashed two endpoints.
 */
import { Clock, Milliseconds } from "../internal.js";

/** Number of unresolved crashes from which a request is rejected. */
export const crashesUntilRejection = 2;
/** A suspect expires this long after its last crash. */
const suspectLifetimeMilliseconds = 15 * 60_000;
/** Maximum number of suspects in one heartbeat. */
const maximumPublishedSuspects = 64;

/** The state of a suspect as entries exchange it. */
export interface SuspectUpdate {
    fingerprint: string;
    /** Endpoint incarnations that crashed while they ran this request. */
    crashed: string[];
    /** The crashes of which the request was cleared by running to completion afterwards. */
    pardoned: string[];
    remainingMilliseconds: Milliseconds;
}

interface Suspect {
    crashed: Set<string>;
    pardoned: Set<string>;
    expiresAt: Milliseconds;
}

const countUnresolvedCrashes = (suspect: Suspect): number => {
    let count = 0;
    for (const incarnation of suspect.crashed) {
        count += suspect.pardoned.has(incarnation) ? 0 : 1;
    }
    return count;
};

/**
 * Counts the endpoint crashes during which each request was running.
 *
 * A request that crashes engines is retried by its caller, through any entry, and takes down one engine after another. A
 * suspect runs again only on an endpoint that runs no other suspect, so that a second crash has one cause; after that
 * crash every entry rejects it. Both sets of a suspect only grow, so entries that merge them in any order converge.
 */
export class Suspects {
    private readonly suspectByFingerprint = new Map<string, Suspect>();

    constructor(private readonly clock: Clock) {}

    /** Number of crashes during which the request was running and of which it hasn't been cleared. */
    unresolvedCrashCount(fingerprint: string): number {
        const suspect = this.suspectByFingerprint.get(fingerprint);
        if (!suspect) {
            return 0;
        }
        if (suspect.expiresAt <= this.clock.now()) {
            this.suspectByFingerprint.delete(fingerprint);
            return 0;
        }
        return countUnresolvedCrashes(suspect);
    }

    isSuspect(fingerprint: string): boolean {
        return this.unresolvedCrashCount(fingerprint) > 0;
    }

    isRejected(fingerprint: string): boolean {
        return this.unresolvedCrashCount(fingerprint) >= crashesUntilRejection;
    }

    /** Seconds until a rejected request may be retried. */
    retryAfterSeconds(fingerprint: string): number {
        const suspect = this.suspectByFingerprint.get(fingerprint);
        return suspect ? Math.ceil((suspect.expiresAt - this.clock.now()) / 1_000) : 0;
    }

    /** Records that the endpoint process `incarnation` crashed while it ran this request. */
    recordCrash(fingerprint: string, incarnation: string): void {
        const suspect = this.suspectByFingerprint.get(fingerprint)
            ?? { crashed: new Set(), pardoned: new Set(), expiresAt: 0 };
        suspect.crashed.add(incarnation);
        suspect.expiresAt = this.clock.now() + suspectLifetimeMilliseconds;
        this.suspectByFingerprint.set(fingerprint, suspect);
    }

    /** Clears a suspect that ran to completion of its crashes so far, unless it is already rejected. */
    recordCompletion(fingerprint: string): void {
        const suspect = this.suspectByFingerprint.get(fingerprint);
        if (!suspect || countUnresolvedCrashes(suspect) >= crashesUntilRejection) {
            return;
        }
        suspect.pardoned = new Set(suspect.crashed);
    }

    /** The most recent suspects that haven't expired, to publish to peers. */
    collectUpdates(): SuspectUpdate[] {
        const now = this.clock.now();
        const updates: SuspectUpdate[] = [];
        for (const [fingerprint, suspect] of [...this.suspectByFingerprint].reverse()) {
            if (updates.length >= maximumPublishedSuspects) {
                break;
            }
            if (suspect.expiresAt > now) {
                updates.push({
                    fingerprint,
                    crashed: [...suspect.crashed],
                    pardoned: [...suspect.pardoned],
                    remainingMilliseconds: suspect.expiresAt - now,
                });
            }
        }
        return updates;
    }

    /** Merges a peer's suspects. */
    merge(updates: readonly SuspectUpdate[]): void {
        const now = this.clock.now();
        for (const { fingerprint, crashed, pardoned, remainingMilliseconds } of updates) {
            const suspect = this.suspectByFingerprint.get(fingerprint);
            this.suspectByFingerprint.set(fingerprint, {
                crashed: new Set([...suspect?.crashed ?? [], ...crashed]),
                pardoned: new Set([...suspect?.pardoned ?? [], ...pardoned]),
                expiresAt: Math.max(suspect?.expiresAt ?? 0, now + remainingMilliseconds),
            });
        }
    }
}
