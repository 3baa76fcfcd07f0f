/** Forwards the requests of callers. Each request has a task of its own, from its head to the last byte of its response. */
import type { CallerExchange } from "../../ports/forwardingPorts.js";
import type { Milliseconds } from "../../utils/clock.js";
import { Execution, FailureKind, RequestFailure } from "../failures.js";
import { admit } from "./admission.js";
import type { ForwardingDependencies } from "./forwardingDependencies.js";
import { createStopFailure } from "./overload.js";
import { RequestTask } from "./requestTask.js";

/** How long a request waits for an entry that is starting to become ready, and how often readiness is checked. */
const readyTimeout: Milliseconds = 300;
const readyPollInterval: Milliseconds = 5;
/** Retry-After while this entry has not read the list of endpoints. */
const endpointsUnknownRetrySeconds = 0.5;

/** Serves the exchanges of callers. */
export class Forwarder {
    /** The requests in progress; without a task until the body has been read. */
    private readonly taskByExchange = new Map<CallerExchange, RequestTask | undefined>();
    private hasStopped = false;

    constructor(private readonly dependencies: ForwardingDependencies) {}

    /** Whether requests can be placed, which requires a configuration and the list of endpoints. */
    get isReady(): boolean {
        return this.dependencies.configuration.routes !== undefined && this.dependencies.directory.isReady;
    }

    /** Number of requests in progress. */
    get activeCount(): number {
        return this.taskByExchange.size;
    }

    /** Identifiers of the requests in progress. */
    get activeRequestIds(): string[] {
        return Array.from(this.taskByExchange.keys(), ({ head }) => head.id);
    }

    /** Ends the requests in progress because this entry has stopped. Callers whose responses haven't begun get a failure. */
    endAtStop(): void {
        const { clock, log, metrics } = this.dependencies;
        this.hasStopped = true;
        for (const [{ head }, task] of this.taskByExchange) {
            metrics.count("requests_ended_at_stop_total");
            log.warn("A request is ended by the end of the stop.", {
                requestId: head.id,
                elapsed: Math.round(clock.now() - head.arrivedAt),
                waitsFor: task?.waitsFor ?? "the body of the request",
            });
            task?.endAtStop();
        }
    }

    /** Serves one request to its end. Never rejects. */
    async serve(exchange: CallerExchange): Promise<void> {
        this.taskByExchange.set(exchange, undefined);
        try {
            await this.forward(exchange);
        }
        catch (error) {
            this.handleError(exchange, error);
        }
        finally {
            this.taskByExchange.delete(exchange);
        }
    }

    private async forward(exchange: CallerExchange): Promise<void> {
        const { clock, configuration, directory, random, retryBudget, metrics, answerDurations } = this.dependencies;
        await this.waitUntilReady(exchange);
        const admission = admit(exchange.head, configuration.routes, random);
        if (!directory.isReady) {
            const detail = "this entry has not received its list of endpoints yet";
            throw new RequestFailure(FailureKind.NoEndpoint, Execution.NotRun, detail, endpointsUnknownRetrySeconds);
        }
        retryBudget.recordRequest(admission.service.name);
        metrics.count("requests_total", `kind="${admission.route.kind}"`);
        const limits = configuration.routes!.configuration.limits;
        const body = await exchange.readBody(limits.bodyBytes);
        if (this.hasStopped) {
            throw createStopFailure(false);
        }
        const request = { ...exchange.head, body, memory: exchange.memory };
        const task = new RequestTask(this.dependencies, exchange, request, admission);
        const startedAt = clock.now();
        this.taskByExchange.set(exchange, task);
        await task.run();
        answerDurations.record(admission.route.name, clock.now() - startedAt);
    }

    /**
     * Waits until this entry is ready. A started process receives its configuration and endpoints within milliseconds unless
     * the store is unavailable, and a failure in the meantime would cost each caller its first attempt.
     */
    private async waitUntilReady(exchange: CallerExchange): Promise<void> {
        const { clock, isStoreReachable } = this.dependencies;
        const deadline = clock.now() + readyTimeout;
        while (!this.isReady && isStoreReachable() && clock.now() < deadline && !exchange.disconnected.aborted) {
            await clock.sleep(readyPollInterval);
        }
    }

    private handleError(exchange: CallerExchange, error: unknown): void {
        if (exchange.disconnected.aborted) {
            this.dependencies.metrics.count("callers_left_total");
            const elapsed = Math.round(this.dependencies.clock.now() - exchange.head.arrivedAt);
            this.dependencies.log.info("The caller has left.", { requestId: exchange.head.id, elapsed });
            return;
        }
        const failure = error instanceof RequestFailure
            ? error
            : new RequestFailure(FailureKind.Internal, Execution.Unknown, String(error));
        this.dependencies.metrics.count("failures_total", `kind="${failure.kind}"`);
        this.dependencies.log.warn("A request failed.", {
            requestId: exchange.head.id,
            elapsed: Math.round(this.dependencies.clock.now() - exchange.head.arrivedAt),
            promptTokens: exchange.head.size?.promptTokens,
            kind: failure.kind,
            execution: failure.execution,
            retryAfter: failure.retryAfterSeconds,
            reason: failure.message,
            stack: failure.kind === FailureKind.Internal && error instanceof Error ? error.stack : undefined,
        });
        exchange.fail(failure);
    }
}
