/** Names a set of prompt parts, so that it can be quarantined like a request. */

const prefix = "parts:";
const separator = "+";

/** Returns the key of the quarantine of requests that have all of `parts`. */
export const keyOfParts = (parts: readonly string[]): string => prefix + [...parts].sort().join(separator);

/** Returns the parts that `key` names; undefined where it names a request. */
export const partsOfKey = (key: string): string[] | undefined =>
    key.startsWith(prefix) ? key.slice(prefix.length).split(separator) : undefined;

/** Whether `parts` has all parts of `set`. */
export const includesAll = (parts: { has: (part: string) => boolean; }, set: readonly string[]): boolean =>
    set.every(part => parts.has(part));
