/** An admitted request, as queueing, routing and placement use it. */
import { Deadline, Profile } from "../internal.js";

/** Queue lanes. Short prompts have their own, so that they don't wait behind long ones. */
export enum Lane {
    Short = 0,
    Long = 1,
}

/** The properties of an admitted request that queueing, routing and placement use. */
export interface Work {
    requestId: string;
    customer: string;
    /** Weight of the customer in the fair queue. */
    weight: number;
    service: string;
    profile: Profile;
    lane: Lane;
    promptTokens: number;
    /** Memory that the request needs at its end, in tokens: prompt and response. */
    memoryTokens: number;
    /** Equal for equal requests of all callers. Identifies a request that crashes endpoints. */
    fingerprint: string;
    /** Whether the request may run more than once. */
    idempotent: boolean;
    deadline: Deadline;
    /** Aborts when the caller has disconnected. */
    signal: AbortSignal;
}

/** The lane of a prompt under a profile. */
export const laneOf = (promptTokens: number, profile: Profile): Lane =>
    promptTokens <= profile.shortPromptTokens ? Lane.Short : Lane.Long;
