/** Decides whether this entry carries a connection for another one, and whether its own failure to connect says anything. */
import type { EndpointRecord } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { EndpointDirectory } from "../membership/endpointDirectory.js";
import type { Eligibility } from "../placement/eligibility.js";
import type { LinkTracker } from "./linkTracker.js";

/** Connections that this entry carries at the same time by default. Beyond them its own callers would wait. */
const defaultMaximumConnections = 256;

/** The endpoint to which another entry wants a connection. */
export interface RelayTarget {
    endpoint: string;
    address: string;
}

/** Admits connections of other entries. */
export class RelayGuard {
    /** Connections that this entry carries now. */
    openConnections = 0;

    constructor(
        private readonly links: LinkTracker,
        private readonly directory: EndpointDirectory,
        private readonly eligibility: Eligibility,
        private readonly maximumConnections = defaultMaximumConnections,
    ) {}

    /**
     * Returns the endpoint if this entry connects to it for another one; undefined otherwise. To the endpoint the requests come
     * from this entry, so its pauses and shutdowns that this entry knows bind them too.
     */
    admit({ endpoint: id, address }: RelayTarget): EndpointRecord | undefined {
        const endpoint = this.directory.get(id);
        if (!endpoint || endpoint.record.address !== address || this.openConnections >= this.maximumConnections) {
            return undefined;
        }
        const mayConnect = this.eligibility.isStillEligible(endpoint) && !this.links.isLost(endpoint.record);
        return mayConnect ? endpoint.record : undefined;
    }

    /** Whether a connection that has failed since `startedAt` says that `endpoint` is down, not a link of this entry. */
    judgesFailure(endpoint: EndpointRecord, startedAt: Milliseconds): Promise<boolean> {
        return this.links.reachesOthers(endpoint, startedAt);
    }
}
