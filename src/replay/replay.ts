/** Replays a load pattern through the production code of the entries, in simulated time and without sockets. */
import type { EntryCore } from "../core/entryCore.js";
import type { SchedulingSettings } from "../core/scheduling/schedulingPolicy.js";
import {
    type Customer,
    PlacementPolicy,
    RequestKind,
    type Route,
    type RoutingConfiguration,
} from "../types/routing.js";
import type { Milliseconds } from "../utils/clock.js";
import { shuffle } from "../utils/random.js";
import type { HeldMemory } from "./memoryWatch.js";
import { FaultType, type Pattern } from "./pattern.js";
import { type RepeatedTry, sendRepeatedly } from "./repeatedRequests.js";
import { createReplayRandom, customerName, generateReplayArrivals } from "./replayArrivals.js";
import { type CallerRecord, simulateCaller } from "./simulatedCaller.js";
import { SimulatedClock } from "./simulatedClock.js";
import { type ReplayLogLine, SimulatedEntries } from "./simulatedEntries.js";
import {
    type EndpointArrival,
    type EndpointCrash,
    type LeavingReport,
    replayServiceName,
    type SimulatedEndpoint,
    SimulatedFleet,
} from "./simulatedFleet.js";
import { LinkFailure } from "./simulatedLinks.js";

/** Time before traffic starts, in which the entries discover one another. */
const warmUpDuration: Milliseconds = 1_000;
/** Time after the end of traffic, in which requests in progress finish. */
const runOutDuration: Milliseconds = 16_000;
/** Delay until a change in the store reaches the entries. */
const storeChangeDelay: Milliseconds = 50;
/** How long a crashed endpoint stays in the list of endpoints. */
const crashDetectionDelay: Milliseconds = 3_600;
/** How long the list shows an endpoint that a request has crashed, and when a new one takes its place, cold. */
const requestCrashDetectionDelay: Milliseconds = 2_700;
const requestCrashRestartDelay: Milliseconds = 3_300;

type Fault = Pattern["fault"][string];

/** Options of a replay. */
export interface ReplayOptions {
    seed: number;
    /** Number of entries; overrides the number in the pattern. */
    entries?: number;
    policy?: PlacementPolicy;
    /** Whether entries publish their placements to one another. */
    sharesLoads?: boolean;
    /** Optional parts of the scheduling that differ from the default. */
    scheduling?: Partial<SchedulingSettings>;
}

/** Result of a replay. */
export interface ReplayResult {
    records: CallerRecord[];
    /** Log lines of all entries, with times from the start of traffic. */
    lines: ReplayLogLine[];
    /** Number of datagrams that entries sent to one another during the traffic. */
    datagrams: number;
    /** Number of placement questions among all datagrams. */
    placementQuestions: number;
    /** Arrivals of requests at endpoints, with times from the start of traffic. */
    arrivals: EndpointArrival[];
    /** Responses that reported that their endpoint shuts down, with times from the start of traffic. */
    leavingReports: LeavingReport[];
    /** Endpoints that a request crashed, with times from the start of traffic. */
    crashes: EndpointCrash[];
    /** Memory that was held for requests that had ended. */
    heldMemory: HeldMemory[];
    /** Tries of repeated requests, with times from the start of traffic. */
    repeatedTries: RepeatedTry[];
}

/** Replays `pattern`. The same options give the same result. */
export const replay = async (pattern: Pattern, options: ReplayOptions): Promise<ReplayResult> => {
    const runner = new ReplayRunner(pattern, options);
    return await runner.run();
};

class ReplayRunner {
    private readonly clock = new SimulatedClock();
    private readonly random;
    private readonly fleet: SimulatedFleet;
    private readonly entries: SimulatedEntries;
    private readonly lines: ReplayLogLine[] = [];
    /** Share of the first tries that one entry gets, besides its ordinary share of the rest. */
    private skewedShare = 0;

    constructor(private readonly pattern: Pattern, private readonly options: ReplayOptions) {
        const { pattern: { entries, dataCentres, delay, loss } } = pattern;
        this.random = createReplayRandom(options.seed);
        this.fleet = new SimulatedFleet(pattern, this.clock);
        this.fleet.onCrash = endpoint => this.replaceCrashed(endpoint);
        this.entries = new SimulatedEntries({
            clock: this.clock,
            random: this.random,
            fleet: this.fleet,
            count: options.entries ?? entries,
            dataCentres,
            policy: options.policy ?? PlacementPolicy.Predicted,
            sharesLoads: options.sharesLoads ?? true,
            scheduling: options.scheduling,
            delay,
            loss,
            lines: this.lines,
        });
        this.entries.adoptConfiguration(createConfiguration(pattern, this.fleet));
        this.publishEndpoints();
    }

    async run(): Promise<ReplayResult> {
        const { clock, pattern } = this;
        const records: CallerRecord[] = [];
        const repeatedTries: RepeatedTry[] = [];
        for (const arrival of generateReplayArrivals(pattern, this.options.seed)) {
            clock.after(warmUpDuration + arrival.at, () => {
                const dependencies = {
                    clock,
                    fleet: this.fleet,
                    pickEntry: (isFirstTry: boolean) => this.pickEntry(isFirstTry),
                };
                void simulateCaller(dependencies, arrival, pattern.kind[arrival.kind]!).then(record =>
                    records.push(record)
                );
            });
        }
        for (const [name, request] of Object.entries(pattern.repeated)) {
            const { entries } = this.entries;
            const dependencies = {
                clock,
                fleet: this.fleet,
                entryAt: (turn: number) => entries[turn % entries.length]!,
            };
            clock.after(warmUpDuration + request.at * 1_000, () => {
                for (let caller = 0; caller < request.callers; caller++) {
                    void sendRepeatedly(dependencies, pattern, { name, request, caller }, repeatedTries);
                }
            });
        }
        for (const fault of Object.values(pattern.fault)) {
            clock.after(warmUpDuration + fault.at * 1_000, () => this.startFault(fault));
        }
        this.fleet.watchMemory();
        await clock.run(warmUpDuration);
        const sentBeforeTraffic = this.entries.sentDatagramCount;
        const trafficDuration = pattern.pattern.seconds * 1_000;
        await clock.run(warmUpDuration + trafficDuration);
        const datagrams = this.entries.sentDatagramCount - sentBeforeTraffic;
        await clock.run(warmUpDuration + trafficDuration + runOutDuration);
        const lines = this.lines.map(line => ({ ...line, time: line.time - warmUpDuration }));
        const sinceTraffic = <Timed extends { at: Milliseconds; }>(timed: Timed): Timed => ({
            ...timed,
            at: timed.at - warmUpDuration,
        });
        const arrivals = this.fleet.arrivals.map(arrival => sinceTraffic(arrival));
        const leavingReports = this.fleet.leavingReports.map(report => sinceTraffic(report));
        return {
            records: records.sort((left, right) => left.arrival.at - right.arrival.at),
            lines,
            datagrams,
            placementQuestions: this.entries.sentQuestionCount,
            arrivals,
            leavingReports,
            crashes: this.fleet.crashes.map(crash => sinceTraffic(crash)),
            heldMemory: this.fleet.memoryWatch.held,
            repeatedTries: repeatedTries.map(attempt => sinceTraffic(attempt)),
        };
    }

    private pickEntry(isFirstTry: boolean): EntryCore {
        const { entries } = this.entries;
        if (isFirstTry && this.skewedShare > 0 && this.random.next() < this.skewedShare) {
            return entries[0]!;
        }
        return entries[Math.floor(this.random.next() * entries.length)]!;
    }

    private startFault(fault: Fault): void {
        const { clock } = this;
        const duration = fault.seconds * 1_000;
        const affected = this.pickEndpoints(fault);
        switch (fault.type) {
            case FaultType.Crashed:
                this.crashEndpoints(affected);
                clock.after(duration, () => this.reviveEndpoints(affected));
                return;
            case FaultType.PowerLost:
                this.cutPower(affected);
                clock.after(duration, () => this.restorePower(affected));
                return;
            case FaultType.Unresponsive:
                updateEndpoints(affected, endpoint => endpoint.isUnresponsive = true);
                clock.after(duration, () => updateEndpoints(affected, endpoint => endpoint.isUnresponsive = false));
                return;
            case FaultType.Paused:
                updateEndpoints(affected, ({ pause }) => pause.start(duration));
                return;
            case FaultType.Slow:
                updateEndpoints(affected, ({ engine }) => engine.passTimeFactor = fault.strength);
                clock.after(duration, () => updateEndpoints(affected, ({ engine }) => engine.passTimeFactor = 1));
                return;
            case FaultType.Limited:
                updateEndpoints(affected, endpoint => endpoint.limitPerSecond = fault.strength);
                clock.after(duration, () => updateEndpoints(affected, endpoint => endpoint.limitPerSecond = undefined));
                return;
            case FaultType.Refusing:
                updateEndpoints(affected, endpoint => endpoint.requestedPause = fault.strength * 1_000);
                clock.after(duration, () => updateEndpoints(affected, endpoint => endpoint.requestedPause = undefined));
                return;
            case FaultType.Leaving:
                updateEndpoints(affected, endpoint => endpoint.reportsLeaving = true);
                clock.after(duration, () => updateEndpoints(affected, endpoint => endpoint.reportsLeaving = false));
                return;
            case FaultType.ColdAgain:
                updateEndpoints(affected, endpoint => endpoint.reportedColdUntil = clock.now() + duration);
                return;
            case FaultType.DataCentreOut:
                for (const name of new Set(affected.map(({ record }) => record.dataCentre))) {
                    clock.after(storeChangeDelay, () => this.entries.setDataCentreOut(name, true));
                    clock.after(duration, () => this.entries.setDataCentreOut(name, false));
                }
                return;
            case FaultType.ConnectionsSkewed:
                this.skewedShare = fault.share;
                clock.after(duration, () => this.skewedShare = 0);
                return;
            case FaultType.DataCentresCut:
                this.entries.cutDataCentres = true;
                clock.after(duration, () => this.entries.cutDataCentres = false);
                return;
            case FaultType.EntriesPartitioned: {
                const partitioned = this.pickEntries(fault);
                this.entries.setPartitioned(partitioned, true);
                clock.after(duration, () => this.entries.setPartitioned(partitioned, false));
                return;
            }
            case FaultType.EntriesSplit:
                this.entries.setSplit(this.pickEntries(fault));
                clock.after(duration, () => this.entries.setSplit([]));
                return;
            case FaultType.EntriesDeaf:
                this.entries.setDeaf(this.pickEntries(fault));
                clock.after(duration, () => this.entries.setDeaf([]));
                return;
            case FaultType.LinksSilent:
                this.cutLinks(fault, LinkFailure.Silent);
                return;
            case FaultType.LinksReset:
                this.cutLinks(fault, LinkFailure.Reset);
                return;
            case FaultType.LinksRefusing:
                this.cutLinks(fault, LinkFailure.Refusing);
                return;
            case FaultType.LinksOneWay:
                this.cutLinks(fault, LinkFailure.OneWay);
                return;
        }
    }

    private cutLinks(fault: Fault, failure: LinkFailure): void {
        const { links } = this.fleet;
        const entries = this.pickEntries(fault).map(({ id }) => id);
        const endpoints = this.pickEndpoints({ ...fault, dataCentre: undefined, share: fault.endpointShare ?? 1 });
        links.cut(entries, endpoints.map(({ record }) => record.id), failure);
        this.clock.after(fault.seconds * 1_000, () => links.heal(entries));
    }

    private pickEntries({ dataCentre, share }: Fault): EntryCore[] {
        const candidates = this.entries.entries.filter(({ dataCentre: name }) =>
            dataCentre === undefined || name === `centre-${dataCentre}`
        );
        return candidates.slice(0, Math.ceil(share * candidates.length));
    }

    private pickEndpoints({ dataCentre, share }: Fault): SimulatedEndpoint[] {
        const candidates = this.fleet.endpoints.filter(({ record }) =>
            dataCentre === undefined || record.dataCentre === `centre-${dataCentre}`
        );
        return shuffle(candidates, this.random).slice(0, Math.ceil(share * candidates.length));
    }

    private crashEndpoints(endpoints: readonly SimulatedEndpoint[]): void {
        updateEndpoints(endpoints, ({ engine }) => engine.crash());
        this.clock.after(crashDetectionDelay, () => this.publishEndpoints());
    }

    private reviveEndpoints(endpoints: readonly SimulatedEndpoint[]): void {
        const { coldSeconds } = this.pattern.pattern;
        updateEndpoints(endpoints, ({ engine, record }) => {
            engine.revive();
            record.incarnation++;
            record.coldFor = coldSeconds * 1_000;
        });
        this.clock.after(storeChangeDelay, () => this.publishEndpoints());
        this.clock.after(coldSeconds * 1_000, () => updateEndpoints(endpoints, ({ record }) => record.coldFor = 0));
    }

    private cutPower(endpoints: readonly SimulatedEndpoint[]): void {
        updateEndpoints(endpoints, endpoint => {
            endpoint.powerLossCount++;
            endpoint.isUnresponsive = true;
            endpoint.engine.crash();
        });
        this.clock.after(crashDetectionDelay, () => this.publishEndpoints());
    }

    private restorePower(endpoints: readonly SimulatedEndpoint[]): void {
        updateEndpoints(endpoints, endpoint => this.startInPlaceOf(endpoint));
    }

    /** A new endpoint takes the place of one that a request has crashed. */
    private replaceCrashed(endpoint: SimulatedEndpoint): void {
        const { clock } = this;
        clock.after(requestCrashDetectionDelay, () => this.publishEndpoints());
        clock.after(requestCrashRestartDelay, () => this.startInPlaceOf(endpoint));
    }

    /** Starts a cold endpoint with an identifier of its own at the address of one that has ended. */
    private startInPlaceOf(endpoint: SimulatedEndpoint): void {
        const { coldSeconds } = this.pattern.pattern;
        const { id, incarnation } = endpoint.record;
        const place = id.split(".")[0]!;
        const record = { ...endpoint.record, id: `${place}.${incarnation}`, incarnation: incarnation + 1 };
        endpoint.record = { ...record, coldFor: coldSeconds * 1_000 };
        endpoint.isUnresponsive = false;
        endpoint.engine.revive();
        this.publishEndpoints();
        this.clock.after(coldSeconds * 1_000, () => endpoint.record.coldFor = 0);
    }

    private publishEndpoints(): void {
        const alive = this.fleet.endpoints.filter(({ engine }) => !engine.isDead);
        this.entries.publishEndpoints(alive.map(({ record }) => ({ ...record })));
    }
}

const updateEndpoints = (
    endpoints: readonly SimulatedEndpoint[],
    update: (endpoint: SimulatedEndpoint) => void,
): void => {
    for (const endpoint of endpoints) {
        update(endpoint);
    }
};

/** Creates the customers; each one's key is its name. */
const createCustomers = (count: number): Customer[] | undefined =>
    count === 0 ? undefined : [...Array(count).keys()].map(index => {
        const name = customerName(index + 1);
        return { name, keys: [name], priority: undefined };
    });

/** Creates a configuration with one route to the engines for each kind of request. */
const createConfiguration = (pattern: Pattern, fleet: SimulatedFleet): RoutingConfiguration => ({
    version: 1,
    routes: Object.entries(pattern.kind).map(([name, kind]): Route => ({
        name,
        host: "replay",
        pathPrefix: `/${name}/`,
        kind: RequestKind.Streaming,
        timeout: kind.timeout,
        targetLatency: kind.target,
        targetGap: kind.targetGap,
        attempts: kind.attempts,
        priority: kind.priority,
        shares: [{ service: replayServiceName, weight: 1 }],
        open: pattern.pattern.customers === 0,
        resumable: true,
    })),
    services: [{
        name: replayServiceName,
        healthPath: "/",
        connectionsAtMost: 1_000,
        coldRequestsPerSecond: pattern.pattern.coldPerSecond,
        engine: fleet.profile,
    }],
    customers: createCustomers(pattern.pattern.customers),
    limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeout: 5_000, idleTimeout: 15_000 },
});
