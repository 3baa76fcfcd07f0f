/** What is settled about a request before its body is read: route, customer, service and time. */
import type { RequestHead } from "../../ports/forwardingPorts.js";
import { type Customer, RequestKind, type Route, type ServiceDefinition } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { Random } from "../../utils/random.js";
import type { RouteTable } from "../configuration/routeTable.js";
import { Execution, FailureKind, RequestFailure } from "../failures.js";

/** When to come back while no configuration is known: a list of the store takes a few milliseconds. */
const notConfiguredRetrySeconds = 0.5;

/** A request that may be forwarded. */
export interface Admission {
    route: Route;
    service: ServiceDefinition;
    customer: Customer | undefined;
    /** By when it must have its answer, on the local clock. */
    deadline: Milliseconds;
    /** Whether it may run more than once. */
    repeatable: boolean;
    /** Version of the configuration that decided. */
    version: number;
}

/** Settles a request by the configuration in force. Throws {@link RequestFailure}. */
export const admit = (head: RequestHead, routes: RouteTable | undefined, random: Random): Admission => {
    if (!routes) {
        const detail = "this entry has not learned its configuration yet";
        throw new RequestFailure(FailureKind.NotConfigured, Execution.NotRun, detail, notConfiguredRetrySeconds);
    }
    const query = head.target.indexOf("?");
    const path = query < 0 ? head.target : head.target.slice(0, query);
    const route = routes.route(head.host, path);
    if (!route) {
        throw new RequestFailure(FailureKind.UnknownRoute, Execution.NotRun, `no route for ${head.host}${path}`);
    }
    return {
        route,
        customer: identify(head, route, routes),
        service: pickService(route, routes, random),
        deadline: head.arrivedAt + Math.min(route.timeout, head.patience ?? Infinity),
        repeatable: route.kind === RequestKind.Idempotent || route.resumable,
        version: routes.version,
    };
};

const identify = (head: RequestHead, route: Route, routes: RouteTable): Customer | undefined => {
    const customer = head.key === undefined ? undefined : routes.customer(head.key);
    if (!customer && routes.needsKeys && !route.open) {
        throw new RequestFailure(FailureKind.UnknownCustomer, Execution.NotRun, "the key belongs to no customer");
    }
    return customer;
};

/** One of the route's services, as often as its weight says. */
const pickService = (route: Route, routes: RouteTable, random: Random): ServiceDefinition => {
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let left = random.next() * total;
    for (const share of route.shares) {
        left -= share.weight;
        const service = routes.service(share.service);
        if (left < 0 && service) {
            return service;
        }
    }
    throw new RequestFailure(FailureKind.NoEndpoint, Execution.NotRun, `route ${route.name} leads to no service`);
};
