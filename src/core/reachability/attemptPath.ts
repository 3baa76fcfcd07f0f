/** Over whose connection an attempt runs, and so who can tell whether its endpoint has failed it. */
import type { PeerAddress } from "../../ports/peerChannelPort.js";

/** The connection of one attempt: this entry's own, or one that another entry carries. */
export class AttemptPath {
    /** The entry that carries the connection; undefined where this entry connects itself. */
    carrier: PeerAddress | undefined;
    /**
     * Whether the carried connection ends without a declaration that the endpoint has ended it. Then the carrying entry may have
     * ended, or the link to it, and the endpoint may be sound. An entry of an earlier version declares no end.
     */
    isCut = false;

    recordCarried(carrier: PeerAddress): void {
        this.carrier = carrier;
        this.isCut = false;
    }

    recordCut(): void {
        this.isCut = true;
    }
}
