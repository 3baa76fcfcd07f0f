/** Draws the planned work of a soak from its seed: stops, restarts, reloads and configurations that overlap; on request faults, too. */
import { Refusal } from "../../platform/standins/storeServer.js";
import type { Milliseconds } from "../../src/utils/clock.js";
import { type Random, shuffle } from "../../src/utils/random.js";

/** A signal of a series, counted from the start of the series. */
export interface SignalAt {
    after: Milliseconds;
    signal: NodeJS.Signals;
}

/** What a configuration of the soak varies. Durations in milliseconds. */
export interface ConfigurationValues {
    customers: number;
    idleTimeout: Milliseconds;
    headerTimeout: Milliseconds;
    timeout: Milliseconds;
    connections: number;
}

/** Something that happens to the site. `entry` and `replica` count from 0. */
export type PlannedAction =
    | { type: "Signals"; entry: number; signals: SignalAt[]; }
    /** The series begins when the process of the entry is next started. */
    | { type: "SignalsAtStart"; entry: number; signals: SignalAt[]; }
    /** Signals come until the process has ended. */
    | { type: "SignalsUntilEnd"; entry: number; interval: Milliseconds; }
    | { type: "Configurations"; configurations: ConfigurationValues[]; interval: Milliseconds; }
    | { type: "Settings"; entry: number; extraRetries: number; isAnnounced: boolean; }
    | { type: "Freeze"; entry: number; duration: Milliseconds; }
    | { type: "Kill"; entry: number; }
    | { type: "SilentReplica"; replica: number; duration: Milliseconds; }
    | { type: "RefusingStore"; entry: number; refusal: Refusal; duration: Milliseconds; };

/** An action and when it happens, counted from the start of the load. */
export interface PlannedStep {
    at: Milliseconds;
    action: PlannedAction;
}

/** Size of the soaked site. */
export interface SiteSize {
    entries: number;
    replicas: number;
}

const meanStopInterval: Milliseconds = 3_000;
const meanReloadInterval: Milliseconds = 2_500;
const meanConfigurationInterval: Milliseconds = 2_000;
const meanFaultInterval: Milliseconds = 4_000;
/** Longest time between two signals of a series. */
const maximumSignalInterval: Milliseconds = 1_000;
const maximumStoreOutage: Milliseconds = 4_000;
const maximumFreeze: Milliseconds = 2_500;
const replicaSilence: Milliseconds = 1_000;
/** A process hasn't loaded its modules or hasn't begun to listen within this time. */
const startDuration: Milliseconds = 400;

const stopSignals: readonly NodeJS.Signals[] = ["SIGTERM", "SIGTERM", "SIGTERM", "SIGINT", "SIGQUIT"];
const anySignals: readonly NodeJS.Signals[] = [...stopSignals, "SIGHUP", "SIGHUP"];

/** Draws values of a plan and of its clients. */
export class Draw {
    constructor(readonly random: Random) {}

    /** A number from `low` up to `high`. */
    between(low: number, high: number): number {
        return low + this.random.next() * (high - low);
    }

    /** A whole number from `low` to `high`, both included. */
    count(low: number, high: number): number {
        return Math.floor(this.between(low, high + 1));
    }

    pick<Item>(items: readonly Item[]): Item {
        return items[this.count(0, items.length - 1)]!;
    }

    chance(probability: number): boolean {
        return this.random.next() < probability;
    }

    /** A duration of any order of magnitude up to `maximum`, at least a millisecond. */
    duration(maximum: Milliseconds): Milliseconds {
        return maximum ** this.random.next();
    }

    list<Item>(count: number, drawItem: () => Item): Item[] {
        return Array.from({ length: count }, drawItem);
    }
}

/** Draws a configuration. */
export const drawConfiguration = (draw: Draw): ConfigurationValues => ({
    customers: draw.count(1, 40),
    idleTimeout: draw.pick([1_000, 2_000, 5_000, 15_000]),
    headerTimeout: draw.pick([500, 2_000, 5_000]),
    timeout: draw.pick([6_000, 9_000, 12_000]),
    connections: draw.pick([24, 48, 96]),
});

const inSeries = (draw: Draw, signals: readonly NodeJS.Signals[]): SignalAt[] => {
    let after = 0;
    return signals.map(signal => {
        const next = { after, signal };
        after += draw.duration(maximumSignalInterval);
        return next;
    });
};

/** A signal to stop, alone or among others: before it reloads alone, as a stop begins with the first signal to stop. */
const drawStop = (draw: Draw, entry: number): PlannedAction => {
    if (draw.chance(0.2)) {
        return { type: "SignalsUntilEnd", entry, interval: draw.pick([2, 10, 50]) };
    }
    const before = draw.list(draw.count(0, 2), (): NodeJS.Signals => "SIGHUP");
    const after = draw.list(draw.chance(0.3) ? 0 : draw.count(1, 5), () => draw.pick(anySignals));
    return { type: "Signals", entry, signals: inSeries(draw, [...before, draw.pick(stopSignals), ...after]) };
};

/** One entry stops, two after one another, or all at once, as when the whole site is restarted. */
const drawStops = (draw: Draw, { entries }: SiteSize): PlannedAction[] => {
    const everyone = shuffle(Array.from({ length: entries }, (...[, index]) => index), draw.random);
    const stopped = draw.chance(0.1) ? everyone : everyone.slice(0, draw.count(1, 2));
    const stops = stopped.map(entry => drawStop(draw, entry));
    if (!draw.chance(0.3)) {
        return stops;
    }
    const signals = inSeries(draw, draw.list(draw.count(1, 3), () => draw.pick(anySignals)));
    const delay = draw.between(0, startDuration);
    const late = signals.map(({ after, signal }) => ({ after: after + delay, signal }));
    return [...stops, { type: "SignalsAtStart", entry: stopped[0]!, signals: late }];
};

const drawReload = (draw: Draw, { entries }: SiteSize): PlannedAction[] => {
    const entry = draw.count(0, entries - 1);
    const signals = inSeries(draw, draw.list(draw.count(1, 4), (): NodeJS.Signals => "SIGHUP"));
    const change: PlannedAction = {
        type: "Settings",
        entry,
        extraRetries: draw.count(50, 200),
        isAnnounced: draw.chance(0.6),
    };
    return draw.chance(0.6) ? [change] : [change, { type: "Signals", entry, signals }];
};

const drawConfigurations = (draw: Draw): PlannedAction[] => [{
    type: "Configurations",
    configurations: draw.list(draw.count(1, 4), () => drawConfiguration(draw)),
    interval: draw.duration(maximumSignalInterval),
}];

const drawFault = (draw: Draw, { entries, replicas }: SiteSize): PlannedAction[] => {
    const entry = draw.count(0, entries - 1);
    const refusal = draw.pick([Refusal.Busy, Refusal.Reset, Refusal.Silent]);
    return [
        draw.pick<PlannedAction>([
            { type: "Freeze", entry, duration: draw.between(100, maximumFreeze) },
            { type: "Kill", entry },
            { type: "SilentReplica", replica: draw.count(0, replicas - 1), duration: replicaSilence },
            { type: "RefusingStore", entry, refusal, duration: draw.between(200, maximumStoreOutage) },
        ]),
    ];
};

/** Repeats what `drawActions` draws, at times with exponential intervals as those of independent operators. */
const recur = (
    draw: Draw,
    duration: Milliseconds,
    meanInterval: Milliseconds,
    drawActions: () => PlannedAction[],
): PlannedStep[] => {
    const steps: PlannedStep[] = [];
    const nextInterval = () => -Math.log(1 - draw.random.next()) * meanInterval;
    for (let at = nextInterval(); at < duration; at += nextInterval()) {
        steps.push(...drawActions().map(action => ({ at, action })));
    }
    return steps;
};

/** Draws the steps of a soak that lasts `duration`, in their order. */
export const drawPlan = (
    random: Random,
    size: SiteSize,
    duration: Milliseconds,
    hasFaults: boolean,
): PlannedStep[] => {
    const draw = new Draw(random);
    // A larger site has as many more stops and reloads, so that each of its entries has as many.
    const share = Math.min(1, 3 / size.entries);
    const steps = [
        ...recur(draw, duration, meanStopInterval * share, () => drawStops(draw, size)),
        ...recur(draw, duration, meanReloadInterval * share, () => drawReload(draw, size)),
        ...recur(draw, duration, meanConfigurationInterval, () => drawConfigurations(draw)),
        ...(hasFaults ? recur(draw, duration, meanFaultInterval, () => drawFault(draw, size)) : []),
    ];
    return steps.sort((first, second) => first.at - second.at);
};
