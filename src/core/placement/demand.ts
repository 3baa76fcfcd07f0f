/**
 * Computes the price of engine time from recent demand.
 *
 * Load pattern: the mix shifts to short prompts just when a third of the endpoints is lost, while the longest prompts,
 * which can't meet their targets any more, are restarted. One of them takes the engine time of a hundred short prompts
 * and would make all of these late. When the demand exceeds the engines' capacity, the requests with the highest value
 * per engine time go first.
 */
import type { Clock, Milliseconds } from "../../utils/clock.js";

/** Requests of this window predict the next ones; the mix shifts within seconds. */
const demandWindow: Milliseconds = 1_500;
/** Share of the engines' time that is usable before requests queue behind one another. */
const usableTimeRatio = 0.9;
/** How long a computed price stays valid. */
const priceCacheDuration: Milliseconds = 50;

interface PlacedRequestRecord {
    placedAt: Milliseconds;
    service: string;
    /** Prefill time of the request, summed over all engines. */
    readTime: Milliseconds;
    value: number;
}

/** Engine time that a request takes, and its value per millisecond of that time. */
interface Bid {
    time: Milliseconds;
    valuePerMillisecond: number;
}

interface CachedPrice {
    computedAt: Milliseconds;
    value: number;
}

/** Recent requests that any entry placed. */
export class Demand {
    private recentRequests: PlacedRequestRecord[] = [];
    private readonly priceByService = new Map<string, CachedPrice>();

    constructor(private readonly clock: Clock) {}

    /** Records a request that was placed. */
    recordRequest(service: string, readTime: Milliseconds, value: number): void {
        this.recentRequests.push({ placedAt: this.clock.now(), service, readTime, value });
    }

    /**
     * Value lost per millisecond of engine time taken from other requests; 0 while capacity suffices for all. `decodeTime`
     * is the engine time that each request takes to decode.
     */
    price(service: string, engineCount: number, decodeTime: Milliseconds): number {
        const now = this.clock.now();
        const cachedPrice = this.priceByService.get(service);
        if (cachedPrice && now - cachedPrice.computedAt < priceCacheDuration) {
            return cachedPrice.value;
        }
        const value = this.clearingPrice(service, engineCount * demandWindow * usableTimeRatio, decodeTime);
        this.priceByService.set(service, { computedAt: now, value });
        return value;
    }

    /**
     * Value per millisecond of the first request without capacity, when requests are served by descending value per
     * millisecond.
     */
    private clearingPrice(service: string, availableTime: Milliseconds, decodeTime: Milliseconds): number {
        const bids = this.collectBids(service, decodeTime).sort((left, right) =>
            right.valuePerMillisecond - left.valuePerMillisecond
        );
        let usedTime = 0;
        for (const { time, valuePerMillisecond } of bids) {
            usedTime += time;
            if (usedTime > availableTime) {
                return valuePerMillisecond;
            }
        }
        return 0;
    }

    private collectBids(service: string, decodeTime: Milliseconds): Bid[] {
        const oldest = this.clock.now() - demandWindow;
        this.recentRequests = this.recentRequests.filter(({ placedAt }) => placedAt > oldest);
        return this.recentRequests.filter(request => request.service === service).map(({ readTime, value }) => {
            const time = readTime + decodeTime;
            return { time, valuePerMillisecond: value / time };
        });
    }
}
