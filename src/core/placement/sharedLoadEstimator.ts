/** Combines the load estimates with publishing this entry's placements to the other entries. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { SlidingWindow } from "../../utils/slidingWindow.js";
import { Demand } from "./demand.js";
import type { PlacedWork } from "./engineEstimate.js";
import type { EndedWork, EndpointLoad, LoadEstimator, WorkInProgress } from "./loadEstimator.js";

/** Window over which the placement rate is measured. */
const placementRateWindow: Milliseconds = 1_000;

/** A state change of placed work. */
export type LoadUpdate =
    | { type: "Placed"; works: readonly PlacedWork[]; }
    | { type: "Writing"; endpoint: string; id: string; }
    | { type: "Ended"; endpoints: readonly string[]; id: string; };

/** Records this entry's work and publishes it; applies the updates of other entries. */
export class SharedLoadEstimator {
    /** Receives each update about this entry's own work. */
    publish: (update: LoadUpdate) => void = () => {};

    /** Recent demand, which sets the price of engine time. */
    readonly demand: Demand;
    /** Returns the service of an endpoint. */
    serviceOf: (endpoint: string) => string | undefined = () => undefined;
    /** Propagation delay of placement updates; infinite where this entry doesn't receive them. */
    propagationDelay: () => Milliseconds = () => 0;
    private readonly placements: SlidingWindow;

    constructor(private readonly estimator: LoadEstimator, clock: Clock) {
        this.placements = new SlidingWindow(clock, placementRateWindow);
        this.demand = new Demand(clock);
    }

    /** Estimated number of placements by other entries whose updates are in flight. */
    get placementsInTransit(): number {
        const delay = this.propagationDelay();
        return delay === Infinity ? Infinity : this.placements.count() / placementRateWindow * delay;
    }

    /** Records placed work, with the parts of the helpers; publishes it unless the peers know it already. */
    recordPlaced(works: readonly PlacedWork[], isKnownToPeers = false): void {
        this.apply({ type: "Placed", works });
        if (!isKnownToPeers) {
            this.publish({ type: "Placed", works });
        }
    }

    /** Records that work has started to decode. */
    recordWriting(endpoint: string, id: string): void {
        this.apply({ type: "Writing", endpoint, id });
        this.publish({ type: "Writing", endpoint, id });
    }

    /** Records that work has ended at all of `endpoints`. */
    recordEnded(endpoints: readonly string[], id: string): void {
        this.apply({ type: "Ended", endpoints, id });
        this.publish({ type: "Ended", endpoints, id });
    }

    /** Applies an update of this entry or another one. */
    apply(update: LoadUpdate): void {
        switch (update.type) {
            case "Placed":
                this.placements.add();
                this.recordDemand(update.works);
                for (const work of update.works) {
                    this.estimator.recordPlaced(work);
                }
                return;
            case "Writing":
                this.estimator.recordWriting(update.endpoint, update.id);
                return;
            case "Ended":
                for (const endpoint of update.endpoints) {
                    this.estimator.recordEnded(endpoint, update.id);
                }
                return;
        }
    }

    private recordDemand(works: readonly PlacedWork[]): void {
        const { endpoint, value } = works[0]!;
        const service = this.serviceOf(endpoint);
        if (service !== undefined) {
            this.demand.recordRequest(service, works.reduce((sum, { readTime }) => sum + readTime, 0), value);
        }
    }

    /** Removes work that another entry placed before `before` and no longer has in progress; returns the removed work. */
    retainOnly(owner: string, inProgress: ReadonlySet<string>, before: Milliseconds): EndedWork[] {
        return this.estimator.retainOnly(owner, inProgress, before);
    }

    /** Returns all work in progress, for an entry that has just started. */
    inProgress(): WorkInProgress[] {
        return this.estimator.inProgress();
    }

    /** Merges work in progress that another entry sent. */
    merge(works: readonly WorkInProgress[]): void {
        this.estimator.merge(works);
    }

    loadOf(endpoint: string): EndpointLoad {
        return this.estimator.loadOf(endpoint);
    }
}
