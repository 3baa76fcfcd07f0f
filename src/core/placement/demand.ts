/**
 * What engine time is worth now, from what was placed of late.
 *
 * Load pattern: the mix turns over to short prompts just when a third of the endpoints is lost, while the longest prompts, which
 * can't be in time any more, are begun anew. One of them takes the engine time of a hundred short prompts, and all of these
 * would be late for it. When more is asked for than the engines can do, what brings most for their time goes first.
 */
import type { Clock, Milliseconds } from "../../utils/clock.js";

/** Requests of this time are taken for those that come next: a mix turns over within seconds. */
const window: Milliseconds = 1_500;
/** Part of the engines' time that can be used before requests wait for one another. */
const usablePart = 0.9;
/** Prices hold for so long before they are worked out again. */
const priceKept: Milliseconds = 50;

interface Asked {
    at: Milliseconds;
    service: string;
    /** Time that engines read for it, over all of them. */
    readTime: Milliseconds;
    value: number;
}

/** Engine time that a request takes, and its value for each millisecond of it. */
interface Offer {
    time: Milliseconds;
    worth: number;
}

interface Price {
    at: Milliseconds;
    value: number;
}

/** Requests that were placed of late, by all entries. */
export class Demand {
    private asked: Asked[] = [];
    private readonly prices = new Map<string, Price>();

    constructor(private readonly clock: Clock) {}

    /** Notes a request that was placed. */
    note(service: string, readTime: Milliseconds, value: number): void {
        this.asked.push({ at: this.clock.now(), service, readTime, value });
    }

    /**
     * Value that is lost for each millisecond of engine time taken from other requests; 0 while there is time for all.
     * `writeTime` is the engine time that each request takes to write.
     */
    price(service: string, engines: number, writeTime: Milliseconds): number {
        const now = this.clock.now();
        const kept = this.prices.get(service);
        if (kept && now - kept.at < priceKept) {
            return kept.value;
        }
        const value = this.clearingPrice(service, engines * window * usablePart, writeTime);
        this.prices.set(service, { at: now, value });
        return value;
    }

    /** The value for its time of the first request that there is no time for, the best ones taken first. */
    private clearingPrice(service: string, available: Milliseconds, writeTime: Milliseconds): number {
        const offers = this.offers(service, writeTime).sort((left, right) => right.worth - left.worth);
        let used = 0;
        for (const { time, worth } of offers) {
            used += time;
            if (used > available) {
                return worth;
            }
        }
        return 0;
    }

    private offers(service: string, writeTime: Milliseconds): Offer[] {
        const oldest = this.clock.now() - window;
        this.asked = this.asked.filter(({ at }) => at > oldest);
        return this.asked.filter(asked => asked.service === service).map(({ readTime, value }) => {
            const time = readTime + writeTime;
            return { time, worth: value / time };
        });
    }
}
