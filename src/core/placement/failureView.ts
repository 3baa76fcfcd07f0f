/** How often each endpoint failed of late, and whether it should rest. */
import type { Clock, Milliseconds } from "../../utils/clock.js";

/** Time in which the memory of a failure halves: long enough to span several requests, short enough to come back. */
const halfLife: Milliseconds = 4_000;
/** Weight of one outcome in the share of failures. */
const outcomeWeight = 0.25;
/** First rest of an endpoint that didn't answer; doubled with each failure in a row. */
const firstRest: Milliseconds = 500;
const longestRest: Milliseconds = 4_000;

interface Record {
    share: number;
    at: Milliseconds;
    /** Failures in a row without a single answer. */
    silent: number;
    restUntil: Milliseconds;
}

/** Outcomes by endpoint. */
export class FailureView {
    private readonly records = new Map<string, Record>();

    constructor(private readonly clock: Clock) {}

    /** Notes an answer of any status that isn't a failure of the endpoint. */
    succeeded(endpoint: string): void {
        const record = this.records.get(endpoint);
        if (record) {
            record.share = this.decayed(record) * (1 - outcomeWeight);
            record.at = this.clock.now();
            record.silent = 0;
            record.restUntil = 0;
        }
    }

    /** Notes an answer that says the endpoint failed. */
    failed(endpoint: string): void {
        const record = this.record(endpoint);
        record.share = this.decayed(record) * (1 - outcomeWeight) + outcomeWeight;
        record.at = this.clock.now();
    }

    /**
     * Notes that the endpoint couldn't be reached or broke off. An endpoint that is down stays listed for seconds;
     * without a rest each new request would find it idle and fail there.
     */
    lost(endpoint: string): void {
        this.failed(endpoint);
        const record = this.record(endpoint);
        record.silent++;
        record.restUntil = this.clock.now() + Math.min(longestRest, firstRest * 2 ** (record.silent - 1));
    }

    /** The share of failures of late, from 0 to 1. */
    share(endpoint: string): number {
        const record = this.records.get(endpoint);
        return record ? this.decayed(record) : 0;
    }

    resting(endpoint: string): boolean {
        return this.clock.now() < (this.records.get(endpoint)?.restUntil ?? 0);
    }

    private decayed(record: Record): number {
        return record.share * 0.5 ** ((this.clock.now() - record.at) / halfLife);
    }

    private record(endpoint: string): Record {
        let record = this.records.get(endpoint);
        if (!record) {
            record = { share: 0, at: this.clock.now(), silent: 0, restUntil: 0 };
            this.records.set(endpoint, record);
        }
        return record;
    }
}
