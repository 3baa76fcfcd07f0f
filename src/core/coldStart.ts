/**
 * Permits that an endpoint's home grants: a few at a time while the endpoint is in cold start, and one at a time for
 * suspects. The permits bound the load that all entries together put on a cold endpoint.
 */
import {
    Clock,
    Endpoint,
    Homes,
    Membership,
    Milliseconds,
    PeerLostError,
    PeerPort,
    PermitDecision,
    PermitRequest,
    permitSendTimeoutMilliseconds,
    Profile,
} from "../internal.js";

/** A permit that its holder doesn't return counts as in use for this long. */
const permitLifetimeMilliseconds = 30_000;

/** Permission to send one request to an endpoint. */
export interface Permit {
    permitId: string;
    endpoint: string;
    suspect: boolean;
    /** Whether the endpoint was in cold start when the permit was requested. */
    cold: boolean;
    /** The entry that granted the permit as the endpoint's home. */
    home: string;
    /** Time on the sender's clock before which the request must be sent. */
    sendBefore: Milliseconds;
}

/** Dependencies of {@link ColdStart}. */
export interface ColdStartDependencies {
    clock: Clock;
    homes: Homes;
    membership: Membership;
    peers: PeerPort;
    self: string;
    findEndpoint: (id: string) => Endpoint | undefined;
    profileFor: (endpoint: Endpoint) => Profile;
    /** Whether this process's state is current; false after a pause until the state has been refreshed. */
    isStateFresh: () => boolean;
}

/**
 * Grants, requests and returns permits.
 *
 * A cold endpoint runs at most the profile's `coldConcurrency` requests until it reports itself warm: neither elapsed time
 * nor successful responses at a low load show how much more load it can bear. The home compares its outstanding permits
 * with the running requests that the endpoint reports and uses the larger count, because requests that a previous home
 * permitted may still be running.
 */
export class ColdStart {
    /** Expiry times of outstanding permits by permit ID, for each endpoint. */
    private readonly permitExpiriesByEndpoint = new Map<string, Map<string, Milliseconds>>();
    /** The permit of the suspect that runs on each endpoint. */
    private readonly suspectPermitByEndpoint = new Map<string, { permitId: string; expiresAt: Milliseconds; }>();

    constructor(private readonly dependencies: ColdStartDependencies) {}

    /** Grants a permit to this entry as the endpoint's home; undefined if it isn't the home or the endpoint has no capacity. */
    grantLocally(endpoint: Endpoint, permitId: string, suspect: boolean): Permit | undefined {
        const permit = this.createPermit(endpoint, this.dependencies.self, permitId, suspect);
        return this.grant(endpoint, this.toPermitRequest(permit)) === PermitDecision.Granted ? permit : undefined;
    }

    /** Requests a permit from the endpoint's home; undefined if the home denies the request or doesn't respond. */
    async requestFromHome(endpoint: Endpoint, permitId: string, suspect: boolean): Promise<Permit | undefined> {
        const home = this.dependencies.homes.homeOf(endpoint.id);
        const peer = home === undefined ? undefined : this.dependencies.membership.peer(home);
        if (home === undefined || !peer) {
            return undefined;
        }
        const permit = this.createPermit(endpoint, home, permitId, suspect);
        try {
            const decision = await this.dependencies.peers.requestPermit(
                peer.record.address,
                this.toPermitRequest(permit),
            );
            return decision === PermitDecision.Granted ? permit : undefined;
        }
        catch (error) {
            if (error instanceof PeerLostError) {
                return undefined;
            }
            throw error;
        }
    }

    /** Whether a permit still allows its send. Call it in the same synchronous step as the send. */
    isUsable(permit: Permit): boolean {
        if (permit.home === this.dependencies.self && !this.dependencies.homes.mayAct(permit.endpoint)) {
            return false;
        }
        return this.dependencies.clock.now() < permit.sendBefore;
    }

    /** Returns a permit to its home. */
    async release(permit: Permit): Promise<void> {
        const request = this.toPermitRequest(permit);
        if (permit.home === this.dependencies.self) {
            this.handleReturn(request);
            return;
        }
        const peer = this.dependencies.membership.peer(permit.home);
        try {
            await (peer && this.dependencies.peers.returnPermit(peer.record.address, request));
        }
        catch (error) {
            // The home counts the permit until it expires, which only delays other requests.
            if (!(error instanceof PeerLostError)) {
                throw error;
            }
        }
    }

    /** Decides on a permit request from a peer. */
    handleRequest(request: PermitRequest): PermitDecision {
        const endpoint = this.dependencies.findEndpoint(request.endpoint);
        return endpoint ? this.grant(endpoint, request) : PermitDecision.Denied;
    }

    /** Frees the capacity of a returned permit. */
    handleReturn(request: PermitRequest): void {
        if (this.suspectPermitByEndpoint.get(request.endpoint)?.permitId === request.permitId) {
            this.suspectPermitByEndpoint.delete(request.endpoint);
        }
        this.permitExpiriesByEndpoint.get(request.endpoint)?.delete(request.permitId);
    }

    /** Number of further requests that the home may permit on a cold endpoint. */
    remainingColdCapacity(endpoint: Endpoint): number {
        const usedSlots = Math.max(this.pruneExpiredPermits(endpoint).size, endpoint.report?.running ?? 0);
        return this.dependencies.profileFor(endpoint).coldConcurrency - usedSlots;
    }

    private createPermit(endpoint: Endpoint, home: string, permitId: string, suspect: boolean): Permit {
        const now = this.dependencies.clock.now();
        const cold = endpoint.trust(now).type !== "Warm";
        return {
            permitId,
            endpoint: endpoint.id,
            suspect,
            cold,
            home,
            sendBefore: now + permitSendTimeoutMilliseconds,
        };
    }

    private toPermitRequest({ endpoint, permitId, suspect, cold }: Permit): PermitRequest {
        return { instance: this.dependencies.self, endpoint, permitId, suspect, cold };
    }

    /**
     * Decides on a permit as the endpoint's home. A home that has just been paused may hold a stale report, so it denies
     * all requests until it has refreshed its state, and a requester that saw the endpoint cold takes precedence.
     */
    private grant(endpoint: Endpoint, { permitId, suspect, cold }: PermitRequest): PermitDecision {
        const now = this.dependencies.clock.now();
        const trust = endpoint.trust(now).type;
        if (!this.dependencies.isStateFresh() || !this.dependencies.homes.mayAct(endpoint.id) || trust === "Closed") {
            return PermitDecision.Denied;
        }
        const permitExpiries = this.pruneExpiredPermits(endpoint);
        if (permitExpiries.has(permitId)) {
            return PermitDecision.Granted;
        }
        const suspectPermit = this.suspectPermitByEndpoint.get(endpoint.id);
        const hasSuspect = suspect && suspectPermit !== undefined && suspectPermit.expiresAt > now;
        if (hasSuspect || ((cold || trust === "Cold") && this.remainingColdCapacity(endpoint) < 1)) {
            return PermitDecision.Denied;
        }
        const expiresAt = now + permitLifetimeMilliseconds;
        permitExpiries.set(permitId, expiresAt);
        if (suspect) {
            this.suspectPermitByEndpoint.set(endpoint.id, { permitId, expiresAt });
        }
        return PermitDecision.Granted;
    }

    /** Removes the expired permits of an endpoint and returns the others with their expiry times. */
    private pruneExpiredPermits(endpoint: Endpoint): Map<string, Milliseconds> {
        let permits = this.permitExpiriesByEndpoint.get(endpoint.id);
        if (!permits) {
            permits = new Map();
            this.permitExpiriesByEndpoint.set(endpoint.id, permits);
        }
        const now = this.dependencies.clock.now();
        for (const [permitId, expiresAt] of permits) {
            if (expiresAt <= now) {
                permits.delete(permitId);
            }
        }
        return permits;
    }
}
