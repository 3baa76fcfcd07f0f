/** Plays a load pattern through the decisions of real entries, in simulated time and without sockets. */
import type { EntryCore } from "../core/entryCore.js";
import {
    type Customer,
    PlacementPolicy,
    RequestKind,
    type Route,
    type RoutingConfiguration,
} from "../types/routing.js";
import type { Milliseconds } from "../utils/clock.js";
import { FaultKind, type Pattern } from "./pattern.js";
import { customerName, replayArrivals, replayRandom } from "./replayArrivals.js";
import { type CallerRecord, callOnce } from "./simulatedCaller.js";
import { SimulatedClock } from "./simulatedClock.js";
import { type ReplayLine, SimulatedEntries } from "./simulatedEntries.js";
import { type EndpointArrival, replayService, type SimulatedEndpoint, SimulatedFleet } from "./simulatedFleet.js";

/** Entries meet before traffic starts. */
const warmUp: Milliseconds = 1_000;
/** After the last arrival, for what is in progress. */
const runOut: Milliseconds = 16_000;
/** How long entries take to learn of a change in the store. */
const changeDelay: Milliseconds = 50;
/** How long an endpoint that has gone stays on the list. */
const listedAfterLoss: Milliseconds = 3_600;

type Fault = Pattern["fault"][string];

/** How a pattern is played. */
export interface ReplayOptions {
    seed: number;
    /** In place of the pattern's own number. */
    entries?: number;
    policy?: PlacementPolicy;
    /** Whether entries tell one another what they place. */
    shared?: boolean;
}

/** What came of a replay. */
export interface ReplayResult {
    records: CallerRecord[];
    /** What the entries logged, with times from the start of traffic. */
    lines: ReplayLine[];
    /** Datagrams that entries sent to one another while traffic came. */
    datagrams: number;
    /** Requests that reached endpoints, with times from the start of traffic. */
    arrivals: EndpointArrival[];
}

/** Plays `pattern`; the same result for the same options. */
export const replay = async (pattern: Pattern, options: ReplayOptions): Promise<ReplayResult> => {
    const player = new Player(pattern, options);
    return await player.play();
};

class Player {
    private readonly clock = new SimulatedClock();
    private readonly random;
    private readonly fleet: SimulatedFleet;
    private readonly entries: SimulatedEntries;
    private readonly lines: ReplayLine[] = [];

    constructor(private readonly pattern: Pattern, private readonly options: ReplayOptions) {
        const { pattern: { entries, dataCentres, delay, loss } } = pattern;
        this.random = replayRandom(options.seed);
        this.fleet = new SimulatedFleet(pattern, this.clock);
        this.entries = new SimulatedEntries({
            clock: this.clock,
            random: this.random,
            fleet: this.fleet,
            count: options.entries ?? entries,
            dataCentres,
            policy: options.policy ?? PlacementPolicy.Predicted,
            shared: options.shared ?? true,
            delay,
            loss,
            lines: this.lines,
        });
        this.entries.configure(configurationOf(pattern, this.fleet));
        this.listEndpoints();
    }

    async play(): Promise<ReplayResult> {
        const { clock, pattern } = this;
        const records: CallerRecord[] = [];
        for (const arrival of replayArrivals(pattern, this.options.seed)) {
            clock.after(warmUp + arrival.at, () => {
                const parts = { clock, fleet: this.fleet, pickEntry: () => this.pickEntry() };
                void callOnce(parts, arrival, pattern.kind[arrival.kind]!).then(record => records.push(record));
            });
        }
        for (const fault of Object.values(pattern.fault)) {
            clock.after(warmUp + fault.at * 1_000, () => this.begin(fault));
        }
        await clock.run(warmUp);
        const before = this.entries.sent;
        const traffic = pattern.pattern.seconds * 1_000;
        await clock.run(warmUp + traffic);
        const datagrams = this.entries.sent - before;
        await clock.run(warmUp + traffic + runOut);
        const lines = this.lines.map(line => ({ ...line, time: line.time - warmUp }));
        const arrivals = this.fleet.arrivals.map(arrival => ({ ...arrival, at: arrival.at - warmUp }));
        return {
            records: records.sort((left, right) => left.arrival.at - right.arrival.at),
            lines,
            datagrams,
            arrivals,
        };
    }

    private pickEntry(): EntryCore {
        const { entries } = this.entries;
        return entries[Math.floor(this.random.next() * entries.length)]!;
    }

    private begin(fault: Fault): void {
        const { clock } = this;
        const seconds = fault.seconds * 1_000;
        const hit = this.pick(fault);
        switch (fault.type) {
            case FaultKind.Lost:
                this.lose(hit);
                clock.after(seconds, () => this.bringBack(hit));
                return;
            case FaultKind.Silent:
                setAll(hit, endpoint => endpoint.silent = true);
                clock.after(seconds, () => setAll(hit, endpoint => endpoint.silent = false));
                return;
            case FaultKind.Slow:
                setAll(hit, ({ engine }) => engine.passTimeFactor = fault.strength);
                clock.after(seconds, () => setAll(hit, ({ engine }) => engine.passTimeFactor = 1));
                return;
            case FaultKind.Limited:
                setAll(hit, endpoint => endpoint.limitPerSecond = fault.strength);
                clock.after(seconds, () => setAll(hit, endpoint => endpoint.limitPerSecond = undefined));
                return;
            case FaultKind.Out:
                for (const name of new Set(hit.map(({ record }) => record.dataCentre))) {
                    clock.after(changeDelay, () => this.entries.setOut(name, true));
                    clock.after(seconds, () => this.entries.setOut(name, false));
                }
                return;
            case FaultKind.EntriesCut: {
                const cut = this.pickEntries(fault);
                this.entries.cut(cut, true);
                clock.after(seconds, () => this.entries.cut(cut, false));
                return;
            }
        }
    }

    private pickEntries({ dataCentre, share }: Fault): EntryCore[] {
        const fitting = this.entries.entries.filter(({ dataCentre: name }) =>
            dataCentre === undefined || name === `centre-${dataCentre}`
        );
        return fitting.slice(0, Math.ceil(share * fitting.length));
    }

    private pick({ dataCentre, share }: Fault): SimulatedEndpoint[] {
        const fitting = this.fleet.endpoints.filter(({ record }) =>
            dataCentre === undefined || record.dataCentre === `centre-${dataCentre}`
        );
        const shuffled = fitting.map(endpoint => ({ endpoint, order: this.random.next() }))
            .sort((left, right) => left.order - right.order);
        return shuffled.slice(0, Math.ceil(share * fitting.length)).map(({ endpoint }) => endpoint);
    }

    private lose(endpoints: readonly SimulatedEndpoint[]): void {
        setAll(endpoints, ({ engine }) => engine.crash());
        this.clock.after(listedAfterLoss, () => this.listEndpoints());
    }

    private bringBack(endpoints: readonly SimulatedEndpoint[]): void {
        const { coldSeconds } = this.pattern.pattern;
        setAll(endpoints, ({ engine, record }) => {
            engine.revive();
            record.incarnation++;
            record.coldFor = coldSeconds * 1_000;
        });
        this.clock.after(changeDelay, () => this.listEndpoints());
        this.clock.after(coldSeconds * 1_000, () => setAll(endpoints, ({ record }) => record.coldFor = 0));
    }

    private listEndpoints(): void {
        const living = this.fleet.endpoints.filter(({ engine }) => !engine.isDead);
        this.entries.list(living.map(({ record }) => ({ ...record })));
    }
}

const setAll = (endpoints: readonly SimulatedEndpoint[], change: (endpoint: SimulatedEndpoint) => void): void => {
    for (const endpoint of endpoints) {
        change(endpoint);
    }
};

/** Each customer's key is its name. */
const customersOf = (count: number): Customer[] | undefined =>
    count === 0 ? undefined : [...Array(count).keys()].map(index => {
        const name = customerName(index + 1);
        return { name, keys: [name], priority: undefined };
    });

/** A route for each kind, all to the engines. */
const configurationOf = (pattern: Pattern, fleet: SimulatedFleet): RoutingConfiguration => ({
    version: 1,
    routes: Object.entries(pattern.kind).map(([name, kind]): Route => ({
        name,
        host: "replay",
        pathPrefix: `/${name}/`,
        kind: RequestKind.Streaming,
        timeout: kind.timeout,
        targetLatency: kind.target,
        targetGap: kind.targetGap,
        attempts: 2,
        priority: 1,
        shares: [{ service: replayService, weight: 1 }],
        open: pattern.pattern.customers === 0,
        resumable: true,
    })),
    services: [{
        name: replayService,
        healthPath: "/",
        connectionsAtMost: 1_000,
        coldRequestsPerSecond: pattern.pattern.coldPerSecond,
        engine: fleet.profile,
    }],
    customers: customersOf(pattern.pattern.customers),
    limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeout: 5_000, idleTimeout: 15_000 },
});
