/** The objects that live in the platform's object API, checked wherever they enter. */
import * as z from "zod";
import { DandelionrampError } from "../internal.js";

/** Kinds of objects. */
export enum ObjectKind {
    Profile = "profile",
    Service = "service",
    Customer = "customer",
    DataCentre = "dataCentre",
    Instance = "instance",
    Homes = "homes",
    Claim = "claim",
    Suspect = "suspect",
}

/** Kinds that make up the configuration: operators write them, every entry holds them all. */
export const configurationKinds: readonly ObjectKind[] = [
    ObjectKind.Profile,
    ObjectKind.Service,
    ObjectKind.Customer,
    ObjectKind.DataCentre,
    ObjectKind.Instance,
];

/** How requests are placed on endpoints. */
export enum RoutingPolicy {
    /** Each endpoint in turn: a baseline. */
    RoundRobin = "roundRobin",
    /** The endpoint with the fewest requests in flight: a baseline. */
    LeastLoaded = "leastLoaded",
    /** Lanes by predicted prefill work; short prompts first. */
    ShortFirst = "shortFirst",
}

/** What a service consists of. */
export enum ServiceKind {
    Model = "model",
    Plain = "plain",
}

/** Whether a data centre or an instance takes new work. */
export enum ServingState {
    In = "in",
    Out = "out",
}

/** Identifies the write itself; set by the entry that writes, to find its own write again after a lost answer. */
const change = z.string().optional();
const positive = z.number().int().positive();
const name = z.string().regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/,
    "expected letters, digits, dots, dashes, at most 100",
);

const routeSchema = z.strictObject({
    method: z.string().regex(/^[A-Z]+$/),
    /** A path below the service, compared from its start. */
    path: z.string().startsWith("/"),
});

const profileSchema = z.strictObject({
    change,
    policy: z.enum(RoutingPolicy).default(RoutingPolicy.ShortFirst),
    defaultTimeoutMilliseconds: positive.default(60_000),
    maximumTimeoutMilliseconds: positive.default(600_000),
    /** Prompts up to this many tokens go in the short lane. */
    shortPromptTokens: positive.default(8_000),
    /** Prompt tokens of the long lane that may be in flight on one endpoint at a time. */
    longTokensInFlight: positive.default(400_000),
    /** Requests that an endpoint in cold start bears at once. */
    coldConcurrency: positive.default(1),
    /** Requests that one warm endpoint takes at once. */
    warmConcurrency: positive.default(64),
    /** Silence on a stream after which its connection is no longer trusted. */
    silenceMilliseconds: positive.default(2_000),
    /** Retries allowed, as a share of first attempts. */
    retryShare: z.number().min(0).max(1).default(0.1),
    maximumAnswerTokens: positive.default(4_096),
    nonIdempotentRoutes: z.array(routeSchema).default([]),
    requireIdempotencyKey: z.boolean().default(false),
});

const serviceSchema = z.strictObject({
    change,
    kind: z.enum(ServiceKind),
    profile: name,
    /** Engines that hold one prompt together when it is larger than one engine. */
    gangSize: z.number().int().min(1).max(8).default(3),
});

const customerSchema = z.strictObject({
    change,
    /** SHA-256 of each key, in hexadecimal: keys themselves are never stored. */
    keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
    /** Share of the service when customers compete. */
    weight: z.number().positive().max(1_000).default(1),
});

const servingStateSchema = z.strictObject({
    change,
    state: z.enum(ServingState),
    /** Outs that orders to bring back in have lifted, the newest last; set by the entry that writes. */
    lifts: z.array(z.string()).optional(),
});

/** A named set of rules that services run under. */
export type Profile = z.infer<typeof profileSchema>;
/** A service: a model or a plain service. */
export type Service = z.infer<typeof serviceSchema>;
/** A customer and its keys. */
export type Customer = z.infer<typeof customerSchema>;
/** Whether a data centre or an instance takes new work. */
export type Serving = z.infer<typeof servingStateSchema>;

/** A configuration object that breaks its schema; the message names the object and the field. */
export class InvalidObjectError extends DandelionrampError {}

const schemas: Partial<Record<ObjectKind, z.ZodType>> = {
    [ObjectKind.Profile]: profileSchema,
    [ObjectKind.Service]: serviceSchema,
    [ObjectKind.Customer]: customerSchema,
    [ObjectKind.DataCentre]: servingStateSchema,
    [ObjectKind.Instance]: servingStateSchema,
};

/** Checks a configuration object and fills in defaults. Throws {@link InvalidObjectError}. */
export const parseConfigurationObject = (kind: ObjectKind, objectName: string, value: unknown): unknown => {
    const schema = schemas[kind];
    if (!schema) {
        throw new InvalidObjectError(`${kind}: operators can't write objects of this kind`);
    }
    if (!name.safeParse(objectName).success) {
        throw new InvalidObjectError(`${kind}: "${objectName}" is no valid name`);
    }
    const outcome = schema.safeParse(value);
    if (outcome.success) {
        return outcome.data;
    }
    const issue = outcome.error.issues[0]!;
    const field = issue.path.join(".") || "(object)";
    throw new InvalidObjectError(`${kind} "${objectName}": ${field}: ${issue.message}`);
};

/** The profile that applies where none is configured. */
export const defaultProfile: Profile = profileSchema.parse({});
