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
import type { Demand } from "./demand.js";
import { passTime, readTime, readTimeInPass, writeTime } from "./engineCost.js";
import type { FailureTracker } from "./failureTracker.js";
import { type EndpointLoad, readWait, type WaitingRequest } from "./loadEstimator.js";
import { chooseTeam, readPart, type TeamShare } from "./team.js";

/** Slots that short prompts leave free when they are packed on one endpoint, for what is placed there at the same time. */
const slotsSpared = 1;
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
/** First events are told this late, and predictions are off by as much without a reason. */
const overdueSlack: Milliseconds = 100;
/** What it costs, relative to its value, to wait at an endpoint until others have given memory back. */
const memoryWaitCost = 0.5;

/** Part of an answer's value that is lost when it is late but still comes; customers rate a late one at a quarter. */
const lateLoss = 0.75;

/** Endpoints that are looked at in any case: among fewer a good one is often missed. */
const lookedAtLeast = 8;

/** What is believed to be in progress. */
export interface LoadEstimates {
    load(endpoint: string): EndpointLoad;
    /** Placements by other entries that are probably not known here yet. */
    readonly placementsInTransit: number;
    /** What engine time is worth. */
    readonly demand: Demand;
}

/** Callers who wait for an event for so many times the pause that they want give up. */
const patienceGaps = 8;

/** What is to be placed. */
export interface PlacementRequirements {
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
    /** Of it, the wait for a slot, and behind what is read before. */
    slotWait: Milliseconds;
    readWait: Milliseconds;
    /** Whether it would be late and should let later requests go first. */
    yields: boolean;
    /** Predicted time to the answer's end. */
    whole: Milliseconds;
    /** Whether it should wait: its engine time would cost others more than it gains now. */
    postponed: boolean;
    /** Whether it is noted as work in progress already. */
    recorded: boolean;
    /** The entry that chose it, where it isn't the one that sends. */
    chosenBy?: string;
}

/** What is lost when a generation is late, relative to others. Longer prompts are worth more. */
export const requestValue = (promptTokens: number): number => 1 + promptTokens / 10_000;

/** Whether no engine has the memory for it alone. */
export const exceedsOneEngine = ({ service: { engine }, promptTokens, answerTokens }: PlacementRequirements): boolean =>
    engine !== undefined && promptTokens + answerTokens > engine.memoryTokens;

/** The chance of being late, from a prediction and its target. */
const lateness = (predicted: Milliseconds, target: Milliseconds): number =>
    Math.min(1, Math.max(0, (predicted / target - lateFrom) / (lateInFull - lateFrom)));

/** Chooses among endpoints that may get work. */
export class EndpointSelector {
    constructor(
        private readonly loads: LoadEstimates,
        private readonly failures: FailureTracker,
        private readonly random: Random,
        private readonly policy = PlacementPolicy.Predicted,
    ) {}

    /** The best endpoint of `candidates`; undefined when there is none. */
    select(need: PlacementRequirements, candidates: readonly KnownEndpoint[]): Placement | undefined {
        const willing = candidates.filter(({ record }) => !need.refused.has(record.id));
        const untried = anyOr(willing, ({ record }) => !need.broken.has(record.id));
        const awake = anyOr(untried, ({ record }) => !this.failures.resting(record.id));
        const choice = anyOr(awake, ({ record }) => !this.failures.suspects(record.dataCentre));
        const { engine } = need.service;
        return engine && this.policy === PlacementPolicy.Predicted
            ? this.placeGeneration(need, engine, choice)
            : this.placeCall(need, choice);
    }

    private placeCall(need: PlacementRequirements, candidates: readonly KnownEndpoint[]): Placement | undefined {
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
                slotWait: 0,
                readWait: 0,
                yields: false,
                whole: need.targetLatency,
                postponed: false,
                recorded: false,
            };
    }

    private placeGeneration(
        need: PlacementRequirements,
        engine: EngineProfile,
        candidates: readonly KnownEndpoint[],
    ): Placement | undefined {
        const alone = readTime(engine, need.promptTokens);
        const overMemory = exceedsOneEngine(need);
        const team = alone > readPart * need.targetLatency || overMemory
            ? this.placeTeam(need, engine, candidates)
            : undefined;
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
        return {
            endpoint,
            helpers: [],
            shares: [],
            readTime: alone,
            firstEvent: behind,
            slotWait: slotWait(engine, load, need.answerTokens) + behind - firstEvent,
            readWait: readWait(load),
            yields,
            whole,
            postponed: false,
            recorded: false,
        };
    }

    /**
     * Candidates in such a number that no other entry is likely to choose among the same ones before its placement is heard
     * of. With all of them in view, dozens of entries with the same belief take the same endpoint within a few milliseconds.
     */
    private someOf(candidates: readonly KnownEndpoint[]): readonly KnownEndpoint[] {
        const wanted = Math.max(lookedAtLeast, Math.round(candidates.length / (1 + this.loads.placementsInTransit)));
        return wanted >= candidates.length ? candidates : this.shuffled(candidates).slice(0, wanted);
    }

    private shuffled(candidates: readonly KnownEndpoint[]): readonly KnownEndpoint[] {
        return candidates.map(candidate => ({ candidate, order: this.random.next() }))
            .sort((left, right) => left.order - right.order).map(({ candidate }) => candidate);
    }

    private placeTeam(
        need: PlacementRequirements,
        engine: EngineProfile,
        candidates: readonly KnownEndpoint[],
    ): Placement | undefined {
        const value = requestValue(need.promptTokens);
        const willing = candidates.filter(({ record }) => !need.lacking.has(record.id));
        const team = chooseTeam({
            engine,
            promptTokens: need.promptTokens,
            answerTokens: need.answerTokens,
            targetLatency: need.targetLatency,
            // Entries that know nothing of one another would all take the first of those that seem idle.
            candidates: this.loads.placementsInTransit === Infinity ? this.shuffled(willing) : willing,
            loadOf: ({ record }) => this.loads.load(record.id),
            lossOf: firstEvent =>
                queueCost * value * firstEvent / need.targetLatency
                + value * lossWhenLate(need, firstEvent),
            partLossOf: (load, part, tokens) =>
                waitLossOf(
                    load.writing,
                    passTime(engine, load.writers, load.contextTokens)
                        + readTimeInPass(engine, part, tokens, load.readBacklog),
                )
                + waitLossOf(load.reading, part),
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
        const postponed = this.costsMore(need, engine, firstEvent, candidates.length);
        return {
            endpoint: endpoint!,
            helpers,
            shares,
            readTime: part,
            firstEvent,
            slotWait: 0,
            readWait: Math.max(0, firstEvent - part),
            yields: false,
            whole,
            postponed,
            recorded: false,
        };
    }

    /** Whether the engine time of a long prompt is worth more to others than what it still gains. */
    private costsMore(
        need: PlacementRequirements,
        engine: EngineProfile,
        firstEvent: Milliseconds,
        engines: number,
    ): boolean {
        const slotTime = slotTimeOf(engine, need);
        const price = this.loads.demand.price(need.service.name, engines, slotTime);
        const gain = requestValue(need.promptTokens) * (1 - lossWhenLate(need, firstEvent));
        return price * (readTime(engine, need.promptTokens) + slotTime) > gain;
    }

    /** What is lost by placing a read of `part` at a candidate. */
    private generationCost(
        need: PlacementRequirements,
        engine: EngineProfile,
        load: EndpointLoad,
        part: Milliseconds,
        candidate: KnownEndpoint,
    ): number {
        const value = requestValue(need.promptTokens);
        const firstEvent = predictFirstEvent(engine, load, part, need.answerTokens);
        let cost = value * lateness(firstEvent, Math.max(1, need.targetLeft));
        const pause = passTime(engine, load.writers + 1, load.contextTokens + need.promptTokens)
            + readTimeInPass(engine, part, need.promptTokens, load.readBacklog);
        cost += waitLossOf(load.writing, pause);
        if (load.memoryTokens + need.promptTokens + need.answerTokens > engine.memoryTokens) {
            cost += memoryWaitCost * value;
        }
        cost += queueCost * value * unusualWait(engine, load, need.answerTokens) / need.targetLatency;
        cost += part <= shortRead ? packing(engine, load) : packingCost * load.writers;
        return cost + this.plainCost(need, candidate) * value;
    }

    private plainCost(need: PlacementRequirements, { record }: KnownEndpoint): number {
        return failureCost * this.failures.share(record.id)
            + (record.dataCentre === need.dataCentre ? 0 : distanceCost);
    }
}

/** Part of its value that a prompt loses with its first event after `firstEvent`: by its target, and by giving up. */
const lossWhenLate = (need: PlacementRequirements, firstEvent: Milliseconds): number =>
    lateLoss * lateness(firstEvent, Math.max(1, need.targetLeft))
    + (1 - lateLoss) * lateness(firstEvent, Math.max(1, need.patienceLeft));

/** What is lost when those that read or write at an endpoint wait so long for their next event. */
const waitLossOf = (waiting: readonly WaitingRequest[], wait: Milliseconds): number => {
    let loss = 0;
    for (const { targetGap, value } of waiting) {
        loss += value
            * (lateLoss * lateness(wait, targetGap) + (1 - lateLoss) * lateness(wait, patienceGaps * targetGap));
    }
    return loss;
};

/** Short prompts join those that write already, so that other endpoints stay free for long reads. */
const packing = (engine: EngineProfile, load: EndpointLoad): number => {
    const packed = engine.slots - slotsSpared;
    return load.writers < packed ? packingCost * (packed - load.writers) : packingCost * 3 * load.writers;
};

/**
 * The pass that runs goes on to its end, then one reads what waits, and this prompt, and writes its first tokens. An engine
 * without writers begins to write with the next step.
 */
const predictFirstEvent = (
    engine: EngineProfile,
    load: EndpointLoad,
    part: Milliseconds,
    answerTokens: number,
): Milliseconds => {
    const pass = load.writers > 0 ? passTime(engine, load.writers + 1, load.contextTokens) : engine.stepTime;
    return waitBefore(engine, load, answerTokens) + part + pass;
};

/**
 * The wait until a prompt is read: for a slot, and for what is read before. Where that has taken longer than predicted, it
 * will go on to do so: about as long again.
 */
const waitBefore = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds =>
    slotWait(engine, load, answerTokens) + readWait(load)
    + Math.max(0, load.overdue - overdueSlack);

/** Engine time that the answer of a usual request takes, when all slots are used. */
const slotTimeOf = (engine: EngineProfile, need: PlacementRequirements): Milliseconds =>
    writeTime(engine, engine.usual?.answerTokens ?? need.answerTokens, engine.slots - 1, 0) / engine.slots;

/** The wait beyond what is left of a pass that only writes; that much is the same everywhere. */
const unusualWait = (engine: EngineProfile, load: EndpointLoad, answerTokens: number): Milliseconds =>
    Math.max(0, waitBefore(engine, load, answerTokens) - passTime(engine, load.writers, load.contextTokens));

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
