/** Runs an experiment: open-loop arrivals over several entries, with faults at given times. */
import { Clock, Milliseconds, requestJson } from "../internal.js";
import { ArrivalPlan, planArrivals } from "./arrivals.js";
import { callOnce, CallOptions, CallRecord } from "./caller.js";

/** A fault to be set on a stand-in while the load runs. */
export interface TimedFault {
    at: Milliseconds;
    /** Control port of the stand-in. */
    address: string;
    fault: string;
    value: number;
}

/** An experiment. */
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

/** Sends every request at its time, whatever became of those before, and waits for all of them. */
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
