/** What entries say to one another. */
import { DandelionrampError, InstanceRecord, InstanceState, ObjectPage, SuspectUpdate } from "../internal.js";

/** What an entry tells a peer several times a second. */
export interface Heartbeat {
    instance: string;
    incarnation: string;
    state: InstanceState;
    /** Highest configuration revision this entry holds. */
    configurationRevision: number;
    /** Data centres and instances taken out by operators and not yet written to the platform. */
    provisionalOuts: ProvisionalOut[];
    suspects: SuspectUpdate[];
    /** Version of the home table this entry has seen last. */
    homesVersion: number;
    /** Whether this entry's platform calls fail at present. */
    platformDown: boolean;
}

/** An operator's order to take something out, given while the platform could not be written. */
export interface ProvisionalOut {
    kind: "dataCentre" | "instance";
    name: string;
    /** Names this order: it holds until it is stored, or until an order to bring back in lifts it by name. */
    outId: string;
}

/** What a peer holds beyond a revision, for one that can't learn it from the platform. */
export interface PeerConfiguration {
    page: ObjectPage;
    loaded: boolean;
    instances: InstanceRecord[];
}

/** A wish to send one request that only the endpoint's home may let onto it. */
export interface PermitRequest {
    instance: string;
    endpoint: string;
    permitId: string;
    /** Whether the request was present at a crash and must be alone among such requests. */
    suspect: boolean;
    /** Whether the endpoint is cold as far as the asking entry knows. */
    cold: boolean;
}

/** Whether the home allows it. */
export enum PermitDecision {
    Granted = "granted",
    Denied = "denied",
}

/** State of a claim as its holder knows it. */
export enum ClaimProgress {
    Running = "running",
    /** The holder ended it without dispatching: another may take it over. */
    Released = "released",
    /** The holder no longer knows of it. */
    Unknown = "unknown",
}

/** What an entry remembers of a key that must not be used twice. */
export enum KeyHistory {
    /** A call with this key was sent, or a claim of it was seen. */
    Seen = "seen",
    NotSeen = "notSeen",
    /** Not seen here, but an entry that may have known died lately. */
    Incomplete = "incomplete",
}

/** The peer didn't answer in time. */
export class PeerLostError extends DandelionrampError {}

/** Peers by the address of their peer port. Calls end within a bound and throw {@link PeerLostError}. */
export interface PeerPort {
    heartbeat(address: string, heartbeat: Heartbeat): Promise<Heartbeat>;
    configurationSince(address: string, revision: number): Promise<PeerConfiguration>;
    requestPermit(address: string, request: PermitRequest): Promise<PermitDecision>;
    returnPermit(address: string, request: PermitRequest): Promise<void>;
    claimProgress(address: string, claimName: string, nonce: string): Promise<ClaimProgress>;
    keyHistory(address: string, claimName: string): Promise<KeyHistory>;
    /** Which of `holdingIds` the peer still uses. */
    liveHoldings(address: string, holdingIds: string[]): Promise<{ incarnation: string; live: string[]; }>;
}
