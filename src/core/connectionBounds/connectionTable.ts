/** Keeps the number of open connections of a port below a bound, and decides which one goes for a new one. Pure. */

/** What a connection is used for, in the order in which connections are closed for new ones. */
export enum ConnectionUse {
    /** Its last answer is sent. */
    Ending,
    /** It has had no request yet. */
    Unused,
    /** It waits for its next request. */
    Idle,
    /** The body of its request is arriving. */
    Arriving,
    /** Its request runs; it isn't closed for a new connection. */
    Busy,
}

/** A connection in a table. */
export interface TableConnection {
    readonly use: ConnectionUse;
    /** Closes the connection for a new one. */
    close(): void;
}

const closingOrder = [ConnectionUse.Ending, ConnectionUse.Unused, ConnectionUse.Idle, ConnectionUse.Arriving];

/** The open connections of a port. */
export class ConnectionTable {
    /** In the order of their last use. */
    private readonly connections = new Set<TableConnection>();

    constructor(private readonly maximum: number) {}

    /**
     * Adds a new connection. At the bound it closes the one whose last use is the longest ago, of those that are used the least.
     * Returns false if all are busy; the new connection isn't added then.
     */
    add(connection: TableConnection): boolean {
        if (this.connections.size >= this.maximum) {
            const chosen = this.choose();
            if (!chosen) {
                return false;
            }
            this.connections.delete(chosen);
            chosen.close();
        }
        this.connections.add(connection);
        return true;
    }

    /** Records that a request has come on the connection. */
    recordUse(connection: TableConnection): void {
        if (this.connections.delete(connection)) {
            this.connections.add(connection);
        }
    }

    /** Removes a connection that has closed, or that is counted elsewhere from now on. */
    remove(connection: TableConnection): void {
        this.connections.delete(connection);
    }

    private choose(): TableConnection | undefined {
        const oldestByUse = new Map<ConnectionUse, TableConnection>();
        for (const connection of this.connections) {
            const { use } = connection;
            if (!oldestByUse.has(use)) {
                oldestByUse.set(use, connection);
            }
            if (use === closingOrder[0]) {
                break;
            }
        }
        for (const use of closingOrder) {
            const oldest = oldestByUse.get(use);
            if (oldest) {
                return oldest;
            }
        }
        return undefined;
    }
}
