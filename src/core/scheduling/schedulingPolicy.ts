/** Decides which optional parts of the scheduling are on, by the settings and by the configuration in force. */
import type { Route, RoutingConfiguration } from "../../types/routing.js";

/** Whether an optional part is on. */
export enum PartSwitch {
    /** On where the configuration, or the platform, calls for the part. */
    Auto = "auto",
    On = "on",
    Off = "off",
}

/** The optional parts of the scheduling. */
export interface SchedulingSettings {
    /** Values of requests by rank. */
    ranks: PartSwitch;
    /** The wait queue of each service. */
    waitQueue: PartSwitch;
    /** Requests to cold endpoints that placers grant. */
    coldGrants: PartSwitch;
    /** Heartbeats by way of the placers. */
    heartbeatDigests: PartSwitch;
    /** Bounds on what is held for slow readers. */
    slowReaders: PartSwitch;
}

/** All parts by the configuration but the wait queue, which costs short prompts more than it gains beside values by rank. */
export const defaultSchedulingSettings: SchedulingSettings = {
    ranks: PartSwitch.Auto,
    waitQueue: PartSwitch.Off,
    coldGrants: PartSwitch.Auto,
    heartbeatDigests: PartSwitch.Auto,
    slowReaders: PartSwitch.Auto,
};

/** Priorities of the routes that send to one service. */
interface PriorityRange {
    highest: number;
    lowest: number;
}

/** Dependencies of {@link SchedulingPolicy}. */
export interface SchedulingPolicyDependencies {
    settings: () => SchedulingSettings;
    /** The configuration in force; undefined until there is one. */
    configuration: () => RoutingConfiguration | undefined;
    /** Whether a few entries choose endpoints for all; false by default. */
    hasPlacers?: () => boolean;
}

/** Answers which optional parts are on. */
export class SchedulingPolicy {
    private rangesOf: RoutingConfiguration | undefined;
    private rangeByService = new Map<string, PriorityRange>();

    constructor(private readonly dependencies: SchedulingPolicyDependencies) {}

    /** Whether requests of the service are ordered by rank. */
    usesRanks(service: string): boolean {
        return isOn(this.dependencies.settings().ranks, () => this.hasRanks(service));
    }

    /**
     * Whether long prompts of the service wait in a queue. `auto` is on only where placers keep it: the queues of entries that
     * choose for themselves don't know one another's waiters.
     */
    usesWaitQueue(service: string): boolean {
        const { settings, hasPlacers } = this.dependencies;
        return isOn(settings().waitQueue, () => this.hasRanks(service) && (hasPlacers?.() ?? false));
    }

    /** Whether placers grant requests to cold endpoints. */
    usesColdGrants(hasPlacers: boolean): boolean {
        return hasPlacers && isOn(this.dependencies.settings().coldGrants, () => true);
    }

    /** Whether heartbeats go by way of the placers. */
    usesHeartbeatDigests(hasPlacers: boolean): boolean {
        return hasPlacers && isOn(this.dependencies.settings().heartbeatDigests, () => true);
    }

    /** Whether what is held for slow readers is bounded; `isExpected`: the platform announces slow readers. */
    boundsSlowReaders(isExpected: boolean): boolean {
        return isOn(this.dependencies.settings().slowReaders, () => isExpected);
    }

    /**
     * Rank of a request, 0 for the most urgent kind of its service. The priority of the route counts: a customer's own
     * priority says how customers compare, and would hide how urgent their kinds of requests are.
     */
    rankOf(route: Route, service: string): number {
        return this.usesRanks(service) ? route.priority - (this.range(service)?.highest ?? route.priority) : 0;
    }

    private hasRanks(service: string): boolean {
        const range = this.range(service);
        return range !== undefined && range.highest !== range.lowest;
    }

    private range(service: string): PriorityRange | undefined {
        const configuration = this.dependencies.configuration();
        if (configuration && configuration !== this.rangesOf) {
            this.rangesOf = configuration;
            this.rangeByService = collectRanges(configuration);
        }
        return this.rangeByService.get(service);
    }
}

const isOn = (setting: PartSwitch, isCalledFor: () => boolean): boolean => {
    switch (setting) {
        case PartSwitch.Auto:
            return isCalledFor();
        case PartSwitch.On:
            return true;
        case PartSwitch.Off:
            return false;
    }
};

/** Finds the highest and the lowest priority of the routes of each service. */
const collectRanges = ({ routes }: RoutingConfiguration): Map<string, PriorityRange> => {
    const ranges = new Map<string, PriorityRange>();
    for (const { priority, shares } of routes) {
        for (const { service } of shares) {
            const { highest, lowest } = ranges.get(service) ?? { highest: priority, lowest: priority };
            ranges.set(service, { highest: Math.min(highest, priority), lowest: Math.max(lowest, priority) });
        }
    }
    return ranges;
};
