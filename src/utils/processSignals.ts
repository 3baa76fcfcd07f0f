/**
 * Receives the signals that process managers, shells, log rotation and operators send to a process.
 *
 * Most signals end a process by their default action, and each request in progress with it. They come more than once, too: a
 * process manager that signals a process group reaches a process once itself and once through a parent that passes signals on.
 */
import type { PartLog } from "./log.js";

/** What a process does when it receives a signal. */
export enum SignalAction {
    /** Ends as planned, once the requests in progress have ended. */
    Stop = "stop",
    /** Reads its settings again. */
    Reload = "reload",
    Ignore = "ignore",
}

/**
 * The signals that end a process by default and that others send on purpose. Signals of faults of the process itself aren't
 * among them, nor those with which a debugger and a profiler of Node work.
 */
const actionBySignal = new Map<NodeJS.Signals, SignalAction>([
    ["SIGTERM", SignalAction.Stop],
    ["SIGINT", SignalAction.Stop],
    ["SIGQUIT", SignalAction.Stop],
    ["SIGPWR", SignalAction.Stop],
    ["SIGXCPU", SignalAction.Stop],
    ["SIGHUP", SignalAction.Reload],
    ["SIGUSR2", SignalAction.Ignore],
    ["SIGALRM", SignalAction.Ignore],
    ["SIGVTALRM", SignalAction.Ignore],
    ["SIGIO", SignalAction.Ignore],
    ["SIGSTKFLT", SignalAction.Ignore],
]);

/** Handlers of a program. */
export interface SignalHandlers {
    /** Called at the first signal to stop alone. */
    stop: () => void;
    reload: () => void;
}

/**
 * Takes the default action from all signals that are handled later. Signals that arrive until then are handed to
 * {@link ProcessSignals} if it listens before the program first waits.
 */
export const holdSignals = (): void => {
    for (const signal of actionBySignal.keys()) {
        process.on(signal, () => {});
    }
};

/** Handles and counts the signals that this process receives. */
export class ProcessSignals {
    private readonly countBySignal = new Map<NodeJS.Signals, number>();
    private isStopping = false;

    constructor(private readonly log: PartLog) {}

    /** Calls `handlers` for the signals of this process. */
    listen(handlers: SignalHandlers): void {
        for (const [signal, action] of actionBySignal) {
            process.on(signal, () => {
                this.record(signal, action);
                this.perform(action, handlers);
            });
        }
    }

    /** Number of signals received, by signal. */
    gauges(): Record<string, number> {
        const gauges: Record<string, number> = {};
        for (const [signal, count] of this.countBySignal) {
            gauges[`signals_total{signal="${signal}"}`] = count;
        }
        return gauges;
    }

    private record(signal: NodeJS.Signals, action: SignalAction): void {
        const count = (this.countBySignal.get(signal) ?? 0) + 1;
        this.countBySignal.set(signal, count);
        this.log.info("A signal was received.", { signal, count, action, isStopping: this.isStopping });
    }

    private perform(action: SignalAction, { stop, reload }: SignalHandlers): void {
        switch (action) {
            case SignalAction.Stop:
                // A further signal neither shortens the stop nor ends the process; SIGKILL does.
                if (!this.isStopping) {
                    this.isStopping = true;
                    stop();
                }
                return;
            case SignalAction.Reload:
                reload();
                return;
            case SignalAction.Ignore:
                return;
        }
    }
}
