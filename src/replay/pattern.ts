/** Load patterns: what arrives, on which engines, and what fails when. Read from INI. */
import * as z from "zod";
import type { EngineProfile } from "../types/routing.js";
import { parseNonNegativeNumber } from "../utils/numbers.js";
import { readSettings, setting } from "../utils/settings.js";

const expected = "expected a number of at least 0";

const number = () =>
    z.string(expected).refine(text => parseNonNegativeNumber(text) !== undefined, expected).transform(Number);

const optional = (usual: number) => number().prefault(String(usual));

const share = () =>
    z.string("expected a number from 0 to 1")
        .refine(text => (parseNonNegativeNumber(text) ?? 2) <= 1, "expected a number from 0 to 1")
        .transform(Number);

/** What happens to endpoints, or to entries. */
export enum FaultKind {
    /** They crash, and come back cold after the time. */
    Lost = "lost",
    /** They take connections and say nothing. */
    Silent = "silent",
    /** Each pass takes as many times as long as the strength says. */
    Slow = "slow",
    /** Their answers name as many requests a second as the strength says, for all entries together. */
    Limited = "limited",
    /** Operators take the data centre out, and back after the time. */
    Out = "out",
    /** Entries hear nothing of one another; all else reaches them. */
    EntriesCut = "entriesCut",
}

const kindSchema = z.strictObject({
    /** Requests a second, over all callers. */
    rate: number(),
    promptTokens: number(),
    /** Standard deviation of the logarithm of a prompt's length. */
    promptSpread: optional(0),
    promptAtMost: optional(Number.MAX_SAFE_INTEGER),
    answerEvents: number(),
    answerSpread: optional(0),
    answerAtMost: optional(Number.MAX_SAFE_INTEGER),
    /** Milliseconds to the first event, and between events, that callers want. */
    target: number(),
    targetGap: number(),
    /** Milliseconds that a caller waits for the whole answer. */
    timeout: number(),
    /** Worth of an answer of mean length in time; and when it is late. */
    worth: number(),
    worthLate: number(),
});

const burstSchema = z.strictObject({
    kind: setting.text(),
    /** Seconds from the start of traffic, and how long. */
    at: number(),
    seconds: number(),
    /** Factor on the rate of the kind. */
    factor: number(),
});

const rushSchema = z.strictObject({
    /** The customer's rank by size, from 1. */
    customer: setting.wholeNumber(1),
    at: number(),
    seconds: number(),
    /** How many times its usual it sends, of all kinds. */
    factor: number(),
});

const faultSchema = z.strictObject({
    type: setting.oneOf(FaultKind),
    at: number(),
    seconds: number(),
    /** Part of the endpoints or entries, taken from `dataCentre` where one is given. */
    share: share().prefault("1"),
    dataCentre: z.string().optional(),
    strength: optional(1),
});

const patternSchema = z.strictObject({
    pattern: z.strictObject({
        /** Seconds of traffic. */
        seconds: number(),
        entries: setting.wholeNumber(1),
        dataCentres: setting.wholeNumber(1),
        /** Customers, the first the largest; without any, callers need no keys. */
        customers: optional(0),
        /** Milliseconds on the way between two instances, one way. */
        delay: optional(0.5),
        /** Part of the datagrams between entries that is lost. */
        loss: share().prefault("0"),
        /** Requests a second that a cold endpoint bears, and seconds for which it is cold. */
        coldPerSecond: optional(30),
        coldSeconds: optional(3),
    }),
    engines: z.strictObject({
        count: setting.wholeNumber(1),
        slots: setting.wholeNumber(1),
        memoryTokens: number(),
        stepTime: number(),
        stepTimePerRequest: optional(0),
        stepTimePerThousandTokens: optional(0),
        readTokensPerSecond: number(),
        readTimePerMillionPairs: optional(0),
        chunkTokens: optional(2_048),
        stepsPerPass: setting.wholeNumber(1),
        hopTime: optional(0),
        /** Milliseconds for which work stalls that depends on a dead engine. */
        stallTime: optional(1_500),
    }),
    kind: z.record(z.string(), kindSchema, "expected sections [kind.NAME]"),
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
export type PatternKind = z.infer<typeof kindSchema>;

/** Reads a pattern. Throws a settings error that names file, section and field. */
export const readPattern = (file: string): Pattern => readSettings(file, patternSchema);

/** The engines as their service publishes them. */
export const engineProfileOf = (pattern: Pattern): EngineProfile => {
    const { count, stallTime, ...profile } = pattern.engines;
    void [count, stallTime];
    const kinds = Object.values(pattern.kind);
    const rate = kinds.reduce((sum, kind) => sum + kind.rate, 0);
    const mean = (value: (kind: PatternKind) => number) =>
        kinds.reduce((sum, kind) => sum + kind.rate * value(kind), 0) / rate;
    const answerTokens = mean(({ answerEvents }) => answerEvents) * profile.stepsPerPass;
    return { ...profile, usual: { promptTokens: mean(({ promptTokens }) => promptTokens), answerTokens } };
};
