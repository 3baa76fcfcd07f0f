/**
 * Limits that endpoints name in their answers: requests a second that they take from all entries together.
 *
 * Load pattern: an endpoint in need answers as before and only asks for less. Each entry sees a part of what it gets, so each
 * keeps to a share, and the sum holds whatever happens to the messages between them. The newest word of an endpoint holds,
 * whichever entry heard it.
 */
import type { AdvertisedLimit } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { KeyedWindows } from "../../utils/keyedWindows.js";
import type { PartLog } from "../../utils/log.js";

/** Requests are counted over this span. */
const span: Milliseconds = 4_000;
const spanSeconds = span / 1_000;
/** How far a limit may be passed in a span: a factor, and requests beside it. */
const excessFactor = 1.5;
const excessExtra = 5;
/** Part of that excess that is used; the rest covers entries that know different ones. */
const usedPart = 0.8;
/** A word that nobody has heard again for so long holds no more; a request then shows what holds. */
const forgottenAfter: Milliseconds = 60_000;

/** What an endpoint with a limit may still get. */
export enum Allowance {
    /** What it named. */
    Named = "named",
    /** A little more, which it bears for a while. */
    Excess = "excess",
}

/** The entries that share a limit. */
export interface KnownEntries {
    /** How many are known, this one included. */
    readonly known: number;
    /** This entry's place for `key` among all, from 0. */
    rank(key: string): number;
}

/** The newest word of an endpoint. */
interface Word {
    /** Undefined where it names no limit any more. */
    perSecond: number | undefined;
    /** When it was heard, on the local clock. */
    at: Milliseconds;
}

/** The limits in force, and this entry's shares of them. */
export class EndpointLimits {
    private readonly words = new Map<string, Word>();
    private readonly sends: KeyedWindows;

    constructor(
        private readonly clock: Clock,
        private readonly log: PartLog,
        private readonly entries: KnownEntries,
    ) {
        this.sends = new KeyedWindows(clock, () => span);
    }

    /** Endpoints that name a limit now. */
    get count(): number {
        return [...this.words.keys()].filter(endpoint => this.limitOf(endpoint) !== undefined).length;
    }

    /** The limit that `endpoint` names; undefined where it names none. */
    limitOf(endpoint: string): number | undefined {
        const word = this.words.get(endpoint);
        return word && this.clock.now() - word.at < forgottenAfter ? word.perSecond : undefined;
    }

    /** Whether `endpoint` may get one more request from this entry. */
    allows(endpoint: string, allowance: Allowance): boolean {
        const perSecond = this.limitOf(endpoint);
        return perSecond === undefined || this.sends.count(endpoint) + 1 <= this.share(endpoint, perSecond, allowance);
    }

    /** Time until this entry's share of what `endpoint` takes has room again. */
    timeUntilCapacity(endpoint: string): Milliseconds {
        return this.sends.timeUntilExpiry(endpoint);
    }

    /** Notes a request sent to any endpoint; its answer may name a limit. */
    recordSent(endpoint: string): void {
        this.sends.add(endpoint);
    }

    /** Notes that an answer names a limit. */
    recordLimit(endpoint: string, perSecond: number): void {
        this.take(endpoint, { perSecond, at: this.clock.now() });
    }

    /**
     * Notes an answer without a limit to a request that was sent at `sentAt`. An answer that was under way when the endpoint
     * named its limit doesn't lift it.
     */
    recordNoLimit(endpoint: string, sentAt: Milliseconds): void {
        const word = this.words.get(endpoint);
        if (word?.perSecond !== undefined && sentAt > word.at) {
            this.take(endpoint, { perSecond: undefined, at: this.clock.now() });
        }
    }

    /** What the other entries are told. */
    snapshot(): AdvertisedLimit[] {
        const now = this.clock.now();
        const told: AdvertisedLimit[] = [];
        for (const [endpoint, { perSecond, at }] of this.words) {
            if (now - at >= forgottenAfter) {
                this.words.delete(endpoint);
                continue;
            }
            told.push({ endpoint, perSecond, age: Math.round(now - at) });
        }
        return told;
    }

    /** Takes what another entry tells. */
    merge(told: readonly AdvertisedLimit[]): void {
        const now = this.clock.now();
        for (const { endpoint, perSecond, age } of told) {
            const at = now - age;
            if (at > (this.words.get(endpoint)?.at ?? -Infinity)) {
                this.take(endpoint, { perSecond, at });
            }
        }
    }

    /** Whole requests for each entry; the first in turn get the rest, so that the shares of all sum up to the whole. */
    private share(endpoint: string, perSecond: number, allowance: Allowance): number {
        const named = perSecond * spanSeconds;
        const whole = Math.floor(
            allowance === Allowance.Named ? named : usedPart * (excessFactor * named + excessExtra),
        );
        const { known } = this.entries;
        return Math.floor(whole / known) + Number(this.entries.rank(endpoint) < whole % known);
    }

    private take(endpoint: string, word: Word): void {
        const before = this.limitOf(endpoint);
        this.words.set(endpoint, word);
        const { perSecond } = word;
        if (perSecond === before) {
            return;
        }
        if (perSecond === undefined) {
            this.log.info("An endpoint names no limit any more.", { endpoint, before });
            return;
        }
        this.log.info("An endpoint names a limit.", { endpoint, perSecond, before });
    }
}
