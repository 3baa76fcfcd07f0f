/** Looks up routes by host and longest path prefix, and customers by key. */
import type { Customer, Route, RoutingConfiguration, ServiceDefinition } from "../../types/routing.js";

/** One configuration, indexed for lookups whose cost doesn't grow with the number of routes. */
export class RouteTable {
    readonly version: number;
    private readonly hosts = new Map<string, Map<string, Route>>();
    private readonly customers = new Map<string, Customer>();
    private readonly services = new Map<string, ServiceDefinition>();

    constructor(readonly configuration: RoutingConfiguration) {
        this.version = configuration.version;
        for (const route of configuration.routes) {
            this.addRoute(route);
        }
        for (const service of configuration.services) {
            this.services.set(service.name, service);
        }
        for (const customer of configuration.customers ?? []) {
            for (const key of customer.keys) {
                this.customers.set(key, customer);
            }
        }
    }

    /** Whether callers of routes that aren't open must show a key. */
    get needsKeys(): boolean {
        return this.configuration.customers !== undefined;
    }

    /** The route of `host` with the longest prefix of `path`; `path` is taken as it was sent, without its query. */
    route(host: string, path: string): Route | undefined {
        const prefixes = this.hosts.get(host.toLowerCase());
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

    /** The customer that holds `key`. */
    customer(key: string): Customer | undefined {
        return this.customers.get(key);
    }

    service(name: string): ServiceDefinition | undefined {
        return this.services.get(name);
    }

    private addRoute(route: Route): void {
        const host = route.host.toLowerCase();
        let prefixes = this.hosts.get(host);
        if (!prefixes) {
            prefixes = new Map();
            this.hosts.set(host, prefixes);
        }
        prefixes.set(route.pathPrefix, route);
    }
}
