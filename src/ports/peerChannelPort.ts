/** The channel between entries, which carries datagrams that may be lost, duplicated, delayed or reordered. */
import type { MemberDigest } from "../core/membership/memberDigest.js";
import type { PlacedWork, WorkPart } from "../core/placement/engineEstimate.js";
import type { OutcomeUpdate } from "../core/placement/failureTracker.js";
import type { PlacementAnswer, PlacementQuestion } from "../core/placement/placementQuestion.js";
import type { Milliseconds } from "../utils/clock.js";
import type { StateChange, StateKind } from "./statePort.js";

/** The fields that all parts of one placement share. The end is sent as remaining time, since the clocks of entries differ. */
export type SerializedWork = Omit<PlacedWork, "endsBy" | "endpoint" | "part" | "contextTokens"> & {
    endsIn: Milliseconds;
};

/**
 * Where one part of a placement runs. A tuple, since it is sent to all entries: a dozen parts with field names would occupy a
 * slow link for 100 ms, and the messages behind them would be lost.
 */
export type SerializedPart = [endpoint: string, part: WorkPart, contextTokens: number];

/** The sender of a message. */
export interface PeerIdentity {
    id: string;
    /** Address at which it receives datagrams. */
    address: string;
    /** Changes with each start of the process. */
    incarnation: string;
}

/** The address at which an entry receives datagrams. */
export type PeerAddress = Pick<PeerIdentity, "id" | "address">;

/** Store revision of the last change that an entry has applied, by kind of stored objects. */
export type KnownRevisions = Partial<Record<StateKind, number>>;

/** Time since the store last responded to a call, by kind. Kinds that were never read are missing. */
export type ReadAges = Partial<Record<StateKind, Milliseconds>>;

/** The latest rate limit that an endpoint advertised for all entries together. */
export interface AdvertisedLimit {
    endpoint: string;
    /** Requests per second; undefined if the endpoint no longer advertises a limit. */
    perSecond: number | undefined;
    /** Time since the endpoint advertised the limit. */
    age: Milliseconds;
}

/** The latest state that an endpoint reported in its responses. */
export interface ReportedState {
    endpoint: string;
    /** Incarnation of the endpoint by the list of endpoints. */
    incarnation: number;
    /** Whether the endpoint is shutting down. */
    isLeaving: boolean;
    /** How long the endpoint stays cold; zero where it isn't. */
    coldFor: Milliseconds;
    /** Time since the report. */
    age: Milliseconds;
}

/** A crash with the requests that were present. */
export interface CrashReport {
    endpoint: string;
    /** Incarnation of the endpoint by the list of endpoints. */
    incarnation: number;
    /** Time since the crash. */
    age: Milliseconds;
    /** Fingerprints, and how long the endpoint had been serving each request. */
    requests: { request: string; servedFor: Milliseconds; }[];
    /** The data centre of an endpoint that fell silent. Missing for others, and from earlier versions. */
    silentIn?: string;
    /** Shared parts of the prompts that were present, and those of them that were on trial. Missing from earlier versions. */
    parts?: string[];
    trialParts?: string[];
}

/** A prompt part that an endpoint survived, and the time since that endpoint began to write. */
export interface PartReport {
    part: string;
    age: Milliseconds;
}

/** A request that no entry sends, because it crashes endpoints. */
export interface QuarantineReport {
    /** Fingerprint of the request, or the key of a set of prompt parts. */
    request: string;
    /** Time since the quarantine began. */
    age: Milliseconds;
    /** Time since the request last came. */
    unseenFor: Milliseconds;
    /** How often the request was sent again to find out whether it still crashes endpoints. */
    trialCount: number;
    /** How long the delay of the next trial has lasted. */
    waitingFor: Milliseconds;
    /** The crashes that decided it, each with the time since; undefined where only the store knew of the crash. */
    crashes: { endpoint: string; incarnation: number; age: Milliseconds | undefined; }[];
}

/** The completion of a request that had been present at crashes. */
export interface CompletionReport {
    request: string;
    age: Milliseconds;
}

/** What an entry knows about requests that crash endpoints. */
export interface CrashNews {
    crashes: CrashReport[];
    completions: CompletionReport[];
    quarantined: QuarantineReport[];
    /** Parts that were present at crashes and that endpoints survived. Missing from earlier versions. */
    survivedParts?: PartReport[];
}

/** Requests per counting window that one entry lets another one send to an endpoint. */
export interface LentAllowance {
    endpoint: string;
    count: number;
}

/** Changes of a kind of stored objects, for an entry that has all earlier ones. */
export interface StateDelta {
    kind: StateKind;
    /** Revision that an entry must have reached to apply the changes. */
    after: number;
    /** Revision that an entry reaches with the changes. */
    revision: number;
    /** Whether the store was unavailable just before. */
    wasAway: boolean;
    changes: StateChange<unknown>[];
}

/** An entry's own status, sent with its heartbeats. */
export interface PeerStatus {
    known: KnownRevisions;
    readAges: ReadAges;
    dataCentre: string;
    /** Whether the store responds to the entry. */
    reads: boolean;
    /** Time until its next heartbeat. */
    signInterval: Milliseconds;
    /** Processor cores of its instance. */
    processors: number;
    /** Whether it is able to choose endpoints for others. */
    places: boolean;
    limits: AdvertisedLimit[];
    /** Missing in messages of earlier versions. */
    reportedStates?: ReportedState[];
    /** Missing where nothing is known, and in messages of earlier versions. */
    crashNews?: CrashNews;
    /** Whether the entry can connect to endpoints. Missing in messages of earlier versions. */
    reachesEndpoints?: boolean;
    /** Whether the entry sends and understands digests of the living entries. Missing in messages of earlier versions. */
    usesDigests?: boolean;
    /** The living entries by a placer's list; only in heartbeats of placers. */
    digest?: MemberDigest;
    /** Whether the entry answers `ColdPartsAsked`. Missing in messages of earlier versions, which don't know that message. */
    lendsColdParts?: boolean;
}

/** One update from an entry to its peers. */
export type PeerUpdate =
    | { type: "Placed"; work: SerializedWork; parts: SerializedPart[]; }
    | { type: "Writing"; endpoint: string; id: string; }
    | { type: "Ended"; endpoints: string[]; id: string; }
    /** The heartbeat. `inProgress`, if present, lists all requests that the sender has in progress. */
    | { type: "Alive"; inProgress: string[] | undefined; status: PeerStatus; }
    /** Sent when the store responded to the sender, with the delta if it is small. */
    | { type: "StoreRead"; known: KnownRevisions; readAges: ReadAges; change: StateDelta | undefined; }
    /** The result of a send to an endpoint. */
    | OutcomeUpdate
    | { type: "PlacementAsked"; question: PlacementQuestion; }
    | { type: "PlacementAnswered"; answer: PlacementAnswer; }
    /** The request of the sender waits no longer. Sent only to placers that answered that it waits. */
    | { type: "WaitWithdrawn"; requestId: string; }
    /** Asks for a part of the receiver's unused shares of endpoints' limits, and the answer. */
    | { type: "AllowanceAsked"; serial: number; }
    | { type: "AllowanceLent"; serial: number; allowances: LentAllowance[]; }
    /** What the sender keeps of a loan; the rest is given back. */
    | { type: "AllowanceReturned"; serial: number; kept: LentAllowance[]; }
    /** Asks for the receiver's unused parts of cold endpoints' allowances, and the answer. */
    | { type: "ColdPartsAsked"; serial: number; }
    | { type: "ColdPartsLent"; serial: number; parts: LentAllowance[]; }
    | { type: "Stopping"; }
    /** Asks for the entries that the receiver knows. */
    | { type: "Greeting"; }
    | { type: "Entries"; entries: PeerAddress[]; };

/** Updates from one entry. */
export interface PeerMessage {
    from: PeerIdentity;
    news: PeerUpdate[];
}

/** To which entries the receiver of a datagram relays its messages. */
export enum RelayScope {
    None = "nobody",
    /** The other entries of the receiver's group. */
    Group = "group",
    /** The other placers. */
    Placers = "placers",
}

/** The content of one datagram. */
export interface PeerPacket {
    messages: PeerMessage[];
    passOn: RelayScope;
}

/** Sends datagrams to other entries. */
export interface PeerChannelPort {
    /** Sends the packet once to each address, without acknowledgement. */
    send(addresses: readonly string[], packet: PeerPacket): void;
}
