/** Looks up routes by host and longest path prefix, customers by key and services by name. */
import type { Customer, Route, RoutingConfiguration, ServiceDefinition } from "../../types/routing.js";

/** Indexes one configuration, so that the cost of a lookup doesn't grow with the number of routes. */
export class RouteTable {
    readonly version: number;
    private readonly routesByHost = new Map<string, Map<string, Route>>();
    private readonly customerByKey = new Map<string, Customer>();
    private readonly serviceByName = new Map<string, ServiceDefinition>();

    constructor(readonly configuration: RoutingConfiguration) {
        this.version = configuration.version;
        for (const route of configuration.routes) {
            this.addRoute(route);
        }
        for (const service of configuration.services) {
            this.serviceByName.set(service.name, service);
        }
        for (const customer of configuration.customers ?? []) {
            for (const key of customer.keys) {
                this.customerByKey.set(key, customer);
            }
        }
    }

    /** Whether requests to routes that aren't open need a key. */
    get needsKeys(): boolean {
        return this.configuration.customers !== undefined;
    }

    /** Finds the route of `host` with the longest prefix of `path`, which is the path as sent, without its query. */
    route(host: string, path: string): Route | undefined {
        const prefixes = this.routesByHost.get(host.toLowerCase());
        if (!prefixes) {
            return undefined;
        }
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = prefixes.get(path.slice(0, end + 1));
            if (route) {
                return route;
            }
        }
        return undefined;
    }

    /** Finds the customer that owns `key`. */
    customer(key: string): Customer | undefined {
        return this.customerByKey.get(key);
    }

    service(name: string): ServiceDefinition | undefined {
        return this.serviceByName.get(name);
    }

    private addRoute(route: Route): void {
        const host = route.host.toLowerCase();
        let prefixes = this.routesByHost.get(host);
        if (!prefixes) {
            prefixes = new Map();
            this.routesByHost.set(host, prefixes);
        }
        prefixes.set(route.pathPrefix, route);
    }
}
