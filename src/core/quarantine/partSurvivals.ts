/**
 * Keeps since when each prompt part is known to be harmless: when an endpoint began to write an answer on a prompt with it, and
 * lived on.
 */
import type { PartReport } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";

/** An endpoint that writes for this long has not crashed by the prompt. */
export const survivalDuration: Milliseconds = 1_000;
/** Parts that are remembered, some 0.8 MB. The one that has not come for longest yields. */
const maximumCount = 4_096;
/** Most parts in one heartbeat, some 1.3 kB. */
const maximumSharedCount = 32;

/** When endpoints last began to write on prompts with each part and survived, on the local clock. */
export class PartSurvivals {
    private readonly survivedAtByPart = new Map<string, Milliseconds>();
    /** What this entry observed itself. */
    private readonly observedAtByPart = new Map<string, Milliseconds>();

    constructor(private readonly clock: Clock) {}

    /** When an endpoint last survived the part; undefined where that is not known. */
    at(part: string): Milliseconds | undefined {
        return this.survivedAtByPart.get(part);
    }

    /** Records that an endpoint of this entry began at `at` to write on a prompt with the part. Returns whether that is news. */
    observe(part: string, at: Milliseconds): boolean {
        setNewest(this.observedAtByPart, part, at);
        return setNewest(this.survivedAtByPart, part, at);
    }

    /** Records what another entry observed. */
    learn(part: string, at: Milliseconds): void {
        setNewest(this.survivedAtByPart, part, at);
    }

    /**
     * Returns what this entry observed of `parts` in the form of a heartbeat, the newest first. Each report arrives a little
     * late and so seems newer than it is. If entries passed on what they heard, it would seem newer with each round.
     */
    reports(parts: Iterable<string>): PartReport[] {
        const now = this.clock.now();
        const reports: PartReport[] = [];
        for (const part of parts) {
            const at = this.observedAtByPart.get(part);
            if (at !== undefined) {
                reports.push({ part, age: Math.round(now - at) });
            }
        }
        return reports.sort((left, right) => left.age - right.age).slice(0, maximumSharedCount);
    }
}

/** Sets a later time. Returns false where a later one is known. */
const setNewest = (atByPart: Map<string, Milliseconds>, part: string, at: Milliseconds): boolean => {
    if (at <= (atByPart.get(part) ?? -Infinity)) {
        return false;
    }
    atByPart.delete(part);
    atByPart.set(part, at);
    if (atByPart.size > maximumCount) {
        atByPart.delete(atByPart.keys().next().value!);
    }
    return true;
};
