/** Admits a request before its body is read: finds its route, customer and service and computes its deadline. */
import type { RequestHead } from "../../ports/forwardingPorts.js";
import { type Customer, RequestKind, type Route, type ServiceDefinition } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import type { Random } from "../../utils/random.js";
import type { RouteTable } from "../configuration/routeTable.js";
import { Execution, FailureKind, RequestFailure } from "../failures.js";

/** Retry-After while this entry has no configuration. Listing the store takes a few milliseconds. */
const notConfiguredRetrySeconds = 0.5;

/** A request that may be forwarded. */
export interface Admission {
    route: Route;
    service: ServiceDefinition;
    customer: Customer | undefined;
    /** When the response must be complete, on the local clock. */
    deadline: Milliseconds;
    /** Whether the request may run again after an endpoint may have begun it. */
    isRetryable: boolean;
    /** Version of the configuration that admitted the request. */
    configurationVersion: number;
}

/** Admits a request by the configuration in force. Throws {@link RequestFailure} when it must be rejected. */
export const admit = (head: RequestHead, routes: RouteTable | undefined, random: Random): Admission => {
    if (!routes) {
        const detail = "this entry has not received a configuration yet";
        throw new RequestFailure(FailureKind.NotConfigured, Execution.NotRun, detail, notConfiguredRetrySeconds);
    }
    const queryStart = head.target.indexOf("?");
    const path = queryStart < 0 ? head.target : head.target.slice(0, queryStart);
    const route = routes.route(head.host, path);
    if (!route) {
        throw new RequestFailure(FailureKind.UnknownRoute, Execution.NotRun, `no route matches ${head.host}${path}`);
    }
    return {
        route,
        customer: identifyCustomer(head, route, routes),
        service: pickService(route, routes, random),
        deadline: head.arrivedAt + Math.min(route.timeout, head.callerTimeout ?? Infinity),
        isRetryable: route.kind === RequestKind.Idempotent || route.resumable,
        configurationVersion: routes.version,
    };
};

const identifyCustomer = (head: RequestHead, route: Route, routes: RouteTable): Customer | undefined => {
    const customer = head.apiKey === undefined ? undefined : routes.customer(head.apiKey);
    if (!customer && routes.needsKeys && !route.open) {
        throw new RequestFailure(
            FailureKind.UnknownCustomer,
            Execution.NotRun,
            "the API key belongs to no known customer",
        );
    }
    return customer;
};

/** Picks one of the services of the route at random, in proportion to their weights. */
const pickService = (route: Route, routes: RouteTable, random: Random): ServiceDefinition => {
    const totalWeight = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let remainingWeight = random.next() * totalWeight;
    for (const share of route.shares) {
        remainingWeight -= share.weight;
        const service = routes.service(share.service);
        if (remainingWeight < 0 && service) {
            return service;
        }
    }
    throw new RequestFailure(
        FailureKind.NoEndpoint,
        Execution.NotRun,
        `no configured service was selected for route ${route.name}`,
    );
};
