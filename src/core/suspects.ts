/** Requests that may crash the endpoints that run them. */
import { Clock, Milliseconds } from "../internal.js";

/** Crashes after which a request is refused. */
export const crashesToRefuse = 2;
const suspectLifetimeMilliseconds = 15 * 60_000;
const sharedSuspects = 64;

/** What entries tell one another of a suspect. */
export interface SuspectUpdate {
    fingerprint: string;
    /** Endpoint incarnations that died with this request on them. */
    crashed: string[];
    /** Those of them that it was cleared of by running to its end. */
    pardoned: string[];
    remainingMilliseconds: Milliseconds;
}

interface Suspect {
    crashed: Set<string>;
    pardoned: Set<string>;
    expiresAt: Milliseconds;
}

const openCrashes = (suspect: Suspect): number => {
    let count = 0;
    for (const incarnation of suspect.crashed) {
        count += suspect.pardoned.has(incarnation) ? 0 : 1;
    }
    return count;
};

/**
 * Counts the crashes that each request was present at.
 *
 * One request that crashes engines is sent again by its caller, through any entry, and takes one engine after the
 * other down. One would notice engines dying in turn with the same request on each. A suspect runs again only where
 * no other suspect runs, so that the second crash has one cause; after that it is refused on every entry. Both sets
 * only grow, so entries may exchange them in any order and agree.
 */
export class Suspects {
    private readonly suspects = new Map<string, Suspect>();

    constructor(private readonly clock: Clock) {}

    /** Crashes that this request was present at and has not been cleared of. */
    crashes(fingerprint: string): number {
        const suspect = this.suspects.get(fingerprint);
        if (!suspect) {
            return 0;
        }
        if (suspect.expiresAt <= this.clock.now()) {
            this.suspects.delete(fingerprint);
            return 0;
        }
        return openCrashes(suspect);
    }

    isSuspect(fingerprint: string): boolean {
        return this.crashes(fingerprint) > 0;
    }

    isRefused(fingerprint: string): boolean {
        return this.crashes(fingerprint) >= crashesToRefuse;
    }

    /** Seconds until a refused request may be tried again. */
    retryAfterSeconds(fingerprint: string): number {
        const suspect = this.suspects.get(fingerprint);
        return suspect ? Math.ceil((suspect.expiresAt - this.clock.now()) / 1_000) : 0;
    }

    /** Notes that the endpoint's `incarnation` died with this request on it. */
    crashed(fingerprint: string, incarnation: string): void {
        const suspect = this.suspects.get(fingerprint)
            ?? { crashed: new Set(), pardoned: new Set(), expiresAt: 0 };
        suspect.crashed.add(incarnation);
        suspect.expiresAt = this.clock.now() + suspectLifetimeMilliseconds;
        this.suspects.set(fingerprint, suspect);
    }

    /** A suspect that ran to its end was innocent of the crashes so far. */
    clear(fingerprint: string): void {
        const suspect = this.suspects.get(fingerprint);
        if (!suspect || openCrashes(suspect) >= crashesToRefuse) {
            return;
        }
        suspect.pardoned = new Set(suspect.crashed);
    }

    /** The newest suspects, for peers. */
    news(): SuspectUpdate[] {
        const now = this.clock.now();
        const news: SuspectUpdate[] = [];
        for (const [fingerprint, suspect] of [...this.suspects].reverse()) {
            if (news.length >= sharedSuspects) {
                break;
            }
            if (suspect.expiresAt > now) {
                news.push({
                    fingerprint,
                    crashed: [...suspect.crashed],
                    pardoned: [...suspect.pardoned],
                    remainingMilliseconds: suspect.expiresAt - now,
                });
            }
        }
        return news;
    }

    /** Takes what a peer knows. */
    takeNews(news: readonly SuspectUpdate[]): void {
        const now = this.clock.now();
        for (const { fingerprint, crashed, pardoned, remainingMilliseconds } of news) {
            const suspect = this.suspects.get(fingerprint);
            this.suspects.set(fingerprint, {
                crashed: new Set([...suspect?.crashed ?? [], ...crashed]),
                pardoned: new Set([...suspect?.pardoned ?? [], ...pardoned]),
                expiresAt: Math.max(suspect?.expiresAt ?? 0, now + remainingMilliseconds),
            });
        }
    }
}
