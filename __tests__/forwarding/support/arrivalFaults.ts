/** Faults that depend on how many requests have arrived before. */
import type { ReplicaFault, ReplicaServer } from "../../../platform/standins/replicaServer.js";

/** The first arrival at any of the replicas has the fault `first`, and later ones have `second`. */
export const setFaults = (replicas: ReplicaServer[], first: ReplicaFault, second: ReplicaFault): void => {
    let arrivalCount = 0;
    for (const replica of replicas) {
        replica.fault = (...reply) => {
            arrivalCount++;
            return arrivalCount === 1 ? first(...reply) : second(...reply);
        };
    }
};
