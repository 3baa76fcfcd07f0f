/**
 * Limits how many requests with suspect parts are sent at the same time. Each may crash an endpoint, and while many endpoints
 * crash, none survives a request for long enough to clear its parts.
 */
import type { Milliseconds } from "../../utils/clock.js";
import type { Random } from "../../utils/random.js";
import { keyOfParts } from "./partSet.js";

/** Trials of one set of suspect parts at the same time, over all entries. */
const trialsOfAllEntries = 4;
/** Sets of suspect parts with a trial at this entry. */
const maximumSetCount = 8;
/** When no endpoint has crashed for this long by the suspect parts, each entry may try them. */
const calmDuration: Milliseconds = 1_000;

/** Ends a trial. */
export type TrialEnd = () => void;

/** The trials in progress at this entry. */
export class PartTrials {
    private readonly setsInProgress = new Set<string>();

    constructor(private readonly random: Random, private readonly entryCount: () => number) {}

    /**
     * Starts a trial of requests with these suspect parts, if there may be another one. Returns what ends it. `timeSinceCrash`
     * is the time since the last crash at which one of them was present.
     */
    tryStart(suspects: readonly string[], timeSinceCrash: Milliseconds): TrialEnd | undefined {
        const key = keyOfParts(suspects);
        if (this.setsInProgress.has(key) || this.setsInProgress.size >= maximumSetCount) {
            return undefined;
        }
        if (timeSinceCrash < calmDuration && this.random.next() * this.entryCount() >= trialsOfAllEntries) {
            return undefined;
        }
        this.setsInProgress.add(key);
        return () => this.setsInProgress.delete(key);
    }
}
