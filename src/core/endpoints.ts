/** The endpoints of the list: their reports, what this entry has in flight on them, and how far each is trusted. */
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

/** Time between two reports of one endpoint. */
export const reportMilliseconds = 400;
/** A report older than this says nothing of the endpoint any more. */
export const reportStaleMilliseconds = 2_500;
/** How far a report may lag behind the truth; after a suspicion only a report begun later than this counts. */
export const reportLagMilliseconds = 600;

/** How much load an endpoint can be trusted with. */
export type EndpointTrust =
    /** It bears full load. */
    | { type: "Warm"; }
    /** In cold start, or nothing is known: only its home sends to it. */
    | { type: "Cold"; }
    /** It just failed or refused: nothing is sent until a later report clears it. */
    | { type: "Closed"; };

/** One attempt that runs on an endpoint. */
export interface InFlight {
    attemptId: string;
    promptTokens: number;
    memoryTokens: number;
    long: boolean;
    suspect: boolean;
    fingerprint: string;
    startedAt: Milliseconds;
}

/** One endpoint. */
export class Endpoint {
    readonly inFlight = new Map<string, InFlight>();
    report: EndpointReport | undefined;
    /** When the exchange that brought the report was begun. */
    reportAskedAt: Milliseconds = -Infinity;
    suspectedAt: Milliseconds = -Infinity;

    constructor(public record: InstanceRecord) {}

    get id(): string {
        return this.record.id;
    }

    trust(now: Milliseconds): EndpointTrust {
        if (this.reportAskedAt < this.suspectedAt + reportLagMilliseconds) {
            return { type: "Closed" };
        }
        if (!this.report || now - this.reportAskedAt > reportStaleMilliseconds) {
            return { type: "Cold" };
        }
        return this.report.temperature === EndpointTemperature.Warm ? { type: "Warm" } : { type: "Cold" };
    }

    /** Tokens of memory that are free as far as this entry can tell. */
    freeMemoryTokens(): number {
        if (!this.report) {
            return 0;
        }
        return this.report.memoryCapacityTokens - this.report.memoryUsedTokens - this.unreported().memoryTokens;
    }

    /** Prompt tokens that wait for prefill ahead of a new request. */
    waitingPromptTokens(): number {
        return (this.report?.waitingPromptTokens ?? 0) + this.unreported().promptTokens;
    }

    /** Prompt tokens of the long lane that this entry has in flight here. */
    longTokensInFlight(): number {
        let tokens = 0;
        for (const attempt of this.inFlight.values()) {
            tokens += attempt.long ? attempt.promptTokens : 0;
        }
        return tokens;
    }

    /** What was sent since the report was asked for, and so isn't in it. */
    private unreported(): { promptTokens: number; memoryTokens: number; } {
        let promptTokens = 0;
        let memoryTokens = 0;
        for (const attempt of this.inFlight.values()) {
            if (attempt.startedAt + reportLagMilliseconds >= this.reportAskedAt) {
                promptTokens += attempt.promptTokens;
                memoryTokens += attempt.memoryTokens;
            }
        }
        return { promptTokens, memoryTokens };
    }
}

/** Asks one endpoint for its report. */
export type Reporter = (record: InstanceRecord) => Promise<EndpointReport>;

/** What the table works with. */
export interface EndpointTableParts {
    clock: Clock;
    restrictions: Restrictions;
    report: Reporter;
    log: PartLog;
    timeline: Timeline;
}

/** All endpoints and one task for each that keeps its report current. */
export class EndpointTable {
    /** Notified whenever a waiting request might now be placed. */
    readonly changed = new ChangeSignal();
    private readonly endpoints = new Map<string, Endpoint>();
    private readonly tasks = new Map<string, AbortController>();

    constructor(private readonly parts: EndpointTableParts) {}

    get(id: string): Endpoint | undefined {
        return this.endpoints.get(id);
    }

    all(): Endpoint[] {
        return [...this.endpoints.values()];
    }

    /** Endpoints of a service, restricted ones included. */
    ofService(service: string): Endpoint[] {
        return this.all().filter(endpoint => endpoint.record.service === service);
    }

    /** Endpoints of a service that may get new work. */
    eligible(service: string): Endpoint[] {
        return this.ofService(service).filter(endpoint => !this.parts.restrictions.forbids(endpoint.record));
    }

    trust(endpoint: Endpoint): EndpointTrust {
        return endpoint.trust(this.parts.clock.now());
    }

    /** Takes the instance list: starts a task for each new endpoint and ends those of the gone. */
    takeList(records: readonly InstanceRecord[]): void {
        const listed = new Set<string>();
        for (const record of records) {
            if (record.role !== InstanceRole.Entry) {
                listed.add(record.id);
                this.takeRecord(record);
            }
        }
        for (const [id, task] of this.tasks) {
            if (!listed.has(id)) {
                task.abort();
                this.tasks.delete(id);
                this.endpoints.delete(id);
            }
        }
        this.changed.notify();
    }

    /** Closes an endpoint until it has proved itself again. */
    suspect(endpoint: Endpoint, reason: string): void {
        endpoint.suspectedAt = this.parts.clock.now();
        this.parts.log.warn("An endpoint is closed on suspicion.", { endpoint: endpoint.id, reason });
        this.parts.timeline.record("endpoints", "closed", undefined, `${endpoint.id}: ${reason}`);
    }

    stop(): void {
        for (const task of this.tasks.values()) {
            task.abort();
        }
    }

    private takeRecord(record: InstanceRecord): void {
        const known = this.endpoints.get(record.id);
        if (known) {
            known.record = record;
            return;
        }
        const endpoint = new Endpoint(record);
        const task = new AbortController();
        this.endpoints.set(record.id, endpoint);
        this.tasks.set(record.id, task);
        void this.followEndpoint(endpoint, task.signal);
    }

    private async followEndpoint(endpoint: Endpoint, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const askedAt = this.parts.clock.now();
            try {
                this.takeReport(endpoint, await this.parts.report(endpoint.record), askedAt);
            }
            catch {
                this.reportFailed(endpoint);
            }
            await this.parts.clock.sleep(reportMilliseconds, signal);
        }
    }

    private takeReport(endpoint: Endpoint, report: EndpointReport, askedAt: Milliseconds): void {
        const before = endpoint.report;
        endpoint.report = report;
        endpoint.reportAskedAt = askedAt;
        if (before && before.incarnation !== report.incarnation) {
            // A new process is cold whatever its lagging report says, and what ran on the old one is gone.
            this.suspect(endpoint, "a new incarnation");
        }
        else if (before?.temperature === EndpointTemperature.Warm && report.temperature === EndpointTemperature.Cold) {
            this.suspect(endpoint, "it fell cold");
        }
        this.changed.notify();
    }

    private reportFailed(endpoint: Endpoint): void {
        const wasTrusted = this.trust(endpoint).type !== "Closed";
        endpoint.suspectedAt = this.parts.clock.now();
        if (wasTrusted) {
            this.parts.log.warn("An endpoint gives no report.", { endpoint: endpoint.id });
            this.parts.timeline.record("endpoints", "no-report", undefined, endpoint.id);
        }
    }
}
