/** Simulates the engines of a replay as entries reach them: attempts, memory reservations, crashes and stalls. */
import {
    type AttemptOutcome,
    ConnectionCheck,
    connectionCheckOf,
    type EndpointAttempt,
    type EndpointPort,
    type EndpointReport,
    RefusalReason,
    type ReportListener,
    StreamBrokenError,
    type StreamEvent,
} from "../ports/forwardingPorts.js";
import { type MemoryPort, type MemoryReservation, ReservationResult } from "../ports/memoryPort.js";
import { EngineFullError, HelperLostError, PassEngine } from "../standins/passEngine.js";
import { type EndpointRecord, EndpointState, type EngineProfile } from "../types/routing.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import { describeError } from "../utils/errors.js";
import { MemoryWatch } from "./memoryWatch.js";
import { createEngineProfile, type Pattern } from "./pattern.js";
import { ProcessPause } from "./processPause.js";
import type { CrashPeriod } from "./replayArrivals.js";
import { ListenState, SimulatedConnections } from "./simulatedConnections.js";
import { type SimulatedLink, SimulatedLinks } from "./simulatedLinks.js";

/** Name of the service that all engines belong to. */
export const replayServiceName = "models";

/** One engine with its endpoint record and its injected faults. */
export interface SimulatedEndpoint {
    record: EndpointRecord;
    engine: PassEngine;
    isUnresponsive: boolean;
    /** Whether its process stands still. */
    pause: ProcessPause;
    /** How often the instance has lost power. What a process sent or ran before that never ends for its callers. */
    powerLossCount: number;
    /** Limit in requests per second that responses advertise. */
    limitPerSecond: number | undefined;
    /** Set while the endpoint refuses all requests: the pause that it asks the entries for. */
    requestedPause: Milliseconds | undefined;
    /** Whether responses report that the endpoint shuts down. */
    reportsLeaving: boolean;
    /** When the endpoint, which became cold again, is warm by what its responses report. */
    reportedColdUntil: Milliseconds;
}

/** Arrival of a request at an endpoint. */
export interface EndpointArrival {
    endpoint: string;
    at: Milliseconds;
    /** The entry that sent the request. */
    entry: string;
    requestId: string;
    /** Whether the endpoint refused the request and asked for a pause. */
    asksForPause: boolean;
    /** Whether the endpoint was cold again, which its response reports. */
    isCold: boolean;
}

/** The end of an endpoint that began to run a request that crashes it. */
export interface EndpointCrash {
    endpoint: string;
    at: Milliseconds;
    requestId: string;
}

/** A response that reported that its endpoint shuts down, when it reached the entry. */
export interface LeavingReport {
    endpoint: string;
    entry: string;
    at: Milliseconds;
}

/** How often the memory of the engines is looked at. */
const memorySampleInterval: Milliseconds = 50;
/** How long an endpoint lives after it has begun to run a request that crashes it. */
const crashDelay: Milliseconds = 60;

/** All engines of a replay. */
export class SimulatedFleet {
    readonly profile: EngineProfile;
    readonly links: SimulatedLinks;
    readonly connections: SimulatedConnections;
    readonly endpoints: readonly SimulatedEndpoint[];
    readonly arrivals: EndpointArrival[] = [];
    readonly leavingReports: LeavingReport[] = [];
    readonly crashes: EndpointCrash[] = [];
    /** Memory that was held for requests that had ended. */
    readonly memoryWatch: MemoryWatch;
    /** Called when a request has crashed an endpoint. */
    onCrash: (endpoint: SimulatedEndpoint) => void = () => {};
    /** When each request crashes the engines that begin to run it, on the simulated clock. */
    private readonly crashPeriodByRequest = new Map<string, CrashPeriod>();
    /** Number of events in the complete response, by request id. */
    private readonly eventCountByRequest = new Map<string, number>();

    constructor(private readonly pattern: Pattern, private readonly clock: Clock) {
        const { count, stallTime } = pattern.engines;
        const { dataCentres } = pattern.pattern;
        const profile = createEngineProfile(pattern);
        this.profile = profile;
        this.memoryWatch = new MemoryWatch(clock);
        this.links = new SimulatedLinks(clock);
        this.connections = new SimulatedConnections(
            clock,
            this.links,
            this.transitDelay,
            endpoint => this.listenStateOf(endpoint),
        );
        this.endpoints = [...Array(count).keys()].map(index => ({
            record: {
                id: `engine-${index}`,
                service: replayServiceName,
                address: `10.0.0.${index}:80`,
                dataCentre: `centre-${index % dataCentres}`,
                slots: profile.slots,
                state: EndpointState.Ready,
                coldFor: 0,
                incarnation: 1,
            },
            engine: new PassEngine(profile, clock, stallTime),
            isUnresponsive: false,
            pause: new ProcessPause(clock),
            powerLossCount: 0,
            limitPerSecond: undefined,
            requestedPause: undefined,
            reportsLeaving: false,
            reportedColdUntil: 0,
        }));
    }

    /** Sets the number of events in the complete response to a request. */
    setEventCount(id: string, eventCount: number): void {
        this.eventCountByRequest.set(id, eventCount);
    }

    /** Makes the request crash each endpoint that begins to run it in `period`, on the simulated clock. */
    markCrashing(id: string, period: CrashPeriod): void {
        this.crashPeriodByRequest.set(id, period);
    }

    /** Watches the memory of all engines from now on. */
    watchMemory(): void {
        for (const { record, engine } of this.endpoints) {
            this.memoryWatch.sample(record.id, [...engine.reservations.values()]);
        }
        this.clock.after(memorySampleInterval, () => this.watchMemory());
    }

    /** Returns the port of one entry. */
    portOf(entry: string): EndpointPort {
        const port: EndpointPort = {
            onConnected: () => {},
            send: (attempt, signal, onReport) => this.send(entry, port, attempt, signal, onReport),
            checkConnection: (endpoint, timeout, relay) => this.checkConnection(entry, endpoint, timeout, relay),
            isReplaced: async ({ id, address }, ...[, timeout]) => {
                await this.clock.sleep(2 * this.transitDelay);
                const { record, pause } = this.findEndpoint(address);
                return await pause.hasEndedWithin(timeout) && record.id !== id;
            },
        };
        return port;
    }

    /** Returns the memory port of one entry. */
    memoryPortOf(entry: string): MemoryPort {
        return {
            reserve: (reservation, duration, timeout) => this.reserve(entry, reservation, duration, timeout),
            release: (reservation, timeout) => this.release(entry, reservation, timeout),
        };
    }

    private listenStateOf({ address }: EndpointRecord): ListenState {
        const { engine, isUnresponsive } = this.findEndpoint(address);
        if (isUnresponsive) {
            return ListenState.Unresponsive;
        }
        return engine.isDead ? ListenState.Refusing : ListenState.Accepting;
    }

    private async checkConnection(
        entry: string,
        endpoint: EndpointRecord,
        timeout: Milliseconds,
        relay?: string,
    ): Promise<ConnectionCheck> {
        const connection = await this.connections.connect({ entry, endpoint, timeout, relay });
        if (typeof connection === "string") {
            return connectionCheckOf(connection);
        }
        await this.clock.sleep(connection.delay);
        return ConnectionCheck.Accepted;
    }

    private async send(
        entry: string,
        port: EndpointPort,
        attempt: EndpointAttempt,
        signal: AbortSignal,
        onReport: ReportListener,
    ): Promise<AttemptOutcome> {
        const { connectTimeout: timeout, mayReuseConnection: mayReuse, relay } = attempt;
        const endpoint = this.findEndpoint(attempt.endpoint.address);
        const { record, engine } = endpoint;
        const connectOptions = { entry, endpoint: attempt.endpoint, timeout, relay, mayReuse, signal };
        const connection = await this.connections.connect(connectOptions);
        if (typeof connection === "string") {
            return { type: "Unreached", reason: `no connection: ${connection}`, failure: connection };
        }
        if (endpoint.isUnresponsive && endpoint.engine.isDead) {
            await untilAborted(signal);
            return { type: "Broken", reason: "cancelled" };
        }
        const { link, isReused, delay } = connection;
        if (!isReused && relay === undefined) {
            port.onConnected(record);
        }
        if (isReused || relay !== undefined) {
            await this.clock.sleep(delay);
        }
        const isOpen = await this.passLink(link, signal);
        const wasPaused = endpoint.pause.isPaused;
        await endpoint.pause.untilOver(signal);
        if (!isOpen || (wasPaused && signal.aborted) || engine.isDead) {
            return { type: "Broken", reason: "the connection was reset" };
        }
        if (record.id !== attempt.endpoint.id) {
            return { type: "Refused", reason: RefusalReason.WrongEndpoint, atFault: undefined };
        }
        const { requestedPause } = endpoint;
        this.arrivals.push({
            endpoint: record.id,
            at: this.clock.now(),
            entry: connection.entry,
            requestId: attempt.request.id,
            asksForPause: requestedPause !== undefined,
            isCold: this.clock.now() < endpoint.reportedColdUntil,
        });
        const reportReceived = (report: EndpointReport) => {
            if (report.isLeaving) {
                this.leavingReports.push({ endpoint: record.id, entry: connection.entry, at: this.clock.now() });
            }
            onReport(report);
        };
        if (requestedPause !== undefined) {
            const report = this.createReport(endpoint, false);
            await this.clock.sleep(delay);
            reportReceived({ ...report, retryAfter: requestedPause });
            return { type: "Refused", reason: RefusalReason.Busy, atFault: undefined };
        }
        const response = new SimulatedResponse(
            this.clock,
            delay,
            endpoint,
            link,
            signal,
            mayLiftLimit => reportReceived(this.createReport(endpoint, mayLiftLimit)),
            helper => this.findAddress(helper),
        );
        return await response.start(emit => this.runOnEngine(attempt, endpoint, emit, signal));
    }

    /** Waits until a request on an open connection gets through; resolves with false when the connection ends before. */
    private async passLink(link: SimulatedLink, signal: AbortSignal): Promise<boolean> {
        let isOpen = true;
        const hasEnded = new Promise<void>(resolve => {
            const end = () => {
                isOpen = false;
                resolve();
            };
            link.openConnection(end);
            signal.addEventListener("abort", end, { once: true });
        });
        await Promise.race([link.untilOpen(), hasEnded]);
        return isOpen;
    }

    private async reserve(
        entry: string,
        { id, endpoint, tokens, relay }: MemoryReservation,
        holdDuration: Milliseconds,
        timeout: Milliseconds,
    ): Promise<ReservationResult> {
        const connection = await this.connections.connect({ entry, endpoint, timeout, relay });
        if (typeof connection === "string") {
            return ReservationResult.Unknown;
        }
        const { record, engine, pause } = this.findEndpoint(endpoint.address);
        if (!await pause.hasEndedWithin(timeout)) {
            return ReservationResult.Unknown;
        }
        const isHeld = record.id === endpoint.id && engine.reserve(id, tokens, holdDuration, false);
        await this.clock.sleep(connection.delay);
        return isHeld ? ReservationResult.Held : ReservationResult.Refused;
    }

    private async release(
        entry: string,
        { id, endpoint, relay }: MemoryReservation,
        timeout: Milliseconds,
    ): Promise<boolean> {
        const connection = await this.connections.connect({ entry, endpoint, timeout, relay });
        if (typeof connection === "string") {
            return false;
        }
        const { engine, pause } = this.findEndpoint(endpoint.address);
        const isInTime = await pause.hasEndedWithin(timeout);
        engine.release(id);
        return isInTime;
    }

    private createReport(endpoint: SimulatedEndpoint, mayLiftLimit: boolean): EndpointReport {
        const coldFor = endpoint.reportedColdUntil - this.clock.now();
        return {
            limitPerSecond: endpoint.limitPerSecond,
            mayLiftLimit,
            coldFor: coldFor > 0 ? coldFor : undefined,
            retryAfter: undefined,
            isLeaving: endpoint.reportsLeaving,
        };
    }

    private runOnEngine(
        { request, priority, lastEventId, helpers }: EndpointAttempt,
        endpoint: SimulatedEndpoint,
        emit: (event: number) => void,
        signal: AbortSignal,
    ): Promise<void> {
        const { engine } = endpoint;
        const work = {
            id: request.id,
            promptTokens: request.size?.promptTokens ?? 0,
            eventCount: this.eventCountByRequest.get(request.id) ?? 1,
            deliveredEventCount: Number(lastEventId ?? 0),
            priority,
            helpers: helpers.map(({ address, reservationId }) => ({
                engine: this.findEndpoint(address).engine,
                ticket: reservationId,
            })),
        };
        const run = (emitEvent: (event: number) => void) =>
            this.memoryWatch.watchRun(request.id, () => engine.run(work, emitEvent, signal));
        const crashPeriod = this.crashPeriodByRequest.get(request.id);
        if (crashPeriod === undefined) {
            return run(emit);
        }
        let hasBegun = false;
        const emitAndCrash = (event: number) => {
            emit(event);
            const now = this.clock.now();
            if (!hasBegun && now >= crashPeriod.from && now < crashPeriod.until) {
                const isSilent = crashPeriod.isSilent ?? false;
                this.clock.after(crashDelay, () => this.crash(endpoint, request.id, isSilent));
            }
            hasBegun = true;
        };
        return run(emitAndCrash);
    }

    private crash(endpoint: SimulatedEndpoint, requestId: string, isSilent: boolean): void {
        if (endpoint.engine.isDead) {
            return;
        }
        if (isSilent) {
            endpoint.powerLossCount++;
            endpoint.isUnresponsive = true;
        }
        this.crashes.push({ endpoint: endpoint.record.id, at: this.clock.now(), requestId });
        endpoint.engine.crash();
        this.onCrash(endpoint);
    }

    private findEndpoint(address: string): SimulatedEndpoint {
        return this.endpoints.find(({ record }) => record.address === address)!;
    }

    private findAddress(engine: PassEngine): string | undefined {
        return this.endpoints.find(endpoint => endpoint.engine === engine)?.record.address;
    }

    private get transitDelay(): Milliseconds {
        return this.pattern.pattern.delay;
    }
}

const untilAborted = (signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal.aborted) {
            resolve();
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });

/** The response of one engine to one attempt, as its events arrive at the entry. */
class SimulatedResponse implements AsyncIterableIterator<StreamEvent> {
    private readonly receivedEvents: StreamEvent[] = [];
    private hasHead = false;
    private hasEnded = false;
    private error: Error | undefined;
    private notifyReader: () => void = () => {};
    private resolveOutcome: (outcome: AttemptOutcome) => void = () => {};
    private readonly closeConnection: () => void;
    private readonly powerLossCount: number;

    constructor(
        private readonly clock: Clock,
        private readonly transitDelay: Milliseconds,
        private readonly endpoint: SimulatedEndpoint,
        private readonly link: SimulatedLink,
        signal: AbortSignal,
        private readonly reportHead: (mayLiftLimit: boolean) => void,
        private readonly findAddress: (engine: PassEngine) => string | undefined,
    ) {
        this.powerLossCount = endpoint.powerLossCount;
        signal.addEventListener("abort", () => this.end(new StreamBrokenError("cancelled")), { once: true });
        this.closeConnection = link.openConnection(() => this.end(new StreamBrokenError("the connection was reset")));
    }

    /** Starts `run`. Resolves with the head of the response, or with the failure that came before it. */
    start(run: (emit: (event: number) => void) => Promise<void>): Promise<AttemptOutcome> {
        return new Promise(resolve => {
            this.resolveOutcome = resolve;
            const runEngine = async () => await run(event => this.afterTransit(() => this.receiveEvent(event)));
            runEngine().then(
                () => this.afterTransit(() => this.end()),
                (error: Error) => this.afterTransit(() => this.fail(error)),
            );
        });
    }

    [Symbol.asyncIterator](): this {
        return this;
    }

    async next(): Promise<IteratorResult<StreamEvent>> {
        for (;;) {
            const event = this.receivedEvents.shift();
            if (event) {
                return { done: false, value: event };
            }
            if (this.error) {
                throw this.error;
            }
            if (this.hasEnded) {
                return { done: true, value: undefined };
            }
            await new Promise<void>(resolve => {
                this.notifyReader = resolve;
            });
        }
    }

    return(): Promise<IteratorResult<StreamEvent>> {
        this.end();
        return Promise.resolve({ done: true, value: undefined });
    }

    private afterTransit(action: () => void): void {
        const deliver = () => {
            if (this.endpoint.powerLossCount === this.powerLossCount) {
                this.link.deliver(action);
            }
        };
        this.clock.after(this.transitDelay, () => this.endpoint.pause.run(deliver));
    }

    private receiveEvent(event: number): void {
        if (this.hasEnded) {
            return;
        }
        if (!this.hasHead) {
            this.hasHead = true;
            this.reportHead(true);
        }
        this.receivedEvents.push({ id: String(event), bytes: Buffer.from(String(event)) });
        this.resolveOutcome({
            type: "Streaming",
            head: { status: 200, headers: [] },
            events: this,
        });
        this.notifyReader();
    }

    private fail(error: Error): void {
        const isRefused = error instanceof EngineFullError;
        if (isRefused && !this.hasHead) {
            this.reportHead(false);
        }
        const atFault = error instanceof HelperLostError ? this.findAddress(error.helper) : undefined;
        this.resolveOutcome(
            isRefused
                ? {
                    type: "Refused",
                    reason: RefusalReason.Busy,
                    atFault,
                }
                : { type: "Broken", reason: `${this.endpoint.record.id}: ${describeError(error)}` },
        );
        this.end(new StreamBrokenError(describeError(error)));
    }

    private end(error?: Error): void {
        this.closeConnection();
        if (!this.hasEnded && !error) {
            this.link.recordIdle();
        }
        this.hasEnded = true;
        this.error ??= error;
        this.notifyReader();
        this.resolveOutcome({ type: "Broken", reason: "the response ended without an event" });
    }
}
