/** Simulates connections from entries to endpoints, their own ones and those that another entry carries. */
import type { LinkTracker } from "../core/reachability/linkTracker.js";
import type { RelayGuard } from "../core/reachability/relayGuard.js";
import { ConnectFailure } from "../ports/forwardingPorts.js";
import type { EndpointRecord } from "../types/routing.js";
import type { Clock, Milliseconds } from "../utils/clock.js";
import type { SimulatedLink, SimulatedLinks } from "./simulatedLinks.js";

/** An entry as a carrier of other entries' connections. */
export interface SimulatedRelay {
    entry: string;
    links: LinkTracker;
    guard: RelayGuard;
}

/** How the instance of an endpoint answers new connections. */
export enum ListenState {
    Accepting = "accepting",
    Refusing = "refusing",
    Unresponsive = "unresponsive",
}

/** An open connection. */
export interface SimulatedConnection {
    link: SimulatedLink;
    /** The entry that the endpoint sees. */
    entry: string;
    /** One-way delay. */
    delay: Milliseconds;
    isReused: boolean;
}

/** An attempt to connect. */
export interface ConnectOptions {
    /** The entry that wants the connection. */
    entry: string;
    endpoint: EndpointRecord;
    timeout: Milliseconds;
    /** Address of the entry that carries the connection; undefined for an own one. */
    relay?: string;
    mayReuse?: boolean;
    signal?: AbortSignal;
}

/** Opens connections. */
export class SimulatedConnections {
    private readonly relayByAddress = new Map<string, SimulatedRelay>();

    constructor(
        private readonly clock: Clock,
        private readonly links: SimulatedLinks,
        private readonly transitDelay: Milliseconds,
        private readonly listenStateOf: (endpoint: EndpointRecord) => ListenState,
    ) {}

    /** Adds the entry at `address` as a carrier. */
    addRelay(address: string, relay: SimulatedRelay): void {
        this.relayByAddress.set(address, relay);
    }

    /**
     * Resolves with the connection, or with why there is none. An own connection is open once its request has arrived, so the
     * handshake takes no time of its own.
     */
    async connect(options: ConnectOptions): Promise<SimulatedConnection | ConnectFailure> {
        const { entry, endpoint, relay, mayReuse = false } = options;
        if (relay !== undefined) {
            return await this.connectByRelay(relay, options);
        }
        const link = this.links.between(entry, endpoint.id);
        if (mayReuse && link.takeIdleConnection()) {
            return { link, entry, delay: this.transitDelay, isReused: true };
        }
        const failure = await this.open(link, options);
        return failure ?? { link, entry, delay: this.transitDelay, isReused: false };
    }

    private async connectByRelay(
        address: string,
        options: ConnectOptions,
    ): Promise<SimulatedConnection | ConnectFailure> {
        const { endpoint } = options;
        const relay = this.relayByAddress.get(address);
        await this.clock.sleep(this.transitDelay);
        if (!relay?.guard.admit({ endpoint: endpoint.id, address: endpoint.address })) {
            await this.clock.sleep(this.transitDelay);
            return ConnectFailure.RelayUnavailable;
        }
        const link = this.links.between(relay.entry, endpoint.id);
        const startedAt = this.clock.now();
        const failure = await this.open(link, options);
        if (failure === undefined) {
            relay.links.recordConnected(endpoint);
            await this.clock.sleep(this.transitDelay);
            return { link, entry: relay.entry, delay: 2 * this.transitDelay, isReused: false };
        }
        const isJudged = await relay.guard.judgesFailure(endpoint, startedAt);
        await this.clock.sleep(this.transitDelay);
        return isJudged ? failure : ConnectFailure.RelayUnavailable;
    }

    private async open(
        link: SimulatedLink,
        { endpoint, timeout, signal }: ConnectOptions,
    ): Promise<ConnectFailure | undefined> {
        const state = this.listenStateOf(endpoint);
        if (link.hangsNewConnections || state === ListenState.Unresponsive) {
            await this.clock.sleep(timeout, signal);
            return ConnectFailure.NoResponse;
        }
        await this.clock.sleep(this.transitDelay);
        if (!link.failure && state === ListenState.Accepting) {
            return undefined;
        }
        await this.clock.sleep(this.transitDelay);
        return ConnectFailure.Refused;
    }
}
