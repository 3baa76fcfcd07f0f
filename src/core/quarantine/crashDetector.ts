/**
 * Finds out whether an endpoint crashed when it broke off a response.
 *
 * A reset connection or a garbled response says little: the endpoint may live on, and the next request may be served. The
 * process of a crashed endpoint no longer accepts connections, or another process has taken its address, or the list of
 * endpoints shows a new process of it.
 */
import type { EndpointRecord } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { Metrics } from "../metrics.js";
import { AttemptPath } from "../reachability/attemptPath.js";
import { type EndpointChecker, EndpointCondition } from "../reachability/endpointChecker.js";
import type { PartPresence } from "./crashLog.js";
import { headOfFingerprint, type RequestFingerprint } from "./requestFingerprint.js";

/** Minimum interval between two checks of an endpoint that accepted the first: each takes one of its connections. */
const checkInterval: Milliseconds = 250;
/** How long after a response was broken off a new process of the endpoint shows that the earlier one crashed. */
const restartDetectionDuration: Milliseconds = 10_000;

/** A request that a crashed endpoint was serving. */
export interface CrashedRequest {
    /** Fingerprint of the request. */
    request: string;
    /** How long the endpoint had been serving it. */
    servedFor: Milliseconds;
    /** Shared parts of its prompt by which the endpoint may have crashed. */
    suspectParts: ReadonlyMap<string, PartPresence>;
}

/** An endpoint process that crashed, with the requests that it was serving for this entry. */
export interface DetectedCrash {
    endpoint: string;
    incarnation: number;
    /** When the responses were broken off, on the local clock. */
    at: Milliseconds;
    requests: readonly CrashedRequest[];
    /** The data centre of an endpoint that fell silent; undefined where it refused connections or was replaced. */
    silentIn?: string;
}

interface BrokenResponses {
    endpoint: EndpointRecord;
    /** The path of the first of them. */
    path: AttemptPath;
    firstAt: Milliseconds;
    requests: CrashedRequest[];
    /** When the check ended; undefined while it is in progress. */
    checkedAt: Milliseconds | undefined;
    /** Resolves when it is known whether the endpoint accepts connections. */
    checked: Promise<void>;
}

/** Dependencies of {@link CrashDetector}. */
export interface CrashDetectorDependencies {
    clock: Clock;
    log: PartLog;
    metrics: Metrics;
    checker: Pick<EndpointChecker, "check">;
    /** Resolves with whether another process responds at the address of an endpoint. */
    isReplaced: (endpoint: EndpointRecord) => Promise<boolean>;
    /** Whether an endpoint is shutting down, so that its end is no crash. */
    isLeaving: (endpoint: EndpointRecord) => boolean;
}

/** Detects crashes of endpoints. */
export class CrashDetector {
    /** Called with each crash. */
    onCrash: (crash: DetectedCrash) => void = () => {};
    private readonly brokenByKey = new Map<string, BrokenResponses>();

    constructor(private readonly dependencies: CrashDetectorDependencies) {}

    /** Records that `endpoint` broke off its response to a request over `path`, and checks whether it has crashed. */
    recordBroken(endpoint: EndpointRecord, request: CrashedRequest, path = new AttemptPath()): void {
        if (this.dependencies.isLeaving(endpoint)) {
            return;
        }
        const broken = this.findBroken(endpoint, path) ?? this.startCheck(endpoint, path);
        broken.requests.push(request);
        if (broken.checkedAt !== undefined) {
            this.checkAgain(broken, broken.checkedAt);
        }
    }

    /** Checks in progress of endpoints that broke off responses to this request. */
    pendingChecks(fingerprint: RequestFingerprint): Promise<void>[] {
        const checks: Promise<void>[] = [];
        for (const { checkedAt, requests, checked } of this.brokenByKey.values()) {
            if (checkedAt === undefined && includesRequest(requests, fingerprint)) {
                checks.push(checked);
            }
        }
        return checks;
    }

    /** Records that the list of endpoints shows another process than before under the identifier `id`. */
    recordRestart(id: string): void {
        this.removeOld();
        for (const broken of [...this.brokenByKey.values()]) {
            if (broken.endpoint.id === id) {
                this.reportCrash(broken, "the list of endpoints shows a new process");
            }
        }
    }

    private findBroken(endpoint: EndpointRecord, path: AttemptPath): BrokenResponses | undefined {
        const broken = this.brokenByKey.get(keyOf(endpoint, path));
        const isCurrent = broken?.endpoint.incarnation === endpoint.incarnation
            && this.dependencies.clock.now() - (broken.checkedAt ?? Infinity) < checkInterval;
        return isCurrent ? broken : undefined;
    }

    private startCheck(endpoint: EndpointRecord, path: AttemptPath): BrokenResponses {
        const broken: BrokenResponses = {
            endpoint,
            path,
            firstAt: this.dependencies.clock.now(),
            requests: [],
            checkedAt: undefined,
            checked: Promise.resolve(),
        };
        this.removeOld();
        this.brokenByKey.set(keyOf(endpoint, path), broken);
        broken.checked = this.check(broken);
        return broken;
    }

    /** Checks an endpoint that has broken off a response after it passed a check: it may have crashed since. */
    private checkAgain(broken: BrokenResponses, checkedAt: Milliseconds): void {
        const { clock } = this.dependencies;
        broken.checkedAt = undefined;
        broken.checked = clock.sleep(checkedAt + checkInterval - clock.now()).then(() => this.check(broken));
    }

    private async check(broken: BrokenResponses): Promise<void> {
        const { clock, checker } = this.dependencies;
        const key = keyOf(broken.endpoint, broken.path);
        const condition = await checker.check(broken.endpoint, broken.path);
        const isReplaced = condition === EndpointCondition.Accepting
            && await this.dependencies.isReplaced(broken.endpoint);
        broken.checkedAt = clock.now();
        if (this.brokenByKey.get(key) !== broken) {
            return;
        }
        switch (condition) {
            case EndpointCondition.Refusing:
                this.reportCrash(broken, "it refuses connections");
                return;
            case EndpointCondition.LinkLost:
            case EndpointCondition.Unknown:
                // The loss of the path explains the broken responses; a later restart of the endpoint has another cause.
                this.brokenByKey.delete(key);
                return;
            case EndpointCondition.Accepting:
                if (isReplaced) {
                    this.reportCrash(broken, "another process responds at its address");
                }
                return;
            case EndpointCondition.Unresponsive:
                return;
        }
    }

    private reportCrash(broken: BrokenResponses, reason: string): void {
        const { endpoint, path, firstAt, requests } = broken;
        const { id, incarnation } = endpoint;
        this.brokenByKey.delete(keyOf(endpoint, path));
        this.dependencies.metrics.count("endpoint_crashes_total");
        const crash = { endpoint: id, incarnation, at: firstAt, requests };
        logCrash(this.dependencies.log, crash, reason);
        this.onCrash(crash);
    }

    private removeOld(): void {
        const now = this.dependencies.clock.now();
        for (const [key, { firstAt }] of this.brokenByKey) {
            if (now - firstAt >= restartDetectionDuration) {
                this.brokenByKey.delete(key);
            }
        }
    }
}

/** What a cut path explains isn't mixed with what the endpoint broke off. */
const keyOf = ({ id }: EndpointRecord, { isCut }: AttemptPath): string => `${isCut ? "cut" : "broken"}/${id}`;

/** Logs a crash, and why it is known. */
export const logCrash = (log: PartLog, { endpoint, incarnation, requests }: DetectedCrash, reason: string): void => {
    log.info("An endpoint crashed under requests.", {
        endpoint,
        incarnation,
        requests: requests.map(({ request }) => request),
        parts: [...new Set(requests.flatMap(({ suspectParts }) => [...suspectParts.keys()]))],
        reason,
    });
};

/** The head is compared first, because the whole fingerprint takes the time to read the body. */
const includesRequest = (requests: readonly CrashedRequest[], fingerprint: RequestFingerprint): boolean =>
    requests.some(({ request }) => headOfFingerprint(request) === fingerprint.head && request === fingerprint.value);
