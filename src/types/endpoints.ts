/** Instances in the platform's list, and what endpoints report about themselves. */
import { Milliseconds } from "../internal.js";

/** Kind of process that an instance runs. */
export enum InstanceRole {
    Entry = "entry",
    Engine = "engine",
    PlainService = "plainService",
}

/** State of an instance in the platform's list. */
export enum InstanceState {
    Live = "live",
    Leaving = "leaving",
}

/** One record of the platform's instance list, which lags behind the actual state. */
export interface InstanceRecord {
    id: string;
    role: InstanceRole;
    dataCentre: string;
    /** Address for requests: the port of an engine or a service, or the peer port of an entry. */
    address: string;
    /** Changes with each start of the process. */
    incarnation: string;
    state: InstanceState;
    /** The service that an endpoint belongs to. */
    service?: string;
}

/** Whether an endpoint reports that its cold start is over. */
export enum EndpointTemperature {
    Cold = "cold",
    Warm = "warm",
}

/** Load that an endpoint reports. The report lags behind the actual load. */
export interface EndpointReport {
    incarnation: string;
    temperature: EndpointTemperature;
    running: number;
    memoryCapacityTokens: number;
    memoryUsedTokens: number;
    /** Prompt tokens that are accepted but not prefilled yet. */
    waitingPromptTokens: number;
    prefillTokensPerSecond: number;
    decodeStepMilliseconds: Milliseconds;
}

/** A resource that an engine holds for an entry: a stream, or a reservation of memory. */
export interface EngineHolding {
    id: string;
    kind: "stream" | "reservation";
    /** The entry that requested the stream or reservation. */
    owner: string;
    ownerIncarnation: string;
    tokens: number;
}
