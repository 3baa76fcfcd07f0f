/**
 * Chooses the team of endpoints that prefill one long prompt together, and that share its memory where no endpoint has
 * enough alone.
 *
 * Load pattern: one prompt in thirty takes an endpoint three seconds to prefill; one in six hundred takes half a minute
 * and the memory of two or three endpoints; in some periods of ten seconds three times as many arrive. Only many
 * endpoints together can serve such prompts in time, also while few are idle. The choice weighs the value of the prompt
 * against the losses of the requests at these endpoints, and of the short prompts that arrive meanwhile.
 */
import type { EngineProfile } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import { passDuration, prefillDuration } from "./engineCost.js";
import { type EndpointLoad, prefillWait } from "./loadEstimator.js";

/** Size of the largest team: the main endpoint, and as many helpers as engines accept. */
export const maximumTeamSize = 16;
/**
 * Smallest prefill time of a team member, relative to the target latency. Shorter parts gain little and take more
 * endpoints from other requests.
 */
export const minimumPartRatio = 0.5;
/** Engines allocate memory in blocks, and the last block of each share is not full. */
const memoryBlockTokens = 16;
/** Share of an endpoint's free memory that a team requests; the newest work of other entries may not be known yet. */
const usableMemoryRatio = 0.97;

/** Memory to reserve at one team member, in tokens. */
export interface TeamShare {
    endpoint: KnownEndpoint;
    tokens: number;
}

/** The endpoints that prefill a prompt, and those that hold its memory. */
export interface Team {
    /** The first member is the main endpoint. */
    members: readonly KnownEndpoint[];
    /** Memory to reserve at members of the team, the main endpoint first. Empty where one endpoint has enough. */
    shares: readonly TeamShare[];
    /** Predicted prefill time at each member. */
    partDuration: Milliseconds;
    /** Predicted time to the first event. */
    firstEvent: Milliseconds;
}

interface TeamCandidate {
    endpoint: KnownEndpoint;
    load: EndpointLoad;
    freeTokens: number;
}

/** The prompt, the candidates, and the loss functions that rank teams. */
export interface TeamRequirements {
    engine: EngineProfile;
    promptTokens: number;
    answerTokens: number;
    targetLatency: Milliseconds;
    candidates: readonly KnownEndpoint[];
    loadOf: (endpoint: KnownEndpoint) => EndpointLoad;
    /** Value that is lost when the first event comes after `firstEvent`. */
    firstEventLoss: (firstEvent: Milliseconds) => number;
    /** Value that is lost at an endpoint with this load by prefilling a part of this duration and token count. */
    partLoss: (load: EndpointLoad, part: Milliseconds, tokens: number) => number;
}

/** Returns the team with the lowest loss; undefined when no team has the memory. */
export const chooseTeam = (requirements: TeamRequirements): Team | undefined => {
    const minimumPartDuration = minimumPartRatio * requirements.targetLatency;
    const rankedCandidates = rankCandidates(requirements, minimumPartDuration);
    const tokens = requirements.promptTokens + requirements.answerTokens;
    const prefillTime = prefillDuration(requirements.engine, requirements.promptTokens);
    const exceedsMemory = tokens > requirements.engine.memoryTokens;
    const eligibleCandidates = exceedsMemory ? rankedCandidates : withoutPrefills(rankedCandidates);
    let best: Team | undefined;
    let bestLoss = Infinity;
    const memberCountForMemory = exceedsMemory ? eligibleCandidates.length : 1;
    const largestUsefulCount = Math.min(
        eligibleCandidates.length,
        maximumTeamSize,
        Math.max(Math.ceil(prefillTime / minimumPartDuration), memberCountForMemory),
    );
    for (let count = 1; count <= largestUsefulCount; count++) {
        const members = eligibleCandidates.slice(0, count);
        const shares = exceedsMemory ? divideMemory(members, tokens) : [];
        if (!shares) {
            continue;
        }
        const partDuration = prefillTime / count;
        const firstEvent = predictTeamFirstEvent(requirements, members, partDuration);
        let loss = requirements.firstEventLoss(firstEvent);
        for (const { load } of members) {
            loss += requirements.partLoss(load, partDuration, requirements.promptTokens / count);
        }
        if (loss < bestLoss) {
            bestLoss = loss;
            best = { members: members.map(({ endpoint }) => endpoint), shares, partDuration, firstEvent };
        }
    }
    return best;
};

/** Ranks idle endpoints first, then those whose requests lose least. */
const rankCandidates = (requirements: TeamRequirements, partDuration: Milliseconds): TeamCandidate[] => {
    const { engine, promptTokens, candidates, loadOf, partLoss } = requirements;
    return candidates
        .map(endpoint => {
            const load = loadOf(endpoint);
            const freeTokens = Math.floor(Math.max(0, engine.memoryTokens - load.memoryTokens) * usableMemoryRatio);
            const rank =
                partLoss(load, partDuration, promptTokens * partDuration / prefillDuration(engine, promptTokens))
                + prefillWait(load) / 1_000;
            return { candidate: { endpoint, load, freeTokens }, rank };
        })
        .filter(({ candidate }) => candidate.load.requestCount < engine.slots)
        .sort((left, right) => left.rank - right.rank || right.candidate.freeTokens - left.candidate.freeTokens)
        .map(({ candidate }) => candidate);
};

/**
 * Returns the endpoints without a prefill, or the one that finishes its prefills first where there is none. Engines
 * prefill parts for other endpoints before their own prompts: under a load of long prompts each new prompt would overtake
 * the earlier ones, and callers would give up on all of them.
 */
const withoutPrefills = (candidates: readonly TeamCandidate[]): readonly TeamCandidate[] => {
    const withoutPrefill = candidates.filter(({ load }) => load.prefillCount === 0);
    if (withoutPrefill.length > 0) {
        return withoutPrefill;
    }
    const byPrefillWait = [...candidates].sort((left, right) => prefillWait(left.load) - prefillWait(right.load));
    return byPrefillWait.slice(0, 1);
};

/**
 * Divides the memory among as few members as possible, the main endpoint included; undefined when all together lack
 * memory.
 */
const divideMemory = (members: readonly TeamCandidate[], tokens: number): TeamShare[] | undefined => {
    const [mainMember, ...helpers] = members;
    const helpersByFreeMemory = helpers.sort((left, right) => right.freeTokens - left.freeTokens);
    const shares: TeamShare[] = [];
    let remainingTokens = tokens;
    for (const { endpoint, freeTokens } of [mainMember!, ...helpersByFreeMemory]) {
        const availableTokens = freeTokens - memoryBlockTokens;
        if (availableTokens > 0) {
            const heldTokens = Math.min(remainingTokens, availableTokens);
            shares.push({ endpoint, tokens: heldTokens + memoryBlockTokens });
            remainingTokens -= heldTokens;
        }
        else if (shares.length === 0) {
            return undefined;
        }
        if (remainingTokens <= 0) {
            return shares;
        }
    }
    return undefined;
};

/** Predicts the first event of a team; the slowest member determines it by its backlog, its part, and its running pass. */
const predictTeamFirstEvent = (
    { engine }: TeamRequirements,
    members: readonly TeamCandidate[],
    partDuration: Milliseconds,
): Milliseconds => {
    let latest = 0;
    for (const { load } of members) {
        const pass = load.decodeCount > 0 ? passDuration(engine, load.decodeCount, load.contextTokens) : 0;
        latest = Math.max(latest, prefillWait(load) + partDuration + pass);
    }
    return latest + engine.stepTime;
};
