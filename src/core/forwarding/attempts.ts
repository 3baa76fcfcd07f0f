/** Records the attempts of one request: which endpoints failed it, and whether it may have run. */

/** The attempts of one request so far. */
export class Attempts {
    /** Endpoints that failed after they may have begun the request. They receive it again only when there is no other. */
    readonly brokenEndpoints = new Set<string>();
    /** Endpoints that refused the request or could not be reached. */
    readonly refusedEndpoints = new Set<string>();
    /** Endpoints that had less free memory than estimated. */
    endpointsWithoutMemory: ReadonlySet<string> = new Set();
    /**
     * Endpoints of hedges that were cancelled. A further attempt there reaches no more endpoints than the route allows, also when
     * its attempts are used up.
     */
    readonly cancelledEndpoints = new Set<string>();
    /** Number of started attempts, including those that reached no endpoint. */
    startedCount = 0;
    /** Whether an endpoint may have begun the request. */
    mayHaveRun = false;
    /** Attempts that an endpoint of the route may have received. They count against the attempt limit of the route. */
    countedAttempts = 0;
    private isLastCounted = true;

    /** Records an attempt at `endpoint`. One at the endpoint of a cancelled hedge was counted before. */
    recordStarted(endpoint: string): void {
        this.startedCount++;
        this.isLastCounted = !this.cancelledEndpoints.delete(endpoint);
        this.countedAttempts += Number(this.isLastCounted);
    }

    /** Whether the request may be sent once more, where a route allows `maximumAttempts`. */
    areLeft(maximumAttempts: number): boolean {
        return this.countedAttempts < maximumAttempts || this.cancelledEndpoints.size > 0;
    }

    recordCancelled(endpoint: string): void {
        this.cancelledEndpoints.add(endpoint);
    }

    /** Excludes the last attempt from the count because it reached no endpoint of the route. */
    excludeLastFromCount(): void {
        this.countedAttempts -= Number(this.isLastCounted);
    }

    /** Records endpoints that could not reserve memory. Nothing was sent, so the attempt does not count. */
    recordMemoryShortage(endpoints: readonly string[]): void {
        this.excludeLastFromCount();
        this.endpointsWithoutMemory = new Set([...this.endpointsWithoutMemory, ...endpoints]);
    }

    /** Clears the endpoints without memory, since some memory may be free again by now. */
    clearMemoryShortages(): void {
        this.endpointsWithoutMemory = new Set();
    }

    recordRefused(endpoint: string): void {
        this.refusedEndpoints.add(endpoint);
    }

    recordBroken(endpoint: string): void {
        this.brokenEndpoints.add(endpoint);
        this.mayHaveRun = true;
    }
}
