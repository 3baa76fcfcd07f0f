/** What the core needs of the channel between entries: datagrams that may be lost, doubled, late or out of order. */
import type { PlacedWork, WorkPart } from "../core/placement/engineEstimate.js";
import type { OutcomeUpdate } from "../core/placement/failureTracker.js";
import type { PlacementAnswer, PlacementQuestion } from "../core/placement/placementQuestion.js";
import type { Milliseconds } from "../utils/clock.js";
import type { StateChange, StateKind } from "./statePort.js";

/** What the work of one send has in common wherever a part of it is placed; its end as time left, as clocks differ. */
export type SerializedWork = Omit<PlacedWork, "endsBy" | "endpoint" | "part" | "contextTokens"> & {
    endsIn: Milliseconds;
};

/**
 * Where a part of it is placed: endpoint, part, tokens of context. Short, since it goes to all entries: a dozen parts
 * spelled out fill a thin link for a tenth of a second, and messages behind them are lost.
 */
export type SerializedPart = [endpoint: string, part: WorkPart, contextTokens: number];

/** Who sends, and which life of its process. */
export interface PeerIdentity {
    id: string;
    /** Where it takes datagrams. */
    address: string;
    /** Differs between two lives of a process. */
    incarnation: string;
}

/** Where an entry takes datagrams. */
export type PeerAddress = Pick<PeerIdentity, "id" | "address">;

/** The last change that an entry knows of each kind of stored objects, as revisions of the store. */
export type KnownRevisions = Partial<Record<StateKind, number>>;

/** How long ago the store last answered a call for each kind; a kind is missing that was never read. */
export type ReadAges = Partial<Record<StateKind, Milliseconds>>;

/** The newest word of an endpoint on the requests a second that it takes from all entries together. */
export interface AdvertisedLimit {
    endpoint: string;
    /** Undefined where it names no limit any more. */
    perSecond: number | undefined;
    /** How long ago it was heard. */
    age: Milliseconds;
}

/** Changes of a kind of stored objects, for who knows what held before them. */
export interface StateDelta {
    kind: StateKind;
    /** Known by whoever may take the changes. */
    after: number;
    /** Known after them. */
    revision: number;
    /** Whether the store couldn't be reached just before. */
    wasAway: boolean;
    changes: StateChange<unknown>[];
}

/** What an entry says of itself. */
export interface PeerStatus {
    known: KnownRevisions;
    readAges: ReadAges;
    dataCentre: string;
    /** Whether the store answers it. */
    reads: boolean;
    /** How soon its next sign of life comes. */
    signInterval: Milliseconds;
    /** Cores that its instance has. */
    processors: number;
    /** Whether it could choose endpoints for others. */
    places: boolean;
    limits: AdvertisedLimit[];
}

/** One piece of news. */
export type PeerUpdate =
    | { type: "Placed"; work: SerializedWork; parts: SerializedPart[]; }
    | { type: "Writing"; endpoint: string; id: string; }
    | { type: "Ended"; endpoints: string[]; id: string; }
    /** Sent on a timer: the sender lives, and these requests are all that it has in progress, where they are named. */
    | { type: "Alive"; inProgress: string[] | undefined; status: PeerStatus; }
    /** Sent when the store answered the sender; with what changed where it is small. */
    | { type: "StoreRead"; known: KnownRevisions; readAges: ReadAges; change: StateDelta | undefined; }
    /** What became of a send to an endpoint. */
    | OutcomeUpdate
    | { type: "PlacementAsked"; question: PlacementQuestion; }
    | { type: "PlacementAnswered"; answer: PlacementAnswer; }
    | { type: "Stopping"; }
    /** Asks for the entries that the receiver knows. */
    | { type: "Greeting"; }
    | { type: "Entries"; entries: PeerAddress[]; };

/** What one entry tells. */
export interface PeerMessage {
    from: PeerIdentity;
    news: PeerUpdate[];
}

/** Whom the receiver of a datagram tells in turn. */
export enum RelayScope {
    Nobody = "nobody",
    /** The others of its group. */
    Group = "group",
    /** The others who choose endpoints for all. */
    Placers = "placers",
}

/** What one datagram holds. */
export interface PeerPacket {
    messages: PeerMessage[];
    passOn: RelayScope;
}

/** The channel. */
export interface PeerChannelPort {
    /** Sends to each address, once and without an answer. */
    send(addresses: readonly string[], packet: PeerPacket): void;
}
