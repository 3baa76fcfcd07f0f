/** The stand-in plain service: counts the runs of each key. */
import {
    Clock,
    EndpointReport,
    EndpointTemperature,
    Milliseconds,
    Random,
    randomIdentifier,
    ServiceRequest,
    ServiceResponse,
    sharedAbortController,
} from "../internal.js";

/** Speed of a plain service. */
export interface ServiceShape {
    workMilliseconds: Milliseconds;
    concurrency: number;
}

/** A service of the usual speed. */
export const defaultServiceShape: ServiceShape = { workMilliseconds: 5, concurrency: 64 };

/** A plain service in memory. Its counts outlive its process, as a database's would. */
export class ServiceModel {
    incarnation: string;
    /** Time from the run itself to its answer: faults fall into it. */
    answerDelayMilliseconds = 0;
    private running = 0;
    private life = sharedAbortController();
    private up = true;

    constructor(
        private readonly shape: ServiceShape,
        private readonly clock: Clock,
        private readonly random: Random,
        /** Runs by key, shared by the replicas of one service. */
        readonly runs: Map<string, number>,
    ) {
        this.incarnation = randomIdentifier(random);
    }

    get isUp(): boolean {
        return this.up;
    }

    get lifetime(): AbortSignal {
        return this.life.signal;
    }

    report(): EndpointReport {
        return {
            incarnation: this.incarnation,
            temperature: EndpointTemperature.Warm,
            running: this.running,
            memoryCapacityTokens: 0,
            memoryUsedTokens: 0,
            waitingPromptTokens: 0,
            prefillTokensPerSecond: 1_000_000,
            decodeStepMilliseconds: 1,
        };
    }

    /** Runs a call: once for each time it is called. */
    async call(request: ServiceRequest): Promise<ServiceResponse> {
        this.running++;
        const key = request.idempotencyKey ?? request.requestId;
        const runs = (this.runs.get(key) ?? 0) + (request.method === "GET" ? 0 : 1);
        this.runs.set(key, runs);
        await this.clock.sleep(this.shape.workMilliseconds + this.answerDelayMilliseconds, this.life.signal);
        this.running--;
        const { method, path, requestId } = request;
        const body = JSON.stringify({ runs, key, method, path, requestId, bytes: request.body.length });
        return { status: method === "POST" ? 201 : 200, contentType: "application/json", body: Buffer.from(body) };
    }

    die(): void {
        this.up = false;
        this.running = 0;
        this.life.abort();
        this.life = sharedAbortController();
    }

    revive(): void {
        this.up = true;
        this.incarnation = randomIdentifier(this.random);
    }
}
