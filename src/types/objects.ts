/** Schemas of the objects in the platform's object API. Each configuration object is validated where an entry receives it. */
import * as z from "zod";
import { DandelionrampError } from "../internal.js";

/** Kinds of stored objects. */
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

/** Kinds that make up the configuration. Operators write these objects, and every entry holds all of them. */
export const configurationKinds: readonly ObjectKind[] = [
    ObjectKind.Profile,
    ObjectKind.Service,
    ObjectKind.Customer,
    ObjectKind.DataCentre,
    ObjectKind.Instance,
];

/** How requests are placed on endpoints. */
export enum RoutingPolicy {
    /** Each endpoint in turn, as a baseline for comparison. */
    RoundRobin = "roundRobin",
    /** The endpoint with the fewest requests in flight, as a baseline for comparison. */
    LeastLoaded = "leastLoaded",
    /** Separate lanes for short and long prompts by predicted prefill work; short prompts first. */
    ShortFirst = "shortFirst",
}

/** Kind of endpoints behind a service. */
export enum ServiceKind {
    Model = "model",
    Plain = "plain",
}

/** Whether a data centre or an instance accepts new requests. */
export enum ServingState {
    In = "in",
    Out = "out",
}

/** Identifies one write. The entry that writes sets it, to recognize its own write after a lost response. */
const changeIdentifier = z.string().optional();
const positiveInteger = z.number().int().positive();
const nameSchema = z.string().regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/,
    "expected at most 100 letters, digits, dots, underscores or dashes, with a letter or digit first",
);

const routeSchema = z.strictObject({
    method: z.string().regex(/^[A-Z]+$/),
    /** Prefix of the path below the service. */
    path: z.string().startsWith("/"),
});

const profileSchema = z.strictObject({
    change: changeIdentifier,
    policy: z.enum(RoutingPolicy).default(RoutingPolicy.ShortFirst),
    defaultTimeoutMilliseconds: positiveInteger.default(60_000),
    maximumTimeoutMilliseconds: positiveInteger.default(600_000),
    /** Prompts with at most this many tokens use the short lane. */
    shortPromptTokens: positiveInteger.default(8_000),
    /** Limit on the prompt tokens of the long lane in flight on one endpoint. */
    longTokensInFlight: positiveInteger.default(400_000),
    /** Limit on the concurrent requests of an endpoint during its cold start. */
    coldConcurrency: positiveInteger.default(1),
    /** Limit on the concurrent requests of a warm endpoint. */
    warmConcurrency: positiveInteger.default(64),
    /** A stream that sends nothing for this long is stalled, and its connection is replaced. */
    silenceMilliseconds: positiveInteger.default(2_000),
    /** Retry budget, as a fraction of first attempts. */
    retryShare: z.number().min(0).max(1).default(0.1),
    maximumAnswerTokens: positiveInteger.default(4_096),
    nonIdempotentRoutes: z.array(routeSchema).default([]),
    requireIdempotencyKey: z.boolean().default(false),
});

const serviceSchema = z.strictObject({
    change: changeIdentifier,
    kind: z.enum(ServiceKind),
    profile: nameSchema,
    /** Number of engines that share a prompt which exceeds the memory of one engine. */
    gangSize: z.number().int().min(1).max(8).default(3),
});

const customerSchema = z.strictObject({
    change: changeIdentifier,
    /** SHA-256 of each key, in hexadecimal. The keys themselves are never stored. */
    keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
    /** Relative share of a service when customers compete for it. */
    weight: z.number().positive().max(1_000).default(1),
});

const servingStateSchema = z.strictObject({
    change: changeIdentifier,
    state: z.enum(ServingState),
    /** Identifiers of outs that operators have lifted, newest last. The entry that writes the object sets them. */
    lifts: z.array(z.string()).optional(),
});

/** A named set of limits and rules for services. */
export type Profile = z.infer<typeof profileSchema>;
/** A model service or a plain service. */
export type Service = z.infer<typeof serviceSchema>;
/** A customer and its keys. */
export type Customer = z.infer<typeof customerSchema>;
/** Whether a data centre or an instance accepts new requests. */
export type Serving = z.infer<typeof servingStateSchema>;

/** A configuration object violates its schema. The message names the object and the field. */
export class InvalidObjectError extends DandelionrampError {}

const schemaByKind: Partial<Record<ObjectKind, z.ZodType>> = {
    [ObjectKind.Profile]: profileSchema,
    [ObjectKind.Service]: serviceSchema,
    [ObjectKind.Customer]: customerSchema,
    [ObjectKind.DataCentre]: servingStateSchema,
    [ObjectKind.Instance]: servingStateSchema,
};

/** Validates a configuration object and fills in defaults. Throws {@link InvalidObjectError}. */
export const parseConfigurationObject = (kind: ObjectKind, objectName: string, value: unknown): unknown => {
    const schema = schemaByKind[kind];
    if (!schema) {
        throw new InvalidObjectError(`${kind}: operators can't write objects of this kind`);
    }
    if (!nameSchema.safeParse(objectName).success) {
        throw new InvalidObjectError(`${kind}: "${objectName}" is not a valid name`);
    }
    const outcome = schema.safeParse(value);
    if (outcome.success) {
        return outcome.data;
    }
    const issue = outcome.error.issues[0]!;
    const field = issue.path.join(".") || "(object)";
    throw new InvalidObjectError(`${kind} "${objectName}": ${field}: ${issue.message}`);
};

/** Profile of services whose profile is not configured. */
export const defaultProfile: Profile = profileSchema.parse({});
