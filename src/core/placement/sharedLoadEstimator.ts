/** The load view together with telling the other entries what this one places. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { SlidingWindow } from "../../utils/slidingWindow.js";
import { Demand } from "./demand.js";
import type { PlacedWork } from "./engineEstimate.js";
import type { EndedWork, EndpointLoad, LoadEstimator, WorkInProgress } from "./loadEstimator.js";

/** Over which the rate of placements is taken. */
const rateWindow: Milliseconds = 1_000;

/** Something that happened to placed work. */
export type LoadUpdate =
    | { type: "Placed"; works: readonly PlacedWork[]; }
    | { type: "Writing"; endpoint: string; id: string; }
    | { type: "Ended"; endpoints: readonly string[]; id: string; };

/** Notes this entry's work, and tells of it. */
export class SharedLoadEstimator {
    /** Gets all news of this entry's own work. */
    publish: (news: LoadUpdate) => void = () => {};

    /** What engine time is worth. */
    readonly demand: Demand;
    /** The service of an endpoint. */
    serviceOf: (endpoint: string) => string | undefined = () => undefined;
    /** How long news of a placement is on its way; infinite where this entry isn't told. */
    propagationDelay: () => Milliseconds = () => 0;
    private readonly placements: SlidingWindow;

    constructor(private readonly view: LoadEstimator, clock: Clock) {
        this.placements = new SlidingWindow(clock, rateWindow);
        this.demand = new Demand(clock);
    }

    /** Placements by other entries that are probably on their way and not known here. */
    get placementsInTransit(): number {
        const delay = this.propagationDelay();
        return delay === Infinity ? Infinity : this.placements.count() / rateWindow * delay;
    }

    /** Notes that work was placed, with the parts that helpers read; `known` where it needn't be told. */
    recordPlaced(works: readonly PlacedWork[], known = false): void {
        this.apply({ type: "Placed", works });
        if (!known) {
            this.publish({ type: "Placed", works });
        }
    }

    /** Notes that work writes its answer now. */
    recordWriting(endpoint: string, id: string): void {
        this.apply({ type: "Writing", endpoint, id });
        this.publish({ type: "Writing", endpoint, id });
    }

    /** Notes that work has ended at all of `endpoints`. */
    recordEnded(endpoints: readonly string[], id: string): void {
        this.apply({ type: "Ended", endpoints, id });
        this.publish({ type: "Ended", endpoints, id });
    }

    /** Takes news, of this entry or another one. */
    apply(news: LoadUpdate): void {
        switch (news.type) {
            case "Placed":
                this.placements.add();
                this.noteDemand(news.works);
                for (const work of news.works) {
                    this.view.place(work);
                }
                return;
            case "Writing":
                this.view.writes(news.endpoint, news.id);
                return;
            case "Ended":
                for (const endpoint of news.endpoints) {
                    this.view.end(endpoint, news.id);
                }
                return;
        }
    }

    private noteDemand(works: readonly PlacedWork[]): void {
        const { endpoint, value } = works[0]!;
        const service = this.serviceOf(endpoint);
        if (service !== undefined) {
            this.demand.note(service, works.reduce((sum, { readTime }) => sum + readTime, 0), value);
        }
    }

    /** Drops what another entry placed before `before` and no longer has in progress, and returns it. */
    retainOnly(owner: string, inProgress: ReadonlySet<string>, before: Milliseconds): EndedWork[] {
        return this.view.keepOnly(owner, inProgress, before);
    }

    /** All work in progress, for an entry that has just started. */
    inProgress(): WorkInProgress[] {
        return this.view.inProgress();
    }

    /** Takes what another entry knows to be in progress. */
    merge(works: readonly WorkInProgress[]): void {
        this.view.learn(works);
    }

    load(endpoint: string): EndpointLoad {
        return this.view.load(endpoint);
    }
}
