/** How often each endpoint failed of late, whether it should rest, and which data centres seem to have gone. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";

/** Time in which the memory of a failure halves: long enough to span several requests, short enough to come back. */
const halfLife: Milliseconds = 4_000;
/** Weight of one outcome in the share of failures. */
const outcomeWeight = 0.25;
/** First rest of an endpoint that didn't answer; doubled with each failure in a row. */
const firstRest: Milliseconds = 500;
const longestRest: Milliseconds = 4_000;
/** So many endpoints of one data centre that are lost within this time, and none elsewhere, are no chance. */
const lostTogether = 3;
const lostWithin: Milliseconds = 300;
/** How long endpoints there are passed over while there are others: about what a list of the store takes to tell. */
const suspicionTime: Milliseconds = 1_000;

interface Record {
    share: number;
    at: Milliseconds;
    /** Failures in a row without a single answer. */
    silent: number;
    restUntil: Milliseconds;
}

/** What became of sends to an endpoint, as entries tell it. */
export enum SendResult {
    Succeeded = "succeeded",
    Failed = "failed",
    Lost = "lost",
    Silent = "silent",
}

/** News of it. */
export interface OutcomeUpdate {
    type: "Outcome";
    endpoint: string;
    fate: SendResult;
}

/** An endpoint that was lost. */
interface Loss {
    endpoint: string;
    dataCentre: string;
    at: Milliseconds;
}

/** Outcomes by endpoint. */
export class FailureTracker {
    /** Gets what this entry found: each of hundreds of entries sees a few outcomes only. */
    publish: (news: OutcomeUpdate, nobodyListens: boolean) => void = () => {};
    private readonly records = new Map<string, Record>();
    private losses: Loss[] = [];
    private readonly suspectUntil = new Map<string, Milliseconds>();

    constructor(private readonly clock: Clock) {}

    /** Notes an answer of any status that isn't a failure of the endpoint. */
    recordSucceeded({ record: { id, dataCentre } }: KnownEndpoint): void {
        if (this.records.has(id) || this.suspects(dataCentre)) {
            this.publish({ type: "Outcome", endpoint: id, fate: SendResult.Succeeded }, false);
        }
        this.noteSuccess(id, dataCentre);
    }

    private noteSuccess(id: string, dataCentre: string): void {
        this.suspectUntil.delete(dataCentre);
        const record = this.records.get(id);
        if (record) {
            record.share = this.decayed(record) * (1 - outcomeWeight);
            record.at = this.clock.now();
            record.silent = 0;
            record.restUntil = 0;
        }
    }

    /** Notes an answer that says the endpoint failed. */
    recordFailed(endpoint: string): void {
        this.publish({ type: "Outcome", endpoint, fate: SendResult.Failed }, false);
        this.noteFailure(endpoint);
    }

    private noteFailure(endpoint: string): void {
        const record = this.record(endpoint);
        record.share = this.decayed(record) * (1 - outcomeWeight) + outcomeWeight;
        record.at = this.clock.now();
    }

    /**
     * Notes that the endpoint couldn't be reached or broke off. An endpoint that is down stays listed for seconds;
     * without a rest each new request would find it idle and fail there.
     */
    recordLost({ record: { id, dataCentre } }: KnownEndpoint): void {
        this.publish({ type: "Outcome", endpoint: id, fate: SendResult.Lost }, false);
        this.noteLost(id, dataCentre);
    }

    private noteLost(id: string, dataCentre: string): void {
        this.rest(id);
        this.noteLoss({ endpoint: id, dataCentre, at: this.clock.now() });
    }

    /** Notes that the endpoint said nothing for long. It may be busy; that tells nothing of its data centre. */
    recordSilent({ record }: KnownEndpoint): void {
        this.publish({ type: "Outcome", endpoint: record.id, fate: SendResult.Silent }, false);
        this.rest(record.id);
    }

    /** Takes what another entry found. Several find the same loss at about the same time; it counts once. */
    applyPeerResult({ record: { id, dataCentre } }: KnownEndpoint, fate: SendResult): void {
        switch (fate) {
            case SendResult.Succeeded:
                this.noteSuccess(id, dataCentre);
                return;
            case SendResult.Failed:
                this.noteFailure(id);
                return;
            case SendResult.Lost:
                if (!this.resting(id)) {
                    this.noteLost(id, dataCentre);
                }
                return;
            case SendResult.Silent:
                if (!this.resting(id)) {
                    this.rest(id);
                }
                return;
        }
    }

    /** Notes that nobody listens at the endpoint's address. The others should not find out one by one. */
    recordUnreachable(endpoint: KnownEndpoint): void {
        this.publish({ type: "Outcome", endpoint: endpoint.record.id, fate: SendResult.Lost }, true);
        this.applyPeerResult(endpoint, SendResult.Lost);
    }

    /**
     * Whether so many endpoints of a data centre were lost at once that all of it seems to have gone. The others there are
     * still listed; a long prompt read by several would find them one by one, a try each.
     */
    suspects(dataCentre: string): boolean {
        return this.clock.now() < (this.suspectUntil.get(dataCentre) ?? 0);
    }

    /** The share of failures of late, from 0 to 1. */
    share(endpoint: string): number {
        const record = this.records.get(endpoint);
        return record ? this.decayed(record) : 0;
    }

    resting(endpoint: string): boolean {
        return this.clock.now() < (this.records.get(endpoint)?.restUntil ?? 0);
    }

    private rest(id: string): void {
        this.noteFailure(id);
        const record = this.record(id);
        record.silent++;
        record.restUntil = this.clock.now() + Math.min(longestRest, firstRest * 2 ** (record.silent - 1));
    }

    private noteLoss(loss: Loss): void {
        this.losses = this.losses.filter(({ at, endpoint }) => loss.at - at < lostWithin && endpoint !== loss.endpoint);
        this.losses.push(loss);
        const together = this.losses.every(({ dataCentre }) => dataCentre === loss.dataCentre);
        if (together && this.losses.length >= lostTogether) {
            this.suspectUntil.set(loss.dataCentre, loss.at + suspicionTime);
        }
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
