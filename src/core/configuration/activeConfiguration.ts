/** The configuration in force at this entry: a version only ever gives way to a higher one. */
import type { RoutingConfiguration } from "../../types/routing.js";
import { RouteTable } from "./routeTable.js";

/** Holds the newest configuration seen. */
export class ActiveConfiguration {
    private table: RouteTable | undefined;
    private readonly listeners: ((table: RouteTable) => void)[] = [];

    /** The routes in force; undefined until the first configuration is known. */
    get routes(): RouteTable | undefined {
        return this.table;
    }

    get version(): number {
        return this.table?.version ?? 0;
    }

    /**
     * Takes a configuration and tells whether it is now in force.
     *
     * A slow list, a late peer or a store that lags may bring an old version after a newer one. Taking it would bring
     * back routes and keys that were taken away; callers would be served by the old service. Only a higher version
     * is taken, whoever brings it.
     */
    adopt(configuration: RoutingConfiguration): boolean {
        if (configuration.version <= this.version) {
            return false;
        }
        this.table = new RouteTable(configuration);
        for (const listener of this.listeners) {
            listener(this.table);
        }
        return true;
    }

    /** Calls `listener` with each configuration that comes into force. */
    onChange(listener: (table: RouteTable) => void): void {
        this.listeners.push(listener);
    }
}
