/**
 * Chooses the endpoint for a request, and endpoints that help to read a long prompt.
 *
 * Load pattern: short prompts in number, every ten seconds another mix of prompts a hundred times as long. A long read
 * holds up the first event of all that come after it, and stretches every pause of those that write beside it. Work is
 * placed where the least value is lost: by the newcomer's first event, and by the pauses of those it joins.
 */
import { type EngineProfile, PlacementPolicy, type ServiceDefinition } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { Random } from "../../utils/random.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import { passTime, readTime, readTimeInPass, writeTime } from "./engineCost.js";
import type { FailureView } from "./failureView.js";
import type { EndpointLoad } from "./loadView.js";
import { chooseTeam, type TeamShare } from "./team.js";

/** A read this long is spread over helpers: it would hold up an endpoint for longer than short prompts can wait. */
const longRead: Milliseconds = 800;
/** Writers that short prompts are packed to on one endpoint; each further one stretches the pauses of all. */
const writersPacked = 7;
/** A read up to this time goes beside writers; it lengthens one pause by its own time at most. */
const shortRead: Milliseconds = 100;
/** Part of a target from which on a prediction begins to count as late, and where it counts in full. */
const lateFrom = 0.6;
const lateInFull = 1.2;
/** What a failure costs, relative to the value that is lost with it. */
const failureCost = 1;
/** Costs that only decide between equals. */
const packingCost = 0.002;
const distanceCost = 0.001;
const queueCost = 0.02;
/** What it costs, relative to its value, to wait at an endpoint until others have given memory back. */
const memoryWaitCost = 0.5;

/** Part of an answer's value that is lost when it is late but still comes; customers rate a late one at a quarter. */
const lateLoss = 0.75;

/** Endpoints that are looked at in any case: among fewer a good one is often missed. */
const lookedAtLeast = 8;

/** What is believed to be in progress. */
export interface LoadSource {
    load(endpoint: string): EndpointLoad;
    /** Placements by other entries that are probably not known here yet. */
    readonly unheard: number;
}

/** What is to be placed. */
export interface PlacementNeed {
    service: ServiceDefinition;
    promptTokens: number;
    answerTokens: number;
    targetLatency: Milliseconds;
    targetGap: Milliseconds | undefined;
    /** Time that the caller still wants to spend on the first event; the rest of the target. */
    targetLeft: Milliseconds;
    /** How much longer the caller waits for the first event before it gives up. */
    patienceLeft: Milliseconds;
    /** Data centre of this entry. */
    dataCentre: string;
    /** Endpoints that broke off this request; they get it again only when there is no other. */
    broken: ReadonlySet<string>;
    /** Endpoints that refused this request or can't be reached. */
    refused: ReadonlySet<string>;
    /** Endpoints that refused to set memory aside for it: their work is not all known here. */
    lacking: ReadonlySet<string>;
}

/** Where a request goes. */
export interface Placement {
    endpoint: KnownEndpoint;
    helpers: readonly KnownEndpoint[];
    /** Memory to set aside first, where no endpoint has enough alone; else none. The first is the endpoint itself. */
    shares: readonly TeamShare[];
    /** Predicted time of reading at each of them. */
    readTime: Milliseconds;
    /** Predicted time to the first event, or to the answer's start for plain services. */
    firstEvent: Milliseconds;
    /** Whether it would be late and should let later requests go first. */
    yields: boolean;
    /** Predicted time to the answer's end. */
    whole: Milliseconds;
}

/** What is lost when a generation is late, relative to others. Longer prompts are worth more. */
export const valueOf = (promptTokens: number): number => 1 + promptTokens / 10_000;

/** The chance of being late, from a prediction and its target. */
const lateness = (predicted: Milliseconds, target: Milliseconds): number =>
    Math.min(1, Math.max(0, (predicted / target - lateFrom) / (lateInFull - lateFrom)));

/** Chooses among endpoints that may get work. */
export class Placer {
    constructor(
        private readonly loads: LoadSource,
        private readonly failures: FailureView,
        private readonly random: Random,
        private readonly policy = PlacementPolicy.Predicted,
    ) {}

    /** The best endpoint of `candidates`; undefined when there is none. */
    place(need: PlacementNeed, candidates: readonly KnownEndpoint[]): Placement | undefined {
        const willing = candidates.filter(({ record }) => !need.refused.has(record.id));
        const untried = anyOr(willing, ({ record }) => !need.broken.has(record.id));
        const awake = anyOr(untried, ({ record }) => !this.failures.resting(record.id));
        const choice = anyOr(awake, ({ record }) => !this.failures.suspects(record.dataCentre));
        const { engine } = need.service;
        return engine && this.policy === PlacementPolicy.Predicted
            ? this.placeGeneration(need, engine, choice)
            : this.placeCall(need, choice);
    }

    private placeCall(need: PlacementNeed, candidates: readonly KnownEndpoint[]): Placement | undefined {
        const endpoint = cheapest(candidates, candidate => {
            const { requests } = this.loads.load(candidate.record.id);
            return requests / candidate.record.slots + this.plainCost(need, candidate);
        });
        return endpoint
            && {
                endpoint,
                helpers: [],
                shares: [],
                readTime: 0,
                firstEvent: 0,
                yields: false,
                whole: need.targetLatency,
            };
    }

    private placeGeneration(
        need: PlacementNeed,
        engine: EngineProfile,
        candidates: readonly KnownEndpoint[],
    ): Placement | undefined {
        const alone = readTime(engine, need.promptTokens);
        const overMemory = need.promptTokens + need.answerTokens > engine.memoryTokens;
        const team = alone > longRead || overMemory ? this.placeTeam(need, engine, candidates) : undefined;
        if (team || overMemory) {
            return team;
        }
        const endpoint = cheapest(this.someOf(candidates), candidate => {
            const load = this.loads.load(candidate.record.id);
            return this.generationCost(need, engine, load, alone, candidate);
        });
        if (!endpoint) {
            return undefined;
        }
        const load = this.loads.load(endpoint.record.id);
        const firstEvent = predictFirstEvent(engine, load, alone, need.answerTokens);
        const writing = writeTime(engine, need.answerTokens, load.writers, load.contextTokens + need.promptTokens);
        const yields = slotWait(engine, load, need.answerTokens) > need.targetLeft;
        const behind = yields ? firstEvent + overtakenWait(engine, load, need.answerTokens) : firstEvent;
        const whole = behind + writing;
        return { endpoint, helpers: [], shares: [], readTime: alone, firstEvent: behind, yields, whole };
    }

    /**
     * Candidates in such a number that no other entry is likely to choose among the same ones before its placement is heard
     * of. With all of them in view, dozens of entries with the same belief take the same endpoint within a few milliseconds.
     */
    private someOf(candidates: readonly KnownEndpoint[]): readonly KnownEndpoint[] {
        const wanted = Math.max(lookedAtLeast, Math.round(candidates.length / (1 + this.loads.unheard)));
        if (wanted >= candidates.length) {
            return candidates;
        }
        return candidates.map(candidate => ({ candidate, order: this.random.next() }))
            .sort((left, right) => left.order - right.order).slice(0, wanted).map(({ candidate }) => candidate);
    }

    private placeTeam(
        need: PlacementNeed,
        engine: EngineProfile,
        candidates: readonly KnownEndpoint[],
    ): Placement | undefined {
        const value = valueOf(need.promptTokens);
        const team = chooseTeam({
            engine,
            promptTokens: need.promptTokens,
            answerTokens: need.answerTokens,
            candidates: candidates.filter(({ record }) => !need.lacking.has(record.id)),
            loadOf: ({ record }) => this.loads.load(record.id),
            lossOf: firstEvent =>
                queueCost * value * firstEvent / need.targetLatency
                + value * (lateLoss * lateness(firstEvent, Math.max(1, need.targetLeft))
                        + (1 - lateLoss) * lateness(firstEvent, Math.max(1, need.patienceLeft))),
            partLossOf: (load, part, tokens) =>
                pauseLossOf(
                    load,
                    passTime(engine, load.writers, load.contextTokens)
                        + readTimeInPass(engine, part, tokens, load.readBacklog),
                )
                + load.readingValue * lateLoss * Math.min(1, part / need.targetLatency),
        });
        if (!team) {
            return undefined;
        }
        const { readers: [endpoint, ...helpers], shares, part, firstEvent } = team;
        const { writers, contextTokens } = this.loads.load(endpoint!.record.id);
        const writing = writeTime(
            engine,
            need.answerTokens,
            writers,
            contextTokens + (shares[0]?.tokens ?? need.promptTokens),
        );
        const whole = firstEvent + writing;
        return { endpoint: endpoint!, helpers, shares, readTime: part, firstEvent, yields: false, whole };
    }

    /** What is lost by placing a read of `part` at a candidate. */
    private generationCost(
        need: PlacementNeed,
        engine: EngineProfile,
        load: EndpointLoad,
        part: Milliseconds,
        candidate: KnownEndpoint,
    ): number {
        const value = valueOf(need.promptTokens);
        const firstEvent = predictFirstEvent(engine, load, part, need.answerTokens);
        let cost = value * lateness(firstEvent, Math.max(1, need.targetLeft));
        const pause = passTime(engine, load.writers + 1, load.contextTokens + need.promptTokens)
            + readTimeInPass(engine, part, need.promptTokens, load.readBacklog);
        cost += pauseLossOf(load, pause);
        if (load.memoryTokens + need.promptTokens + need.answerTokens > engine.memoryTokens) {
            cost += memoryWaitCost * value;
        }
        cost += queueCost * value * waitBefore(engine, load, need.answerTokens) / need.targetLatency;
        cost += part <= shortRead ? packing(load) : packingCost * load.writers;
        return cost + this.plainCost(need, candidate) * value;
    }

    private plainCost(need: PlacementNeed, { record }: KnownEndpoint): number {
        return failureCost * this.failures.share(record.id)
            + (record.dataCentre === need.dataCentre ? 0 : distanceCost);
    }
}

/** What is lost when those that write at an endpoint pause for so long. */
const pauseLossOf = (load: EndpointLoad, pause: Milliseconds): number => {
    let loss = 0;
    for (const other of load.tolerances) {
        loss += other.value * lateness(pause, other.targetGap);
    }
    return loss;
};

/** Short prompts join those that write already, so that other endpoints stay free for long reads. */
const packing = (load: EndpointLoad): number =>
    load.writers < writersPacked ? packingCost * (writersPacked - load.writers) : packingCost * 3 * load.writers;

/**
 * Half a pass is left on average, then what waits is read, then this prompt, then its first pass writes. An engine that
 * does nothing else begins to write with the next step.
 */
const predictFirstEvent = (
    engine: EngineProfile,
    load: EndpointLoad,
    part: Milliseconds,
    answerTokens: number,
): Milliseconds => {
    if (load.writers + load.readers === 0) {
        return part + engine.stepTime;
    }
    const pass = passTime(engine, load.writers + 1, load.contextTokens);
    const running = load.writers > 0 ? pass / 2 : 0;
    return waitBefore(engine, load, answerTokens) + running + part + pass;
};

/** The wait until a prompt is read: for a slot, and for what is read before. */
const waitBefore = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds =>
    slotWait(engine, load, answerTokens) + load.readBacklog;

/**
 * The wait for a slot, when few endpoints are left and all are full. Slots come free one by one as answers end. Requests
 * that yield are overtaken, so they aren't counted.
 */
const slotWait = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds => {
    const ahead = load.requests - load.overtakable - engine.slots + 1;
    return Math.max(0, ahead) * slotInterval(engine, load, answerTokens);
};

/** The further wait of a request that yields: behind those that yield already. */
const overtakenWait = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds =>
    load.overtakable * slotInterval(engine, load, answerTokens);

/** Time in which one of the slots of a full endpoint comes free. */
const slotInterval = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds =>
    writeTime(engine, engine.usual?.answerTokens ?? answerTokens, engine.slots - 1, load.contextTokens) / engine.slots;

/** Those for which `holds`; all when there is none. */
const anyOr = (
    candidates: readonly KnownEndpoint[],
    holds: (candidate: KnownEndpoint) => boolean,
): readonly KnownEndpoint[] => {
    const found = candidates.filter(holds);
    return found.length > 0 ? found : candidates;
};

const cheapest = (
    candidates: readonly KnownEndpoint[],
    costOf: (candidate: KnownEndpoint) => number,
): KnownEndpoint | undefined => {
    let best: KnownEndpoint | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
        const cost = costOf(candidate);
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
};
