/** Holds the configuration in force at this entry. Only a higher version replaces it. */
import type { RoutingConfiguration } from "../../types/routing.js";
import { RouteTable } from "./routeTable.js";

/** The configuration with the highest version received so far. */
export class ActiveConfiguration {
    private table: RouteTable | undefined;
    private readonly listeners: ((table: RouteTable) => void)[] = [];

    /** The routes in force; undefined until the first configuration is adopted. */
    get routes(): RouteTable | undefined {
        return this.table;
    }

    get version(): number {
        return this.table?.version ?? 0;
    }

    /**
     * Adopts a configuration if its version is higher than the current one. Returns whether the configuration is now in force.
     *
     * A slow list call, a delayed peer or a lagging store may deliver an old version after a newer one. Adopting the old
     * version would restore removed routes and keys, and route callers to a replaced service.
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

    /** Calls `listener` with the route table of each newly adopted configuration. */
    onChange(listener: (table: RouteTable) => void): void {
        this.listeners.push(listener);
    }
}
