/**
 * The configuration that an entry holds. It merges objects from the platform and from peers by version; the version of
 * an object never decreases.
 */
import {
    ChangeSignal,
    Customer,
    defaultProfile,
    describeError,
    ObjectKind,
    ObjectPage,
    parseConfigurationObject,
    Profile,
    Service,
    Serving,
    ServingState,
    StoredObject,
} from "../internal.js";

/** Result of merging a full list from the platform. */
export type ListOutcome =
    | { type: "Merged"; }
    /** The list's revision is lower than the one held: the platform lost writes, and the list was ignored. */
    | { type: "Reverted"; platformRevision: number; heldRevision: number; };

const objectKey = (kind: ObjectKind, name: string): string => `${kind}/${name}`;

/**
 * Holds each configuration object at the highest version received from the platform or a peer.
 *
 * A slow watch, a stale peer or a platform restored from a backup can deliver old versions, which would revert a change
 * that was reported to an operator as accepted. Applying only higher versions prevents this.
 */
export class Configuration {
    /** Notified after each change. */
    readonly changed = new ChangeSignal();
    private readonly objects = new Map<string, StoredObject>();
    private readonly customersByKeyHash = new Map<string, string>();
    private heldRevision = 0;
    private isComplete = false;

    /** `onRejected` is called for stored objects that violate their schema. Their previous version stays in force. */
    constructor(private readonly onRejected: (object: StoredObject, reason: string) => void = () => {}) {}

    /** The platform's revision up to which this configuration has all changes. */
    get revision(): number {
        return this.heldRevision;
    }

    /** Whether this entry has received a complete configuration, from the platform or a peer. */
    get loaded(): boolean {
        return this.isComplete;
    }

    /** Applies the objects of a page whose version is higher than the one held. */
    merge(page: ObjectPage): void {
        let changes = 0;
        for (const object of page.objects) {
            if (this.applyObject(object)) {
                changes++;
            }
        }
        this.heldRevision = Math.max(this.heldRevision, page.revision);
        if (changes > 0) {
            this.changed.notify();
        }
    }

    /** Applies a full list. Objects that are missing from the list count as removed. */
    mergeList(page: ObjectPage): ListOutcome {
        if (page.revision < this.heldRevision) {
            return { type: "Reverted", platformRevision: page.revision, heldRevision: this.heldRevision };
        }
        const listed = new Set(page.objects.map(object => objectKey(object.kind, object.name)));
        const removed: StoredObject[] = [];
        for (const [key, object] of this.objects) {
            if (!listed.has(key) && object.value !== undefined) {
                removed.push({ ...object, version: page.revision, value: undefined });
            }
        }
        this.isComplete = true;
        this.merge({ revision: page.revision, objects: [...page.objects, ...removed] });
        return { type: "Merged" };
    }

    /** Applies a peer's changes. With those of a peer that is loaded, this configuration is complete. */
    mergePeer(page: ObjectPage, peerLoaded: boolean): void {
        this.isComplete ||= peerLoaded;
        this.merge(page);
    }

    /** Objects, including removed ones, with a version higher than `revision`. */
    changesSince(revision: number): ObjectPage {
        const objects = [...this.objects.values()].filter(object => object.version > revision);
        return { revision: this.heldRevision, objects };
    }

    /** The object, or undefined if it doesn't exist or was removed. */
    object(kind: ObjectKind, name: string): StoredObject | undefined {
        const object = this.objects.get(objectKey(kind, name));
        return object?.value === undefined ? undefined : object;
    }

    /** Version of the object's last change, including its removal; 0 if the object is unknown. */
    version(kind: ObjectKind, name: string): number {
        return this.objects.get(objectKey(kind, name))?.version ?? 0;
    }

    /** All objects of a kind, without removed ones. */
    all(kind: ObjectKind): StoredObject[] {
        return [...this.objects.values()].filter(object => object.kind === kind && object.value !== undefined);
    }

    service(name: string): Service | undefined {
        return this.object(ObjectKind.Service, name)?.value as Service | undefined;
    }

    /** The service's profile, or the default profile if there is none. */
    profileOf(service: Service | undefined): Profile {
        const object = service && this.object(ObjectKind.Profile, service.profile);
        return (object?.value as Profile | undefined) ?? defaultProfile;
    }

    customer(name: string): Customer | undefined {
        return this.object(ObjectKind.Customer, name)?.value as Customer | undefined;
    }

    /** Name of the customer whose key has this hash. */
    customerByKeyHash(keyHash: string): string | undefined {
        return this.customersByKeyHash.get(keyHash);
    }

    isOut(kind: ObjectKind.DataCentre | ObjectKind.Instance, name: string): boolean {
        const serving = this.object(kind, name)?.value as Serving | undefined;
        return serving?.state === ServingState.Out;
    }

    private applyObject(object: StoredObject): boolean {
        const key = objectKey(object.kind, object.name);
        const held = this.objects.get(key);
        if (held && held.version >= object.version) {
            return false;
        }
        const validated = this.validate(object);
        if (!validated) {
            return false;
        }
        this.objects.set(key, validated);
        if (object.kind === ObjectKind.Customer) {
            this.indexCustomer(
                object.name,
                held?.value as Customer | undefined,
                validated.value as Customer | undefined,
            );
        }
        return true;
    }

    /**
     * Validates an object and fills in default values: an object may have been written by another program, or before a
     * field was added. Returns undefined for an invalid object.
     */
    private validate(object: StoredObject): StoredObject | undefined {
        if (object.value === undefined) {
            return object;
        }
        try {
            return { ...object, value: parseConfigurationObject(object.kind, object.name, object.value) };
        }
        catch (error) {
            this.onRejected(object, describeError(error));
            return undefined;
        }
    }

    private indexCustomer(name: string, before: Customer | undefined, after: Customer | undefined): void {
        for (const keyHash of before?.keyHashes ?? []) {
            if (this.customersByKeyHash.get(keyHash) === name) {
                this.customersByKeyHash.delete(keyHash);
            }
        }
        for (const keyHash of after?.keyHashes ?? []) {
            this.customersByKeyHash.set(keyHash, name);
        }
    }
}
