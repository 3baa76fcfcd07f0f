/** Chooses among endpoints that have room, by the profile's policy. */
import { match } from "ts-pattern";
import { Endpoint, Lane, Random, RoutingPolicy, Work } from "../internal.js";

/** Scores are spread by this share, so that entries with the same stale reports don't all choose the same endpoint. */
const scoreSpread = 0.2;

/** Whether an endpoint that is warm can take a request now, as far as this entry can tell. */
export const hasRoom = (endpoint: Endpoint, work: Work, suspect: boolean): boolean => {
    if (endpoint.inFlight.size >= work.profile.warmConcurrency) {
        return false;
    }
    if (work.memoryTokens > 0 && endpoint.freeMemoryTokens() < work.memoryTokens) {
        return false;
    }
    if (suspect && runsSuspect(endpoint)) {
        return false;
    }
    return work.profile.policy !== RoutingPolicy.ShortFirst || hasLongRoom(endpoint, work);
};

const runsSuspect = (endpoint: Endpoint): boolean => {
    for (const attempt of endpoint.inFlight.values()) {
        if (attempt.suspect) {
            return true;
        }
    }
    return false;
};

const hasLongRoom = (endpoint: Endpoint, work: Work): boolean => {
    if (work.lane === Lane.Short) {
        return true;
    }
    const tokens = endpoint.longTokensInFlight();
    return tokens === 0 || tokens + work.promptTokens <= work.profile.longTokensInFlight;
};

const load = (endpoint: Endpoint): number => Math.max(endpoint.inFlight.size, endpoint.report?.running ?? 0);

const prefillMilliseconds = (endpoint: Endpoint, tokens: number): number =>
    tokens / Math.max(1, endpoint.report?.prefillTokensPerSecond ?? 1) * 1_000;

const shortScore = (endpoint: Endpoint): number =>
    prefillMilliseconds(endpoint, endpoint.waitingPromptTokens())
    + load(endpoint) * (endpoint.report?.decodeStepMilliseconds ?? 1);

const longScore = (endpoint: Endpoint): number => {
    // Long prompts gather where long prompts are, so that most endpoints stay free of them.
    const gathers = endpoint.longTokensInFlight() > 0 ? 0.5 : 1;
    return gathers * prefillMilliseconds(endpoint, endpoint.waitingPromptTokens());
};

const lowest = (
    endpoints: readonly Endpoint[],
    random: Random,
    score: (endpoint: Endpoint) => number,
): Endpoint | undefined => {
    let best: Endpoint | undefined;
    let bestScore = Infinity;
    for (const endpoint of endpoints) {
        const spread = (score(endpoint) + 1) * (1 + random.next() * scoreSpread);
        if (spread < bestScore) {
            best = endpoint;
            bestScore = spread;
        }
    }
    return best;
};

/** The routing policies of one entry; the round robin remembers its turn. */
export class Router {
    private turn = 0;

    constructor(private readonly random: Random) {}

    /** One of `endpoints`, which all have room; undefined when there is none. */
    choose(work: Work, endpoints: readonly Endpoint[]): Endpoint | undefined {
        return match(work.profile.policy)
            .with(RoutingPolicy.RoundRobin, () => endpoints[this.turn++ % Math.max(1, endpoints.length)])
            .with(RoutingPolicy.LeastLoaded, () => lowest(endpoints, this.random, load))
            .with(
                RoutingPolicy.ShortFirst,
                () => lowest(endpoints, this.random, work.lane === Lane.Short ? shortScore : longScore),
            )
            .exhaustive();
    }
}

/** Milliseconds until the first token on an endpoint, predicted from its report. */
export const predictFirstToken = (endpoint: Endpoint, work: Work): number => {
    const ahead = work.lane === Lane.Short && work.profile.policy === RoutingPolicy.ShortFirst
        ? Math.min(endpoint.waitingPromptTokens(), work.profile.shortPromptTokens)
        : endpoint.waitingPromptTokens();
    return prefillMilliseconds(endpoint, ahead + work.promptTokens);
};
