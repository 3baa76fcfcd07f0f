/** Reads load patterns from INI files: the requests that arrive, the engines that serve them, and the faults. */
import * as z from "zod";
import type { EngineProfile } from "../types/routing.js";
import { parseNonNegativeNumber } from "../utils/numbers.js";
import { readSettings, setting } from "../utils/settings.js";

const nonNegativeMessage = "expected a number of at least 0";

const nonNegativeNumber = () =>
    z.string(nonNegativeMessage).refine(text => parseNonNegativeNumber(text) !== undefined, nonNegativeMessage)
        .transform(Number);

const optionalNumber = (defaultValue: number) => nonNegativeNumber().prefault(String(defaultValue));

const ratio = () =>
    z.string("expected a number from 0 to 1")
        .refine(text => (parseNonNegativeNumber(text) ?? 2) <= 1, "expected a number from 0 to 1")
        .transform(Number);

const partList = () =>
    z.string("expected text").prefault("")
        .transform(text => text.split(",").map(part => part.trim()).filter(part => part !== ""));

/** Faults that a pattern can inject into endpoints or entries. */
export enum FaultType {
    /** The endpoints crash, and come back cold after the fault's duration. */
    Crashed = "lost",
    /** The instances of the endpoints lose power: connections hang. New processes take their places after the fault's duration. */
    PowerLost = "powerLost",
    /** The endpoints accept no new connections and don't respond to them; what is under way goes on. */
    Unresponsive = "silent",
    /** The processes of the endpoints stand still: they accept connections and send nothing. Then they go on with all that was due. */
    Paused = "paused",
    /** Each engine pass takes `strength` times as long. */
    Slow = "slow",
    /** Responses advertise a limit of `strength` requests per second, summed over all entries. */
    Limited = "limited",
    /** The endpoints refuse all requests, and ask each entry that sends one for a pause of `strength` seconds. */
    Refusing = "refusing",
    /** The endpoints report that they shut down, and keep serving; the list of endpoints doesn't show it. */
    Leaving = "leaving",
    /** The endpoints become cold again and report it; the list of endpoints doesn't show it. */
    ColdAgain = "coldAgain",
    /** Operators take the data centre out, and bring it back in after the fault's duration. */
    DataCentreOut = "out",
    /** A load balancer hands `share` of the first tries to one entry. */
    ConnectionsSkewed = "connectionsSkewed",
    /** Entries receive no messages from one another; all other traffic reaches them. */
    EntriesPartitioned = "entriesCut",
    /** The affected entries and the others receive no messages from one another. */
    EntriesSplit = "entriesSplit",
    /** The affected entries receive no messages, and the others receive theirs. */
    EntriesDeaf = "entriesDeaf",
    /** Entries of the first two data centres receive no messages from one another; all others reach both. */
    DataCentresCut = "centresCut",
    /** Entries lose their links to endpoints, and all other traffic reaches them: open and new connections hang. */
    LinksSilent = "linksSilent",
    /** The same: open connections are reset, and new ones are refused. */
    LinksReset = "linksReset",
    /** The same: open connections live on, and new ones are refused. */
    LinksRefusing = "linksRefusing",
    /** The same: requests on open connections arrive, and responses don't. New connections hang. */
    LinksOneWay = "linksOneWay",
}

const requestKindSchema = z.strictObject({
    /** Requests per second, over all callers. */
    rate: nonNegativeNumber(),
    promptTokens: nonNegativeNumber(),
    /** Standard deviation of the logarithm of a prompt's length. */
    promptSpread: optionalNumber(0),
    promptAtMost: optionalNumber(Number.MAX_SAFE_INTEGER),
    answerEvents: nonNegativeNumber(),
    answerSpread: optionalNumber(0),
    answerAtMost: optionalNumber(Number.MAX_SAFE_INTEGER),
    /** Target time to the first event, and target gap between events, in milliseconds. */
    target: nonNegativeNumber(),
    targetGap: nonNegativeNumber(),
    /** Milliseconds that a caller waits for the complete response. */
    timeout: nonNegativeNumber(),
    /** Largest number of endpoints that one request may be sent to. */
    attempts: setting.wholeNumber(1).prefault("2"),
    /** Priority of the kind's route, 0 for the most urgent; kinds with different priorities are ranked. */
    priority: setting.wholeNumber().prefault("1"),
    /** Parts of the prompts that requests share, in order, separated by commas, and the share of the requests that have them. */
    parts: partList(),
    partsShare: ratio().prefault("1"),
    /** Value of a request with a prompt of mean length when its response is in time, and when it is late. */
    worth: nonNegativeNumber(),
    worthLate: nonNegativeNumber(),
});

const burstSchema = z.strictObject({
    kind: setting.text(),
    /** Start, in seconds from the start of traffic, and duration in seconds. */
    at: nonNegativeNumber(),
    seconds: nonNegativeNumber(),
    /** Multiplies the rate of the kind. */
    factor: nonNegativeNumber(),
});

const rushSchema = z.strictObject({
    /** The customer's rank by size, starting at 1. */
    customer: setting.wholeNumber(1),
    at: nonNegativeNumber(),
    seconds: nonNegativeNumber(),
    /** Multiplies the customer's usual rate of every kind. */
    factor: nonNegativeNumber(),
});

const faultSchema = z.strictObject({
    type: setting.oneOf(FaultType),
    at: nonNegativeNumber(),
    seconds: nonNegativeNumber(),
    /** Share of the endpoints or entries that the fault affects; only those in `dataCentre`, if it is set. */
    share: ratio().prefault("1"),
    dataCentre: z.string().optional(),
    /** Share of the endpoints that entries without links can't reach. */
    endpointShare: ratio().optional(),
    strength: optionalNumber(1),
});

const repeatedRequestSchema = z.strictObject({
    kind: setting.text(),
    /** Start, in seconds from the start of traffic, and duration in seconds. */
    at: nonNegativeNumber(),
    seconds: nonNegativeNumber(),
    /** Seconds between the end of a request and its next repetition. */
    gap: nonNegativeNumber(),
    /** Number of callers that send the same request at the same time, each to another entry. */
    callers: setting.wholeNumber(1).prefault("1"),
    /** Whether the request crashes each endpoint that begins to run it, and for how many seconds it does. */
    crashes: setting.flag(),
    crashesFor: optionalNumber(Number.MAX_SAFE_INTEGER),
    /** Whether these endpoints lose power, so that connections hang instead of being reset. */
    silently: setting.flag().prefault(false),
    /** Customer that sends the request, by rank. */
    customer: setting.wholeNumber(1).prefault("1"),
});

const crashingPartSchema = z.strictObject({
    kind: setting.text(),
    /** Start, in seconds from the start of traffic, and duration in seconds. */
    at: nonNegativeNumber(),
    seconds: nonNegativeNumber(),
    /** Requests with the part per second. */
    rate: nonNegativeNumber(),
    /** Shared parts of these requests, in order, separated by commas; one of them crashes endpoints. */
    parts: partList(),
    /** Share of the requests that have only the crashing part and an own one before it. */
    apartShare: ratio().prefault("0"),
    /** The crashing part, when it begins to crash engines, in seconds from `at`, and for how many seconds it does. */
    part: setting.text(),
    crashesFrom: optionalNumber(0),
    crashesFor: optionalNumber(Number.MAX_SAFE_INTEGER),
    /** Customer that sends the requests, by rank. */
    customer: setting.wholeNumber(1).prefault("1"),
});

const patternSchema = z.strictObject({
    pattern: z.strictObject({
        /** Duration of the traffic in seconds. */
        seconds: nonNegativeNumber(),
        entries: setting.wholeNumber(1),
        dataCentres: setting.wholeNumber(1),
        /** Number of customers, the first one the largest. With 0, callers need no keys. */
        customers: optionalNumber(0),
        /** One-way network delay between two instances, in milliseconds. */
        delay: optionalNumber(0.5),
        /** Share of the datagrams between entries that is lost. */
        loss: ratio().prefault("0"),
        /** Requests per second that a cold endpoint can serve, and how many seconds it stays cold. */
        coldPerSecond: optionalNumber(30),
        coldSeconds: optionalNumber(3),
    }),
    engines: z.strictObject({
        count: setting.wholeNumber(1),
        slots: setting.wholeNumber(1),
        memoryTokens: nonNegativeNumber(),
        stepTime: nonNegativeNumber(),
        stepTimePerRequest: optionalNumber(0),
        stepTimePerThousandTokens: optionalNumber(0),
        readTokensPerSecond: nonNegativeNumber(),
        readTimePerMillionPairs: optionalNumber(0),
        chunkTokens: optionalNumber(2_048),
        stepsPerPass: setting.wholeNumber(1),
        hopTime: optionalNumber(0),
        /** Milliseconds for which work that depends on a crashed engine stalls. */
        stallTime: optionalNumber(1_500),
    }),
    kind: z.record(z.string(), requestKindSchema, "expected sections [kind.NAME]"),
    burst: z.record(z.string(), burstSchema).default({}),
    rush: z.record(z.string(), rushSchema).default({}),
    /** Requests that callers send again with the same path and body, whatever became of them. */
    repeated: z.record(z.string(), repeatedRequestSchema).default({}),
    /** Parts of prompts that crash each engine that begins to write an answer on them. No two requests are alike. */
    crashingPart: z.record(z.string(), crashingPartSchema).default({}),
    fault: z.record(z.string(), faultSchema).default({}),
}).check(context => {
    const { burst, repeated, crashingPart } = context.value;
    for (const [section, entries] of Object.entries({ burst, repeated, crashingPart })) {
        for (const [name, { kind }] of Object.entries(entries)) {
            if (!(kind in context.value.kind)) {
                const kinds = Object.keys(context.value.kind).join(", ");
                context.issues.push({
                    code: "custom",
                    input: kind,
                    path: [section, name, "kind"],
                    message: `expected one of ${kinds}`,
                });
            }
        }
    }
    for (const [name, rush] of Object.entries(context.value.rush)) {
        const { customers } = context.value.pattern;
        if (rush.customer > customers) {
            context.issues.push({
                code: "custom",
                input: rush.customer,
                path: ["rush", name, "customer"],
                message: `expected a number from 1 to ${customers}`,
            });
        }
    }
});

/** A validated load pattern. */
export type Pattern = z.infer<typeof patternSchema>;

/** A request that callers send again and again. */
export type RepeatedRequest = z.infer<typeof repeatedRequestSchema>;

/** One kind of request in a load pattern. */
export type PatternRequestKind = z.infer<typeof requestKindSchema>;

/** Reads a pattern. Throws a `SettingsError` that names the file, section and field. */
export const readPattern = (file: string): Pattern => readSettings(file, patternSchema);

/** Engine profile as the engines' service publishes it; the usual sizes are means weighted by each kind's rate. */
export const createEngineProfile = (pattern: Pattern): EngineProfile => {
    const { count, stallTime, ...profile } = pattern.engines;
    void [count, stallTime];
    const kinds = Object.values(pattern.kind);
    const rate = kinds.reduce((sum, kind) => sum + kind.rate, 0);
    const meanByRate = (valueOfKind: (kind: PatternRequestKind) => number) =>
        kinds.reduce((sum, kind) => sum + kind.rate * valueOfKind(kind), 0) / rate;
    const answerTokens = meanByRate(({ answerEvents }) => answerEvents) * profile.stepsPerPass;
    return { ...profile, usual: { promptTokens: meanByRate(({ promptTokens }) => promptTokens), answerTokens } };
};
