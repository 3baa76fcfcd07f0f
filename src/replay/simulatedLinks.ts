/** Simulates the links between entries and endpoints, and faults that cut some of them. */
import type { Clock, Milliseconds } from "../utils/clock.js";

/** What happens to the connections on a link that is cut. */
export enum LinkFailure {
    /** Open connections and new ones hang; what is under way arrives when the link is back. */
    Silent = "silent",
    /** Open connections are reset, and new ones are refused. */
    Reset = "reset",
    /** Open connections live on, and new ones are refused. */
    Refusing = "refusing",
    /** Requests on open connections arrive, and responses don't until the link is back. New connections hang. */
    OneWay = "oneWay",
}

/** Endpoints close idle connections after this time. */
const idleTimeout: Milliseconds = 4_000;

interface LinkCut {
    failure: LinkFailure;
    /** The endpoints that can't be reached. */
    endpoints: ReadonlySet<string>;
}

/** The link from one entry to one endpoint. */
export class SimulatedLink {
    failure: LinkFailure | undefined;
    /** When each idle connection is closed. */
    private idleConnections: Milliseconds[] = [];
    private readonly openConnections = new Set<() => void>();
    private heldActions: (() => void)[] = [];

    constructor(private readonly clock: Clock) {}

    /** Takes an idle connection that an earlier request has left open; returns whether there was one. */
    takeIdleConnection(): boolean {
        const now = this.clock.now();
        this.idleConnections = this.idleConnections.filter(closesAt => now < closesAt);
        return this.idleConnections.pop() !== undefined;
    }

    /** Records that a request has ended, and that its connection stays open. */
    recordIdle(): void {
        this.idleConnections.push(this.clock.now() + idleTimeout);
    }

    /** Whether new connections get no response; they are refused otherwise. */
    get hangsNewConnections(): boolean {
        return this.failure === LinkFailure.Silent || this.failure === LinkFailure.OneWay;
    }

    /** Whether what is sent to the endpoint is held up. */
    get holdsRequests(): boolean {
        return this.failure === LinkFailure.Silent;
    }

    /** Calls `onReset` when the connection is reset, until the returned function is called. */
    openConnection(onReset: () => void): () => void {
        this.openConnections.add(onReset);
        return () => this.openConnections.delete(onReset);
    }

    /** Runs `action`, the arrival of a response at the entry, now or when the link is back. */
    deliver(action: () => void): void {
        if (this.hangsNewConnections) {
            this.heldActions.push(action);
            return;
        }
        action();
    }

    /** Resolves when requests on open connections get through. */
    async untilOpen(): Promise<void> {
        while (this.holdsRequests) {
            await new Promise<void>(resolve => this.heldActions.push(resolve));
        }
    }

    cut(failure: LinkFailure): void {
        this.failure = failure;
        if (failure === LinkFailure.Reset) {
            this.idleConnections = [];
            for (const reset of [...this.openConnections]) {
                reset();
            }
        }
    }

    heal(): void {
        this.failure = undefined;
        const held = this.heldActions;
        this.heldActions = [];
        for (const action of held) {
            action();
        }
    }
}

/** All links of a replay. */
export class SimulatedLinks {
    private readonly links = new Map<string, SimulatedLink>();
    private readonly cutByEntry = new Map<string, LinkCut>();

    constructor(private readonly clock: Clock) {}

    /** The link from `entry` to `endpoint`. */
    between(entry: string, endpoint: string): SimulatedLink {
        const key = `${entry}/${endpoint}`;
        let link = this.links.get(key);
        if (!link) {
            link = new SimulatedLink(this.clock);
            this.links.set(key, link);
            const cut = this.cutByEntry.get(entry);
            if (cut?.endpoints.has(endpoint)) {
                link.cut(cut.failure);
            }
        }
        return link;
    }

    /** Cuts the links from each of `entries` to each of `endpoints`. */
    cut(entries: readonly string[], endpoints: readonly string[], failure: LinkFailure): void {
        for (const entry of entries) {
            this.cutByEntry.set(entry, { failure, endpoints: new Set(endpoints) });
            for (const endpoint of endpoints) {
                this.between(entry, endpoint).cut(failure);
            }
        }
    }

    /** Restores all links of `entries`. */
    heal(entries: readonly string[]): void {
        for (const entry of entries) {
            const cut = this.cutByEntry.get(entry);
            this.cutByEntry.delete(entry);
            for (const endpoint of cut?.endpoints ?? []) {
                this.between(entry, endpoint).heal();
            }
        }
    }
}
