/** Hashes for placement and for fingerprints. */
import { createHash } from "node:crypto";

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** A 32-bit FNV-1a hash: quick and stable over processes, not for secrets. */
export const hash32 = (text: string): number => {
    let hash = fnvOffset;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    // FNV leaves similar inputs close together; the final mix spreads them.
    hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
    return (hash ^ (hash >>> 15)) >>> 0;
};

/** SHA-256 of a text in hexadecimal, as stored for customers' keys. */
export const sha256 = (text: string): string => createHash("sha256").update(text).digest("hex");

/** A fingerprint of several parts; no two lists of parts share one. */
export const fingerprint = (...parts: (string | Uint8Array)[]): string => {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(String(part.length)).update(":").update(part);
    }
    return hash.digest("hex");
};

/** The candidate with the highest hash for `key`: all who know the same candidates agree on it. */
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
