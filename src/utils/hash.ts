/** Hash functions for rendezvous hashing, API keys and request fingerprints. */
import { createHash } from "node:crypto";

const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** 32-bit FNV-1a hash. Fast and equal in all processes, but not cryptographic. */
export const hash32 = (text: string): number => {
    let hash = fnvOffsetBasis;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    // FNV maps similar inputs to similar values; the final mixing step spreads them.
    hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
    return (hash ^ (hash >>> 15)) >>> 0;
};

/** SHA-256 of a text in hexadecimal, the form in which keys of customers are stored. */
export const sha256 = (text: string): string => createHash("sha256").update(text).digest("hex");

/** SHA-256 of a list of parts. Each part is prefixed with its length, so that different lists never hash the same input. */
export const fingerprint = (...parts: (string | Uint8Array)[]): string => {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(String(part.length)).update(":").update(part);
    }
    return hash.digest("hex");
};

/** Rendezvous hashing: the candidate with the highest hash for `key`. Entries with the same candidates agree on the result. */
export const rendezvous = (key: string, candidates: readonly string[]): string | undefined => {
    let best: string | undefined;
    let bestScore = -1;
    for (const candidate of candidates) {
        const score = hash32(`${key}/${candidate}`);
        if (score > bestScore || (score === bestScore && best !== undefined && candidate < best)) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
};
