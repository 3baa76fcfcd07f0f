/** The quarantined requests of a replay, kept in memory for all entries. */
import type { QuarantineStorePort, StoredQuarantine } from "../ports/quarantineStore.js";

/** Keeps quarantined requests in memory. */
export class SimulatedQuarantineStore implements QuarantineStorePort {
    readonly byRequest = new Map<string, StoredQuarantine>();
    /** Number of calls that entries made. */
    callCount = 0;

    list(): Promise<StoredQuarantine[]> {
        this.callCount++;
        return Promise.resolve([...this.byRequest.values()].map(item => ({ ...item })));
    }

    create(quarantine: StoredQuarantine): Promise<void> {
        this.callCount++;
        if (!this.byRequest.has(quarantine.request)) {
            this.byRequest.set(quarantine.request, { ...quarantine });
        }
        return Promise.resolve();
    }

    claimTrial(request: string, trialCount: number): Promise<boolean> {
        this.callCount++;
        const stored = this.byRequest.get(request);
        if (stored?.trialCount !== trialCount) {
            return Promise.resolve(false);
        }
        stored.trialCount++;
        return Promise.resolve(true);
    }

    remove(request: string): Promise<void> {
        this.callCount++;
        this.byRequest.delete(request);
        return Promise.resolve();
    }
}
