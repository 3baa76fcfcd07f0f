/** The format of what entries tell one another, and store, about requests that crash endpoints. */
import * as z from "zod";

/** A crash with the requests that were present. */
export const crashReportSchema = z.object({
    endpoint: z.string(),
    incarnation: z.number(),
    age: z.number(),
    requests: z.array(z.object({ request: z.string(), servedFor: z.number() })),
    silentIn: z.string().optional(),
    parts: z.array(z.string()).optional(),
    trialParts: z.array(z.string()).optional(),
});

/** What an entry knows about requests that crash endpoints. */
export const crashNewsSchema = z.object({
    crashes: z.array(crashReportSchema),
    completions: z.array(z.object({ request: z.string(), age: z.number() })),
    quarantined: z.array(z.object({
        request: z.string(),
        age: z.number(),
        unseenFor: z.number(),
        trialCount: z.number(),
        waitingFor: z.number(),
        crashes: z.array(z.object({ endpoint: z.string(), incarnation: z.number(), age: z.number().optional() })),
    })),
    survivedParts: z.array(z.object({ part: z.string(), age: z.number() })).optional(),
});
