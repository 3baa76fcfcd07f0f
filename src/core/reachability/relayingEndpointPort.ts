/**
 * Sends attempts to endpoints, by way of another entry where this one can't connect.
 *
 * The other entry carries the connection alone. This entry decides, counts and retries as for its own connections, so nothing
 * that callers or endpoints are promised depends on the carrier.
 */
import {
    type AttemptOutcome,
    ConnectFailure,
    type EndpointAttempt,
    type EndpointPort,
    type EndpointReport,
    type ReportListener,
} from "../../ports/forwardingPorts.js";
import type { PeerAddress } from "../../ports/peerChannelPort.js";
import type { EndpointRecord } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { Metrics } from "../metrics.js";
import type { LinkTracker } from "./linkTracker.js";
import type { Relays } from "./relays.js";

/** Tells another entry that an endpoint asked it for a pause, by a response that it only carried. */
export type PauseAnnouncer = (relay: PeerAddress, endpoint: EndpointRecord, duration: Milliseconds) => void;

/** Dependencies of {@link RelayingEndpointPort}. */
export interface RelayingEndpointPortDependencies {
    clock: Clock;
    log: PartLog;
    metrics: Metrics;
    endpointPort: EndpointPort;
    links: LinkTracker;
    relays: Relays;
    announcePause: PauseAnnouncer;
}

/** The attempts of this entry's requests. */
export class RelayingEndpointPort implements Pick<EndpointPort, "send"> {
    constructor(private readonly dependencies: RelayingEndpointPortDependencies) {}

    async send(attempt: EndpointAttempt, signal: AbortSignal, onReport: ReportListener): Promise<AttemptOutcome> {
        const { clock, endpointPort, links } = this.dependencies;
        const { endpoint } = attempt;
        const startedAt = clock.now();
        if (links.isLost(endpoint)) {
            return await this.sendByRelay(attempt, startedAt, signal, onReport) ?? cutOffOutcome;
        }
        const own = await endpointPort.send(attempt, signal, onReport);
        if (own.type !== "Unreached" || signal.aborted) {
            return own;
        }
        const relayed = await this.sendByRelay(attempt, startedAt, signal, onReport);
        if (relayed && relayed.type !== "Unreached") {
            links.recordLost(endpoint);
            void links.reachesOthers(endpoint, startedAt);
            return relayed;
        }
        if (relayed === undefined && !await links.reachesOthers(endpoint, startedAt)) {
            return cutOffOutcome;
        }
        return relayed ?? own;
    }

    private sendByRelay(
        attempt: EndpointAttempt,
        startedAt: Milliseconds,
        signal: AbortSignal,
        onReport: ReportListener,
    ): Promise<AttemptOutcome | undefined> {
        const { clock, endpointPort, relays, metrics, log, announcePause } = this.dependencies;
        const { endpoint, request } = attempt;
        return relays.askInTurn(async relay => {
            const timeLeft = attempt.timeLeft - (clock.now() - startedAt);
            const onRelayedReport = (report: EndpointReport) => {
                onReport(report);
                if (report.retryAfter !== undefined && report.retryAfter > 0) {
                    announcePause(relay, endpoint, report.retryAfter);
                }
            };
            attempt.path?.recordCarried(relay);
            metrics.count("relayed_sends_total");
            log.info("A request goes by way of another entry.", {
                requestId: request.id,
                endpoint: endpoint.id,
                relay: relay.id,
            });
            const relayedAttempt = { ...attempt, timeLeft, relay: relay.address };
            const outcome = await endpointPort.send(relayedAttempt, signal, onRelayedReport);
            const isUnavailable = outcome.type === "Unreached" && outcome.failure === ConnectFailure.RelayUnavailable;
            return isUnavailable && !signal.aborted ? undefined : outcome;
        });
    }
}

const cutOffOutcome: AttemptOutcome = {
    type: "Unreached",
    reason: "this entry reaches no endpoint, and no other entry carries the connection",
    failure: ConnectFailure.RelayUnavailable,
};
