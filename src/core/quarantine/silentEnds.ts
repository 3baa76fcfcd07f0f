/**
 * Finds crashes of endpoints that fall silent, instead of resetting and refusing connections.
 *
 * Silence alone says nothing: the endpoint may be slow, and the request may be served elsewhere meanwhile. It was present at a
 * crash if the process of its endpoint turns out to have ended.
 */
import type { EndpointRecord } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { Metrics } from "../metrics.js";
import { type EndedProcesses, processOf } from "../reachability/endedProcesses.js";
import { type CrashedRequest, type DetectedCrash, logCrash } from "./crashDetector.js";

/** How long after a request was given up the end of its endpoint counts: longer than the list needs to show it. */
const detectionDuration: Milliseconds = 10_000;

interface AbandonedRequests {
    at: Milliseconds;
    requests: CrashedRequest[];
    /** Stops waiting for the end of the endpoint. */
    forget: () => void;
}

/** Dependencies of {@link SilentEnds}. */
export interface SilentEndsDependencies {
    clock: Clock;
    log: PartLog;
    metrics: Metrics;
    endedProcesses: Pick<EndedProcesses, "watch" | "hasEnded">;
    /** Whether an endpoint is shutting down, so that its end is no crash. */
    isLeaving: (endpoint: EndpointRecord) => boolean;
}

/** Remembers requests that were given up because their endpoints sent nothing more. */
export class SilentEnds {
    /** Called with each crash. */
    onCrash: (crash: DetectedCrash) => void = () => {};
    private readonly abandonedByProcess = new Map<string, AbandonedRequests>();

    constructor(private readonly dependencies: SilentEndsDependencies) {}

    /** Records that `request` was given up at `endpoint`, which had sent nothing more. */
    recordAbandoned(endpoint: EndpointRecord, request: CrashedRequest): void {
        const { clock, endedProcesses, isLeaving } = this.dependencies;
        if (isLeaving(endpoint)) {
            return;
        }
        const process = processOf(endpoint);
        const known = this.abandonedByProcess.get(process);
        if (known) {
            known.requests.push(request);
            return;
        }
        const abandoned: AbandonedRequests = { at: clock.now(), requests: [request], forget: () => finish(undefined) };
        this.abandonedByProcess.set(process, abandoned);
        const stopWatching = endedProcesses.watch(endpoint, reason => finish(reason));
        const finish = (reason: string | undefined) => {
            stopTimer();
            stopWatching();
            this.abandonedByProcess.delete(process);
            if (reason !== undefined) {
                this.reportCrash(endpoint, abandoned, reason);
            }
        };
        const stopTimer = clock.after(detectionDuration, () => finish(undefined));
        if (endedProcesses.hasEnded(endpoint)) {
            // All requests that were given up for the same reason belong to one crash.
            clock.after(0, () => finish("its process has ended"));
        }
    }

    /** Records that `endpoint` has served a request which began there at `since`: a silence before was none of a crash. */
    recordServed(endpoint: EndpointRecord, since: Milliseconds): void {
        const abandoned = this.abandonedByProcess.get(processOf(endpoint));
        if (abandoned && since > abandoned.at) {
            abandoned.forget();
        }
    }

    private reportCrash(endpoint: EndpointRecord, { at, requests }: AbandonedRequests, reason: string): void {
        const { log, metrics } = this.dependencies;
        metrics.count("endpoint_crashes_total");
        const { id, incarnation, dataCentre: silentIn } = endpoint;
        const crash = { endpoint: id, incarnation, at, requests, silentIn };
        logCrash(log, crash, reason);
        this.onCrash(crash);
    }
}
