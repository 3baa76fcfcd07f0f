/** Permits of an endpoint's home: for a small load in cold start, and for suspects, one at a time. */
import {
    Clock,
    Endpoint,
    Homes,
    Membership,
    Milliseconds,
    PeerLostError,
    PeerPort,
    PermitDecision,
    permitLifetimeMilliseconds,
    PermitRequest,
    Profile,
} from "../internal.js";

/** How long a permit whose holder says nothing counts as in use. */
const permitHoldMilliseconds = 30_000;

/** Leave to send one request to an endpoint. */
export interface Permit {
    permitId: string;
    endpoint: string;
    suspect: boolean;
    /** Whether the endpoint was in cold start when the permit was asked for. */
    cold: boolean;
    /** The home that gave it. */
    home: string;
    /** The request must be sent before this moment of the sender's clock. */
    sendBefore: Milliseconds;
}

/** What cold start works with. */
export interface ColdStartParts {
    clock: Clock;
    homes: Homes;
    membership: Membership;
    peers: PeerPort;
    self: string;
    endpoint: (id: string) => Endpoint | undefined;
    profileFor: (endpoint: Endpoint) => Profile;
    /** Whether this process has not just been paused. */
    fresh: () => boolean;
}

/**
 * Gives, asks for and returns permits.
 *
 * A cold endpoint gets the profile's small number of requests at once until it reports itself warm: neither time nor
 * answers at a low load show what more it bears. The home counts its permits and what the endpoint itself reports, and
 * takes the larger, because permits of an earlier home still run there.
 */
export class ColdStart {
    private readonly outstanding = new Map<string, Map<string, Milliseconds>>();
    /** The suspect that runs on each endpoint, by permit, and until when it counts. */
    private readonly suspectSlots = new Map<string, { permitId: string; expiresAt: Milliseconds; }>();

    constructor(private readonly parts: ColdStartParts) {}

    /** Takes a permit as this endpoint's home; undefined when it isn't the home or the endpoint has its fill. */
    takeOwn(endpoint: Endpoint, permitId: string, suspect: boolean): Permit | undefined {
        const permit = this.newPermit(endpoint, this.parts.self, permitId, suspect);
        return this.grant(endpoint, this.requestOf(permit)) === PermitDecision.Granted ? permit : undefined;
    }

    /** Asks the endpoint's home for a permit; undefined when it denies or doesn't answer. */
    async ask(endpoint: Endpoint, permitId: string, suspect: boolean): Promise<Permit | undefined> {
        const home = this.parts.homes.homeOf(endpoint.id);
        const peer = home === undefined ? undefined : this.parts.membership.peer(home);
        if (home === undefined || !peer) {
            return undefined;
        }
        const permit = this.newPermit(endpoint, home, permitId, suspect);
        try {
            const answer = await this.parts.peers.requestPermit(peer.record.address, this.requestOf(permit));
            return answer === PermitDecision.Granted ? permit : undefined;
        }
        catch (error) {
            if (error instanceof PeerLostError) {
                return undefined;
            }
            throw error;
        }
    }

    /** Whether a permit still allows its send. Ask in the same synchronous step as the send. */
    usable(permit: Permit): boolean {
        if (permit.home === this.parts.self && !this.parts.homes.mayAct(permit.endpoint)) {
            return false;
        }
        return this.parts.clock.now() < permit.sendBefore;
    }

    /** Gives a permit back to its home. */
    async giveBack(permit: Permit): Promise<void> {
        const request = this.requestOf(permit);
        if (permit.home === this.parts.self) {
            this.returned(request);
            return;
        }
        const peer = this.parts.membership.peer(permit.home);
        try {
            await (peer && this.parts.peers.returnPermit(peer.record.address, request));
        }
        catch (error) {
            // The home counts the permit until it expires; no harm but some slowness.
            if (!(error instanceof PeerLostError)) {
                throw error;
            }
        }
    }

    /** Answers a peer that asks this entry as home. */
    answer(request: PermitRequest): PermitDecision {
        const endpoint = this.parts.endpoint(request.endpoint);
        return endpoint ? this.grant(endpoint, request) : PermitDecision.Denied;
    }

    /** Notes a permit that came back. */
    returned(request: PermitRequest): void {
        if (this.suspectSlots.get(request.endpoint)?.permitId === request.permitId) {
            this.suspectSlots.delete(request.endpoint);
        }
        this.outstanding.get(request.endpoint)?.delete(request.permitId);
    }

    /** Requests that the home would let onto a cold endpoint now. */
    room(endpoint: Endpoint): number {
        const used = Math.max(this.outstandingOf(endpoint).size, endpoint.report?.running ?? 0);
        return this.parts.profileFor(endpoint).coldConcurrency - used;
    }

    private newPermit(endpoint: Endpoint, home: string, permitId: string, suspect: boolean): Permit {
        const now = this.parts.clock.now();
        const cold = endpoint.trust(now).type !== "Warm";
        return { permitId, endpoint: endpoint.id, suspect, cold, home, sendBefore: now + permitLifetimeMilliseconds };
    }

    private requestOf({ endpoint, permitId, suspect, cold }: Permit): PermitRequest {
        return { instance: this.parts.self, endpoint, permitId, suspect, cold };
    }

    /** A home that has just been paused may hold an old report: it denies, and believes whoever saw the fall. */
    private grant(endpoint: Endpoint, { permitId, suspect, cold }: PermitRequest): PermitDecision {
        const now = this.parts.clock.now();
        const trust = endpoint.trust(now).type;
        if (!this.parts.fresh() || !this.parts.homes.mayAct(endpoint.id) || trust === "Closed") {
            return PermitDecision.Denied;
        }
        const outstanding = this.outstandingOf(endpoint);
        if (outstanding.has(permitId)) {
            return PermitDecision.Granted;
        }
        const slot = this.suspectSlots.get(endpoint.id);
        const taken = suspect && slot !== undefined && slot.expiresAt > now;
        if (taken || ((cold || trust === "Cold") && this.room(endpoint) < 1)) {
            return PermitDecision.Denied;
        }
        const expiresAt = now + permitHoldMilliseconds;
        outstanding.set(permitId, expiresAt);
        if (suspect) {
            this.suspectSlots.set(endpoint.id, { permitId, expiresAt });
        }
        return PermitDecision.Granted;
    }

    /** Permits of an endpoint that still count, with their ends. */
    private outstandingOf(endpoint: Endpoint): Map<string, Milliseconds> {
        let permits = this.outstanding.get(endpoint.id);
        if (!permits) {
            permits = new Map();
            this.outstanding.set(endpoint.id, permits);
        }
        const now = this.parts.clock.now();
        for (const [permitId, expiresAt] of permits) {
            if (expiresAt <= now) {
                permits.delete(permitId);
            }
        }
        return permits;
    }
}
