/** In-memory model of a plain service. Counts the runs of each idempotency key, so that tests detect repeated runs. */
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

/** Parameters of a plain service. */
export interface ServiceShape {
    workMilliseconds: Milliseconds;
    concurrency: number;
}

/** Default parameters of a plain service. */
export const defaultServiceShape: ServiceShape = { workMilliseconds: 5, concurrency: 64 };

/** Model of one replica of a plain service. The run counts survive its modelled process, as in a database. */
export class ServiceModel {
    incarnation: string;
    /** Added delay between a run and its response, in which a fault can strike. */
    responseDelayMilliseconds = 0;
    private runningCount = 0;
    private lifetimeController = sharedAbortController();
    private up = true;

    constructor(
        private readonly shape: ServiceShape,
        private readonly clock: Clock,
        private readonly random: Random,
        /** Number of runs by idempotency key, shared by the replicas of a service. */
        readonly runs: Map<string, number>,
    ) {
        this.incarnation = randomIdentifier(random);
    }

    get isUp(): boolean {
        return this.up;
    }

    get lifetime(): AbortSignal {
        return this.lifetimeController.signal;
    }

    report(): EndpointReport {
        return {
            incarnation: this.incarnation,
            temperature: EndpointTemperature.Warm,
            running: this.runningCount,
            memoryCapacityTokens: 0,
            memoryUsedTokens: 0,
            waitingPromptTokens: 0,
            prefillTokensPerSecond: 1_000_000,
            decodeStepMilliseconds: 1,
        };
    }

    /** Runs a request. Each invocation that is not a GET counts as one run; requests are not deduplicated. */
    async call(request: ServiceRequest): Promise<ServiceResponse> {
        this.runningCount++;
        const key = request.idempotencyKey ?? request.requestId;
        const runs = (this.runs.get(key) ?? 0) + (request.method === "GET" ? 0 : 1);
        this.runs.set(key, runs);
        await this.clock.sleep(
            this.shape.workMilliseconds + this.responseDelayMilliseconds,
            this.lifetimeController.signal,
        );
        this.runningCount--;
        const { method, path, requestId } = request;
        const body = JSON.stringify({ runs, key, method, path, requestId, bytes: request.body.length });
        return { status: method === "POST" ? 201 : 200, contentType: "application/json", body: Buffer.from(body) };
    }

    die(): void {
        this.up = false;
        this.runningCount = 0;
        this.lifetimeController.abort();
        this.lifetimeController = sharedAbortController();
    }

    revive(): void {
        this.up = true;
        this.incarnation = randomIdentifier(this.random);
    }
}
