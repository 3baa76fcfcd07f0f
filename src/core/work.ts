/** One admitted request as the core sees it. */
import { Deadline, Profile } from "../internal.js";

/** Lanes keep short prompts from waiting behind long ones. */
export enum Lane {
    Short = 0,
    Long = 1,
}

/** What routing and admission need to know of a request. */
export interface Work {
    requestId: string;
    customer: string;
    /** Share of the customer in the queue. */
    weight: number;
    service: string;
    profile: Profile;
    lane: Lane;
    promptTokens: number;
    /** Memory the request takes at its end: prompt and answer. */
    memoryTokens: number;
    /** Same for equal requests of any caller; names a request that crashes endpoints. */
    fingerprint: string;
    /** Whether a second run does no harm. */
    idempotent: boolean;
    deadline: Deadline;
    /** Aborts when the caller went away. */
    signal: AbortSignal;
}

/** The lane of a prompt under a profile. */
export const laneOf = (promptTokens: number, profile: Profile): Lane =>
    promptTokens <= profile.shortPromptTokens ? Lane.Short : Lane.Long;
