/**
 * Finds out whether a request may be among a set of fingerprints by its head alone. Comparing whole fingerprints would read
 * the body of every request.
 */
import { headOfFingerprint } from "./requestFingerprint.js";

/** The heads of a set of fingerprints, computed when they are first needed after a change. */
export class HeadIndex {
    private heads: Set<string> | undefined;

    constructor(private readonly fingerprints: () => Iterable<string>) {}

    has(head: string): boolean {
        this.heads ??= new Set([...this.fingerprints()].map(headOfFingerprint));
        return this.heads.has(head);
    }

    /** Must be called after each change of the fingerprints. */
    invalidate(): void {
        this.heads = undefined;
    }
}
