/** The configuration an entry holds: a join of (object, version) pairs that only moves forward. */
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

/** What became of a full list from the platform. */
export type ListOutcome =
    | { type: "Merged"; }
    /** The platform's revision is lower than what is in force: it lost writes and is not followed. */
    | { type: "Reverted"; platformRevision: number; heldRevision: number; };

const keyOf = (kind: ObjectKind, name: string): string => `${kind}/${name}`;

/**
 * Holds every configuration object at the highest version seen, from the platform or from a peer.
 *
 * A slow watch, a late peer or a restored platform can offer old versions again. An operator would notice a
 * change that was accepted and later undone by itself. Taking only higher versions makes that impossible.
 */
export class Configuration {
    /** Notified after each change. */
    readonly changed = new ChangeSignal();
    private readonly objects = new Map<string, StoredObject>();
    private readonly customersByKeyHash = new Map<string, string>();
    private heldRevision = 0;
    private complete = false;

    /** `rejected` hears of stored objects that break their schema; the version before stays in force. */
    constructor(private readonly rejected: (object: StoredObject, reason: string) => void = () => {}) {}

    /** Every change up to this revision of the platform is held. */
    get revision(): number {
        return this.heldRevision;
    }

    /** Whether a whole configuration was ever learned, from the platform or a peer. */
    get loaded(): boolean {
        return this.complete;
    }

    /** Takes the newer objects of a page of changes that follows `revision`. */
    merge(page: ObjectPage): void {
        let changes = 0;
        for (const object of page.objects) {
            if (this.take(object)) {
                changes++;
            }
        }
        this.heldRevision = Math.max(this.heldRevision, page.revision);
        if (changes > 0) {
            this.changed.notify();
        }
    }

    /** Takes a full list: what it lacks was removed. */
    mergeList(page: ObjectPage): ListOutcome {
        if (page.revision < this.heldRevision) {
            return { type: "Reverted", platformRevision: page.revision, heldRevision: this.heldRevision };
        }
        const listed = new Set(page.objects.map(object => keyOf(object.kind, object.name)));
        const removed: StoredObject[] = [];
        for (const [key, object] of this.objects) {
            if (!listed.has(key) && object.value !== undefined) {
                removed.push({ ...object, version: page.revision, value: undefined });
            }
        }
        this.complete = true;
        this.merge({ revision: page.revision, objects: [...page.objects, ...removed] });
        return { type: "Merged" };
    }

    /** Takes what a peer holds beyond `revision`; a loaded peer's answer is whole. */
    mergePeer(page: ObjectPage, peerLoaded: boolean): void {
        this.complete ||= peerLoaded;
        this.merge(page);
    }

    /** Objects, removed ones included, that are newer than `revision`. */
    since(revision: number): ObjectPage {
        const objects = [...this.objects.values()].filter(object => object.version > revision);
        return { revision: this.heldRevision, objects };
    }

    /** The stored object, or undefined where there is none or it was removed. */
    object(kind: ObjectKind, name: string): StoredObject | undefined {
        const object = this.objects.get(keyOf(kind, name));
        return object?.value === undefined ? undefined : object;
    }

    /** Version of an object's last change, removal included; 0 where none was seen. */
    version(kind: ObjectKind, name: string): number {
        return this.objects.get(keyOf(kind, name))?.version ?? 0;
    }

    /** All objects of a kind. */
    all(kind: ObjectKind): StoredObject[] {
        return [...this.objects.values()].filter(object => object.kind === kind && object.value !== undefined);
    }

    service(name: string): Service | undefined {
        return this.object(ObjectKind.Service, name)?.value as Service | undefined;
    }

    /** The profile a service runs under; a missing one falls back to the defaults. */
    profileOf(service: Service | undefined): Profile {
        const object = service && this.object(ObjectKind.Profile, service.profile);
        return (object?.value as Profile | undefined) ?? defaultProfile;
    }

    customer(name: string): Customer | undefined {
        return this.object(ObjectKind.Customer, name)?.value as Customer | undefined;
    }

    /** Name of the customer that a key belongs to. */
    customerByKeyHash(keyHash: string): string | undefined {
        return this.customersByKeyHash.get(keyHash);
    }

    isOut(kind: ObjectKind.DataCentre | ObjectKind.Instance, name: string): boolean {
        const serving = this.object(kind, name)?.value as Serving | undefined;
        return serving?.state === ServingState.Out;
    }

    private take(object: StoredObject): boolean {
        const key = keyOf(object.kind, object.name);
        const held = this.objects.get(key);
        if (held && held.version >= object.version) {
            return false;
        }
        const checked = this.check(object);
        if (!checked) {
            return false;
        }
        this.objects.set(key, checked);
        if (object.kind === ObjectKind.Customer) {
            this.indexCustomer(object.name, held?.value as Customer | undefined, checked.value as Customer | undefined);
        }
        return true;
    }

    /** Fills in defaults: an object may have been written by other means, or before a field was added. */
    private check(object: StoredObject): StoredObject | undefined {
        if (object.value === undefined) {
            return object;
        }
        try {
            return { ...object, value: parseConfigurationObject(object.kind, object.name, object.value) };
        }
        catch (error) {
            this.rejected(object, describeError(error));
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
