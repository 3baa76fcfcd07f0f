/**
 * Selects the endpoint for a request, and the helpers that prefill parts of a long prompt.
 *
 * Load pattern: many short prompts, and every ten seconds a different mix with prompts a hundred times as long. A long
 * prefill delays the first event of every request behind it and lengthens each inter-event gap of the requests that
 * decode beside it. The selector therefore minimizes the total lost value: of the new request, by its predicted first
 * event, and of the requests already at the endpoint, by their predicted gaps.
 */
import { type EngineProfile, PlacementPolicy, type ServiceDefinition } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import { type Random, shuffle } from "../../utils/random.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import type { Demand } from "./demand.js";
import { decodeDuration, passDuration, prefillDuration, prefillDurationInPass } from "./engineCost.js";
import type { FailureTracker } from "./failureTracker.js";
import { type EndpointLoad, prefillWait } from "./loadEstimator.js";
import { latenessProbability, lossFromLateness, lossFromWaiting } from "./lostValue.js";
import { requestValue } from "./requestValue.js";
import {
    chooseTeam,
    chooseTeamAfterPrefills,
    minimumPartRatio,
    type Team,
    type TeamRequirements,
    type TeamShare,
} from "./team.js";
import {
    decodeTimePerSlot,
    predictFirstEvent,
    predictSlotWait,
    waitBehindYielding,
    waitBeyondCurrentPass,
} from "./waitPrediction.js";

/**
 * Slots that packing of short prompts leaves free on an endpoint, for requests that other entries place there at the same
 * time.
 */
const reservedSlots = 1;
/** A prefill up to this duration may run beside decoding requests; it lengthens one gap by at most its own duration. */
const shortPrefillDuration: Milliseconds = 100;
/** Cost of a failure, relative to the value that is lost with it. */
const failureCost = 1;
/** Costs that only break ties between otherwise equal endpoints. */
const packingCost = 0.002;
const distanceCost = 0.001;
const queueCost = 0.02;
/** Cost, relative to the request's value, of waiting at an endpoint until other requests release memory. */
const memoryWaitCost = 0.5;

/** Time after which a waiting request notices that endpoints have finished their prefills. */
const maximumWaitRetryDelay: Milliseconds = 150;
/** Gain of waiting, relative to the request's value, that outweighs the risk that other requests take the endpoints first. */
const minimumWaitGain = 0.1;

/**
 * Most candidates that are looked at for a request that goes to one endpoint. More would hardly give a better one, and with
 * thousands a placer would spend milliseconds on each choice.
 */
const maximumPoolSize = 256;
/** Lower bound on the sampled candidates: a smaller sample often misses a good endpoint. */
const minimumSampleSize = 8;

/** Estimated load of the endpoints. */
export interface LoadEstimates {
    loadOf(endpoint: string): EndpointLoad;
    /** Estimated number of placements by other entries whose updates have not arrived yet. */
    readonly placementsInTransit: number;
    /** Recent demand, which sets the price of engine time. */
    readonly demand: Demand;
}

/** The request to be placed, its targets, and the endpoints to avoid. */
export interface PlacementRequirements {
    service: ServiceDefinition;
    promptTokens: number;
    answerTokens: number;
    targetLatency: Milliseconds;
    targetGap: Milliseconds | undefined;
    /** Remaining part of the target latency. */
    targetLeft: Milliseconds;
    /** Remaining time until the caller gives up waiting for the first event. */
    patienceLeft: Milliseconds;
    /** Rank of the request among the kinds of its service, 0 for the most urgent; 0 where kinds have no ranks. */
    rank?: number;
    /** Customer that sends the request; undefined where callers need no keys. */
    customer?: string;
    /** Data centre of this entry. */
    dataCentre: string;
    /** Endpoints that broke off an earlier attempt of this request; used only when there is no other. */
    failedEndpoints: ReadonlySet<string>;
    /** Endpoints that rejected this request or can't be reached. */
    rejectedEndpoints: ReadonlySet<string>;
    /** Endpoints that refused to reserve memory for this request, so their load is not fully known here. */
    endpointsWithoutMemory: ReadonlySet<string>;
}

/** The endpoints chosen for a request, with the predictions behind the choice. */
export interface Placement {
    endpoint: KnownEndpoint;
    helpers: readonly KnownEndpoint[];
    /**
     * Memory to reserve before the send, where no endpoint has enough alone, else empty. The first share is that of
     * `endpoint`.
     */
    shares: readonly TeamShare[];
    /** Predicted prefill time at each of the endpoints. */
    readTime: Milliseconds;
    /** Predicted time to the first event, or to the start of the response for plain services. */
    firstEvent: Milliseconds;
    /** Parts of `firstEvent`: the wait for a slot, and the wait behind earlier prefills. */
    slotWait: Milliseconds;
    readWait: Milliseconds;
    /** Whether the request would be late and should let later requests overtake it. */
    yields: boolean;
    /** Predicted time to the end of the response. */
    whole: Milliseconds;
    /**
     * Whether the request should wait: its engine time would cost other requests more than it gains now, or more endpoints
     * finish their prefills soon.
     */
    postponed: boolean;
    /** Predicted time to the first event if the request waits for such endpoints; undefined where it doesn't. */
    firstEventAfterWait?: Milliseconds;
    /** Whether the load estimates already include this placement. */
    recorded: boolean;
    /** The placer that chose the endpoints; undefined where the sending entry chose them itself. */
    chosenBy?: string;
}

/** Whether the request needs more memory than one engine has. */
export const exceedsOneEngine = ({ service: { engine }, promptTokens, answerTokens }: PlacementRequirements): boolean =>
    engine !== undefined && promptTokens + answerTokens > engine.memoryTokens;

/** Selects among endpoints that may receive requests. */
export class EndpointSelector {
    constructor(
        private readonly loadEstimates: LoadEstimates,
        private readonly failures: FailureTracker,
        private readonly random: Random,
        private readonly policy = PlacementPolicy.Predicted,
    ) {}

    /**
     * Returns the best endpoint of `candidates`; undefined when there is none.
     *
     * Endpoints that rejected the request are excluded. Endpoints that broke it off, that are backing off, or whose data
     * centre seems to be lost are used only when there is no other.
     */
    select(requirements: PlacementRequirements, candidates: readonly KnownEndpoint[]): Placement | undefined {
        const pool = needsTeam(requirements) ? candidates : this.drawPool(candidates);
        const placement = this.selectFrom(requirements, pool);
        return placement === undefined && pool !== candidates ? this.selectFrom(requirements, candidates) : placement;
    }

    private selectFrom(
        requirements: PlacementRequirements,
        candidates: readonly KnownEndpoint[],
    ): Placement | undefined {
        const notRejected = candidates.filter(({ record }) => !requirements.rejectedEndpoints.has(record.id));
        const notFailed = preferMatching(notRejected, ({ record }) => !requirements.failedEndpoints.has(record.id));
        const notBackingOff = preferMatching(notFailed, ({ record }) => !this.failures.isBackingOff(record.id));
        const preferred = preferMatching(notBackingOff, ({ record }) => !this.failures.isSuspect(record.dataCentre));
        const { engine } = requirements.service;
        return engine && this.policy === PlacementPolicy.Predicted
            ? this.selectForGeneration(requirements, engine, preferred)
            : this.selectForCall(requirements, preferred);
    }

    /** Draws one candidate from each of as many equal parts of the list as the pool may hold. */
    private drawPool(candidates: readonly KnownEndpoint[]): readonly KnownEndpoint[] {
        if (candidates.length <= maximumPoolSize) {
            return candidates;
        }
        const partSize = candidates.length / maximumPoolSize;
        const pool: KnownEndpoint[] = [];
        for (let part = 0; part < maximumPoolSize; part++) {
            pool.push(candidates[Math.floor((part + this.random.next()) * partSize)]!);
        }
        return pool;
    }

    private selectForCall(
        requirements: PlacementRequirements,
        candidates: readonly KnownEndpoint[],
    ): Placement | undefined {
        const endpoint = findCheapest(candidates, candidate => {
            const { requestCount } = this.loadEstimates.loadOf(candidate.record.id);
            return requestCount / candidate.record.slots + this.baseCost(requirements, candidate);
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
                whole: requirements.targetLatency,
                postponed: false,
                recorded: false,
            };
    }

    private selectForGeneration(
        requirements: PlacementRequirements,
        engine: EngineProfile,
        candidates: readonly KnownEndpoint[],
    ): Placement | undefined {
        const prefillTime = prefillDuration(engine, requirements.promptTokens);
        const exceedsMemory = exceedsOneEngine(requirements);
        const team = needsTeam(requirements)
            ? this.selectTeam(requirements, engine, candidates)
            : undefined;
        if (team || exceedsMemory) {
            return team;
        }
        const endpoint = findCheapest(this.sampleCandidates(candidates), candidate => {
            const load = this.loadEstimates.loadOf(candidate.record.id);
            return this.generationCost(requirements, engine, load, prefillTime, candidate);
        });
        if (!endpoint) {
            return undefined;
        }
        const load = this.loadEstimates.loadOf(endpoint.record.id);
        const firstEventInTurn = predictFirstEvent(engine, load, prefillTime, requirements.answerTokens);
        const decodeTime = decodeDuration(
            engine,
            requirements.answerTokens,
            load.decodeCount,
            load.contextTokens + requirements.promptTokens,
        );
        const yields = predictSlotWait(engine, load, requirements.answerTokens) > requirements.targetLeft;
        const firstEvent = yields
            ? firstEventInTurn + waitBehindYielding(engine, load, requirements.answerTokens)
            : firstEventInTurn;
        const whole = firstEvent + decodeTime;
        return {
            endpoint,
            helpers: [],
            shares: [],
            readTime: prefillTime,
            firstEvent,
            slotWait: predictSlotWait(engine, load, requirements.answerTokens) + firstEvent - firstEventInTurn,
            readWait: prefillWait(load),
            yields,
            whole,
            postponed: false,
            recorded: false,
        };
    }

    /**
     * Samples so few candidates that other entries are unlikely to choose among the same ones before this entry's
     * placement reaches them. Without the sampling, dozens of entries with the same estimates choose the same endpoint
     * within a few milliseconds.
     */
    private sampleCandidates(candidates: readonly KnownEndpoint[]): readonly KnownEndpoint[] {
        const sampleSize = Math.max(
            minimumSampleSize,
            Math.round(candidates.length / (1 + this.loadEstimates.placementsInTransit)),
        );
        return sampleSize >= candidates.length ? candidates : shuffle(candidates, this.random).slice(0, sampleSize);
    }

    private selectTeam(
        requirements: PlacementRequirements,
        engine: EngineProfile,
        candidates: readonly KnownEndpoint[],
    ): Placement | undefined {
        const value = requestValue(requirements.promptTokens, requirements.rank);
        const candidatesWithMemory = candidates.filter(({ record }) =>
            !requirements.endpointsWithoutMemory.has(record.id)
        );
        const teamRequirements: TeamRequirements = {
            engine,
            promptTokens: requirements.promptTokens,
            answerTokens: requirements.answerTokens,
            targetLatency: requirements.targetLatency,
            // Without updates from one another, all entries would choose the first of the endpoints that seem idle.
            candidates: this.loadEstimates.placementsInTransit === Infinity
                ? shuffle(candidatesWithMemory, this.random)
                : candidatesWithMemory,
            loadOf: ({ record }) => this.loadEstimates.loadOf(record.id),
            firstEventLoss: firstEvent =>
                queueCost * value * firstEvent / requirements.targetLatency
                + value * lossFromLateness(requirements, firstEvent),
            partLoss: (load, part, tokens) =>
                lossFromWaiting(
                    load.decoding,
                    passDuration(engine, load.decodeCount, load.contextTokens)
                        + prefillDurationInPass(engine, part, tokens, load.prefillBacklog),
                )
                + lossFromWaiting(load.prefilling, part),
        };
        const team = chooseTeam(teamRequirements);
        if (!team) {
            return undefined;
        }
        const laterTeam = this.findBetterLaterTeam(teamRequirements, team, value);
        const { members: [endpoint, ...helpers], shares, partDuration, firstEvent } = team;
        const { decodeCount, contextTokens } = this.loadEstimates.loadOf(endpoint!.record.id);
        const decodeTime = decodeDuration(
            engine,
            requirements.answerTokens,
            decodeCount,
            contextTokens + (shares[0]?.tokens ?? requirements.promptTokens),
        );
        const whole = firstEvent + decodeTime;
        const postponed = laterTeam !== undefined
            || this.shouldPostpone(requirements, engine, firstEvent, candidates.length);
        return {
            endpoint: endpoint!,
            helpers,
            shares,
            readTime: partDuration,
            firstEvent,
            slotWait: 0,
            readWait: Math.max(0, firstEvent - partDuration),
            yields: false,
            whole,
            postponed,
            firstEventAfterWait: laterTeam?.firstEvent,
            recorded: false,
        };
    }

    /** Returns the team that the prompt should wait for, if it is clearly better than `team`. */
    private findBetterLaterTeam(requirements: TeamRequirements, team: Team, value: number): Team | undefined {
        const laterTeam = chooseTeamAfterPrefills(requirements, maximumWaitRetryDelay);
        return laterTeam && laterTeam.loss + minimumWaitGain * value < team.loss ? laterTeam : undefined;
    }

    /**
     * Whether the engine time of a long prompt is worth more to other requests than the value that the prompt still has.
     */
    private shouldPostpone(
        requirements: PlacementRequirements,
        engine: EngineProfile,
        firstEvent: Milliseconds,
        engineCount: number,
    ): boolean {
        const slotTime = decodeTimePerSlot(engine, requirements.answerTokens);
        const price = this.loadEstimates.demand.price(requirements.service.name, engineCount, slotTime);
        const gain = requestValue(requirements.promptTokens, requirements.rank)
            * (1 - lossFromLateness(requirements, firstEvent));
        return price * (prefillDuration(engine, requirements.promptTokens) + slotTime) > gain;
    }

    /** Value that is lost by placing a prefill of duration `part` at a candidate. */
    private generationCost(
        requirements: PlacementRequirements,
        engine: EngineProfile,
        load: EndpointLoad,
        part: Milliseconds,
        candidate: KnownEndpoint,
    ): number {
        const value = requestValue(requirements.promptTokens, requirements.rank);
        const firstEvent = predictFirstEvent(engine, load, part, requirements.answerTokens);
        let cost = value * latenessProbability(firstEvent, Math.max(1, requirements.targetLeft));
        const gap = passDuration(engine, load.decodeCount + 1, load.contextTokens + requirements.promptTokens)
            + prefillDurationInPass(engine, part, requirements.promptTokens, load.prefillBacklog);
        cost += lossFromWaiting(load.decoding, gap);
        if (load.memoryTokens + requirements.promptTokens + requirements.answerTokens > engine.memoryTokens) {
            cost += memoryWaitCost * value;
        }
        cost += queueCost * value * waitBeyondCurrentPass(engine, load, requirements.answerTokens)
            / requirements.targetLatency;
        cost += part <= shortPrefillDuration ? packingPenalty(engine, load) : packingCost * load.decodeCount;
        return cost + this.baseCost(requirements, candidate) * value;
    }

    private baseCost(requirements: PlacementRequirements, { record }: KnownEndpoint): number {
        return failureCost * this.failures.failureShare(record.id)
            + (record.dataCentre === requirements.dataCentre ? 0 : distanceCost);
    }
}

/** Whether the prompt is so long that several endpoints may have to prefill parts of it. */
const needsTeam = (requirements: PlacementRequirements): boolean => {
    const { service: { engine }, promptTokens, targetLatency } = requirements;
    return engine !== undefined
        && (exceedsOneEngine(requirements)
            || prefillDuration(engine, promptTokens) > minimumPartRatio * targetLatency);
};

/** Steers short prompts to endpoints that decode already, so that other endpoints stay free for long prefills. */
const packingPenalty = (engine: EngineProfile, load: EndpointLoad): number => {
    const packedSlots = engine.slots - reservedSlots;
    return load.decodeCount < packedSlots
        ? packingCost * (packedSlots - load.decodeCount)
        : packingCost * 3 * load.decodeCount;
};

/** Returns the candidates for which `matches` holds, or all when there is none. */
const preferMatching = (
    candidates: readonly KnownEndpoint[],
    matches: (candidate: KnownEndpoint) => boolean,
): readonly KnownEndpoint[] => {
    const matching = candidates.filter(matches);
    return matching.length > 0 ? matching : candidates;
};

const findCheapest = (
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
