/** A quarantined request, its trials, and how it is told to other entries and to callers. */
import type { QuarantineReport } from "../../ports/peerChannelPort.js";
import type { StoredQuarantine } from "../../ports/quarantineStore.js";
import type { Milliseconds } from "../../utils/clock.js";

/** A quarantine ends when the request has not come again for this long. */
export const quarantineLifetime: Milliseconds = 60 * 60_000;
/**
 * How long after the last crash or trial the request is sent again, by one entry to one endpoint, to find out whether it still
 * crashes it. A harmless request returns to service by the first trial. After the last one only an operator ends the
 * quarantine of a request that keeps coming.
 */
const trialDelays: readonly Milliseconds[] = [30_000, 10 * 60_000];

/** A crash that led to a quarantine. */
export interface QuarantineCrash {
    endpoint: string;
    incarnation: number;
    /** On the local clock; undefined where only the store knew of the crash. */
    at: Milliseconds | undefined;
    /** The entry that reported the crash; undefined where this entry detected it. */
    heardFrom: string | undefined;
}

/** A quarantined request. Times are on the local clock. */
export interface QuarantinedRequest {
    /** Fingerprint of the request, or the key of a set of prompt parts. */
    request: string;
    since: Milliseconds;
    /** When the request last came or crashed an endpoint. */
    lastSeenAt: Milliseconds;
    crashes: readonly QuarantineCrash[];
    trialCount: number;
    /** When the delay of the next trial began: at the last trial, or at the begin of the quarantine. */
    waitsSince: Milliseconds;
}

/** When the next trial is due; infinite where there is none any more. */
export const nextTrialAt = ({ trialCount, waitsSince }: QuarantinedRequest): Milliseconds =>
    waitsSince + (trialDelays[trialCount] ?? Infinity);

/** When the request may be sent again, or is forgotten. */
export const endOfRejection = (quarantined: QuarantinedRequest): Milliseconds =>
    Math.min(nextTrialAt(quarantined), quarantined.lastSeenAt + quarantineLifetime);

/** Converts a quarantine to its form in heartbeats. */
export const toReport = (quarantined: QuarantinedRequest, now: Milliseconds): QuarantineReport => ({
    request: quarantined.request,
    age: Math.round(now - quarantined.since),
    unseenFor: Math.round(now - quarantined.lastSeenAt),
    trialCount: quarantined.trialCount,
    waitingFor: Math.round(now - quarantined.waitsSince),
    crashes: quarantined.crashes.map(({ endpoint, incarnation, at }) => ({
        endpoint,
        incarnation,
        age: at === undefined ? undefined : Math.round(now - at),
    })),
});

/** Converts what the entry `from` reported. */
export const fromReport = (report: QuarantineReport, from: string, now: Milliseconds): QuarantinedRequest => ({
    request: report.request,
    since: now - report.age,
    lastSeenAt: now - report.unseenFor,
    trialCount: report.trialCount,
    waitsSince: now - report.waitingFor,
    crashes: report.crashes.map(({ endpoint, incarnation, age }) => ({
        endpoint,
        incarnation,
        at: age === undefined ? undefined : now - age,
        heardFrom: from,
    })),
});

/** Converts what the store holds. Its delays begin anew, because the store doesn't know for how long they have lasted. */
export const fromStored = (
    { request, crashes, trialCount }: StoredQuarantine,
    now: Milliseconds,
): QuarantinedRequest => ({
    request,
    since: now,
    lastSeenAt: now,
    trialCount,
    waitsSince: now,
    crashes: crashes.map(({ endpoint, incarnation }) => ({
        endpoint,
        incarnation,
        at: undefined,
        heardFrom: "the store",
    })),
});

/** Converts a quarantine to its form in the store. */
export const toStored = ({ request, crashes, trialCount }: QuarantinedRequest): StoredQuarantine => ({
    request,
    crashes: crashes.map(({ endpoint, incarnation }) => ({ endpoint, incarnation })),
    trialCount,
});

/** Describes the crashes for log lines and callers, with the age of each in seconds and who reported it. */
export const describeCrashes = ({ crashes }: Pick<QuarantinedRequest, "crashes">, now: Milliseconds): string =>
    crashes.map(({ endpoint, incarnation, at, heardFrom }) => {
        const age = at === undefined ? "at an unknown time" : `${((now - at) / 1_000).toFixed(1)} s ago`;
        return `${endpoint} (process ${incarnation}) ${age}, seen by ${heardFrom ?? "this entry"}`;
    }).join("; ");
