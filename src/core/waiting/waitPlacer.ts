/** Finds the entry that keeps the wait queue of a service. */
import { rendezvous } from "../../utils/hash.js";
import type { PlacerSet } from "../membership/placers.js";

/** Where the requests of this entry wait. */
export type WaitPlacer =
    /** In this entry's own queue. */
    | { type: "Local"; }
    | { type: "Remote"; id: string; address: string; }
    /** No placer answers. */
    | { type: "None"; };

/** Returns the first placer of the service among those that answer. Entries that know the same placers agree on it. */
export const chooseWaitPlacer = (service: string, ownId: string, { everyone, self, asked }: PlacerSet): WaitPlacer => {
    if (everyone) {
        return { type: "Local" };
    }
    const ids = asked.map(({ id }) => id);
    const first = rendezvous(service, self ? [...ids, ownId] : ids);
    if (first === ownId) {
        return { type: "Local" };
    }
    const placer = asked.find(({ id }) => id === first);
    return placer ? { type: "Remote", id: placer.id, address: placer.address } : { type: "None" };
};
