/** What the core needs of the platform: objects with versions, watches, and the instance list. */
import { DandelionrampError, InstanceRecord, ObjectKind } from "../internal.js";

/** An object as stored. `value` is undefined once it was removed. */
export interface StoredObject {
    kind: ObjectKind;
    name: string;
    /** The store's revision at the object's last write; it only grows. */
    version: number;
    value: unknown;
}

/** Objects as of one revision of the store. */
export interface ObjectPage {
    revision: number;
    objects: StoredObject[];
}

/** What became of a conditional write. */
export type WriteOutcome =
    | { type: "Written"; version: number; }
    | { type: "Conflict"; current: StoredObject | undefined; };

/** The platform didn't answer, refused for lack of rate, or its answer was lost. */
export class PlatformError extends DandelionrampError {
    /** `mayHaveTakenEffect` is false only when the call certainly changed nothing. */
    constructor(message: string, readonly mayHaveTakenEffect: boolean, options?: ErrorOptions) {
        super(message, options);
    }
}

/** Version to expect of an object that must not exist yet. */
export const absentVersion = 0;

/** The platform. Every call ends within a bound and throws {@link PlatformError}. */
export interface PlatformPort {
    read(kind: ObjectKind, name: string): Promise<StoredObject | undefined>;
    list(kinds: readonly ObjectKind[]): Promise<ObjectPage>;
    /** Writes when the stored version is `expectedVersion`. */
    write(kind: ObjectKind, name: string, expectedVersion: number, value: unknown): Promise<WriteOutcome>;
    /** Removes when the stored version is `expectedVersion`. */
    remove(kind: ObjectKind, name: string, expectedVersion: number): Promise<WriteOutcome>;
    /** Resolves with the changes after `revision`, or with none when the wait runs out. */
    watch(kinds: readonly ObjectKind[], revision: number, signal: AbortSignal): Promise<ObjectPage>;
    /** The instance list, which lags behind the truth. */
    instances(): Promise<InstanceRecord[]>;
    /** Puts this instance on the list or changes its line. */
    announce(record: InstanceRecord): Promise<void>;
}
