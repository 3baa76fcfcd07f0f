/** Load patterns: what arrives, on which engines, and what fails when. Read from INI. */
import * as z from "zod";
import type { EngineProfile } from "../types/routing.js";
import { nonNegative } from "../utils/numbers.js";
import { readSettings, setting } from "../utils/settings.js";

const nonNegativeMessage = "expected a number of at least 0";

const nonNegativeNumber = () =>
    z.string(nonNegativeMessage).refine(text => nonNegative(text) !== undefined, nonNegativeMessage).transform(Number);

const optionalNumber = (defaultValue: number) => nonNegativeNumber().prefault(String(defaultValue));

const ratio = () =>
    z.string("expected a number from 0 to 1")
        .refine(text => (nonNegative(text) ?? 2) <= 1, "expected a number from 0 to 1")
        .transform(Number);

/** What happens to endpoints, or to entries. */
export enum FaultType {
    /** They crash, and come back cold after the time. */
    Crashed = "lost",
    /** They take connections and say nothing. */
    Unresponsive = "silent",
    /** Each pass takes as many times as long as the strength says. */
    Slow = "slow",
    /** Their answers name as many requests a second as the strength says, for all entries together. */
    Limited = "limited",
    /** Operators take the data centre out, and back after the time. */
    DataCentreOut = "out",
    /** Entries hear nothing of one another; all else reaches them. */
    EntriesPartitioned = "entriesCut",
}

const requestKindSchema = z.strictObject({
    /** Requests a second, over all callers. */
    rate: nonNegativeNumber(),
    promptTokens: nonNegativeNumber(),
    /** Standard deviation of the logarithm of a prompt's length. */
    promptSpread: optionalNumber(0),
    promptAtMost: optionalNumber(Number.MAX_SAFE_INTEGER),
    answerEvents: nonNegativeNumber(),
    answerSpread: optionalNumber(0),
    answerAtMost: optionalNumber(Number.MAX_SAFE_INTEGER),
    /** Milliseconds to the first event, and between events, that callers want. */
    target: nonNegativeNumber(),
    targetGap: nonNegativeNumber(),
    /** Milliseconds that a caller waits for the whole answer. */
    timeout: nonNegativeNumber(),
    /** Worth of an answer of mean length in time; and when it is late. */
    worth: nonNegativeNumber(),
    worthLate: nonNegativeNumber(),
});

const burstSchema = z.strictObject({
    kind: setting.text(),
    /** Seconds from the start of traffic, and how long. */
    at: nonNegativeNumber(),
    seconds: nonNegativeNumber(),
    /** Factor on the rate of the kind. */
    factor: nonNegativeNumber(),
});

const rushSchema = z.strictObject({
    /** The customer's rank by size, from 1. */
    customer: setting.wholeNumber(1),
    at: nonNegativeNumber(),
    seconds: nonNegativeNumber(),
    /** How many times its usual it sends, of all kinds. */
    factor: nonNegativeNumber(),
});

const faultSchema = z.strictObject({
    type: setting.oneOf(FaultType),
    at: nonNegativeNumber(),
    seconds: nonNegativeNumber(),
    /** Part of the endpoints or entries, taken from `dataCentre` where one is given. */
    share: ratio().prefault("1"),
    dataCentre: z.string().optional(),
    strength: optionalNumber(1),
});

const patternSchema = z.strictObject({
    pattern: z.strictObject({
        /** Seconds of traffic. */
        seconds: nonNegativeNumber(),
        entries: setting.wholeNumber(1),
        dataCentres: setting.wholeNumber(1),
        /** Customers, the first the largest; without any, callers need no keys. */
        customers: optionalNumber(0),
        /** Milliseconds on the way between two instances, one way. */
        delay: optionalNumber(0.5),
        /** Part of the datagrams between entries that is lost. */
        loss: ratio().prefault("0"),
        /** Requests a second that a cold endpoint bears, and seconds for which it is cold. */
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
        /** Milliseconds for which work stalls that depends on a dead engine. */
        stallTime: optionalNumber(1_500),
    }),
    kind: z.record(z.string(), requestKindSchema, "expected sections [kind.NAME]"),
    burst: z.record(z.string(), burstSchema).default({}),
    rush: z.record(z.string(), rushSchema).default({}),
    fault: z.record(z.string(), faultSchema).default({}),
}).check(context => {
    for (const [name, burst] of Object.entries(context.value.burst)) {
        if (!(burst.kind in context.value.kind)) {
            const kinds = Object.keys(context.value.kind).join(", ");
            context.issues.push({
                code: "custom",
                input: burst.kind,
                path: ["burst", name, "kind"],
                message: `expected one of ${kinds}`,
            });
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

/** A checked pattern. */
export type Pattern = z.infer<typeof patternSchema>;

/** One kind of request. */
export type PatternRequestKind = z.infer<typeof requestKindSchema>;

/** Reads a pattern. Throws a settings error that names file, section and field. */
export const readPattern = (file: string): Pattern => readSettings(file, patternSchema);

/** The engines as their service publishes them. */
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
