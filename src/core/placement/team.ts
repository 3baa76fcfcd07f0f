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
    /** Value that the prompt and the requests at the members lose. */
    loss: number;
}

interface TeamCandidate {
    endpoint: KnownEndpoint;
    /** Load when the part starts; its requests lose value by waiting for the part. */
    load: EndpointLoad;
    /** Time until the part starts. */
    wait: Milliseconds;
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

/** Returns the team with the lowest loss if the prompt is sent now; undefined when no team has the memory. */
export const chooseTeam = (requirements: TeamRequirements): Team | undefined => {
    const candidates = rankCandidates(
        requirements,
        requirements.candidates.map(endpoint => {
            const load = requirements.loadOf(endpoint);
            return createCandidate(requirements, endpoint, load, prefillWait(load));
        }),
    );
    return chooseMembers(requirements, exceedsMemory(requirements) ? candidates : withoutPrefills(candidates));
};

/**
 * Returns the team with the lowest loss if the prompt waits until its members have finished their prefills. `retryDelay` is
 * the time after which a waiting prompt notices that they have.
 *
 * Load pattern: most endpoints finish the parts of another long prompt within a few hundred milliseconds. Sent now, the
 * prompt would occupy the few that are free for ten seconds, and all prompts behind it would find as few.
 */
export const chooseTeamAfterPrefills = (
    requirements: TeamRequirements,
    retryDelay: Milliseconds,
): Team | undefined =>
    chooseMembers(
        requirements,
        rankCandidates(
            requirements,
            requirements.candidates.map(endpoint => {
                const load = requirements.loadOf(endpoint);
                const wait = load.prefillCount > 0 ? prefillWait(load) + retryDelay : prefillWait(load);
                return createCandidate(requirements, endpoint, { ...load, prefilling: [] }, wait);
            }),
        ),
    );

const exceedsMemory = ({ engine, promptTokens, answerTokens }: TeamRequirements): boolean =>
    promptTokens + answerTokens > engine.memoryTokens;

const createCandidate = (
    { engine }: TeamRequirements,
    endpoint: KnownEndpoint,
    load: EndpointLoad,
    wait: Milliseconds,
): TeamCandidate => ({
    endpoint,
    load,
    wait,
    freeTokens: Math.floor(Math.max(0, engine.memoryTokens - load.memoryTokens) * usableMemoryRatio),
});

/** Returns the first candidates, as many as lose the least value. */
const chooseMembers = (requirements: TeamRequirements, candidates: readonly TeamCandidate[]): Team | undefined => {
    const tokens = requirements.promptTokens + requirements.answerTokens;
    const prefillTime = prefillDuration(requirements.engine, requirements.promptTokens);
    const needsShares = exceedsMemory(requirements);
    const largestUsefulCount = Math.min(
        candidates.length,
        maximumTeamSize,
        Math.max(
            Math.ceil(prefillTime / (minimumPartRatio * requirements.targetLatency)),
            needsShares ? candidates.length : 1,
        ),
    );
    let best: Team | undefined;
    for (let count = 1; count <= largestUsefulCount; count++) {
        const members = candidates.slice(0, count);
        const shares = needsShares ? divideMemory(members, tokens) : [];
        if (!shares) {
            continue;
        }
        const partDuration = prefillTime / count;
        const firstEvent = predictTeamFirstEvent(requirements, members, partDuration);
        let loss = requirements.firstEventLoss(firstEvent);
        for (const { load } of members) {
            loss += requirements.partLoss(load, partDuration, requirements.promptTokens / count);
        }
        if (loss < (best?.loss ?? Infinity)) {
            best = { members: members.map(({ endpoint }) => endpoint), shares, partDuration, firstEvent, loss };
        }
    }
    return best;
};

/** Ranks candidates without work first, then those that are free early and whose requests lose little. Omits full ones. */
const rankCandidates = (requirements: TeamRequirements, candidates: readonly TeamCandidate[]): TeamCandidate[] => {
    const { engine, promptTokens, targetLatency, partLoss } = requirements;
    const partDuration = minimumPartRatio * targetLatency;
    const partTokens = promptTokens * partDuration / prefillDuration(engine, promptTokens);
    return candidates
        .filter(({ load }) => load.requestCount < engine.slots)
        .map(candidate => ({
            candidate,
            rank: partLoss(candidate.load, partDuration, partTokens) + candidate.wait / 1_000,
        }))
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
    const byPrefillWait = [...candidates].sort((left, right) => left.wait - right.wait);
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
    for (const { load, wait } of members) {
        const pass = load.decodeCount > 0 ? passDuration(engine, load.decodeCount, load.contextTokens) : 0;
        latest = Math.max(latest, wait + partDuration + pass);
    }
    return latest + engine.stepTime;
};
