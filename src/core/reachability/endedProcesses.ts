/**
 * Tells the attempts in progress at an endpoint that its process has ended.
 *
 * A process whose instance loses power, or restarts behind a cut, resets no connection. Its requests would wait until their
 * deadlines, and their placed work would keep other requests away. The list of endpoints shows the end. It drops endpoints that
 * shut down as well, and these go on serving, so a connection check decides.
 */
import type { EndpointRecord } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { EndpointDirectory } from "../membership/endpointDirectory.js";
import { type EndpointChecker, EndpointCondition } from "./endpointChecker.js";

/** How long the end of a process is remembered. Attempts there are given up shortly after it is known. */
const retentionDuration: Milliseconds = 10_000;

/**
 * How long a sound endpoint may be silent. It may answer no check meanwhile, and one that shuts down accepts none. Callers leave
 * a little later, and then nobody would learn that their requests were present at the end.
 */
const maximumSilence: Milliseconds = 1_500;

/**
 * Called with the reason when the watched process has ended. `minimumSilence`: only a response of which nothing has arrived for
 * that long is lost; until then the process may be silent and go on.
 */
export type EndListener = (reason: string, minimumSilence: Milliseconds) => void;

/** Dependencies of {@link EndedProcesses}. */
export interface EndedProcessesDependencies {
    clock: Clock;
    log: PartLog;
    directory: Pick<EndpointDirectory, "get" | "find">;
    checker: Pick<EndpointChecker, "check">;
}

/** Notices the end of endpoint processes at which this entry has requests in progress. */
export class EndedProcesses {
    private readonly listenersByProcess = new Map<string, Set<EndListener>>();
    private readonly endedAtByProcess = new Map<string, Milliseconds>();

    constructor(private readonly dependencies: EndedProcessesDependencies) {}

    /** Calls `onEnded` when the process of `endpoint` has ended, until the returned function is called. */
    watch(endpoint: EndpointRecord, onEnded: EndListener): () => void {
        const process = processOf(endpoint);
        const listeners = this.listenersByProcess.get(process) ?? new Set();
        this.listenersByProcess.set(process, listeners);
        listeners.add(onEnded);
        return () => {
            listeners.delete(onEnded);
            if (listeners.size === 0 && this.listenersByProcess.get(process) === listeners) {
                this.listenersByProcess.delete(process);
            }
        };
    }

    /** Whether the process of `endpoint` has ended a short time ago while it was watched. One that is listed again lives. */
    hasEnded(endpoint: EndpointRecord): boolean {
        return this.endedAtByProcess.has(processOf(endpoint)) && !this.isListed(endpoint);
    }

    /** Records that the list shows another process than `endpoint` under its identifier. */
    recordReplaced(endpoint: EndpointRecord): void {
        this.reportEnd(endpoint, "the list of endpoints shows a new process", 0);
    }

    /** Checks whether the process of an endpoint that the list no longer shows has ended. */
    async verify(endpoint: EndpointRecord): Promise<void> {
        if (!this.listenersByProcess.has(processOf(endpoint)) || this.isListed(endpoint)) {
            return;
        }
        const condition = await this.dependencies.checker.check(endpoint);
        if (this.isListed(endpoint)) {
            return;
        }
        switch (condition) {
            case EndpointCondition.Refusing:
            case EndpointCondition.Unresponsive:
                this.reportEnd(endpoint, "it is no longer listed, and no entry can connect to it", maximumSilence);
                return;
            case EndpointCondition.Accepting:
                if (this.isAddressTaken(endpoint)) {
                    this.reportEnd(endpoint, "another endpoint is listed at its address", 0);
                }
                return;
            case EndpointCondition.LinkLost:
            case EndpointCondition.Unknown:
                return;
        }
    }

    private isListed({ id, incarnation }: EndpointRecord): boolean {
        return this.dependencies.directory.get(id)?.record.incarnation === incarnation;
    }

    private isAddressTaken({ id, address }: EndpointRecord): boolean {
        const listed = this.dependencies.directory.find(address);
        return listed !== undefined && listed.record.id !== id;
    }

    private rememberEnd(process: string): void {
        const now = this.dependencies.clock.now();
        this.endedAtByProcess.set(process, now);
        for (const [ended, at] of this.endedAtByProcess) {
            if (now - at >= retentionDuration) {
                this.endedAtByProcess.delete(ended);
            }
        }
    }

    private reportEnd(endpoint: EndpointRecord, reason: string, minimumSilence: Milliseconds): void {
        const listeners = this.listenersByProcess.get(processOf(endpoint));
        if (listeners === undefined) {
            return;
        }
        this.rememberEnd(processOf(endpoint));
        this.dependencies.log.info("The process of an endpoint has ended under requests.", {
            endpoint: endpoint.id,
            incarnation: endpoint.incarnation,
            reason,
            requestCount: listeners.size,
        });
        for (const onEnded of [...listeners]) {
            onEnded(reason, minimumSilence);
        }
    }
}

/** Names one process of an endpoint. */
export const processOf = ({ id, incarnation }: EndpointRecord): string => `${id}/${incarnation}`;
