/** Forwards callers' requests: one task a request, from its head to the last byte of its answer. */
import type { CallerExchange } from "../../ports/forwardingPorts.js";
import type { Milliseconds } from "../../utils/clock.js";
import { Execution, FailureKind, RequestFailure } from "../failures.js";
import { admit } from "./admission.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { RequestTask } from "./requestTask.js";

/** How long a request waits in a process that is about to know its configuration, and how often it looks. */
const readyWithin: Milliseconds = 300;
const readyLook: Milliseconds = 5;
/** When to come back before the first list of endpoints is read. */
const notListedRetrySeconds = 0.5;

/** Serves callers' exchanges. */
export class Forwarder {
    private readonly running = new Map<CallerExchange, string>();

    constructor(private readonly parts: ForwardingParts) {}

    /** Whether requests can be placed: configuration and endpoints are known. */
    get ready(): boolean {
        return this.parts.configuration.routes !== undefined && this.parts.directory.ready;
    }

    /** Requests that are being served. */
    get active(): number {
        return this.running.size;
    }

    /** Identifiers of these requests. */
    get inProgress(): string[] {
        return [...this.running.values()];
    }

    /** Serves one request to its end. Never rejects. */
    async serve(exchange: CallerExchange): Promise<void> {
        this.running.set(exchange, exchange.head.id);
        try {
            await this.forward(exchange);
        }
        catch (error) {
            this.fail(exchange, error);
        }
        finally {
            this.running.delete(exchange);
        }
    }

    private async forward(exchange: CallerExchange): Promise<void> {
        const { configuration, directory, random, repeats, metrics } = this.parts;
        await this.untilReady(exchange);
        const admission = admit(exchange.head, configuration.routes, random);
        if (!directory.ready) {
            const detail = "this entry has not learned its endpoints yet";
            throw new RequestFailure(FailureKind.NoEndpoint, Execution.NotRun, detail, notListedRetrySeconds);
        }
        repeats.recordRequest(admission.service.name);
        metrics.count("requests_total", `kind="${admission.route.kind}"`);
        const limits = configuration.routes!.configuration.limits;
        const body = await exchange.readBody(limits.bodyBytes);
        await new RequestTask(this.parts, exchange, { ...exchange.head, body }, admission).run();
    }

    /**
     * A process that has just started knows within milliseconds what to do with a request, unless the store is away. Callers
     * that are let in already would lose their first try to a refusal.
     */
    private async untilReady(exchange: CallerExchange): Promise<void> {
        const { clock, reads } = this.parts;
        const until = clock.now() + readyWithin;
        while (!this.ready && reads() && clock.now() < until && !exchange.disconnected.aborted) {
            await clock.sleep(readyLook);
        }
    }

    private fail(exchange: CallerExchange, error: unknown): void {
        if (exchange.disconnected.aborted) {
            this.parts.metrics.count("callers_left_total");
            const elapsed = Math.round(this.parts.clock.now() - exchange.head.arrivedAt);
            this.parts.log.info("The caller has left.", { requestId: exchange.head.id, elapsed });
            return;
        }
        const failure = error instanceof RequestFailure
            ? error
            : new RequestFailure(FailureKind.Internal, Execution.Unknown, String(error));
        this.parts.metrics.count("failures_total", `kind="${failure.kind}"`);
        this.parts.log.warn("A request failed.", {
            requestId: exchange.head.id,
            elapsed: Math.round(this.parts.clock.now() - exchange.head.arrivedAt),
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
