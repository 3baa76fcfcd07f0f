/** Messages and calls between entries. */
import { DandelionrampError, InstanceRecord, InstanceState, ObjectPage, SuspectUpdate } from "../internal.js";

/** Sent to each peer several times a second; the peer returns its own. */
export interface Heartbeat {
    instance: string;
    incarnation: string;
    state: InstanceState;
    /** Revision of the configuration that the entry holds; 0 while it holds no complete one. */
    configurationRevision: number;
    /** Operators' orders to take data centres and instances out that are not stored in the platform yet. */
    provisionalOuts: ProvisionalOut[];
    suspects: SuspectUpdate[];
    /** Version of the home table that the entry read last. */
    homesVersion: number;
    /** Whether the platform is unavailable to the entry. */
    platformDown: boolean;
}

/** An operator's order to take a data centre or an instance out of service, until the platform has stored it. */
export interface ProvisionalOut {
    kind: "dataCentre" | "instance";
    name: string;
    /** Identifies the order. It is in force until it is stored, or until an order to bring back in lifts it by this id. */
    outId: string;
}

/** A peer's configuration changes after a revision, for an entry that hasn't received them from the platform. */
export interface PeerConfiguration {
    page: ObjectPage;
    loaded: boolean;
    instances: InstanceRecord[];
}

/** Asks an endpoint's home for permission to send one request to the endpoint. */
export interface PermitRequest {
    instance: string;
    endpoint: string;
    permitId: string;
    /** Whether the request was running during a crash. An endpoint runs at most one such request at a time. */
    suspect: boolean;
    /** Whether the requesting entry considers the endpoint cold. */
    cold: boolean;
}

/** The home's response to a permit request. */
export enum PermitDecision {
    Granted = "granted",
    Denied = "denied",
}

/** Progress of a claim, as reported by its holder. */
export enum ClaimProgress {
    Running = "running",
    /** The holder ended the claim without sending its call. Another entry may take the claim over. */
    Released = "released",
    /** The holder has no record of the claim. */
    Unknown = "unknown",
}

/** Whether an entry has seen a claim of a key. */
export enum KeyHistory {
    /** The entry created a claim of the key or found one in the platform. */
    Seen = "seen",
    NotSeen = "notSeen",
    /** The entry has not seen a claim, but a process that may have seen one ended recently without a planned stop. */
    Incomplete = "incomplete",
}

/** The peer didn't respond in time. */
export class PeerLostError extends DandelionrampError {}

/** Calls to peers by address. Each call ends within a bounded time and throws {@link PeerLostError} if it fails. */
export interface PeerPort {
    heartbeat(address: string, heartbeat: Heartbeat): Promise<Heartbeat>;
    configurationSince(address: string, revision: number): Promise<PeerConfiguration>;
    requestPermit(address: string, request: PermitRequest): Promise<PermitDecision>;
    returnPermit(address: string, request: PermitRequest): Promise<void>;
    claimProgress(address: string, claimName: string, nonce: string): Promise<ClaimProgress>;
    keyHistory(address: string, claimName: string): Promise<KeyHistory>;
    /** Returns which of `holdingIds` the peer still uses. */
    liveHoldings(address: string, holdingIds: string[]): Promise<{ incarnation: string; live: string[]; }>;
}
