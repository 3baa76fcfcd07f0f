/** Receives the signals that process managers, shells and operators send to a process. */
import type { PartLog } from "./log.js";

/** Records the signals that this process receives. */
export class ProcessSignals {
    private readonly countBySignal = new Map<NodeJS.Signals, number>();

    constructor(private readonly log: PartLog) {}

    /** Calls `action` whenever this process receives `signal`. */
    on(signal: NodeJS.Signals, action: () => void): void {
        process.on(signal, () => {
            const count = (this.countBySignal.get(signal) ?? 0) + 1;
            this.countBySignal.set(signal, count);
            this.log.info("A signal was received.", { signal, count });
            action();
        });
    }

    /** Number of signals received, by signal. */
    gauges(): Record<string, number> {
        const gauges: Record<string, number> = {};
        for (const [signal, count] of this.countBySignal) {
            gauges[`signals_total{signal="${signal}"}`] = count;
        }
        return gauges;
    }
}
