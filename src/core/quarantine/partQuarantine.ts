/**
 * Keeps requests with a prompt part that crashes endpoints from them.
 *
 * Load pattern: many requests that differ from one another have one part in common, and each endpoint that begins to write an
 * answer on it crashes. Their other parts are those of most sound requests. A part that was present at several crashes is
 * suspect until an endpoint survives it, and requests with suspect parts are sent as trials, few at a time. Parts under whose
 * trials endpoints crash are quarantined.
 */
import type { PartReport } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { crashesOfCause, findCrashingParts, isExplained } from "./crashingParts.js";
import type { Crash, CrashLog } from "./crashLog.js";
import { includesAll, keyOfParts, partsOfKey } from "./partSet.js";
import { PartSurvivals, survivalDuration } from "./partSurvivals.js";
import type { QuarantinedRequest } from "./quarantinedRequest.js";
import type { QuarantinedRequests } from "./quarantinedRequests.js";

/** Crashes from which a part is suspect that no endpoint has survived lately. */
const crashesUntilSuspect = 3;
/** Crashes from which any other part is suspect; only those count that were long enough ago for a sound request to survive. */
const crashesUntilProvenSuspect = 5;
/** How long a part that an endpoint survived is unlikely to be a cause. */
const provenDuration: Milliseconds = 10_000;
/** How long a sound request takes to be sent and to survive after a crash. */
const settlingDuration: Milliseconds = survivalDuration + 200;

/** The suspect and quarantined parts, as this entry knows them. */
export class PartQuarantine {
    private readonly survivals: PartSurvivals;

    constructor(
        private readonly clock: Clock,
        private readonly crashLog: CrashLog,
        private readonly quarantined: QuarantinedRequests,
    ) {
        this.survivals = new PartSurvivals(clock);
    }

    /** Returns the quarantine of a set of parts that are all among `parts`; undefined where there is none. */
    find(parts: readonly string[]): QuarantinedRequest | undefined {
        const own = new Set(parts);
        return this.quarantined.partSets.find(({ parts: set }) => includesAll(own, set))?.quarantined;
    }

    /** Returns those of `parts` that an endpoint may crash by. */
    suspects(parts: readonly string[]): string[] {
        if (this.crashLog.isEmpty && this.quarantined.partSets.length === 0) {
            return [];
        }
        const sets = this.sets;
        return parts.filter(part => sets.some(set => set.includes(part)) || this.isSuspect(part, sets));
    }

    /** Whether one of `parts` needs only a crash under a trial to count as a cause. */
    areDecidedByOneTrial(parts: readonly string[]): boolean {
        return parts.some(part =>
            this.crashLog.crashesWithPart(part)
                .filter(crash => !this.isCleared(part, crash) && this.isSettled(crash)).length >= crashesOfCause
        );
    }

    /** When the last crash happened at which one of `parts` was present, on the local clock. */
    lastCrashAt(parts: readonly string[]): Milliseconds {
        const crashes = parts.flatMap(part => this.crashLog.crashesWithPart(part));
        return Math.max(-Infinity, ...crashes.map(({ at }) => at));
    }

    /** Records that an endpoint began at `at` to write on a prompt with `parts`, and survived. Returns whether others need it. */
    recordSurvived(parts: readonly string[], at: Milliseconds): boolean {
        let isNews = false;
        for (const part of parts) {
            const wasAtCrash = this.crashLog.crashesWithPart(part).some(crash => !this.isCleared(part, crash));
            isNews = (this.survivals.observe(part, at) && wasAtCrash) || isNews;
        }
        return this.removeCleared() || isNews;
    }

    /** Merges what another entry knows of survived parts. */
    merge(reports: readonly PartReport[]): void {
        const now = this.clock.now();
        for (const { part, age } of reports) {
            this.survivals.learn(part, now - age);
        }
        this.removeCleared();
    }

    /** Returns what other entries need to know. */
    reports(): PartReport[] {
        return this.survivals.reports([...this.crashLog.parts, ...this.sets.flat()]);
    }

    /** Returns the sets of parts that are found to crash endpoints, each with the crashes that decided it. */
    findCauses(): { parts: string[]; crashes: Crash[]; }[] {
        const crashes = this.crashLog.all();
        const causes = findCrashingParts(crashes, this.sets, {
            isCleared: (part, crash) => this.isCleared(part, crash),
            isSettled: crash => this.isSettled(crash),
        });
        return causes.map(parts => ({ parts, crashes: crashes.filter(crash => includesAll(crash.parts, parts)) }));
    }

    /** Whether a quarantined set of parts was present at the crash. */
    explains(crash: Crash): boolean {
        return isExplained(crash, this.sets);
    }

    /** Returns the quarantine without parts that an endpoint has survived; undefined where none is left, or all are known. */
    reduce(quarantined: QuarantinedRequest): QuarantinedRequest | undefined {
        const parts = partsOfKey(quarantined.request)!;
        const left = parts.filter(part => (this.survivals.at(part) ?? -Infinity) < evidenceUntil(quarantined));
        return left.length === 0 ? undefined : { ...quarantined, request: keyOfParts(left) };
    }

    private get sets(): string[][] {
        return this.quarantined.partSets.map(({ parts }) => parts);
    }

    private isSuspect(part: string, sets: readonly string[][]): boolean {
        const crashes = this.crashLog.crashesWithPart(part)
            .filter(crash => !this.isCleared(part, crash) && !isExplained(crash, sets));
        const survivedAt = this.survivals.at(part) ?? -Infinity;
        if (this.clock.now() - survivedAt > provenDuration) {
            return crashes.length >= crashesUntilSuspect;
        }
        return crashes.filter(crash => this.isSettled(crash)).length >= crashesUntilProvenSuspect;
    }

    /** Whether a sound request could have survived since the crash. */
    isSettled({ at }: Crash): boolean {
        return this.clock.now() - at >= settlingDuration;
    }

    private isCleared(part: string, { at }: Crash): boolean {
        return at <= (this.survivals.at(part) ?? -Infinity);
    }

    /** Removes survived parts from the quarantined sets; returns whether there were any. */
    private removeCleared(): boolean {
        let hasChanged = false;
        for (const { quarantined } of this.quarantined.partSets) {
            const reduced = this.reduce(quarantined);
            if (reduced?.request === quarantined.request) {
                continue;
            }
            hasChanged = true;
            this.quarantined.remove(quarantined.request);
            if (reduced) {
                this.quarantined.add(reduced);
            }
        }
        return hasChanged;
    }
}

/** When the last crash happened that speaks for the quarantine. */
const evidenceUntil = ({ crashes, since }: QuarantinedRequest): Milliseconds =>
    Math.max(...crashes.map(({ at }) => at ?? since), crashes.length === 0 ? since : -Infinity);
