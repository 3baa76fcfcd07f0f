/** Relays the events of a stream to its caller, across all endpoints that continue it. */
import type { CallerExchange, ResponseHead, StreamEvent } from "../../ports/forwardingPorts.js";
import { StreamBrokenError } from "../../ports/forwardingPorts.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { Metrics } from "../metrics.js";

/** Called while the events of one endpoint are relayed, before each is written. */
export interface EventListeners {
    onFirst: () => void;
    onEvent: () => void;
}

/** The stream of one request. */
export class StreamRelay {
    /** Whether the response head was sent to the caller. */
    hasStarted = false;
    /** Identifier of the last event that the caller has received completely. */
    lastEventId: string | undefined;
    /** Time from the arrival of the request to its first event. */
    firstEventAfter: Milliseconds | undefined;
    longestPause: Milliseconds = 0;
    /** Predicted time of the first event, since the arrival of the request. */
    predictedFirstEvent: Milliseconds = 0;
    private lastEventAt: Milliseconds | undefined;

    constructor(
        private readonly clock: Clock,
        private readonly metrics: Metrics,
        private readonly exchange: CallerExchange,
    ) {
        this.lastEventId = exchange.head.lastEventId;
    }

    /** Whether another endpoint can continue after the last event that the caller has. */
    get canContinue(): boolean {
        return !this.hasStarted || this.lastEventId !== undefined;
    }

    /** Time since the last event, or since the arrival of the request when there was none. */
    get timeSinceLastEvent(): Milliseconds {
        return this.clock.now() - this.exchange.head.arrivedAt - (this.lastEventAt ?? 0);
    }

    /**
     * Events must arrive in the order of their identifiers. Otherwise a late response to an earlier attempt, or a stream that a
     * faulty endpoint repeats, would give the caller events twice or out of order. Throws if `event` isn't the next one.
     */
    checkOrder({ id }: StreamEvent): void {
        if (id !== undefined && this.lastEventId !== undefined && Number(id) <= Number(this.lastEventId)) {
            throw new StreamBrokenError(
                `expected increasing event identifiers, but event ${id} arrived after event ${this.lastEventId}`,
            );
        }
    }

    /** Relays all events of one endpoint. Throws when the stream breaks off. */
    async relayEvents(
        head: ResponseHead,
        events: AsyncIterable<StreamEvent>,
        { onFirst, onEvent }: EventListeners,
    ): Promise<void> {
        let hasFirstEvent = false;
        for await (const event of events) {
            this.checkOrder(event);
            if (!hasFirstEvent) {
                hasFirstEvent = true;
                onFirst();
            }
            onEvent();
            this.recordTime();
            this.start(head);
            this.lastEventId = event.id ?? this.lastEventId;
            await this.exchange.write(event.bytes);
        }
        this.start(head);
    }

    private start(head: ResponseHead): void {
        if (!this.hasStarted) {
            this.hasStarted = true;
            this.exchange.beginStream(head);
        }
    }

    private recordTime(): void {
        const now = Math.round(this.clock.now() - this.exchange.head.arrivedAt);
        if (this.firstEventAfter === undefined) {
            this.firstEventAfter = now;
            this.metrics.observe("first_event_milliseconds", now);
            const error = now - this.predictedFirstEvent;
            this.metrics.observe(
                "prediction_error_milliseconds",
                Math.abs(error),
                `side="${error > 0 ? "late" : "early"}"`,
            );
        }
        this.longestPause = Math.max(this.longestPause, now - (this.lastEventAt ?? now));
        this.lastEventAt = now;
    }
}
