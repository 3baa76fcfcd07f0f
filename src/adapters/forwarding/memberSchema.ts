/** Schema of the entries in digests and lists of members. */
import * as z from "zod";

/** One living entry. */
export const memberStateSchema = z.object({
    id: z.string(),
    address: z.string(),
    incarnation: z.string(),
    dataCentre: z.string(),
    processors: z.number(),
    places: z.boolean(),
    reads: z.boolean(),
    reachesEndpoints: z.boolean(),
    usesDigests: z.boolean(),
});
