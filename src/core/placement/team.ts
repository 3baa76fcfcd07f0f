/**
 * Endpoints that share the reading of one long prompt, and its memory where no endpoint has enough alone.
 *
 * Load pattern: one prompt in thirty takes an endpoint three seconds to read, one in six hundred half a minute and the
 * memory of two or three endpoints, and in some ten seconds three times as many come. They can only be served by many
 * endpoints at once, also where few are idle: what is lost by those that read and write there, and by short prompts that
 * come meanwhile, is weighed against what this prompt is worth.
 */
import type { EngineProfile } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import { passTime, readTime } from "./engineCost.js";
import { type EndpointLoad, readWait } from "./loadEstimator.js";

/** Endpoints that read one prompt: the one that gets the order, and as many helpers as engines take. */
export const readersAtMost = 16;
/** Part of its target for which each endpoint reads at least. Shorter parts gain little, and keep more endpoints from others. */
export const readPart = 0.5;
/** Memory is kept in blocks, and the last of each share is not full. */
const blockTokens = 16;
/** Part of an endpoint's free memory that is asked for; other entries' newest work may not be known yet. */
const usedPart = 0.97;

/** Memory of one member, in tokens. */
export interface TeamShare {
    endpoint: KnownEndpoint;
    tokens: number;
}

/** Who reads a prompt, and who holds it. */
export interface Team {
    /** The first gets the order. */
    readers: readonly KnownEndpoint[];
    /** Memory to set aside; the first is the one that gets the order, all are readers. None where one has enough. */
    shares: readonly TeamShare[];
    /** Predicted time of reading at each of them. */
    part: Milliseconds;
    /** Predicted time to the first event. */
    firstEvent: Milliseconds;
}

interface Member {
    endpoint: KnownEndpoint;
    load: EndpointLoad;
    freeTokens: number;
}

/** What decides between teams. */
export interface TeamNeed {
    engine: EngineProfile;
    promptTokens: number;
    answerTokens: number;
    targetLatency: Milliseconds;
    candidates: readonly KnownEndpoint[];
    loadOf: (endpoint: KnownEndpoint) => EndpointLoad;
    /** What is lost when the first event comes after `firstEvent`. */
    lossOf: (firstEvent: Milliseconds) => number;
    /** What is lost at an endpoint with this load by reading a part of so much time and tokens there. */
    partLossOf: (load: EndpointLoad, part: Milliseconds, tokens: number) => number;
}

/** The team that loses least; undefined when no team has the memory. */
export const chooseTeam = (need: TeamNeed): Team | undefined => {
    const partAtLeast = readPart * need.targetLatency;
    const ranked = rankedMembers(need, partAtLeast);
    const tokens = need.promptTokens + need.answerTokens;
    const alone = readTime(need.engine, need.promptTokens);
    const overMemory = tokens > need.engine.memoryTokens;
    const members = overMemory ? ranked : withoutReaders(ranked);
    let best: Team | undefined;
    let bestLoss = Infinity;
    const readersForMemory = overMemory ? members.length : 1;
    const readersUseful = Math.min(
        members.length,
        readersAtMost,
        Math.max(Math.ceil(alone / partAtLeast), readersForMemory),
    );
    for (let count = 1; count <= readersUseful; count++) {
        const readers = members.slice(0, count);
        const shares = overMemory ? sharesOf(readers, tokens) : [];
        if (!shares) {
            continue;
        }
        const part = alone / count;
        const firstEvent = firstEventOf(need, readers, part);
        let loss = need.lossOf(firstEvent);
        for (const { load } of readers) {
            loss += need.partLossOf(load, part, need.promptTokens / count);
        }
        if (loss < bestLoss) {
            bestLoss = loss;
            best = { readers: readers.map(({ endpoint }) => endpoint), shares, part, firstEvent };
        }
    }
    return best;
};

/** Idle endpoints first, then those whose writers and readers lose least. */
const rankedMembers = (need: TeamNeed, part: Milliseconds): Member[] => {
    const { engine, promptTokens, candidates, loadOf, partLossOf } = need;
    return candidates
        .map(endpoint => {
            const load = loadOf(endpoint);
            const freeTokens = Math.floor(Math.max(0, engine.memoryTokens - load.memoryTokens) * usedPart);
            const rank = partLossOf(load, part, promptTokens * part / readTime(engine, promptTokens))
                + readWait(load) / 1_000;
            return { member: { endpoint, load, freeTokens }, rank };
        })
        .filter(({ member }) => member.load.requests < engine.slots)
        .sort((left, right) => left.rank - right.rank || right.member.freeTokens - left.member.freeTokens)
        .map(({ member }) => member);
};

/**
 * Endpoints that read nothing; the one that has read most of what it has where there is none. Parts for others go before
 * the endpoint's own reads: under a load of long prompts each newcomer would overtake those that came before, and all of
 * them would be given up.
 */
const withoutReaders = (members: readonly Member[]): readonly Member[] => {
    const free = members.filter(({ load }) => load.readers === 0);
    if (free.length > 0) {
        return free;
    }
    const soonest = [...members].sort((left, right) => readWait(left.load) - readWait(right.load));
    return soonest.slice(0, 1);
};

/** Memory in as few members as hold it, the first one included; undefined when all together don't. */
const sharesOf = (members: readonly Member[], tokens: number): TeamShare[] | undefined => {
    const [first, ...others] = members;
    const roomy = others.sort((left, right) => right.freeTokens - left.freeTokens);
    const shares: TeamShare[] = [];
    let left = tokens;
    for (const { endpoint, freeTokens } of [first!, ...roomy]) {
        const room = freeTokens - blockTokens;
        if (room > 0) {
            const held = Math.min(left, room);
            shares.push({ endpoint, tokens: held + blockTokens });
            left -= held;
        }
        else if (shares.length === 0) {
            return undefined;
        }
        if (left <= 0) {
            return shares;
        }
    }
    return undefined;
};

/** The slowest member decides: its backlog, its part, and the pass that it is in. */
const firstEventOf = ({ engine }: TeamNeed, readers: readonly Member[], part: Milliseconds): Milliseconds => {
    let latest = 0;
    for (const { load } of readers) {
        const pass = load.writers > 0 ? passTime(engine, load.writers, load.contextTokens) : 0;
        latest = Math.max(latest, readWait(load) + part + pass);
    }
    return latest + engine.stepTime;
};
