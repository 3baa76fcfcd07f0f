/** Instances and endpoints as the platform and the endpoints themselves describe them. */
import { Milliseconds } from "../internal.js";

/** What an instance of the platform's list runs. */
export enum InstanceRole {
    Entry = "entry",
    Engine = "engine",
    PlainService = "plainService",
}

/** What the platform's list says of an instance. */
export enum InstanceState {
    Live = "live",
    Leaving = "leaving",
}

/** One line of the platform's lagging instance list. */
export interface InstanceRecord {
    id: string;
    role: InstanceRole;
    dataCentre: string;
    /** Where requests go: an engine's or service's port, or an entry's peer port. */
    address: string;
    /** Changes with each start of the instance's process. */
    incarnation: string;
    state: InstanceState;
    /** The service an endpoint belongs to. */
    service?: string;
}

/** How warm an endpoint says it is. */
export enum EndpointTemperature {
    Cold = "cold",
    Warm = "warm",
}

/** An endpoint's own report of its load; it lags behind the truth. */
export interface EndpointReport {
    incarnation: string;
    temperature: EndpointTemperature;
    running: number;
    memoryCapacityTokens: number;
    memoryUsedTokens: number;
    /** Prompt tokens accepted and not yet prefilled. */
    waitingPromptTokens: number;
    prefillTokensPerSecond: number;
    decodeStepMilliseconds: Milliseconds;
}

/** Something an engine holds for somebody: a stream, or a reservation of memory. */
export interface EngineHolding {
    id: string;
    kind: "stream" | "reservation";
    /** The entry that asked for it. */
    owner: string;
    ownerIncarnation: string;
    tokens: number;
}
