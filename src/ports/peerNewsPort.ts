/** What the core needs of the channel between entries: datagrams that may be lost, doubled, late or out of order. */
import type { PlacedWork } from "../core/placement/loadView.js";
import type { Milliseconds } from "../utils/clock.js";

/** Placed work as it travels: its end as time left, as clocks of entries differ. */
export type TravellingWork = Omit<PlacedWork, "endsBy" | "owner"> & { endsIn: Milliseconds; };

/** Who sends, and which life of its process. */
export interface PeerIdentity {
    id: string;
    /** Where it takes datagrams. */
    address: string;
    /** Differs between two lives of a process. */
    incarnation: string;
}

/** One piece of news. */
export type PeerNews =
    | { type: "Placed"; works: TravellingWork[]; }
    | { type: "Writing"; endpoint: string; id: string; }
    | { type: "Ended"; endpoints: string[]; id: string; }
    /** Sent on a timer: the sender lives, and these requests are all that it has in progress. */
    | { type: "Alive"; inProgress: string[]; }
    | { type: "Stopping"; };

/** What one datagram holds. */
export interface PeerMessage {
    from: PeerIdentity;
    news: PeerNews[];
}

/** The channel. */
export interface PeerNewsPort {
    /** Sends to each address, once and without an answer. */
    send(addresses: readonly string[], message: PeerMessage): void;
}
