/** The platform as the core uses it: versioned objects with conditional writes, watches, and the instance list. */
import { DandelionrampError, InstanceRecord, ObjectKind } from "../internal.js";

/** A stored object. `value` is undefined if the object was removed. */
export interface StoredObject {
    kind: ObjectKind;
    name: string;
    /** The store's revision at the object's last write. It never decreases. */
    version: number;
    value: unknown;
}

/** Objects of the store at one revision. */
export interface ObjectPage {
    revision: number;
    objects: StoredObject[];
}

/** Result of a conditional write. */
export type WriteOutcome =
    | { type: "Written"; version: number; }
    | { type: "Conflict"; current: StoredObject | undefined; };

/** The platform didn't respond, rejected the call by its rate limit, or its response was lost. */
export class PlatformError extends DandelionrampError {
    /** `mayHaveTakenEffect` is false only if the call certainly changed nothing. */
    constructor(message: string, readonly mayHaveTakenEffect: boolean, options?: ErrorOptions) {
        super(message, options);
    }
}

/** Expected version for a write that must create the object. */
export const absentVersion = 0;

/** Client of the platform. Each call ends within a bounded time and throws {@link PlatformError} if it fails. */
export interface PlatformPort {
    read(kind: ObjectKind, name: string): Promise<StoredObject | undefined>;
    list(kinds: readonly ObjectKind[]): Promise<ObjectPage>;
    /** Writes the object if its stored version is `expectedVersion`. */
    write(kind: ObjectKind, name: string, expectedVersion: number, value: unknown): Promise<WriteOutcome>;
    /** Removes the object if its stored version is `expectedVersion`. */
    remove(kind: ObjectKind, name: string, expectedVersion: number): Promise<WriteOutcome>;
    /** Resolves with the changes after `revision`, or with no objects when the watch times out. */
    watch(kinds: readonly ObjectKind[], revision: number, signal: AbortSignal): Promise<ObjectPage>;
    /** The instance list. It is eventually consistent. */
    instances(): Promise<InstanceRecord[]>;
    /** Adds this instance's record to the list or replaces it. */
    announce(record: InstanceRecord): Promise<void>;
}
