/** The list of quarantined requests: bounded, expiring, and told to other entries part by part. */
import type { QuarantineReport } from "../../ports/peerChannelPort.js";
import type { Clock } from "../../utils/clock.js";
import { HeadIndex } from "./headIndex.js";
import { partsOfKey } from "./partSet.js";
import { type QuarantinedRequest, quarantineLifetime, toReport } from "./quarantinedRequest.js";
import type { RequestFingerprint } from "./requestFingerprint.js";

/** Maximum number of quarantined requests; the store lists as many in one call. */
const maximumCount = 400;
/** Quarantined requests in one heartbeat, some 5 kB. Each heartbeat takes the next ones. */
const maximumSharedCount = 16;

/** A set of prompt parts whose requests are quarantined. */
export interface QuarantinedParts {
    parts: string[];
    quarantined: QuarantinedRequest;
}

/** Quarantined requests by fingerprint, and sets of prompt parts by their key. */
export class QuarantinedRequests {
    private readonly byFingerprint = new Map<string, QuarantinedRequest>();
    private readonly heads = new HeadIndex(() => this.byFingerprint.keys());
    /** Position in the list of the next one to share. */
    private shareCursor = 0;
    private knownPartSets: QuarantinedParts[] | undefined;

    constructor(private readonly clock: Clock) {}

    /** All that have not expired. */
    all(): QuarantinedRequest[] {
        const now = this.clock.now();
        for (const { request, lastSeenAt } of this.byFingerprint.values()) {
            if (now - lastSeenAt >= quarantineLifetime) {
                this.remove(request);
            }
        }
        return [...this.byFingerprint.values()];
    }

    /** The quarantined sets of prompt parts. */
    get partSets(): readonly QuarantinedParts[] {
        this.knownPartSets ??= this.all().flatMap(quarantined => {
            const parts = partsOfKey(quarantined.request);
            return parts ? [{ parts, quarantined }] : [];
        });
        return this.knownPartSets;
    }

    get(request: string): QuarantinedRequest | undefined {
        return this.byFingerprint.get(request);
    }

    /** Finds the quarantine of a request. Its body is read only if its head is that of a quarantined one. */
    find(fingerprint: RequestFingerprint): QuarantinedRequest | undefined {
        if (this.byFingerprint.size === 0 || !this.heads.has(fingerprint.head)) {
            return undefined;
        }
        const found = this.byFingerprint.get(fingerprint.value);
        return found && this.clock.now() - found.lastSeenAt < quarantineLifetime ? found : undefined;
    }

    /** Adds a quarantine. The oldest one yields where there are too many. */
    add(quarantined: QuarantinedRequest): void {
        this.byFingerprint.set(quarantined.request, quarantined);
        this.invalidate();
        if (this.byFingerprint.size > maximumCount) {
            this.remove(this.byFingerprint.keys().next().value!);
        }
    }

    remove(request: string): void {
        this.byFingerprint.delete(request);
        this.invalidate();
    }

    private invalidate(): void {
        this.heads.invalidate();
        this.knownPartSets = undefined;
    }

    /** Returns the next part of the list in the form of a heartbeat. */
    nextReports(): QuarantineReport[] {
        const now = this.clock.now();
        const all = this.all();
        const count = Math.min(all.length, maximumSharedCount);
        const reports: QuarantineReport[] = [];
        for (let index = 0; index < count; index++) {
            reports.push(toReport(all[(this.shareCursor + index) % all.length]!, now));
        }
        this.shareCursor = all.length === 0 ? 0 : (this.shareCursor + count) % all.length;
        return reports;
    }
}
