/** What became of the sends of one request so far. */

/** The sends of one request. */
export class Attempts {
    /** Endpoints that broke off; they get it again only when there is no other. */
    readonly broken = new Set<string>();
    /** Endpoints that refused it or can't be reached. */
    readonly refused = new Set<string>();
    /** Endpoints that had less memory than was believed. */
    lacking: ReadonlySet<string> = new Set();
    /** Tries to send, those that reached nobody included. */
    tries = 0;
    /** Whether an endpoint may have begun it. */
    mayHaveRun = false;
    /** Sends that an endpoint of the route may have taken; they count against the route's attempts. */
    taken = 0;

    /** Notes a send. */
    begin(): void {
        this.tries++;
        this.taken++;
    }

    /** The last send reached no endpoint of the route. */
    withdraw(): void {
        this.taken--;
    }

    /** These endpoints hadn't the memory; nothing was sent. */
    noteLacking(endpoints: readonly string[]): void {
        this.withdraw();
        this.lacking = new Set([...this.lacking, ...endpoints]);
    }

    /** Forgets who lacked memory: by now some of it may be free again. */
    forgetLacking(): void {
        this.lacking = new Set();
    }

    noteRefused(endpoint: string): void {
        this.refused.add(endpoint);
    }

    noteBroken(endpoint: string): void {
        this.broken.add(endpoint);
        this.mayHaveRun = true;
    }
}
