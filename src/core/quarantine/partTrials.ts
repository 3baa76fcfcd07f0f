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
/** When no endpoint has crashed by the suspect parts for this long, each entry may try them. */
const calmDuration: Milliseconds = 1_000;
/** Where one more crash decides, one entry tries the parts, and another one after each further such time without a crash. */
const furtherEntryInterval: Milliseconds = 2_000;

/** Suspect parts of one request. */
export interface SuspectParts {
    parts: readonly string[];
    /** Time since the last crash at which one of them was present. */
    timeSinceCrash: Milliseconds;
    /** Whether enough endpoints have crashed that one crash under a trial decides. */
    isDecidedByOneTrial: boolean;
}

/** Ends a trial. */
export type TrialEnd = () => void;

/** Dependencies of {@link PartTrials}. */
export interface PartTrialsDependencies {
    random: Random;
    /** Number of living entries, this one included. */
    entryCount: () => number;
    /** Whether this entry is one of the first `count` living ones for `task`. */
    isAmongFirst: (count: number, task: string) => boolean;
}

/** The trials in progress at this entry. */
export class PartTrials {
    private readonly setsInProgress = new Set<string>();

    constructor(private readonly dependencies: PartTrialsDependencies) {}

    /** Starts a trial of a request with these suspect parts, if there may be another one. Returns what ends it. */
    tryStart(suspects: SuspectParts): TrialEnd | undefined {
        const key = keyOfParts(suspects.parts);
        if (this.setsInProgress.has(key) || this.setsInProgress.size >= maximumSetCount) {
            return undefined;
        }
        if (!this.isThisEntrysTurn(key, suspects)) {
            return undefined;
        }
        this.setsInProgress.add(key);
        let isOver = false;
        return () => {
            if (!isOver) {
                isOver = true;
                this.setsInProgress.delete(key);
            }
        };
    }

    private isThisEntrysTurn(key: string, { timeSinceCrash, isDecidedByOneTrial }: SuspectParts): boolean {
        const { random, entryCount, isAmongFirst } = this.dependencies;
        if (isDecidedByOneTrial) {
            return isAmongFirst(1 + Math.floor(timeSinceCrash / furtherEntryInterval), key);
        }
        return timeSinceCrash >= calmDuration || random.next() * entryCount() < trialsOfAllEntries;
    }
}
