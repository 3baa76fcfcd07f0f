/** Passes the events of a stream on to its caller, over all endpoints that continue it. */
import type { CallerExchange, ResponseHead, StreamEvent } from "../../ports/forwardingPorts.js";
import { StreamBrokenError } from "../../ports/forwardingPorts.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { Metrics } from "../metrics.js";

/** One caller's stream. */
export class StreamRelay {
    /** Whether the caller has the head of an answer. */
    begun = false;
    /** The last event that the caller has whole. */
    lastEvent: string | undefined;
    /** Times since the request's arrival. */
    firstEventAfter: Milliseconds | undefined;
    longestPause: Milliseconds = 0;
    /** When the first event was predicted to come, since the arrival. */
    predicted: Milliseconds = 0;
    private eventAt: Milliseconds | undefined;

    constructor(
        private readonly clock: Clock,
        private readonly metrics: Metrics,
        private readonly exchange: CallerExchange,
    ) {
        this.lastEvent = exchange.head.resumeAfter;
    }

    /** Whether another endpoint can go on behind what the caller has. */
    get canContinue(): boolean {
        return !this.begun || this.lastEvent !== undefined;
    }

    /** Time since the caller had an event, or since it asked. */
    get sinceLastEvent(): Milliseconds {
        return this.clock.now() - this.exchange.head.arrivedAt - (this.eventAt ?? 0);
    }

    /** Passes all events of one endpoint; calls `onFirst` with the first. Throws when the stream breaks off. */
    async pass(head: ResponseHead, events: AsyncIterable<StreamEvent>, onFirst: () => void): Promise<void> {
        let writing = false;
        for await (const event of events) {
            if (!writing) {
                writing = true;
                onFirst();
            }
            this.checkOrder(event);
            this.noteTime();
            this.begin(head);
            this.lastEvent = event.id ?? this.lastEvent;
            await this.exchange.write(event.bytes);
        }
        this.begin(head);
    }

    private begin(head: ResponseHead): void {
        if (!this.begun) {
            this.begun = true;
            this.exchange.beginStream(head);
        }
    }

    /**
     * Events come in the order of their identifiers. A late answer to an earlier run, or one that a faulty endpoint
     * repeats, would reach the caller as events twice or out of order.
     */
    private checkOrder({ id }: StreamEvent): void {
        if (id !== undefined && this.lastEvent !== undefined && Number(id) <= Number(this.lastEvent)) {
            throw new StreamBrokenError(`event ${id} came after event ${this.lastEvent}`);
        }
    }

    private noteTime(): void {
        const now = Math.round(this.clock.now() - this.exchange.head.arrivedAt);
        if (this.firstEventAfter === undefined) {
            this.firstEventAfter = now;
            this.metrics.observe("first_event_milliseconds", now);
            const error = now - this.predicted;
            this.metrics.observe(
                "prediction_error_milliseconds",
                Math.abs(error),
                `side="${error > 0 ? "late" : "early"}"`,
            );
        }
        this.longestPause = Math.max(this.longestPause, now - (this.eventAt ?? now));
        this.eventAt = now;
    }
}
