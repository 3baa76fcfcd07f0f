/** Which optional parts of the scheduling are on. */
import { expect, test } from "vitest";
import { defaultSchedulingSettings, PartSwitch, SchedulingPolicy } from "../../src/core/scheduling/schedulingPolicy.js";
import { RequestKind, type Route, type RoutingConfiguration } from "../../src/types/routing.js";

const route = (name: string, priority: number, service = "models"): Route => ({
    name,
    host: "h",
    pathPrefix: `/${name}/`,
    kind: RequestKind.Streaming,
    timeout: 10_000,
    targetLatency: 300,
    targetGap: 250,
    attempts: 2,
    priority,
    shares: [{ service, weight: 1 }],
    open: true,
    resumable: true,
});

const configurationOf = (...routes: Route[]): RoutingConfiguration => ({
    version: 1,
    routes,
    services: [],
    customers: undefined,
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
});

const policyFor = (configuration: RoutingConfiguration, ranks = PartSwitch.Auto) =>
    new SchedulingPolicy({
        settings: () => ({ ...defaultSchedulingSettings, ranks }),
        configuration: () => configuration,
    });

test("kinds of one service with different priorities are ranked", () => {
    const short = route("short", 1);
    const long = route("long", 3);
    const policy = policyFor(configurationOf(short, long));
    expect([policy.rankOf(short, "models"), policy.rankOf(long, "models")]).toEqual([0, 2]);
});

test("priorities of different services are no ranks", () => {
    // A deployment whose plain service has another priority than its models would otherwise be scheduled anew.
    const prompt = route("prompt", 1);
    const policy = policyFor(configurationOf(prompt, route("booking", 2, "bookings")));
    expect(policy.usesRanks("models")).toBe(false);
    expect(policy.rankOf(prompt, "models")).toBe(0);
});

test("ranks that are switched off", () => {
    const long = route("long", 3);
    const policy = policyFor(configurationOf(route("short", 1), long), PartSwitch.Off);
    expect(policy.rankOf(long, "models")).toBe(0);
});

test("new configuration changes the ranks", () => {
    let configuration = configurationOf(route("short", 1), route("long", 1));
    const policy = new SchedulingPolicy({
        settings: () => defaultSchedulingSettings,
        configuration: () => configuration,
    });
    expect(policy.usesRanks("models")).toBe(false);
    configuration = configurationOf(route("short", 1), route("long", 2));
    expect(policy.usesRanks("models")).toBe(true);
});
