/** One attempt of a request, and for how long its endpoint has served it. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { KnownEndpoint } from "../membership/endpointDirectory.js";
import type { Placement } from "../placement/endpointSelector.js";
import { AttemptPath } from "../reachability/attemptPath.js";

/** An attempt that is sent to the endpoint of its placement. */
export class Attempt {
    readonly path = new AttemptPath();
    /** Whether the endpoint was reported as silent, and has sent nothing since. */
    isReportedSilent = false;
    /** Whether a probe has found that an instance of the attempt accepts no connections. */
    isKnownGone = false;
    /** When the head of the response arrived, so that the endpoint writes the answer; undefined before. */
    writingSince: Milliseconds | undefined;
    /** When the last step of the attempt was taken: its send, or the head of its response. */
    servingSince: Milliseconds;

    constructor(private readonly clock: Clock, readonly placement: Placement) {
        this.servingSince = clock.now();
    }

    get endpoint(): KnownEndpoint {
        return this.placement.endpoint;
    }

    /** Records that the head of the response has arrived. */
    recordWriting(): void {
        this.servingSince = this.clock.now();
        this.writingSince = this.servingSince;
    }

    get servedFor(): Milliseconds {
        return this.clock.now() - this.servingSince;
    }

    get writingFor(): Milliseconds {
        return this.writingSince === undefined ? 0 : this.clock.now() - this.writingSince;
    }
}
