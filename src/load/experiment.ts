/** Runs an experiment: an open-loop load on several entries, with faults injected at given times. */
import { Clock, Milliseconds, requestJson } from "../internal.js";
import { ArrivalPlan, planArrivals } from "./arrivals.js";
import { callOnce, CallOptions, CallRecord } from "./caller.js";

/** A fault that is injected into a stand-in during the load. */
export interface TimedFault {
    at: Milliseconds;
    /** Address of the stand-in's control port. */
    address: string;
    fault: string;
    value: number;
}

/** Load, target entries and faults of an experiment. */
export interface Experiment {
    plan: ArrivalPlan;
    targets: readonly string[];
    options: CallOptions;
    faults: readonly TimedFault[];
}

const injectFault = async (clock: Clock, fault: TimedFault): Promise<void> => {
    await clock.sleep(fault.at);
    const order = { fault: fault.fault, value: fault.value };
    await requestJson({ address: fault.address, method: "POST", path: "/faults" }, order);
};

/** Sends each request at its arrival time, without waiting for earlier ones, and resolves when all have ended. */
export const runExperiment = async (clock: Clock, experiment: Experiment): Promise<CallRecord[]> => {
    const startedAt = clock.now();
    const calls: Promise<CallRecord>[] = [];
    const faults = experiment.faults.map(fault => injectFault(clock, fault));
    for (const arrival of planArrivals(experiment.plan)) {
        const wait = startedAt + arrival.at - clock.now();
        if (wait > 0) {
            await clock.sleep(wait);
        }
        const target = experiment.targets[arrival.index % experiment.targets.length]!;
        calls.push(callOnce(clock, target, arrival, experiment.options));
    }
    await Promise.all(faults);
    return Promise.all(calls);
};
