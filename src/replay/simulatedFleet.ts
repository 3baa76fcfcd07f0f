/** Engines in simulated time, as entries reach them: orders, memory set aside, deaths and silence. */
import {
    type AttemptOutcome,
    type EndpointAttempt,
    type EndpointPort,
    RefusalReason,
    StreamBrokenError,
    type StreamEvent,
} from "../ports/forwardingPorts.js";
import { type MemoryPort, type MemoryReservation, ReservationResult } from "../ports/memoryPort.js";
import { EngineFullError, HelperLostError, PassEngine } from "../standins/passEngine.js";
import { type EndpointRecord, EndpointState, type EngineProfile } from "../types/routing.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import { describeError } from "../utils/errors.js";
import { engineProfileOf, type Pattern } from "./pattern.js";

/** The service of all engines. */
export const replayService = "models";

/** One engine with its address and what is wrong with it. */
export interface SimulatedEndpoint {
    record: EndpointRecord;
    engine: PassEngine;
    silent: boolean;
    /** Requests a second that its answers name. */
    limitPerSecond: number | undefined;
}

/** A request that reached an endpoint. */
export interface EndpointArrival {
    endpoint: string;
    at: Milliseconds;
}

const noBytes = Buffer.alloc(0);

/** All engines of a replay. */
export class SimulatedFleet implements EndpointPort, MemoryPort {
    readonly profile: EngineProfile;
    readonly endpoints: readonly SimulatedEndpoint[];
    readonly arrivals: EndpointArrival[] = [];
    /** How much of a prompt each request that is in progress has been promised as events. */
    private readonly eventsOf = new Map<string, number>();

    constructor(private readonly pattern: Pattern, private readonly clock: Clock) {
        const { count, stallTime } = pattern.engines;
        const { dataCentres } = pattern.pattern;
        const profile = engineProfileOf(pattern);
        this.profile = profile;
        this.endpoints = [...Array(count).keys()].map(index => ({
            record: {
                id: `engine-${index}`,
                service: replayService,
                address: `10.0.0.${index}:80`,
                dataCentre: `centre-${index % dataCentres}`,
                slots: profile.slots,
                state: EndpointState.Ready,
                coldFor: 0,
                incarnation: 1,
            },
            engine: new PassEngine(profile, clock, stallTime),
            silent: false,
            limitPerSecond: undefined,
        }));
    }

    /** Notes how many events the whole answer of a request has. */
    expect(id: string, events: number): void {
        this.eventsOf.set(id, events);
    }

    async send(order: EndpointAttempt, signal: AbortSignal): Promise<AttemptOutcome> {
        const endpoint = this.at(order.endpoint.address);
        const { record, engine, silent } = endpoint;
        if (silent) {
            await this.clock.sleep(order.connectTimeout, signal);
            return { type: "Unreached", reason: "no connection in time", connectionRefused: false };
        }
        await this.travel();
        if (engine.isDead) {
            await this.travel();
            return { type: "Unreached", reason: "nobody listens", connectionRefused: true };
        }
        if (signal.aborted) {
            return { type: "Broken", reason: "cancelled" };
        }
        this.arrivals.push({ endpoint: record.id, at: this.clock.now() });
        const run = new Run(this.clock, this.delay, endpoint, signal, helper => this.addressOf(helper));
        return await run.begin(emit => this.run(order, engine, emit, signal));
    }

    async reserve(
        { id, endpoint, tokens }: MemoryReservation,
        hold: Milliseconds,
    ): Promise<ReservationResult> {
        const { engine, silent } = this.at(endpoint.address);
        await this.travel();
        if (silent || engine.isDead) {
            return ReservationResult.Unknown;
        }
        const held = engine.reserve(id, tokens, hold, false);
        await this.travel();
        return held ? ReservationResult.Held : ReservationResult.Refused;
    }

    async release({ id, endpoint }: MemoryReservation): Promise<boolean> {
        await this.travel();
        this.at(endpoint.address).engine.release(id);
        return true;
    }

    private run(
        { request, priority, lastEventId, helpers }: EndpointAttempt,
        engine: PassEngine,
        emit: (event: number) => void,
        signal: AbortSignal,
    ): Promise<void> {
        const work = {
            id: request.id,
            promptTokens: request.size?.promptTokens ?? 0,
            eventCount: this.eventsOf.get(request.id) ?? 1,
            deliveredEventCount: Number(lastEventId ?? 0),
            priority,
            helpers: helpers.map(({ address, reservationId }) => ({
                engine: this.at(address).engine,
                ticket: reservationId,
            })),
        };
        return engine.run(work, emit, signal);
    }

    private at(address: string): SimulatedEndpoint {
        return this.endpoints.find(({ record }) => record.address === address)!;
    }

    private addressOf(engine: PassEngine): string | undefined {
        return this.endpoints.find(endpoint => endpoint.engine === engine)?.record.address;
    }

    private get delay(): Milliseconds {
        return this.pattern.pattern.delay;
    }

    private travel(): Promise<void> {
        return this.clock.sleep(this.delay);
    }
}

/** The answer of one engine to one order, as it arrives. */
class Run implements AsyncIterableIterator<StreamEvent> {
    private readonly arrived: StreamEvent[] = [];
    private ended = false;
    private error: Error | undefined;
    private wake: () => void = () => {};
    private answer: (outcome: AttemptOutcome) => void = () => {};

    constructor(
        private readonly clock: Clock,
        private readonly delay: Milliseconds,
        private readonly endpoint: SimulatedEndpoint,
        signal: AbortSignal,
        private readonly addressOf: (engine: PassEngine) => string | undefined,
    ) {
        signal.addEventListener("abort", () => this.end(new StreamBrokenError("cancelled")), { once: true });
    }

    /** Starts `run`, and resolves with the head of the answer or with what became of it before. */
    begin(run: (emit: (event: number) => void) => Promise<void>): Promise<AttemptOutcome> {
        return new Promise(resolve => {
            this.answer = resolve;
            const started = async () => await run(event => this.later(() => this.take(event)));
            started().then(
                () => this.later(() => this.end()),
                (error: Error) => this.later(() => this.fail(error)),
            );
        });
    }

    [Symbol.asyncIterator](): this {
        return this;
    }

    async next(): Promise<IteratorResult<StreamEvent>> {
        for (;;) {
            const event = this.arrived.shift();
            if (event) {
                return { done: false, value: event };
            }
            if (this.error) {
                throw this.error;
            }
            if (this.ended) {
                return { done: true, value: undefined };
            }
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
    }

    return(): Promise<IteratorResult<StreamEvent>> {
        this.end();
        return Promise.resolve({ done: true, value: undefined });
    }

    private later(action: () => void): void {
        this.clock.after(this.delay, action);
    }

    private take(event: number): void {
        this.arrived.push({ id: String(event), bytes: noBytes });
        this.answer({
            type: "Streaming",
            head: { status: 200, headers: [] },
            events: this,
            limitPerSecond: this.endpoint.limitPerSecond,
        });
        this.wake();
    }

    private fail(error: Error): void {
        const refused = error instanceof EngineFullError;
        const atFault = error instanceof HelperLostError ? this.addressOf(error.helper) : undefined;
        this.answer(
            refused
                ? {
                    type: "Refused",
                    reason: RefusalReason.Busy,
                    coldFor: undefined,
                    atFault,
                    limitPerSecond: this.endpoint.limitPerSecond,
                }
                : { type: "Broken", reason: `${this.endpoint.record.id}: ${describeError(error)}` },
        );
        this.end(new StreamBrokenError(describeError(error)));
    }

    private end(error?: Error): void {
        this.ended = true;
        this.error ??= error;
        this.wake();
        this.answer({ type: "Broken", reason: "ended" });
    }
}
