/**
 * Routing policies: round robin, least loaded, and shortest queue with long prompts kept apart from short ones. A policy
 * chooses among the endpoints that have capacity for a request, from their reports and the attempts in flight.
 */
import { match } from "ts-pattern";
import { Endpoint, Lane, Random, RoutingPolicy, Work } from "../internal.js";

/** Relative jitter of scores; without it, entries with the same stale reports would all choose the same endpoint. */
const scoreJitter = 0.2;

/** Whether an endpoint has capacity for a request, from its last report and this entry's attempts in flight. */
export const hasCapacity = (endpoint: Endpoint, work: Work, isSuspect: boolean): boolean => {
    if (endpoint.inFlight.size >= work.profile.warmConcurrency) {
        return false;
    }
    if (work.memoryTokens > 0 && endpoint.freeMemoryTokens() < work.memoryTokens) {
        return false;
    }
    if (isSuspect && runsSuspect(endpoint)) {
        return false;
    }
    return work.profile.policy !== RoutingPolicy.ShortFirst || hasLongPromptCapacity(endpoint, work);
};

const runsSuspect = (endpoint: Endpoint): boolean => {
    for (const attempt of endpoint.inFlight.values()) {
        if (attempt.isSuspect) {
            return true;
        }
    }
    return false;
};

const hasLongPromptCapacity = (endpoint: Endpoint, work: Work): boolean => {
    if (work.lane === Lane.Short) {
        return true;
    }
    const tokens = endpoint.longTokensInFlight();
    return tokens === 0 || tokens + work.promptTokens <= work.profile.longTokensInFlight;
};

const activeRequestCount = (endpoint: Endpoint): number =>
    Math.max(endpoint.inFlight.size, endpoint.report?.running ?? 0);

const prefillMilliseconds = (endpoint: Endpoint, tokens: number): number =>
    tokens / Math.max(1, endpoint.report?.prefillTokensPerSecond ?? 1) * 1_000;

const shortPromptScore = (endpoint: Endpoint): number =>
    prefillMilliseconds(endpoint, endpoint.waitingPromptTokens())
    + activeRequestCount(endpoint) * (endpoint.report?.decodeStepMilliseconds ?? 1);

const longPromptScore = (endpoint: Endpoint): number => {
    // Long prompts are concentrated on endpoints that already run some, so that most endpoints stay free for short prompts.
    const concentrationFactor = endpoint.longTokensInFlight() > 0 ? 0.5 : 1;
    return concentrationFactor * prefillMilliseconds(endpoint, endpoint.waitingPromptTokens());
};

const selectLowestScore = (
    endpoints: readonly Endpoint[],
    random: Random,
    score: (endpoint: Endpoint) => number,
): Endpoint | undefined => {
    let bestEndpoint: Endpoint | undefined;
    let bestScore = Infinity;
    for (const endpoint of endpoints) {
        const jitteredScore = (score(endpoint) + 1) * (1 + random.next() * scoreJitter);
        if (jitteredScore < bestScore) {
            bestEndpoint = endpoint;
            bestScore = jitteredScore;
        }
    }
    return bestEndpoint;
};

/** Applies the profile's routing policy; keeps the position of the round robin. */
export class Router {
    private nextRoundRobinIndex = 0;

    constructor(private readonly random: Random) {}

    /** Chooses one of `endpoints`, which all have capacity; undefined if the list is empty. */
    choose(work: Work, endpoints: readonly Endpoint[]): Endpoint | undefined {
        return match(work.profile.policy)
            .with(RoutingPolicy.RoundRobin, () => endpoints[this.nextRoundRobinIndex++ % Math.max(1, endpoints.length)])
            .with(RoutingPolicy.LeastLoaded, () => selectLowestScore(endpoints, this.random, activeRequestCount))
            .with(
                RoutingPolicy.ShortFirst,
                () =>
                    selectLowestScore(
                        endpoints,
                        this.random,
                        work.lane === Lane.Short ? shortPromptScore : longPromptScore,
                    ),
            )
            .exhaustive();
    }
}

/** Predicts the time to first token on an endpoint in milliseconds, from the prompt tokens that wait there. */
export const predictTimeToFirstToken = (endpoint: Endpoint, work: Work): number => {
    const tokensAhead = work.lane === Lane.Short && work.profile.policy === RoutingPolicy.ShortFirst
        ? Math.min(endpoint.waitingPromptTokens(), work.profile.shortPromptTokens)
        : endpoint.waitingPromptTokens();
    return prefillMilliseconds(endpoint, tokensAhead + work.promptTokens);
};
