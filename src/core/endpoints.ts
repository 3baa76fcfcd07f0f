/**
 * Tracks the endpoints of the instance list: their reports, this entry's attempts in flight on them, and how much load
 * each can be trusted with. Reports are polled and lag behind, so attempts that a report doesn't include yet are added.
 */
import {
    ChangeSignal,
    Clock,
    EndpointReport,
    EndpointTemperature,
    InstanceRecord,
    InstanceRole,
    Milliseconds,
    PartLog,
    Restrictions,
    Timeline,
} from "../internal.js";

/** Interval between two reports of one endpoint. */
export const reportIntervalMilliseconds = 400;
/** An endpoint whose report is older than this is treated as cold. */
export const maximumReportAgeMilliseconds = 2_500;
/** Maximum lag of a report behind the endpoint's state; a suspicion outlasts reports that were requested sooner after it. */
export const maximumReportLagMilliseconds = 600;

/** How much load an endpoint can be trusted with. */
export type EndpointTrust =
    /** The endpoint can take full load. */
    | { type: "Warm"; }
    /** The endpoint is in cold start or has no current report: a request needs a permit from its home. */
    | { type: "Cold"; }
    /** The endpoint has just failed or refused work: this entry sends nothing to it until a later report arrives. */
    | { type: "Closed"; };

/** One attempt in flight on an endpoint. */
export interface InFlightAttempt {
    attemptId: string;
    promptTokens: number;
    memoryTokens: number;
    isLong: boolean;
    isSuspect: boolean;
    fingerprint: string;
    startedAt: Milliseconds;
}

/** The state of one endpoint as this entry knows it. */
export class Endpoint {
    readonly inFlight = new Map<string, InFlightAttempt>();
    report: EndpointReport | undefined;
    /** When the current report was requested. */
    reportRequestedAt: Milliseconds = -Infinity;
    suspectedAt: Milliseconds = -Infinity;

    constructor(public record: InstanceRecord) {}

    get id(): string {
        return this.record.id;
    }

    trust(now: Milliseconds): EndpointTrust {
        if (this.reportRequestedAt < this.suspectedAt + maximumReportLagMilliseconds) {
            return { type: "Closed" };
        }
        if (!this.report || now - this.reportRequestedAt > maximumReportAgeMilliseconds) {
            return { type: "Cold" };
        }
        return this.report.temperature === EndpointTemperature.Warm ? { type: "Warm" } : { type: "Cold" };
    }

    /** Estimated free memory in tokens: as reported, less what was sent since; 0 without a report. */
    freeMemoryTokens(): number {
        if (!this.report) {
            return 0;
        }
        return this.report.memoryCapacityTokens - this.report.memoryUsedTokens - this.unreportedLoad().memoryTokens;
    }

    /** Estimated number of prompt tokens that wait for prefill ahead of a new request. */
    waitingPromptTokens(): number {
        return (this.report?.waitingPromptTokens ?? 0) + this.unreportedLoad().promptTokens;
    }

    /** Prompt tokens of the long lane that this entry has in flight on the endpoint. */
    longTokensInFlight(): number {
        let tokens = 0;
        for (const attempt of this.inFlight.values()) {
            tokens += attempt.isLong ? attempt.promptTokens : 0;
        }
        return tokens;
    }

    /** Tokens of the attempts that started too late to be included in the current report. */
    private unreportedLoad(): { promptTokens: number; memoryTokens: number; } {
        let promptTokens = 0;
        let memoryTokens = 0;
        for (const attempt of this.inFlight.values()) {
            if (attempt.startedAt + maximumReportLagMilliseconds >= this.reportRequestedAt) {
                promptTokens += attempt.promptTokens;
                memoryTokens += attempt.memoryTokens;
            }
        }
        return { promptTokens, memoryTokens };
    }
}

/** Fetches the report of one endpoint. */
export type FetchReport = (record: InstanceRecord) => Promise<EndpointReport>;

/** Dependencies of {@link EndpointTable}. */
export interface EndpointTableDependencies {
    clock: Clock;
    restrictions: Restrictions;
    fetchReport: FetchReport;
    log: PartLog;
    timeline: Timeline;
}

/** Holds all endpoints and polls the report of each. */
export class EndpointTable {
    /** Notified whenever a queued request may have become placeable. */
    readonly changed = new ChangeSignal();
    private readonly endpointById = new Map<string, Endpoint>();
    private readonly pollerByEndpointId = new Map<string, AbortController>();

    constructor(private readonly dependencies: EndpointTableDependencies) {}

    get(id: string): Endpoint | undefined {
        return this.endpointById.get(id);
    }

    all(): Endpoint[] {
        return [...this.endpointById.values()];
    }

    /** Endpoints of a service, restricted ones included. */
    ofService(service: string): Endpoint[] {
        return this.all().filter(endpoint => endpoint.record.service === service);
    }

    /** Endpoints of a service that may receive new work. */
    eligible(service: string): Endpoint[] {
        return this.ofService(service).filter(endpoint => !this.dependencies.restrictions.forbids(endpoint.record));
    }

    trust(endpoint: Endpoint): EndpointTrust {
        return endpoint.trust(this.dependencies.clock.now());
    }

    /** Applies the instance list: starts polling each new endpoint and removes the endpoints that are no longer listed. */
    applyInstanceList(records: readonly InstanceRecord[]): void {
        const listedIds = new Set<string>();
        for (const record of records) {
            if (record.role !== InstanceRole.Entry) {
                listedIds.add(record.id);
                this.applyRecord(record);
            }
        }
        for (const [id, poller] of this.pollerByEndpointId) {
            if (!listedIds.has(id)) {
                poller.abort();
                this.pollerByEndpointId.delete(id);
                this.endpointById.delete(id);
            }
        }
        this.changed.notify();
    }

    /** Closes an endpoint until a report is requested at least the maximum report lag after this suspicion. */
    suspect(endpoint: Endpoint, reason: string): void {
        endpoint.suspectedAt = this.dependencies.clock.now();
        this.dependencies.log.warn("An endpoint was closed on suspicion.", { endpoint: endpoint.id, reason });
        this.dependencies.timeline.record("endpoints", "closed", undefined, `${endpoint.id}: ${reason}`);
    }

    stop(): void {
        for (const poller of this.pollerByEndpointId.values()) {
            poller.abort();
        }
    }

    private applyRecord(record: InstanceRecord): void {
        const existing = this.endpointById.get(record.id);
        if (existing) {
            existing.record = record;
            return;
        }
        const endpoint = new Endpoint(record);
        const poller = new AbortController();
        this.endpointById.set(record.id, endpoint);
        this.pollerByEndpointId.set(record.id, poller);
        void this.pollReports(endpoint, poller.signal);
    }

    private async pollReports(endpoint: Endpoint, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const requestedAt = this.dependencies.clock.now();
            try {
                this.applyReport(endpoint, await this.dependencies.fetchReport(endpoint.record), requestedAt);
            }
            catch {
                this.recordReportFailure(endpoint);
            }
            await this.dependencies.clock.sleep(reportIntervalMilliseconds, signal);
        }
    }

    private applyReport(endpoint: Endpoint, report: EndpointReport, requestedAt: Milliseconds): void {
        const previousReport = endpoint.report;
        endpoint.report = report;
        endpoint.reportRequestedAt = requestedAt;
        if (previousReport && previousReport.incarnation !== report.incarnation) {
            // A new process is cold even if its lagging report states otherwise, and the previous process's attempts are lost.
            this.suspect(endpoint, "its incarnation changed");
        }
        else if (
            previousReport?.temperature === EndpointTemperature.Warm && report.temperature === EndpointTemperature.Cold
        ) {
            this.suspect(endpoint, "it went from warm to cold");
        }
        this.changed.notify();
    }

    private recordReportFailure(endpoint: Endpoint): void {
        const wasOpen = this.trust(endpoint).type !== "Closed";
        endpoint.suspectedAt = this.dependencies.clock.now();
        if (wasOpen) {
            this.dependencies.log.warn("An endpoint's report can't be fetched.", { endpoint: endpoint.id });
            this.dependencies.timeline.record("endpoints", "no-report", undefined, endpoint.id);
        }
    }
}
