/** Tracks each endpoint's recent failures, its back-off, and data centres that seem to be lost. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";

/** Half-life of a failure's weight: long enough to span several requests, short enough for an endpoint to recover. */
const failureHalfLife: Milliseconds = 4_000;
/** Weight of one outcome in the failure share. */
const outcomeWeight = 0.25;
/** First back-off of an endpoint that didn't respond, doubled each time that it still doesn't, up to the maximum. */
const initialBackOffDuration: Milliseconds = 500;
const maximumBackOffDuration: Milliseconds = 4_000;
/** This many losses in one data centre within the window, with none elsewhere, are no coincidence. */
const correlatedLossCount = 3;
const correlatedLossWindow: Milliseconds = 300;
/**
 * How long endpoints of a suspect data centre are avoided while there are others: about the delay until the store's list
 * shows the loss.
 */
const suspicionDuration: Milliseconds = 1_000;

interface FailureRecord {
    failureShare: number;
    updatedAt: Milliseconds;
    /** Sends without a response since the last success. */
    noResponseCount: number;
    backOffUntil: Milliseconds;
}

/** Result of a send to an endpoint, as entries publish it. */
export enum SendResult {
    Succeeded = "succeeded",
    Failed = "failed",
    Lost = "lost",
    Silent = "silent",
}

/** Update about the result of a send. */
export interface OutcomeUpdate {
    type: "Outcome";
    endpoint: string;
    fate: SendResult;
}

/** The loss of an endpoint. */
interface EndpointLoss {
    endpoint: string;
    dataCentre: string;
    lostAt: Milliseconds;
}

/** Tracks results of sends by endpoint. */
export class FailureTracker {
    /**
     * Receives each result that this entry observed. Entries share results because each of hundreds of entries observes
     * only a few.
     */
    publish: (update: OutcomeUpdate, isConnectionRefused: boolean) => void = () => {};
    private readonly recordByEndpoint = new Map<string, FailureRecord>();
    private recentLosses: EndpointLoss[] = [];
    private readonly suspectUntilByDataCentre = new Map<string, Milliseconds>();
    /** When an endpoint last served a request of this entry. */
    private lastSuccessAt: Milliseconds | undefined;

    constructor(private readonly clock: Clock, private readonly log: PartLog, private readonly self: string) {}

    /** Records a response with any status that isn't a failure of the endpoint. */
    recordSucceeded({ record: { id, dataCentre } }: KnownEndpoint): void {
        if (this.recordByEndpoint.has(id) || this.isSuspect(dataCentre)) {
            this.publish({ type: "Outcome", endpoint: id, fate: SendResult.Succeeded }, false);
        }
        this.lastSuccessAt = this.clock.now();
        this.applySuccess(id, dataCentre, this.self);
    }

    private applySuccess(id: string, dataCentre: string, reportedBy: string): void {
        this.suspectUntilByDataCentre.delete(dataCentre);
        const record = this.recordByEndpoint.get(id);
        if (record) {
            if (this.isBackingOff(id)) {
                this.log.info("A back-off ends early.", { endpoint: id, reportedBy });
            }
            record.failureShare = this.decayedShare(record) * (1 - outcomeWeight);
            record.updatedAt = this.clock.now();
            record.noResponseCount = 0;
            record.backOffUntil = 0;
        }
    }

    /** Records a response that reports a failure of the endpoint. */
    recordFailed(endpoint: string): void {
        this.publish({ type: "Outcome", endpoint, fate: SendResult.Failed }, false);
        this.applyFailure(endpoint);
    }

    private applyFailure(endpoint: string): void {
        const record = this.getOrCreateRecord(endpoint);
        record.failureShare = this.decayedShare(record) * (1 - outcomeWeight) + outcomeWeight;
        record.updatedAt = this.clock.now();
    }

    /**
     * Records that the endpoint is down, and publishes it. An endpoint that is down stays listed for seconds; without a
     * back-off each new request would find it idle and fail there.
     */
    recordLost({ record: { id, dataCentre } }: KnownEndpoint): void {
        this.publish({ type: "Outcome", endpoint: id, fate: SendResult.Lost }, false);
        this.applyLoss(id, dataCentre, this.self);
    }

    private applyLoss(id: string, dataCentre: string, reportedBy: string): void {
        this.backOff(id, reportedBy);
        this.detectDataCentreLoss({ endpoint: id, dataCentre, lostAt: this.clock.now() });
    }

    /**
     * Records that the endpoint has been silent for long, without telling the other entries. It may be busy, so this is no
     * evidence against its data centre. Requests that fell silent together there count once.
     */
    suspectSilent({ record: { id } }: KnownEndpoint): void {
        if (!this.isBackingOff(id)) {
            this.backOff(id, this.self);
        }
    }

    /** Tells the other entries of a silent endpoint. */
    publishSilent({ record: { id } }: KnownEndpoint): void {
        this.publish({ type: "Outcome", endpoint: id, fate: SendResult.Silent }, false);
    }

    /** Ends the back-off of a silent endpoint, because only this entry's link was lost. */
    clearSuspicion({ record: { id } }: KnownEndpoint): void {
        const record = this.recordByEndpoint.get(id);
        if (record) {
            record.noResponseCount = 0;
            record.backOffUntil = 0;
        }
    }

    /**
     * Applies the result that another entry observed. Several entries observe the same loss at about the same time; it
     * counts once.
     */
    applyPeerResult({ record: { id, dataCentre } }: KnownEndpoint, result: SendResult, reportedBy: string): void {
        switch (result) {
            case SendResult.Succeeded:
                this.applySuccess(id, dataCentre, reportedBy);
                return;
            case SendResult.Failed:
                this.applyFailure(id);
                return;
            case SendResult.Lost:
                if (!this.isBackingOff(id)) {
                    this.applyLoss(id, dataCentre, reportedBy);
                }
                return;
            case SendResult.Silent:
                if (!this.isBackingOff(id)) {
                    this.backOff(id, reportedBy);
                }
                return;
        }
    }

    /**
     * Records that the endpoint's address refused a connection, and publishes it so that other entries need not each run
     * into the failure.
     */
    recordUnreachable(endpoint: KnownEndpoint): void {
        this.publish({ type: "Outcome", endpoint: endpoint.record.id, fate: SendResult.Lost }, true);
        this.applyPeerResult(endpoint, SendResult.Lost, this.self);
    }

    /**
     * Whether a whole data centre seems to be lost, because many of its endpoints were lost at once. Its other
     * endpoints are still listed, and a long prompt with several helpers would try them one by one.
     */
    isSuspect(dataCentre: string): boolean {
        return this.clock.now() < (this.suspectUntilByDataCentre.get(dataCentre) ?? 0);
    }

    /** Share of recent sends that failed, from 0 to 1. */
    failureShare(endpoint: string): number {
        const record = this.recordByEndpoint.get(endpoint);
        return record ? this.decayedShare(record) : 0;
    }

    isBackingOff(endpoint: string): boolean {
        return this.clock.now() < (this.recordByEndpoint.get(endpoint)?.backOffUntil ?? 0);
    }

    private backOff(id: string, reportedBy: string): void {
        this.applyFailure(id);
        const record = this.getOrCreateRecord(id);
        const now = this.clock.now();
        const duration = Math.min(maximumBackOffDuration, initialBackOffDuration * 2 ** record.noResponseCount);
        if (!this.isBackingOff(id)) {
            const lastSuccessAgo = this.lastSuccessAt === undefined ? undefined : Math.round(now - this.lastSuccessAt);
            this.log.info("An endpoint is in back-off.", { endpoint: id, reportedBy, duration, lastSuccessAgo });
        }
        record.noResponseCount++;
        record.backOffUntil = now + duration;
    }

    private detectDataCentreLoss(loss: EndpointLoss): void {
        this.recentLosses = this.recentLosses.filter(({ lostAt, endpoint }) =>
            loss.lostAt - lostAt < correlatedLossWindow && endpoint !== loss.endpoint
        );
        this.recentLosses.push(loss);
        const areInOneDataCentre = this.recentLosses.every(({ dataCentre }) => dataCentre === loss.dataCentre);
        if (areInOneDataCentre && this.recentLosses.length >= correlatedLossCount) {
            this.log.info("A data centre seems to be lost.", { dataCentre: loss.dataCentre });
            this.suspectUntilByDataCentre.set(loss.dataCentre, loss.lostAt + suspicionDuration);
        }
    }

    private decayedShare(record: FailureRecord): number {
        return record.failureShare * 0.5 ** ((this.clock.now() - record.updatedAt) / failureHalfLife);
    }

    private getOrCreateRecord(endpoint: string): FailureRecord {
        let record = this.recordByEndpoint.get(endpoint);
        if (!record) {
            record = { failureShare: 0, updatedAt: this.clock.now(), noResponseCount: 0, backOffUntil: 0 };
            this.recordByEndpoint.set(endpoint, record);
        }
        return record;
    }
}
